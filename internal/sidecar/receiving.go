package sidecar

import (
	"bytes"
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"time"
)

// Time limits of a request that is being received. They count from its first byte, and net/http's own limits
// apply besides: those begin anew with each part of a request, and for its first three bytes there is only
// clientIdleTimeout.
const (
	// receiveHeadTimeout limits receiving a request's head.
	receiveHeadTimeout = readHeadTimeout
	// receiveTimeout limits receiving a whole request. A client that stalls in one must be disconnected, or have
	// its error, within 3 s.
	receiveTimeout = 2800 * time.Millisecond
)

// A client whose request is incomplete may have to make room for a new connection at the limit. It is long
// past the time in which a client on the same machine writes a request.
const (
	// minClientStall is how long such a client must have sent nothing.
	minClientStall = 250 * time.Millisecond
	// maxReceiveAtLimit is the time after which it may be evicted although it still sends.
	maxReceiveAtLimit = time.Second
)

// evictedResponseTimeout limits writing the response to a client that is evicted.
const evictedResponseTimeout = 100 * time.Millisecond

// errEvicted is the error of a Read on a connection that was evicted while its request was incomplete.
var errEvicted = errors.New("connection evicted while its request was incomplete")

// receiveLimits are the time limits of receiving a request, from its first byte.
type receiveLimits struct {
	head    time.Duration
	request time.Duration
}

// receiving is the state of a request of which only a part has arrived. It is guarded by the acceptor's lock.
type receiving struct {
	element      *list.Element // in acceptor.receivingConns; nil: no request is being received
	startedAt    time.Time     // when its first byte was read
	progressAt   time.Time     // when its latest bytes were read
	headComplete bool          // the last byte of its head was read, and the handler is about to be called
	headRead     bool          // net/http has read its head and called the handler
	headMemory   int           // bytes that its head takes once it is parsed
	memory       *memoryCharge // of its head; nil: none, or owned by the handler
}

// deadline returns the time by which the next bytes of the request must arrive.
func (r *receiving) deadline(limits receiveLimits) time.Time {
	if r.headRead {
		return r.startedAt.Add(limits.request)
	}
	return r.startedAt.Add(limits.head)
}

// evictableAt returns the time from which the connection may be closed to admit another one.
func (r *receiving) evictableAt() time.Time {
	stalled, slow := r.progressAt.Add(minClientStall), r.startedAt.Add(maxReceiveAtLimit)
	if slow.Before(stalled) {
		return slow
	}
	return stalled
}

// receivedBytes records that net/http has read a part of a request from the connection, and whether the request's
// head or body is complete with it. It returns false if the budget for long requests is exhausted. The caller
// holds the acceptor's lock.
func (c *clientConn) receivedBytes(part []byte, now time.Time, complete bool) bool {
	continued := c.receiving.element != nil
	if !continued && (c.receiving.headComplete || c.receiving.headRead) {
		return true // net/http's background read: the first byte of the next request
	}
	c.acceptor.markActive(c)
	if !continued {
		c.beginRequest(now)
	}
	if !c.receiving.headRead && !c.receiving.chargeHead(part) {
		return false
	}
	if complete {
		c.receiving.headComplete = !c.receiving.headRead
		c.stopReceiving()
	} else {
		c.keepReceiving(now)
	}
	return true
}

// beginRequest records the first byte of a request. The caller holds the acceptor's lock.
func (c *clientConn) beginRequest(now time.Time) {
	c.receiving.releaseMemory()
	c.receiving.startedAt = now
	c.receiving.headMemory = 0
	c.headArrivedAt = time.Time{}
	c.receiving.memory = &memoryCharge{budget: c.acceptor.longRequests}
}

// chargeHead takes the memory for a part of a request's head from the budget, as far as the head exceeds its free
// part. It returns false if the budget has too little left.
func (r *receiving) chargeHead(part []byte) bool {
	const copies = 2 // net/http copies the names and values of fields out of its lines
	memory := copies*len(part) + parsedFieldBytes*bytes.Count(part, []byte("\n"))
	r.headMemory += memory
	long := min(memory, r.headMemory-shortRequestBytes)
	return long <= 0 || r.memory.reserve(int64(long))
}

// releaseMemory returns what the head has taken from the budget, unless the handler owns it.
func (r *receiving) releaseMemory() {
	if r.memory != nil {
		r.memory.release()
		r.memory = nil
	}
}

// keepReceiving records that a part of a request has arrived and more is to come. The caller holds the
// acceptor's lock.
func (c *clientConn) keepReceiving(now time.Time) {
	c.receiving.progressAt = now
	if c.closed || c.closingElement != nil {
		return
	}
	if c.receiving.element == nil {
		c.receiving.element = c.acceptor.receivingConns.PushBack(c)
	}
	c.readDeadline.setRequest(c.Conn, c.receiving.deadline(c.acceptor.receiveLimits))
}

// stopReceiving records that a request's head or body is complete, or that its connection is released. From
// then on only net/http's deadline applies. The caller holds the acceptor's lock.
func (c *clientConn) stopReceiving() {
	if c.receiving.element != nil {
		c.acceptor.receivingConns.Remove(c.receiving.element)
		c.receiving.element = nil
		c.readDeadline.setRequest(c.Conn, time.Time{})
	}
}

// SetReadDeadline is called only by net/http. While a request is being received, the earlier of this deadline and
// that of the request applies.
func (c *clientConn) SetReadDeadline(t time.Time) error { return c.readDeadline.setHTTP(c.Conn, t) }

// evict ends the reception of an incomplete request to free its place or its memory: its Read fails with
// errEvicted, after which the connection is closed. The caller holds the acceptor's lock.
func (c *clientConn) evict() {
	c.acceptor.evictedPartial++
	c.evicted = true
	c.closeDelayed = true
	c.stopReceiving()
	c.readDeadline.pass(c.Conn)
}

// endEvicted ends a Read on an evicted connection with the error that it returns. Once the handler has been
// called, that is errEvicted, and the handler responds. Before that, endEvicted itself responds: the request has
// not been forwarded, so the client may retry it.
func (c *clientConn) endEvicted() error {
	if c.handlerCalled() {
		return errEvicted
	}
	if !c.evictionAnswered {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(evictedResponseTimeout))
		response := http.Response{
			StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1, Close: true, Header: make(http.Header),
		}
		setRetryAfter(response.Header, c.acceptor.randomRetryAfter())
		_ = response.Write(c.Conn) // fails only if the client has disconnected or does not read
		c.evictionAnswered = true
	}
	return io.EOF
}

// Write is called only by net/http. It may respond with 400 to a head that an eviction has cut off, which has
// its response already.
func (c *clientConn) Write(p []byte) (int, error) {
	if c.evictionAnswered {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// handlerCalled reports whether the handler has been called for the request that is being received or in flight.
func (c *clientConn) handlerCalled() bool {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	return c.receiving.headRead
}
