package sidecar

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// rejectedBodyTimeout limits how long the rest of a rejected request's body is read and discarded before
	// the connection is closed.
	rejectedBodyTimeout = 500 * time.Millisecond
	// maxDiscardedBodyBytes limits how much of that body is read: reading more would cost CPU time that other
	// requests need.
	maxDiscardedBodyBytes = 256 << 10
	// discardBufferBytes is the size of the buffer for that.
	discardBufferBytes = 512
)

// write sends the final response to the client.
func (r response) write(w http.ResponseWriter) {
	switch r.status {
	case http.StatusOK:
		r.writeOK(w)
	case http.StatusServiceUnavailable:
		writeUnavailable(w, r.retryAfter)
	default:
		w.WriteHeader(r.status)
	}
}

// writeOK forwards a server's response.
func (r response) writeOK(w http.ResponseWriter) {
	for name, values := range endToEndHeaders(r.header) {
		w.Header()[name] = values
	}
	if r.header[headerContentType] == nil {
		w.Header()[headerContentType] = nil // keeps net/http from guessing a type from the body
	}
	w.Header().Set(headerContentLength, strconv.Itoa(len(r.body)))
	_, _ = w.Write(r.body) // fails only if the client has disconnected, so there is nothing to report
}

// writeUnavailable responds with 503: the client may retry safely, preferably after retryAfter. With 0, the
// response has no Retry-After.
func writeUnavailable(w http.ResponseWriter, retryAfter time.Duration) {
	setRetryAfter(w.Header(), retryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setRetryAfter states when the client should retry, unless retryAfter is 0.
func setRetryAfter(header http.Header, retryAfter time.Duration) {
	if retryAfter > 0 {
		header.Set(headerRetryAfter, strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
}

// reject responds to a request that is not accepted, and closes its connection: the end of that request is
// uncertain, so the bytes that follow it can't be trusted to be the next request.
//
// The header Connection: close in the response keeps net/http from reading the rest of the request before the
// response is written. reject reads the rest itself, once the response is flushed: closing the connection with
// bytes unread, or while the client is still writing, resets it, and a client whose write fails may never read
// the response. net/http would read the rest after the handler returns, but not if the request itself has the
// header Connection: close.
func (in *ingress) reject(w http.ResponseWriter, r *http.Request, rejection *rejectionError) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(in.rejectedBodyTimeout)) // fails only on a closed connection
	writeError(w, rejection)
	if control.Flush() != nil {
		return // the client has disconnected
	}
	if !discardBody(r.Body) {
		delayClose(r.Context())
	}
}

// discardBody reads a body up to maxDiscardedBodyBytes and reports whether it has reached its end. The buffer is
// small because many clients may be rejected at once; net/http has one of its own behind it.
func discardBody(body io.Reader) (ended bool) {
	buffer := make([]byte, discardBufferBytes)
	for read := 0; read < maxDiscardedBodyBytes; {
		n, err := body.Read(buffer)
		if err != nil {
			return err == io.EOF
		}
		read += n
	}
	return false
}

// writeError writes a rejection with its reason as the body, as the last response on its connection.
// Content-Length is set so that the response is complete once it is flushed.
func writeError(w http.ResponseWriter, rejection *rejectionError) {
	text := rejection.reason + "\n"
	w.Header().Set(headerConnection, "close")
	w.Header().Set(headerContentType, "text/plain; charset=utf-8")
	w.Header().Set(headerContentLength, strconv.Itoa(len(text)))
	setRetryAfter(w.Header(), rejection.retryAfter)
	w.WriteHeader(rejection.status)
	_, _ = io.WriteString(w, text) // fails only if the client has disconnected
}
