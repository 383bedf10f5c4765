package sidecar

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxBufferedBytes limits the bytes buffered for a client. A client that sends more after its request in
	// flight is disconnected: while bytes were left unread the client's disconnect could not be detected.
	maxBufferedBytes = 256 << 10

	// memoryRetryInterval is how often a monitor that lacks memory for further bytes tries again, and checks
	// whether the client has disconnected.
	memoryRetryInterval = 50 * time.Millisecond

	// monitorReadBytes is the size of the monitor's read buffer.
	monitorReadBytes = 4 << 10
)

// clientMonitor detects that a client disconnects while its request is in flight, so that nothing more is
// sent to servers for that request.
//
// net/http detects this too (it cancels the request's context), but only until the client sends more bytes
// after the request. net/http then stops reading at the first of them, and a later disconnect goes undetected:
// the request would keep its queue slot and be sent to a server although no client is waiting for the
// response. From that byte on the monitor reads; clientConn describes how the two share the socket.
//
// The handler of a request creates the monitor with monitorClient, which starts its goroutine. The handler
// must call stop before it returns. The goroutine ends when stop is called or after it has closed
// disconnected.
type clientMonitor struct {
	conn         *clientConn
	disconnected chan struct{} // closed once the client has disconnected, or has sent more than maxBufferedBytes
	mayRead      chan struct{} // has an item when net/http may have stopped reading
	quit         chan struct{} // closed by stop
	ended        chan struct{} // closed when the goroutine has ended

	reading bool // the goroutine is reading, or has read, the socket; guarded by the acceptor's lock
}

type clientConnKey struct{}

// connContext is the HTTP server's ConnContext hook: it stores the connection for clientConnFromContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, c)
}

// clientConnFromContext returns the connection of a request from its context, or nil in tests that have no
// connection.
func clientConnFromContext(ctx context.Context) *clientConn {
	c, _ := ctx.Value(clientConnKey{}).(*clientConn)
	return c
}

// monitorClient starts a monitor for the client of a request whose body has been read; ctx is the request's
// context.
func monitorClient(ctx context.Context) *clientMonitor {
	c := clientConnFromContext(ctx)
	m := &clientMonitor{
		conn:         c,
		disconnected: make(chan struct{}),
		mayRead:      make(chan struct{}, 1),
		quit:         make(chan struct{}),
		ended:        make(chan struct{}),
	}
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.monitor = m
	c.notifyMonitor()
	go m.run()
	return m
}

// run waits until net/http has stopped reading, then reads until the client disconnects.
func (m *clientMonitor) run() {
	defer close(m.ended)
	for !m.claimReading() {
		select {
		case <-m.mayRead:
		case <-m.quit:
			return
		}
	}
	m.readUntilDisconnect()
}

// claimReading makes the monitor the reader of the connection if net/http has stopped reading, and reports
// whether it did.
func (m *clientMonitor) claimReading() bool {
	m.conn.acceptor.mu.Lock()
	defer m.conn.acceptor.mu.Unlock()
	m.reading = m.conn.monitor == m && m.conn.monitorMayRead()
	return m.reading
}

func (m *clientMonitor) readUntilDisconnect() {
	buf := make([]byte, monitorReadBytes)
	for {
		if !m.awaitMemory() {
			return
		}
		n, err := m.conn.Conn.Read(buf)
		m.conn.buffered.add(buf[:n], time.Now())
		select {
		case <-m.quit: // the error may come from stop's read deadline, not from the client
			return
		default:
		}
		if err != nil || m.conn.buffered.length > maxBufferedBytes {
			close(m.disconnected)
			return
		}
	}
}

// awaitMemory waits until the budget for long requests allows to buffer further bytes. Until then they stay in the
// socket, so that nothing is lost. It returns false if the monitor must end: stop was called, or the client has
// disconnected.
func (m *clientMonitor) awaitMemory() bool {
	for {
		long := m.conn.buffered.length + monitorReadBytes - shortRequestBytes
		if m.conn.bufferMemory.reserveTotal(int64(long)) {
			return true
		}
		select {
		case <-m.quit:
			return false
		case <-time.After(memoryRetryInterval):
		}
		if m.remoteClosed() {
			close(m.disconnected)
			return false
		}
	}
}

// notifyMayRead makes run check whether the monitor may read. The caller holds the acceptor's lock.
func (m *clientMonitor) notifyMayRead() {
	select {
	case m.mayRead <- struct{}{}:
	default: // run has not received the previous item yet and will see the current state
	}
}

// stop ends the monitor and waits for its goroutine; after that net/http is the only reader. It interrupts a
// read with a read deadline in the past and then removes that deadline.
func (m *clientMonitor) stop() {
	m.conn.acceptor.mu.Lock()
	m.conn.monitor = nil
	close(m.quit)
	reading := m.reading
	m.conn.acceptor.mu.Unlock()
	if reading {
		_ = m.conn.Conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection, as the read then does
	}
	<-m.ended
	if reading {
		_ = m.conn.Conn.SetReadDeadline(time.Time{})
	}
}

// clientClosed reports whether the client has closed its connection or its sending side, or the monitor has
// closed disconnected. It polls the socket, so it also sees a close that follows unread bytes, and one that
// no goroutine has had CPU time to detect yet.
func (m *clientMonitor) clientClosed() bool {
	select {
	case <-m.disconnected:
		return true
	default:
	}
	return m.remoteClosed()
}

// remoteClosed polls the socket for a close by the client.
func (m *clientMonitor) remoteClosed() bool {
	closed := false
	err := m.conn.pollSocket(unix.POLLRDHUP, func(events int16) { closed = remoteClosed(events) })
	// Any error but errNotSocket means that the connection is closed on this side.
	return closed || err != nil && !errors.Is(err, errNotSocket)
}
