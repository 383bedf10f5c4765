package sidecar

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"math"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// closeDelay is how long a client has to read its last response before a connection with unread bytes is reset.
const closeDelay = 500 * time.Millisecond

var errNoSocket = errors.New("the connection is no socket")

// clientConn is one connection of a client. The acceptor's lock guards its state.
//
// Two readers share its socket, never at the same time:
//
//   - net/http reads requests. While a handler runs it reads one byte in the background, and takes an error as the
//     client's disconnect. If that byte comes instead, the client has sent more behind the open request (pipelining):
//     net/http stores the byte and does not read again until the handler has returned.
//   - From that byte on the clientMonitor reads, until the handler stops it. What it has read is in buffered, from
//     where net/http's next reads are served first. So is what came behind a request in one read of the socket.
//
// The hand-over to the monitor is guarded by pipelined and reading (see monitorMayRead), the hand-over back by the
// monitor's end: Read waits for it.
type clientConn struct {
	net.Conn
	acceptor    *acceptor
	idleElement *list.Element // in the acceptor's idle list; nil: a request is open, or it is closed
	idleSince   time.Time     // since when no request is open
	closed      bool          // released by the acceptor
	closeLater  bool          // its last response may be unread by a client that still writes: see Close

	closingElement *list.Element // in the acceptor's closing list; nil: Close has not been called, or it is closed

	reading   bool           // net/http is in Read
	pipelined bool           // net/http's latest read was of one byte, as its background read is
	monitor   *clientMonitor // of the open request; nil: no handler waits for a response
	buffered  []byte         // read from the socket, not yet by net/http. Owned by whichever of the two reads
	boundary  requestBoundary

	bufferedAt time.Time // when the latest of buffered was read from the socket
	arrivedAt  time.Time // the same of what net/http has read last
}

// Read is for net/http alone.
//
// The acceptor closes a connection only while it is idle. Where that crosses a request's first bytes they are
// dropped here, so that the request is not taken on: for the client that is a close before its request was read.
func (c *clientConn) Read(p []byte) (int, error) {
	n := c.beginRead(p)
	var err error
	fromSocket := n == 0
	if fromSocket {
		n, err = c.Conn.Read(p)
	}
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.reading = false
	if fromSocket {
		c.bufferedAt = time.Now()
	}
	if n == 0 {
		return n, err
	}
	if c.closed {
		return 0, net.ErrClosed
	}
	if taken := c.boundary.take(p[:n]); taken < n {
		c.buffered = append(bytes.Clone(p[taken:n]), c.buffered...)
		n = taken
	}
	c.acceptor.markActive(c)
	c.arrivedAt = c.bufferedAt
	c.pipelined = len(p) == 1
	c.notifyMonitor()
	return n, err
}

// requestArrived returns when the bytes that net/http has read last had come: for a request that was sent behind
// another, some time before its turn.
func (c *clientConn) requestArrived() time.Time {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	return c.arrivedAt
}

// expectBody is called with the length of a request's body, before that is read; below 0 it is not known.
func (c *clientConn) expectBody(length int64) {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	if length < 0 {
		length = math.MaxInt64 // such requests are rejected, and the connection closed
	}
	c.boundary.expectBody(length)
}

// hasNextRequest tells whether bytes of the client have arrived behind the present request. It must not be called
// while a monitor reads.
func (c *clientConn) hasNextRequest() bool {
	c.acceptor.mu.Lock()
	begun := c.pipelined || len(c.buffered) > 0
	c.acceptor.mu.Unlock()
	return begun || c.hasUnread()
}

// beginRead makes net/http the reader, after the end of a monitor that reads, and serves what that has buffered. It
// returns how many bytes that were.
func (c *clientConn) beginRead(p []byte) int {
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	if m := c.monitor; m != nil && m.reading {
		c.acceptor.mu.Unlock()
		<-m.ended
		c.acceptor.mu.Lock()
	}
	c.reading = true
	n := copy(p, c.buffered)
	c.buffered = c.buffered[n:]
	if len(c.buffered) == 0 {
		c.buffered = nil // frees its memory
	}
	return n
}

// monitorMayRead tells whether net/http has stopped reading until the handler returns. The caller holds the
// acceptor's lock.
func (c *clientConn) monitorMayRead() bool { return c.pipelined && !c.reading }

// notifyMonitor notifies the monitor, if there is one, once it may read. The caller holds the acceptor's lock.
func (c *clientConn) notifyMonitor() {
	if c.monitor != nil && c.monitorMayRead() {
		c.monitor.notifyMayRead()
	}
}

// Close closes the connection. Where that would reset it, because the client has sent what nobody reads, or still
// sends, it closes the sending side only, and the socket after closeDelay: a reset may take the last response with it.
// The acceptor closes it sooner where it needs the descriptor.
func (c *clientConn) Close() error {
	if !c.hasUnread() && !c.acceptor.mustDelayClose(c) || c.CloseWrite() != nil {
		return c.closeNow()
	}
	c.acceptor.markClosing(c)
	time.AfterFunc(c.acceptor.closeDelay, func() { _ = c.closeNow() })
	return nil
}

// closeNow closes the socket before it releases the connection: the acceptor counts descriptors in use.
func (c *clientConn) closeNow() error {
	err := c.Conn.Close()
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.acceptor.release(c)
	return err
}

// hasUnread tells whether bytes of the client have arrived that nobody has read, and the client is still there.
func (c *clientConn) hasUnread() bool {
	unread := false
	err := c.pollSocket(unix.POLLIN|unix.POLLRDHUP, func(events int16) {
		unread = events&unix.POLLIN != 0 && !peerClosed(events)
	})
	return err == nil && unread
}

// pollSocket asks the kernel for the state of the socket at this moment and hands on the events that have come. It
// returns an error where the connection is closed on this side, or is no socket.
func (c *clientConn) pollSocket(events int16, handle func(events int16)) error {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return errNoSocket
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

// peerClosed tells by events of a socket whether the other side has closed or reset it, or closed its sending side.
func peerClosed(events int16) bool {
	return events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// delayClose has the connection of a request closed as if bytes were left unread; ctx is the request's context.
func delayClose(ctx context.Context) {
	if c := clientConnOf(ctx); c != nil {
		c.acceptor.mu.Lock()
		defer c.acceptor.mu.Unlock()
		c.closeLater = true
	}
}

// CloseWrite lets net/http close its sending side first. Without it net/http would close the connection at once, and
// where unread bytes remain the kernel sends a reset, which can overtake the response.
func (c *clientConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
