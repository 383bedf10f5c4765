package sidecar

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// minClientIdle is how long a connection with no open request is left alone where room is short. Longer, and
// clients that take a new connection for each request and keep the old ones hold up all others.
const minClientIdle = 100 * time.Millisecond

// acceptor bounds how many connections clients hold: they would take the descriptors that upstreams
// need, and accepting would end in "too many open files". At the bound the connection that has been
// longest without a request makes room. Below it none is closed: that only crosses requests.
type acceptor struct {
	net.Listener
	maxConns int

	mu        sync.Mutex
	open      int
	idle      list.List     // of *clientConn with no open request, longest first
	allClosed chan struct{} // to be closed once none is open; nil: nobody waits for that
	freed     chan struct{} // has an item if a connection may have closed or turned idle
	done      chan struct{}
	once      sync.Once
}

// clientConn is one connection of a client. Its state changes under the acceptor's lock, so that
// making room never closes it under a request: what is read once it is closing is thrown away
// unread, which its client takes as a crossing.
type clientConn struct {
	net.Conn
	acceptor    *acceptor
	idleElement *list.Element // in idle; nil: a request is open, or it is closed
	idleSince   time.Time     // without an open request
	closed      bool

	reading   bool           // net/http reads
	pipelined bool           // it has last read one byte behind a request
	monitor   *clientMonitor // nil: no request waits for its answer
	buffered  []byte         // read behind a request by its watch, not yet by net/http
}

func newAcceptor(l net.Listener, most int) *acceptor {
	return &acceptor{Listener: l, maxConns: most, freed: make(chan struct{}, 1), done: make(chan struct{})}
}

// Accept waits for a client, and then for room if there is none.
func (a *acceptor) Accept() (net.Conn, error) {
	raw, err := a.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		wait, ok := a.makeRoom()
		if ok {
			break
		}
		select {
		case <-a.freed:
		case <-time.After(wait):
		case <-a.done:
			raw.Close()
			return nil, net.ErrClosed
		}
	}
	c := &clientConn{Conn: raw, acceptor: a, idleSince: time.Now()}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open++
	c.idleElement = a.idle.PushBack(c)
	return c, nil
}

// drained returns a channel that is closed once no connection is left. From then on what is accepted may
// be cut off.
func (a *acceptor) drained() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allClosed = make(chan struct{})
	if a.open == 0 {
		close(a.allClosed)
	}
	return a.allClosed
}

// makeRoom makes room for one more, or tells how long to wait before it is worth another look.
func (a *acceptor) makeRoom() (wait time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.open < a.maxConns {
		return 0, true
	}
	wait = minClientIdle
	now := time.Now()
	if e := a.idle.Front(); e != nil {
		c := e.Value.(*clientConn)
		if wait = minClientIdle - now.Sub(c.idleSince); wait <= 0 {
			a.release(c)
			c.Conn.Close()
			return 0, true
		}
	}
	return wait, false
}

// release takes a connection off the books. The caller holds the lock.
func (a *acceptor) release(c *clientConn) {
	if c.closed {
		return
	}
	c.closed = true
	if a.open--; a.open == 0 && a.allClosed != nil {
		select {
		case <-a.allClosed: // closed before
		default:
			close(a.allClosed)
		}
	}
	a.markActive(c)
	a.notifyFreed()
}

func (a *acceptor) markActive(c *clientConn) {
	if c.idleElement != nil {
		a.idle.Remove(c.idleElement)
		c.idleElement = nil
	}
}

func (a *acceptor) notifyFreed() {
	select {
	case a.freed <- struct{}{}:
	default:
	}
}

// connStateChanged follows what net/http does with a connection.
func (a *acceptor) connStateChanged(raw net.Conn, s http.ConnState) {
	c, ok := raw.(*clientConn)
	if !ok {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case c.closed:
	case s == http.StateActive:
		a.markActive(c)
	case s == http.StateIdle && c.idleElement == nil:
		c.idleSince = time.Now()
		c.idleElement = a.idle.PushBack(c)
		a.notifyFreed()
	}
}

func (a *acceptor) Close() error {
	a.once.Do(func() { close(a.done) })
	return a.Listener.Close()
}

// Read is net/http's alone. While a watch reads, it waits for what that has read.
func (c *clientConn) Read(p []byte) (int, error) {
	c.acceptor.mu.Lock()
	if w := c.monitor; w != nil && w.reading {
		c.acceptor.mu.Unlock()
		<-w.ended
		c.acceptor.mu.Lock()
	}
	c.reading = true
	n, err := copy(p, c.buffered), error(nil)
	if c.buffered = c.buffered[n:]; len(c.buffered) == 0 {
		c.buffered = nil
	}
	c.acceptor.mu.Unlock()
	if n == 0 {
		n, err = c.Conn.Read(p)
	}
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.reading = false
	if n == 0 {
		return n, err
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	c.acceptor.markActive(c)
	c.pipelined = len(p) == 1
	c.takeOver()
	return n, err
}

// takeOver has a watch read on where net/http has stopped: it reads a single byte behind a request that waits
// for its answer, to notice a close, and no more until it is answered. The caller holds the acceptor's lock.
func (c *clientConn) takeOver() {
	if c.monitor != nil && c.pipelined && !c.reading {
		c.monitor.startReading()
	}
}

func (c *clientConn) Close() error {
	err := c.Conn.Close() // first: the books say what is free
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.acceptor.release(c)
	return err
}

// CloseWrite lets net/http end a connection softly: a reset could overtake the answer before it.
func (c *clientConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
