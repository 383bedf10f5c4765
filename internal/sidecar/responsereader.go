package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
)

// maxInterimResponses limits the 1xx responses before the final one.
const maxInterimResponses = 8

// Errors of responseReader.
var (
	errResponseTooLarge        = errors.New("response exceeds the size limit")
	errTooManyInterimResponses = errors.New("too many interim (1xx) responses")
)

// responseReader reads the responses that arrive on a connection. It limits the memory that a response can
// take, so that a faulty server can't exhaust that of the process: each head is limited in bytes and in fields,
// and what follows the final head in bytes.
type responseReader struct {
	*bufio.Reader
	limit responseLimit
}

// newResponseReader returns a reader of the responses on a connection, with a limit on the bytes of each body
// with its framing.
func newResponseReader(connection io.Reader, maxBodyBytes int) *responseReader {
	r := &responseReader{limit: responseLimit{source: connection, maxBodyBytes: maxBodyBytes}}
	r.Reader = bufio.NewReader(&r.limit)
	return r
}

// readHead reads the head of the next final response and skips the interim responses before it. The request
// may be nil, for GET.
func (r *responseReader) readHead(request *http.Request) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		buffered, _ := r.Peek(r.Buffered()) // never fails, as the bytes are buffered
		if err := r.limit.beginHead(buffered); err != nil {
			return nil, err
		}
		res, err := http.ReadResponse(r.Reader, request)
		if r.limit.head.exceeded {
			return nil, errTooManyHeaderFields // err may name the line that was cut off
		}
		if err != nil {
			return nil, fmt.Errorf("read response header: %w", err)
		}
		if res.StatusCode/100 != 1 {
			return res, nil
		}
	}
	return nil, errTooManyInterimResponses
}

// responseLimit passes on the bytes of a connection and fails once a response exceeds a limit.
type responseLimit struct {
	source       io.Reader
	maxBodyBytes int

	remaining int // bytes that may still be read from the source
	inHead    bool
	head      headScanner
}

// beginHead starts the limits of another head, which begins with bytes that have been read already.
func (l *responseLimit) beginHead(buffered []byte) error {
	l.remaining = maxHeaderBytes
	l.inHead = true
	l.head = headScanner{}
	return l.count(buffered)
}

// Read reads from the connection within the limits.
func (l *responseLimit) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errResponseTooLarge
	}
	n, err := l.source.Read(p[:min(len(p), l.remaining)])
	if err := l.count(p[:n]); err != nil {
		return 0, err
	}
	return n, err
}

// count counts bytes that were read. Bytes behind the end of the head count towards the body.
func (l *responseLimit) count(read []byte) error {
	l.remaining -= len(read)
	if !l.inHead {
		return nil
	}
	n, ended, err := l.head.scan(read)
	if ended {
		l.inHead = false
		l.remaining = l.maxBodyBytes - (len(read) - n)
	}
	return err
}
