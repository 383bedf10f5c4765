package main

import (
	"net"
	"time"
)

// link is a proxy in front of a server that passes all bytes on after the delay of the network, in both
// directions.
type link struct {
	listener net.Listener
	target   string
	delay    time.Duration // one way
}

func startLink(target string, delay time.Duration) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, delay: delay}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", l.target)
		if err != nil {
			near.Close()
			continue
		}
		go l.pass(near, far)
		go l.pass(far, near)
	}
}

// pass copies bytes after the delay until one side ends, and then closes both.
func (l *link) pass(from, to net.Conn) {
	defer from.Close()
	defer to.Close()
	buf := make([]byte, 128<<10)
	for {
		n, err := from.Read(buf)
		time.Sleep(l.delay)
		if _, writeErr := to.Write(buf[:n]); err != nil || writeErr != nil {
			return
		}
	}
}

// quietFor reports whether nothing has arrived on the connection for the given time. The connection stays usable.
func (c *serverConn) quietFor(d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d)) // fails only on a closed connection, and then Peek fails
	_, err := c.reader.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}
