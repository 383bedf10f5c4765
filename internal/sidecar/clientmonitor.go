package sidecar

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxBufferedBytes limits what is buffered for a client. One that sends more behind an open request is disconnected:
	// it would take memory, and with its bytes unread its own disconnect could not be noticed.
	maxBufferedBytes = maxHeaderBytes + monitorReadBytes

	monitorReadBytes = 4 << 10 // read at once
)

// clientMonitor notices that a client disconnects while its request is open, so that nothing more is sent to servers
// for it.
//
// net/http notices that too (it ends the request's context), but only until the client sends something behind the
// request. Then it stops reading at the first byte, and a disconnect behind that byte goes unnoticed: the request
// would keep its queue slot and be sent to a server though nobody waits for it. From there on the monitor reads; see
// clientConn for how the two share the socket.
//
// The handler of the request makes the monitor with monitorClient, which starts its goroutine, and must call stop
// before it returns, which waits for that goroutine's end. The goroutine ends with stop, or once it has closed gone.
type clientMonitor struct {
	conn    *clientConn
	gone    chan struct{} // closed once the client has disconnected, or sent more than maxBufferedBytes
	mayRead chan struct{} // has an item when net/http may have stopped reading
	quit    chan struct{} // closed by stop
	ended   chan struct{} // closed when the goroutine has ended

	reading bool // the goroutine reads, or has read, the socket. Under the acceptor's lock
}

type connKey struct{}

// connContext is the server's ConnContext hook: it lets monitorClient find the connection of a request.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// clientConnOf returns the connection of a request by its context, nil in tests that have none.
func clientConnOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(connKey{}).(*clientConn)
	return c
}

// monitorClient starts a monitor for the client of a request whose body has been read; ctx is the request's context.
func monitorClient(ctx context.Context) *clientMonitor {
	c := clientConnOf(ctx)
	m := &clientMonitor{
		conn:    c,
		gone:    make(chan struct{}),
		mayRead: make(chan struct{}, 1),
		quit:    make(chan struct{}),
		ended:   make(chan struct{}),
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
	m.readUntilGone()
}

// claimReading makes the monitor the reader of the connection, if net/http has stopped reading.
func (m *clientMonitor) claimReading() bool {
	m.conn.acceptor.mu.Lock()
	defer m.conn.acceptor.mu.Unlock()
	m.reading = m.conn.monitor == m && m.conn.monitorMayRead()
	return m.reading
}

func (m *clientMonitor) readUntilGone() {
	buf := make([]byte, monitorReadBytes)
	for {
		n, err := m.conn.Conn.Read(buf)
		m.conn.buffered = append(m.conn.buffered, buf[:n]...)
		if n > 0 {
			m.conn.bufferedAt = time.Now()
		}
		select {
		case <-m.quit: // an error may be from stop's read deadline, so it says nothing of the client
			return
		default:
		}
		if err != nil || len(m.conn.buffered) > maxBufferedBytes {
			close(m.gone)
			return
		}
	}
}

// notifyMayRead has run look whether it may read. The caller holds the acceptor's lock.
func (m *clientMonitor) notifyMayRead() {
	select {
	case m.mayRead <- struct{}{}:
	default: // run has not taken the item before; it will see the current state
	}
}

// stop ends the monitor and waits for the end of its goroutine: from then on net/http is the only reader. A read
// under way is ended by a read deadline in the past, which is taken back afterwards.
func (m *clientMonitor) stop() {
	m.conn.acceptor.mu.Lock()
	m.conn.monitor = nil
	close(m.quit)
	reading := m.reading
	m.conn.acceptor.mu.Unlock()
	if reading {
		_ = m.conn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection, on which the read fails too
	}
	<-m.ended
	if reading {
		_ = m.conn.SetReadDeadline(time.Time{})
	}
}

// clientClosed tells whether the client has closed its connection, or its sending side, at this moment. It asks the
// kernel, so it sees a close behind bytes that nobody has read, and one that no goroutine has had CPU time to notice.
func (m *clientMonitor) clientClosed() bool {
	select {
	case <-m.gone:
		return true
	default:
	}
	closed := false
	err := m.conn.pollSocket(unix.POLLRDHUP, func(events int16) { closed = peerClosed(events) })
	return closed || err != nil && !errors.Is(err, errNoSocket) // an error: closed on this side
}
