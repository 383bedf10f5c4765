package sidecar

import (
	"net"
	"syscall"
	"time"
)

// conn is a connection to a server. It carries one exchange at a time and is owned by the exchange's
// goroutine, or by the pool while it is idle.
type conn struct {
	net.Conn
	reader    *responseReader
	idleSince time.Duration // when putIdle returned it to the pool
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: newResponseReader(raw, maxFramedBodyBytes)}
}

// reusable reports whether the connection may carry another exchange after a complete response: the server
// keeps it open, so that the response didn't end with it, and has sent nothing after the response.
func (c *conn) reusable(res *serverResponse) bool {
	return !res.Close && c.reader.Buffered() == 0
}

// connAlive reports whether an idle connection may be used. It may not if the server has closed or reset it,
// as servers do at their idle timeout, when they drain and when they restart, or has sent unrequested bytes.
//
// It reads without blocking: EAGAIN means that the connection is open and nothing has arrived.
func connAlive(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true // not a TCP connection, so its state is unknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		alive = err == syscall.EAGAIN
		return true // don't wait for data
	})
	return err == nil && alive
}
