package sidecar

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// readBodyTimeout limits reading a request's body, counted from the end of its head.
const readBodyTimeout = 2 * time.Second

// tooManyLongRequests is the reason for rejecting a request whose body finds no memory.
const tooManyLongRequests = "too many long requests are open"

// requestBody is the body of a request, read in full, and the charge for the memory of long responses to it.
type requestBody struct {
	bytes          []byte
	responseMemory *memoryCharge
}

// readBody reads a body of the announced length within bodyTimeout, so that a client that announces more
// than it sends does not hold memory and a connection indefinitely. What a long body needs is taken from memory;
// one that would not fit now is rejected before any of it is read.
func (in *ingress) readBody(w http.ResponseWriter, r *http.Request, memory *memoryCharge) ([]byte, *rejectionError) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if !in.longRequests.mayReserve(r.ContentLength - shortRequestBytes) {
		return nil, rejectUntil(in.randomRetryAfter(), tooManyLongRequests)
	}
	control := http.NewResponseController(w)
	// SetReadDeadline fails only on a closed connection, and then the read fails too.
	_ = control.SetReadDeadline(time.Now().Add(in.bodyTimeout))
	body, err := readSized(r.Body, int(r.ContentLength), memory)
	if errors.Is(err, errBudgetExhausted) {
		return nil, rejectUntil(in.randomRetryAfter(), tooManyLongRequests)
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

// bodyGrowth is the factor by which the buffer of a body grows.
const bodyGrowth = 4

// readSized reads a body of a known length. Its buffer grows as the bytes arrive, and what exceeds
// shortRequestBytes is taken from memory before it is allocated.
func readSized(source io.Reader, length int, memory *memoryCharge) (body []byte, err error) {
	for len(body) < length {
		if len(body) == cap(body) {
			size := min(length, max(shortRequestBytes, bodyGrowth*len(body)))
			if long := size - max(shortRequestBytes, len(body)); long > 0 && !memory.reserve(int64(long)) {
				return nil, errBudgetExhausted
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil && (err != io.EOF || len(body) < length) {
			return nil, err
		}
	}
	return body, nil
}
