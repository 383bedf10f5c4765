package sidecar

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// maxBufferedBytes bounds what is read behind a request that waits for its answer. A client that sends more by
// then is cut off: it would take memory, and its leaving could not be seen.
const maxBufferedBytes = maxHeaderBytes

// clientMonitor notices that a client closes its connection while its request waits for an answer. net/http does so
// only until the client sends something behind that request: it stops reading at the first byte, and a close
// behind that goes unseen. From there on the watch reads, and keeps what it has read for net/http.
type clientMonitor struct {
	conn  *clientConn
	gone  chan struct{} // closed once the client has gone
	start chan struct{} // has an item when net/http has stopped reading
	quit  chan struct{}
	ended chan struct{}

	reading bool // under the acceptor's lock, as is quit
}

type connKey struct{}

// connContext lets the requests on a connection find it.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// monitorClient begins to watch the client whose request ctx is of; its body has been read. The watch must be
// stopped before the handler returns.
func monitorClient(ctx context.Context) *clientMonitor {
	c, _ := ctx.Value(connKey{}).(*clientConn)
	w := &clientMonitor{
		conn: c, gone: make(chan struct{}), start: make(chan struct{}, 1), quit: make(chan struct{}), ended: make(chan struct{}),
	}
	c.acceptor.mu.Lock()
	defer c.acceptor.mu.Unlock()
	c.monitor = w
	c.takeOver()
	go w.run()
	return w
}

// clientClosed tells whether the client has closed its connection or ended its sending on it, also behind bytes that nobody
// has read yet and before any goroutine has had the time to notice.
func (w *clientMonitor) clientClosed() bool {
	select {
	case <-w.gone:
		return true
	default:
	}
	socket, ok := w.conn.Conn.(syscall.Conn)
	if !ok {
		return false // nothing is known
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	left := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		left = err == nil && n > 0 && fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return left || err != nil // closed on our side
}

// startReading has the watch read. The caller holds the acceptor's lock.
func (w *clientMonitor) startReading() {
	select {
	case w.start <- struct{}{}:
	default: // it was told already
	}
}

func (w *clientMonitor) run() {
	defer close(w.ended)
	for !w.claimReading() {
		select {
		case <-w.start:
		case <-w.quit:
			return
		}
	}
	buf := make([]byte, 4<<10)
	for {
		n, err := w.conn.Conn.Read(buf)
		w.conn.buffered = append(w.conn.buffered, buf[:n]...)
		select {
		case <-w.quit: // the error may be stop's
			return
		default:
		}
		if err != nil || len(w.conn.buffered) > maxBufferedBytes {
			close(w.gone)
			return
		}
	}
}

// claimReading makes the connection the watch's to read, if net/http does not and won't.
func (w *clientMonitor) claimReading() bool {
	w.conn.acceptor.mu.Lock()
	defer w.conn.acceptor.mu.Unlock()
	w.reading = w.conn.monitor == w && w.conn.pipelined && !w.conn.reading
	return w.reading
}

// stop ends the watch. What it has read is handed to net/http before anything new.
func (w *clientMonitor) stop() {
	w.conn.acceptor.mu.Lock()
	w.conn.monitor = nil
	close(w.quit)
	reading := w.reading
	w.conn.acceptor.mu.Unlock()
	if reading {
		_ = w.conn.SetReadDeadline(time.Unix(1, 0)) // ends the read; it fails only on a closed connection, as the read does
	}
	<-w.ended
	if reading {
		_ = w.conn.SetReadDeadline(time.Time{})
	}
}
