package sidecar

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// rejectedBodyTimeout is how long the rest of a rejected request's body is read and dropped before its
	// connection is closed.
	rejectedBodyTimeout = 500 * time.Millisecond
	// maxDroppedBodyBytes limits what is read of it: more would cost processor time that other requests need.
	maxDroppedBodyBytes = 256 << 10
)

// write sends the final response of a request to its client.
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
	for name, values := range endToEnd(r.header) {
		w.Header()[name] = values
	}
	if r.header[headerContentType] == nil {
		w.Header()[headerContentType] = nil // or net/http would guess one from the body
	}
	w.Header().Set(headerContentLength, strconv.Itoa(len(r.body)))
	_, _ = w.Write(r.body) // fails only if the client has gone, and then there is nobody to report it to
}

// writeUnavailable responds that the client may retry without harm, best after the pause; 0: it names none.
func writeUnavailable(w http.ResponseWriter, pause time.Duration) {
	if pause > 0 {
		w.Header().Set(headerRetryAfter, strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// reject responds to a request that is not accepted, and closes its connection: where that request
// ends is not certain, so what follows it on the connection can't be trusted to be the next request.
//
// Connection: close keeps net/http from reading the rest of the request before the response is written. The
// rest is read here, once the response is out: a close over unread bytes, or while the client still writes,
// resets the connection, and a client whose write fails may never read the response. net/http would read the
// rest itself, but not of a request that says Connection: close.
func (f *ingress) reject(w http.ResponseWriter, r *http.Request, rejected *rejectionError) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(f.rejectedBodyTimeout)) // fails only on a closed connection
	writeError(w, rejected)
	if control.Flush() != nil {
		return // the client has gone
	}
	if _, err := io.CopyN(io.Discard, r.Body, maxDroppedBodyBytes); err != io.EOF {
		delayClose(r.Context())
	}
}

// writeError writes a response with a reason as its text, the last on its connection. Its length is set so that it
// is complete once it is flushed.
func writeError(w http.ResponseWriter, rejected *rejectionError) {
	text := rejected.reason + "\n"
	w.Header().Set(headerConnection, "close")
	w.Header().Set(headerContentType, "text/plain; charset=utf-8")
	w.Header().Set(headerContentLength, strconv.Itoa(len(text)))
	w.WriteHeader(rejected.status)
	_, _ = io.WriteString(w, text) // fails only if the client has gone
}
