package sidecar

import (
	"net/http"
	"strconv"
	"time"
)

// rejectedBodyTimeout is how long the rest of a rejected request is read and dropped before its connection
// is closed.
const rejectedBodyTimeout = 500 * time.Millisecond

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

// writeRejection responds to a request that is not accepted, and closes its connection: where that request
// ends is not certain, so what follows it on the connection can't be trusted to be the next request.
//
// Connection: close keeps net/http from reading the rest of the request before the response is written, and
// the read deadline bounds how long the rest is read after it.
func writeRejection(w http.ResponseWriter, rejected *rejectionError) {
	w.Header().Set(headerConnection, "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(rejectedBodyTimeout))
	http.Error(w, rejected.reason, rejected.status)
}
