package sidecar

import (
	"container/list"
	"log/slog"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// acceptor is a listener that limits the number of open client connections. Without the limit, clients could
// use up the file descriptors that connections to servers need, and Accept would fail with "too many open
// files".
//
// At the limit the acceptor closes a connection to admit a new one: first one that is already being closed,
// otherwise the one that has been idle longest, otherwise one whose client has stalled in the middle of a
// request. While every connection has a request in flight, new ones wait. Below the limit it closes no
// connection, because a close may coincide with a request that the client is sending.
//
// net/http's Serve calls Accept in a single goroutine, and only Accept calls waitForCapacity, makeCapacity
// and add. The other methods are also called from the goroutines of connections, of their close timers and of
// the shutdown.
type acceptor struct {
	net.Listener
	maxConns   int
	closeDelay time.Duration // see clientConn.Close

	receiveLimits receiveLimits
	longRequests  *memoryBudget // of the heads that are being received
	// randomRetryAfter returns the Retry-After of the response to an evicted client.
	randomRetryAfter func() time.Duration

	burst        acceptBurst
	burstPause   time.Duration       // before the next connection is accepted
	pausingConns atomic.Int64        // connections in requestAnswered's pause
	pause        func(time.Duration) // time.Sleep, except in tests

	mu             sync.Mutex // also guards the state of each clientConn
	openConns      int
	idleConns      list.List     // of *clientConn that wait for a request's first byte, longest idle first
	receivingConns list.List     // of *clientConn with an incomplete request
	closingConns   list.List     // of *clientConn whose sending side is closed, oldest first
	allClosed      chan struct{} // closed once no connection is open; nil before drained is called
	evictedIdle    int           // idle connections closed at the limit since the start
	evictedPartial int           // connections evicted while their request was incomplete, since the start

	capacityFreed chan struct{} // has an item when a connection may have been closed
	closed        chan struct{} // closed by Close
	closeOnce     sync.Once
}

func newAcceptor(l net.Listener, maxConns int) *acceptor {
	return &acceptor{
		Listener:      l,
		maxConns:      maxConns,
		closeDelay:    closeDelay,
		capacityFreed: make(chan struct{}, 1),
		closed:        make(chan struct{}),

		receiveLimits:    receiveLimits{head: receiveHeadTimeout, request: receiveTimeout},
		longRequests:     &memoryBudget{limit: math.MaxInt64},
		randomRetryAfter: func() time.Duration { return 0 },
		pause:            time.Sleep,
	}
}

// Accept waits for a client to connect, and then until the limit allows one more open connection.
func (a *acceptor) Accept() (net.Conn, error) {
	if a.burstPause > 0 {
		a.pause(a.burstPause)
	}
	raw, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !a.waitForCapacity() {
		raw.Close()
		return nil, net.ErrClosed
	}
	a.burstPause = a.burst.connAccepted(time.Now())
	return a.add(raw), nil
}

// add registers a new connection. It counts as idle until its first byte is read.
func (a *acceptor) add(raw net.Conn) *clientConn {
	c := &clientConn{Conn: raw, acceptor: a, idleSince: time.Now(), bufferMemory: &memoryCharge{budget: a.longRequests}}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.openConns++
	c.idleElement = a.idleConns.PushBack(c)
	return c
}

// release removes a connection from the acceptor's count and lists. It does nothing if it has already done so.
// The caller holds the lock.
func (a *acceptor) release(c *clientConn) {
	if c.closed {
		return
	}
	c.closed = true
	a.openConns--
	if a.openConns == 0 {
		a.notifyAllClosed()
	}
	a.markActive(c)
	c.stopReceiving()
	c.receiving.releaseMemory()
	c.bufferMemory.release()
	if c.closingElement != nil {
		a.closingConns.Remove(c.closingElement)
		c.closingElement = nil
	}
	a.notifyCapacityFreed()
}

// mustDelayClose reports whether delayClose was called for a connection.
func (a *acceptor) mustDelayClose(c *clientConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.closeDelayed
}

// markClosing records that the sending side of a connection is closed and that the socket will be closed
// later.
func (a *acceptor) markClosing(c *clientConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !c.closed && c.closingElement == nil {
		a.markActive(c)
		c.stopReceiving()
		c.closingElement = a.closingConns.PushBack(c)
		a.notifyCapacityFreed()
	}
}

// markActive records that a connection is no longer idle. The caller holds the lock.
func (a *acceptor) markActive(c *clientConn) {
	if c.idleElement != nil {
		a.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// markIdle records that a connection has no request in flight any more, and that no part of the next one has
// been read. The caller holds the lock.
func (a *acceptor) markIdle(c *clientConn) {
	if c.idleElement == nil {
		c.idleSince = time.Now()
		c.idleElement = a.idleConns.PushBack(c)
	}
}

// notifyAllClosed closes allClosed, unless drained has not been called or allClosed is closed already. The
// caller holds the lock.
func (a *acceptor) notifyAllClosed() {
	if a.allClosed == nil {
		return
	}
	select {
	case <-a.allClosed:
	default:
		close(a.allClosed)
	}
}

// drained returns a channel that is closed once no connection is open. Connections that are accepted after
// that are not waited for, as the process is about to exit. It must be called only once.
func (a *acceptor) drained() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allClosed = make(chan struct{})
	if a.openConns == 0 {
		close(a.allClosed)
	}
	return a.allClosed
}

// connStateChanged is the HTTP server's ConnState hook: it tracks whether a connection has a request in
// flight. net/http calls it on the goroutine that serves the connection.
func (a *acceptor) connStateChanged(raw net.Conn, state http.ConnState) {
	if c, ok := raw.(*clientConn); ok && state == http.StateIdle {
		a.requestEnded(c)
		c.requestAnswered()
	}
}

// requestEnded records that a connection has no request in flight any more.
func (a *acceptor) requestEnded(c *clientConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.closed {
		return
	}
	c.receiving.headComplete, c.receiving.headRead = false, false
	if c.boundary.inHead() { // net/http's background read has returned the first byte of the next request
		now := time.Now()
		c.beginRequest(now)
		c.keepReceiving(now)
	} else {
		a.markIdle(c)
	}
}

// counters returns the counters for the log. It may be called on a nil acceptor.
func (a *acceptor) counters() slog.Value {
	if a == nil {
		a = new(acceptor)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return slog.GroupValue(
		slog.Int("open_connections", a.openConns),
		slog.Int("evicted_idle", a.evictedIdle),
		slog.Int("evicted_partial", a.evictedPartial),
	)
}

// Close closes the listener and ends an Accept that is waiting.
func (a *acceptor) Close() error {
	a.closeOnce.Do(func() { close(a.closed) })
	return a.Listener.Close()
}
