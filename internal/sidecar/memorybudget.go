package sidecar

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// The parts of messages that need no budget: the limits on connections bound the memory that these take in all.
// A client holds its part for as long as it takes to write the request, and there may be many such clients; a
// server's response is received in one go.
const (
	shortRequestBytes  = 4 << 10  // of a request's head once it is parsed, of its body, and of what waits behind it
	shortResponseBytes = 64 << 10 // of a response's body
)

// parsedFieldBytes is what a header field takes once it is parsed, besides its name and value.
const parsedFieldBytes = 128

// Errors of bodyReader.
var (
	errBodyTooLarge    = errors.New("body exceeds the size limit")
	errBudgetExhausted = errors.New("long bodies exhaust their memory budget")
)

// memoryBudget limits the memory that long messages take in all, so that they can't exhaust that of the process.
type memoryBudget struct {
	limit int64 // bytes
	used  atomic.Int64
}

// reserve takes bytes from the budget, or nothing if it has too few left.
func (b *memoryBudget) reserve(bytes int64) bool {
	if b.used.Add(bytes) > b.limit {
		b.used.Add(-bytes)
		return false
	}
	return true
}

// mayReserve reports whether so many bytes are left in the budget.
func (b *memoryBudget) mayReserve(bytes int64) bool { return b.used.Load()+bytes <= b.limit }

// memoryCharge is what one request, or the responses to it, take from a budget. Its methods are safe for
// concurrent use. A nil charge has no budget.
type memoryCharge struct {
	budget *memoryBudget

	mu       sync.Mutex
	bytes    int64
	released bool
}

// reserve takes bytes from the budget. It returns false if the budget has too few left, or after release: an
// attempt may go on when its request has been answered, but nobody waits for the rest of its response.
func (c *memoryCharge) reserve(bytes int64) bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released || !c.budget.reserve(bytes) {
		return false
	}
	c.bytes += bytes
	return true
}

// reserveTotal takes bytes from the budget until the charge is at least the given total. It returns false, and takes
// nothing, if the budget has too few left, or after release.
func (c *memoryCharge) reserveTotal(total int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	missing := max(0, total-c.bytes)
	if c.released || !c.budget.reserve(missing) {
		return false
	}
	c.bytes += missing
	return true
}

// returnAll returns all bytes to the budget.
func (c *memoryCharge) returnAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.used.Add(-c.bytes)
	c.bytes = 0
}

// release returns all bytes to the budget, and ends the charge. It is called once the request's handler no longer
// uses the bodies.
func (c *memoryCharge) release() {
	c.returnAll()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.released = true
}

// bodyReader reads the body of a response within a limit on its size, and takes the memory for what exceeds
// shortResponseBytes from a budget as the bytes arrive. A length that is only announced takes nothing.
type bodyReader struct {
	source   io.Reader
	maxBytes int
	charge   *memoryCharge
	read     int // bytes
}

func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.read += n
	if r.read > r.maxBytes {
		return 0, errBodyTooLarge
	}
	if long := min(n, r.read-shortResponseBytes); long > 0 && !r.charge.reserve(int64(long)) {
		return 0, errBudgetExhausted
	}
	return n, err
}
