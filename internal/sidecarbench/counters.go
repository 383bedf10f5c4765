package sidecarbench

import (
	"net"
	"sync/atomic"
)

// Counts is what a stand-in has counted.
type Counts struct {
	Requests                 int64 // server: those with an id. discovery: all
	Connections              int64 // accepted
	BytesReceived, BytesSent int64 // without headers of TCP, UDP and IP
	Datagrams                int64 // peers: received
}

// minus is what was counted since earlier counts.
func (c Counts) minus(earlier Counts) Counts {
	return Counts{
		Requests:      c.Requests - earlier.Requests,
		Connections:   c.Connections - earlier.Connections,
		BytesReceived: c.BytesReceived - earlier.BytesReceived,
		BytesSent:     c.BytesSent - earlier.BytesSent,
		Datagrams:     c.Datagrams - earlier.Datagrams,
	}
}

// counters are Counts that goroutines may change concurrently.
type counters struct{ requests, connections, bytesReceived, bytesSent, datagrams atomic.Int64 }

func (c *counters) counts() Counts {
	return Counts{
		Requests:      c.requests.Load(),
		Connections:   c.connections.Load(),
		BytesReceived: c.bytesReceived.Load(),
		BytesSent:     c.bytesSent.Load(),
		Datagrams:     c.datagrams.Load(),
	}
}

// countingListener counts the connections that it accepts, and their bytes.
type countingListener struct {
	net.Listener
	counters *counters
}

// Accept returns the next connection.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.counters.connections.Add(1)
	return countingConn{conn, l.counters}, nil
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	counters *counters
}

// Read reads and counts.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesReceived.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytesSent.Add(int64(n))
	return n, err
}
