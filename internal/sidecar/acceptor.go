package sidecar

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// minClientIdle is how long a connection is idle before it may be closed to admit another one. A longer time would
// let clients that open a connection for each request, and leave the old ones open, delay all others.
const minClientIdle = 100 * time.Millisecond

// acceptor is a listener that limits how many connections clients hold open. Without the limit they could take the
// descriptors that connections to servers need, and Accept would fail with "too many open files".
//
// At the limit a connection that is being closed anyway, or the one that has been idle for longest, is closed to admit a
// new one; while all have a request open, new ones wait. Below the limit it closes none, as each close may cross a
// request that its client is sending.
//
// net/http's Serve calls Accept in one goroutine; the rest is called from the goroutines of connections.
type acceptor struct {
	net.Listener
	maxConns   int
	closeDelay time.Duration // see clientConn.Close

	mu        sync.Mutex // also guards the state of each clientConn
	open      int
	idle      list.List     // of *clientConn with no open request, longest idle first
	closing   list.List     // of *clientConn whose sending side is closed, in the order in which they will be closed
	allClosed chan struct{} // closed once none is open; nil: nobody waits for that

	freed     chan struct{} // has an item when a connection may have closed or become idle
	closed    chan struct{} // closed with the listener
	closeOnce sync.Once
}

func newAcceptor(l net.Listener, maxConns int) *acceptor {
	return &acceptor{
		Listener:   l,
		maxConns:   maxConns,
		closeDelay: closeDelay,
		freed:      make(chan struct{}, 1),
		closed:     make(chan struct{}),
	}
}

// Accept waits for a client, and then until the limit admits its connection.
func (a *acceptor) Accept() (net.Conn, error) {
	raw, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if !a.waitForCapacity() {
		raw.Close()
		return nil, net.ErrClosed
	}
	return a.add(raw), nil
}

// waitForCapacity waits until one more connection may be open. It returns false once the acceptor is closed.
func (a *acceptor) waitForCapacity() bool {
	for {
		retryAfter, ok := a.makeCapacity()
		if ok {
			return true
		}
		select {
		case <-a.freed:
		case <-time.After(retryAfter):
		case <-a.closed:
			return false
		}
	}
}

// makeCapacity tells whether one more connection may be open, after closing an idle one if need be. If not, it
// returns when the longest idle one may be closed.
func (a *acceptor) makeCapacity() (retryAfter time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open < a.maxConns {
		return 0, true
	}
	if next := a.closing.Front(); next != nil {
		c := next.Value.(*clientConn)
		a.release(c)
		c.Conn.Close()
		return 0, true
	}
	longestIdle := a.idle.Front()
	if longestIdle == nil {
		return minClientIdle, false
	}
	c := longestIdle.Value.(*clientConn)
	if retryAfter = minClientIdle - time.Since(c.idleSince); retryAfter > 0 {
		return retryAfter, false
	}
	a.release(c)
	c.Conn.Close()
	return 0, true
}

// add takes a connection into account. It is idle until its first byte.
func (a *acceptor) add(raw net.Conn) *clientConn {
	c := &clientConn{Conn: raw, acceptor: a, idleSince: time.Now()}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	c.idleElement = a.idle.PushBack(c)
	return c
}

// release takes a connection out of account, once. The caller holds the lock.
func (a *acceptor) release(c *clientConn) {
	if c.closed {
		return
	}
	c.closed = true
	a.open--
	if a.open == 0 {
		a.notifyAllClosed()
	}
	a.markActive(c)
	if c.closingElement != nil {
		a.closing.Remove(c.closingElement)
		c.closingElement = nil
	}
	a.notifyFreed()
}

// mustDelayClose tells whether delayClose was called for a connection.
func (a *acceptor) mustDelayClose(c *clientConn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.closeLater
}

// markClosing is called when the sending side of a connection is closed, and the rest will be.
func (a *acceptor) markClosing(c *clientConn) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !c.closed && c.closingElement == nil {
		a.markActive(c)
		c.closingElement = a.closing.PushBack(c)
		a.notifyFreed()
	}
}

// markActive is called when a connection is not idle any more. The caller holds the lock.
func (a *acceptor) markActive(c *clientConn) {
	if c.idleElement != nil {
		a.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// markIdle is called when a connection has no open request any more. The caller holds the lock.
func (a *acceptor) markIdle(c *clientConn) {
	if c.idleElement == nil {
		c.idleSince = time.Now()
		c.idleElement = a.idle.PushBack(c)
		a.notifyFreed()
	}
}

// notifyFreed has waitForCapacity look again.
func (a *acceptor) notifyFreed() {
	select {
	case a.freed <- struct{}{}:
	default:
	}
}

// notifyAllClosed closes allClosed, if somebody waits for it and it is not closed yet. The caller holds the lock.
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

// drained returns a channel that is closed once no connection is open. Connections that are accepted after that have
// no promise: the process is about to end. It must be called once.
func (a *acceptor) drained() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allClosed = make(chan struct{})
	if a.open == 0 {
		close(a.allClosed)
	}
	return a.allClosed
}

// connStateChanged is the server's ConnState hook: it follows when a connection has an open request.
func (a *acceptor) connStateChanged(raw net.Conn, state http.ConnState) {
	c, ok := raw.(*clientConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case c.closed:
	case state == http.StateActive:
		a.markActive(c)
	case state == http.StateIdle:
		a.markIdle(c)
	}
}

// Close closes the listener and ends a waiting Accept.
func (a *acceptor) Close() error {
	a.closeOnce.Do(func() { close(a.closed) })
	return a.Listener.Close()
}
