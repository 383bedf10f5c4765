package sidecar

import "errors"

const (
	// maxHeaderBytes limits the head of a message.
	maxHeaderBytes = 16 << 10
	// maxHeaderFields limits the header lines of a message. A short line takes many times its size once it is
	// parsed, so the limit on bytes does not bound the memory that a head takes.
	maxHeaderFields = 100
)

var errTooManyHeaderFields = errors.New("message head has too many fields")

// headScanner follows the lines of a message's head through the bytes of its connection, to find where the head
// ends and to limit its fields before a parser allocates memory for them.
type headScanner struct {
	lineLength int // bytes in the current line, without its line break
	lines      int // complete lines of the current head, of which the first is not a field
	exceeded   bool
}

// scan advances past the bytes of p that belong to the current head. It returns their number and whether the
// head ends with them; the scanner is then at the start of another head. Empty lines before a head are part
// of it. Once a head has too many fields, every call fails, as a parser may take a line that was cut off for a
// complete one and read on.
func (s *headScanner) scan(p []byte) (n int, ended bool, err error) {
	if s.exceeded {
		return 0, false, errTooManyHeaderFields
	}
	for i, c := range p {
		switch {
		case c == '\r': // part of a line break
		case c != '\n' && s.lines > maxHeaderFields:
			s.exceeded = true
			return i, false, errTooManyHeaderFields
		case c != '\n':
			s.lineLength++
		case s.lineLength == 0 && s.lines == 0: // an empty line before the head
		case s.lineLength == 0:
			*s = headScanner{}
			return i + 1, true, nil
		default:
			s.lineLength = 0
			s.lines++
		}
	}
	return len(p), false, nil
}
