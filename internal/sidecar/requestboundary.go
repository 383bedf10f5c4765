package sidecar

// requestBoundary tracks where requests end in the byte stream of a connection, so that clientConn.Read never
// returns bytes of two requests at once. Bytes that net/http has buffered can't be inspected; bytes that
// clientConn still holds can. While the sidecar is draining, the bytes in clientConn decide whether the
// connection may be closed after a response.
//
// The boundaries need not be exact: bytes that are held back are returned by the next read.
type requestBoundary struct {
	lineLength    int   // bytes in the current line of a head, without its line break
	inHead        bool  // at least one line of the current head is complete
	bodyRemaining int64 // bytes of the current body that have not arrived yet
}

// expectBody sets the length of the body that follows the head that ended last.
func (b *requestBoundary) expectBody(length int64) { b.bodyRemaining = length }

// consume returns how many bytes of p belong to the current request, and advances past them. It returns at
// least 1 unless p is empty.
func (b *requestBoundary) consume(p []byte) int {
	if b.bodyRemaining > 0 {
		n := int(min(b.bodyRemaining, int64(len(p))))
		b.bodyRemaining -= int64(n)
		return n
	}
	for i, c := range p {
		switch {
		case c == '\r': // part of a line break
		case c != '\n':
			b.lineLength++
		case b.lineLength == 0 && b.inHead:
			b.inHead = false // an empty line ends the head
			return i + 1
		default:
			b.lineLength, b.inHead = 0, true
		}
	}
	return len(p)
}
