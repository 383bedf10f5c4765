package sidecar

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"time"
)

// conn is a connection to a server. It carries one exchange at a time, whose goroutine owns it; while it is
// idle the pool does.
type conn struct {
	net.Conn
	reader        *bufio.Reader
	responseLimit io.LimitedReader // what may still be read for the current response
	idleSince     time.Duration
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.responseLimit.R = raw
	c.reader = bufio.NewReader(&c.responseLimit)
	return c
}

// reusable reports whether the connection may carry another exchange after a complete response: the server
// keeps it open, and nothing has arrived behind the response.
func (c *conn) reusable(res *serverResponse) bool {
	return !res.Close && c.reader.Buffered() == 0
}

// connAlive reports whether an idle connection may be used: the server has neither closed nor reset it, as it
// does at its idle timeout, when it drains and when it restarts, nor sent anything unrequested.
//
// It reads without waiting: EAGAIN means that the connection is open and nothing has arrived.
func connAlive(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true // nothing can be found out
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
		return true // never wait
	})
	return err == nil && alive
}
