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

// connState is the state of an idle connection.
type connState int

const (
	connUsable   connState = iota // open, and nothing has arrived
	connClosed                    // the server has closed or reset it, or its state is unreadable
	connHasBytes                  // the server has sent unrequested bytes
)

// idleConnState returns the state of an idle connection. Servers close idle connections at their idle timeout, when
// they drain and when they restart.
//
// It reads without blocking: EAGAIN means that the connection is open and nothing has arrived.
func idleConnState(c net.Conn) connState {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return connUsable // not a TCP connection, so its state is unknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return connClosed
	}
	state := connClosed
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, err := syscall.Read(int(fd), b[:])
		switch {
		case err == syscall.EAGAIN:
			state = connUsable
		case err == nil && n > 0:
			state = connHasBytes
		}
		return true // don't wait for data
	})
	if err != nil {
		return connClosed
	}
	return state
}

// connAlive reports whether an idle connection may be used.
func connAlive(c net.Conn) bool { return idleConnState(c) == connUsable }
