package sidecar

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// readBodyTimeout limits reading a request's body, counted from the end of its head.
const readBodyTimeout = 2 * time.Second

// requestBody is the body of a request, read in full, and the charge for its memory.
type requestBody struct {
	bytes  []byte
	memory *memoryCharge
}

// readBody reads a body of the announced length within bodyTimeout, so that a client that announces more
// than it sends does not hold memory and a connection indefinitely. io.ReadAll allocates memory only for
// bytes that arrive, and what a long body needs is taken from memory.
func (in *ingress) readBody(w http.ResponseWriter, r *http.Request, memory *memoryCharge) ([]byte, *rejectionError) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	// SetReadDeadline fails only on a closed connection, and then the read fails too.
	_ = control.SetReadDeadline(time.Now().Add(in.bodyTimeout))
	body, err := io.ReadAll(&bodyReader{source: r.Body, maxBytes: maxBodyBytes, charge: memory})
	if errors.Is(err, errBudgetExhausted) {
		return nil, rejectUntil(in.randomRetryAfter(), "too many long bodies are being read")
	}
	if errors.Is(err, errEvicted) {
		return nil, rejectUntil(in.randomRetryAfter(), "too many connections are open")
	}
	if err != nil {
		return nil, reject(http.StatusRequestTimeout, "the body is shorter than Content-Length")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}
