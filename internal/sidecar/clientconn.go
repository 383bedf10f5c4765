package sidecar

import (
	"container/list"
	"context"
	"errors"
	"math"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// closeDelay is how long a client has to read its last response before a connection with unread bytes is
// reset.
const closeDelay = 500 * time.Millisecond

var errNotSocket = errors.New("connection is not a socket")

// clientConn is a connection of a client. Its state is guarded by the acceptor's lock.
//
// Two readers share the socket, but never read it at the same time:
//
//   - net/http reads requests. While a handler runs, it reads one byte in the background and takes an
//     error as the client's disconnect. If that byte arrives, the client has sent more after the request
//     in flight (pipelining): net/http stores the byte and does not read again until the handler has
//     returned.
//   - From that byte on the clientMonitor reads, until the handler stops it. It appends what it reads to
//     buffered, which Read returns to net/http first. Read also puts bytes of the next request there if
//     they were read from the socket together with the end of a request.
//
// The monitor may start reading only when backgroundByteRead is set and httpReading is not (see
// monitorMayRead). net/http may read again only when the monitor has ended: Read waits for that.
type clientConn struct {
	net.Conn
	acceptor     *acceptor
	idleElement  *list.Element // in acceptor.idleConns; nil: not idle
	idleSince    time.Time     // when it last became idle
	closed       bool          // released by the acceptor
	closeDelayed bool          // delayClose was called: the client may still be sending, its last response unread

	receiving receiving
	evicted   bool // evict was called
	// The response to an evicted client was written; used only by the goroutine of net/http that serves the
	// connection.
	evictionAnswered bool

	readDeadline readDeadline

	burst requestBurst

	closingElement *list.Element // in acceptor.closingConns; nil: not half-closed by Close, or already closed

	httpReading        bool           // net/http is in Read
	backgroundByteRead bool           // net/http's latest read was of one byte, as its background read is
	monitor            *clientMonitor // of the request in flight; nil: no handler is waiting for a response
	buffered           receiveBuffer  // bytes from the socket that net/http has yet to read; owned by the current reader
	bufferMemory       *memoryCharge  // of buffered
	boundary           requestBoundary
	headArrivedAt      time.Time // when the last byte of the request's head was read from the socket; zero: not yet
}

// Read is called only by net/http.
//
// The acceptor may close a connection that is idle, and evict one whose request is incomplete. If that
// coincides with further bytes of the request, Read drops them so that the request is not processed: to the
// client it looks as if the connection was closed before the request was read, or it gets 503.
func (c *clientConn) Read(p []byte) (int, error) {
	n, arrivedAt := c.beginRead(p)
	var err error
	if n == 0 {
		n, err = c.Conn.Read(p)
		arrivedAt = time.Now()
	}
	n, err = c.finishRead(p, n, arrivedAt, err)
	if errors.Is(err, errEvicted) {
		return 0, c.endEvicted()
	}
	return n, err
}

// finishRead records what a Read of p has read: n bytes that arrived at a time. It returns the result of that Read.
func (c *clientConn) finishRead(p []byte, n int, arrivedAt time.Time, err error) (int, error) {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.httpReading = false
	switch {
	case c.evicted:
		return 0, errEvicted
	case n == 0:
		return 0, err
	case c.closed:
		return 0, net.ErrClosed
	}
	consumed, complete, headErr := c.boundary.consume(p[:n])
	if headErr != nil {
		return 0, headErr // net/http responds with 400 and closes the connection
	}
	backgroundRead := c.receiving.headComplete
	if !c.receivedBytes(p[:consumed], time.Now(), complete) {
		c.evict()
		return 0, errEvicted
	}
	if c.receiving.headComplete && !backgroundRead {
		c.headArrivedAt = arrivedAt
	}
	if consumed < n {
		c.buffered.putBack(p[consumed:n], arrivedAt)
		n = consumed
	}
	c.backgroundByteRead = len(p) == 1
	c.notifyMonitor()
	return n, err
}

// requestArrivalTime returns when the head of the current request arrived, or the zero time if that is not known.
// For a pipelined request that is before the response to the previous request.
func (c *clientConn) requestArrivalTime() time.Time {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	return c.headArrivedAt
}

// headRead records that the handler was called for a request, before it reads the body, and sets the length of
// the body. A negative length means that it is not known. headRead returns what the head takes from the budget
// for long requests, or nil if that is not known; from then on the handler owns it.
func (c *clientConn) headRead(bodyLength int64) *memoryCharge {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.receiving.headComplete, c.receiving.headRead = false, true
	if bodyLength < 0 {
		bodyLength = math.MaxInt64 // such a request is rejected, and its connection closed
	}
	c.burst.countRequest(int64(c.buffered.length) > bodyLength)
	c.boundary.expectBody(bodyLength)
	if bodyLength == 0 {
		c.stopReceiving()
	} else {
		c.keepReceiving(time.Now())
	}
	memory := c.receiving.memory
	c.receiving.memory = nil
	return memory
}

// hasNextRequest reports whether bytes of the client have arrived after the current request. It must not be
// called while a monitor is reading.
func (c *clientConn) hasNextRequest() bool {
	c.acceptor.mu.Lock()
	started := c.backgroundByteRead || c.buffered.length > 0
	c.acceptor.mu.Unlock()
	return started || c.hasUnreadBytes()
}

// beginRead makes net/http the reader of the connection, after waiting for the end of a monitor that is
// reading. It moves buffered bytes to p and returns how many, and when they arrived.
func (c *clientConn) beginRead(p []byte) (n int, arrivedAt time.Time) {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	if m := c.monitor; m != nil && m.reading {
		c.acceptor.mu.Unlock()
		<-m.ended
		c.acceptor.mu.Lock()
	}
	c.httpReading = true
	n, arrivedAt = c.buffered.read(p)
	if c.buffered.length == 0 {
		c.bufferMemory.returnAll()
	}
	return n, arrivedAt
}

// monitorMayRead reports whether net/http has stopped reading until the handler returns. The caller holds the
// acceptor's lock.
func (c *clientConn) monitorMayRead() bool { return c.backgroundByteRead && !c.httpReading }

// notifyMonitor notifies the monitor, if there is one and it may read. The caller holds the acceptor's lock.
func (c *clientConn) notifyMonitor() {
	if c.monitor != nil && c.monitorMayRead() {
		c.monitor.notifyMayRead()
	}
}

// Close closes the connection. If the client has sent bytes that have not been read, or may still be sending,
// an immediate close would reset the connection, and a reset can destroy the last response before the client
// has read it. In that case Close closes only the sending side, and the socket after closeDelay, or earlier
// if the acceptor needs the file descriptor.
func (c *clientConn) Close() error {
	if !c.hasUnreadBytes() && !c.acceptor.mustDelayClose(c) || c.CloseWrite() != nil {
		return c.closeNow()
	}
	c.acceptor.markClosing(c)
	time.AfterFunc(c.acceptor.closeDelay, func() { _ = c.closeNow() })
	return nil
}

// closeNow closes the socket and then releases the connection, in this order because the acceptor counts file
// descriptors in use.
func (c *clientConn) closeNow() error {
	err := c.Conn.Close()
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.acceptor.release(c)
	return err
}

// hasUnreadBytes reports whether the socket holds bytes that have not been read, and the client is still
// connected.
func (c *clientConn) hasUnreadBytes() bool {
	unread := false
	err := c.pollSocket(unix.POLLIN|unix.POLLRDHUP, func(events int16) {
		unread = events&unix.POLLIN != 0 && !remoteClosed(events)
	})
	return err == nil && unread
}

// pollSocket polls the socket without blocking and calls handle with the events that are ready, if any. It
// returns an error if the connection is closed on this side or is not a socket.
func (c *clientConn) pollSocket(events int16, handle func(events int16)) error {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errNotSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: events}}
		if n, err := unix.Poll(fds, 0); err == nil && n > 0 {
			handle(fds[0].Revents)
		}
	})
}

// remoteClosed reports whether a socket's poll events show that the remote side has closed or reset the
// connection, or closed its sending side.
func remoteClosed(events int16) bool {
	return events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// delayClose makes Close keep the socket of a request's connection open for closeDelay, as if it held unread
// bytes. ctx is the request's context.
func delayClose(ctx context.Context) {
	if c := clientConnFromContext(ctx); c != nil {
		c.acceptor.mu.Lock()
		defer c.acceptor.mu.Unlock()
		c.closeDelayed = true
	}
}

// CloseWrite lets net/http close the sending side first. Without this method net/http would close the
// connection at once, and if unread bytes remain the kernel sends a reset, which can overtake the response.
func (c *clientConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
