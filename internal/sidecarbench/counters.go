package sidecarbench

import (
	"net"
	"sync/atomic"
)

// Counts are the counters of a stand-in since its start.
type Counts struct {
	Requests                 int64 // servers: requests with a request ID; discovery: all requests
	Connections              int64 // accepted connections
	BytesReceived, BytesSent int64 // payload bytes, without TCP, UDP and IP headers
	Datagrams                int64 // peers: datagrams received at the broadcast address
}

// sub returns the increase of each counter since earlier.
func (c Counts) sub(earlier Counts) Counts {
	return Counts{
		Requests:      c.Requests - earlier.Requests,
		Connections:   c.Connections - earlier.Connections,
		BytesReceived: c.BytesReceived - earlier.BytesReceived,
		BytesSent:     c.BytesSent - earlier.BytesSent,
		Datagrams:     c.Datagrams - earlier.Datagrams,
	}
}

// counters are the values of Counts for concurrent use.
type counters struct{ requests, connections, bytesReceived, bytesSent, datagrams atomic.Int64 }

// counts returns the current values.
func (c *counters) counts() Counts {
	return Counts{
		Requests:      c.requests.Load(),
		Connections:   c.connections.Load(),
		BytesReceived: c.bytesReceived.Load(),
		BytesSent:     c.bytesSent.Load(),
		Datagrams:     c.datagrams.Load(),
	}
}

// countingListener counts the connections that it accepts and the bytes that they transfer.
type countingListener struct {
	net.Listener
	counters *counters
}

// Accept counts the next connection and returns it as a countingConn.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.counters.connections.Add(1)
	return countingConn{conn, l.counters}, nil
}

// countingConn counts the bytes that a connection transfers.
type countingConn struct {
	net.Conn
	counters *counters
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.bytesReceived.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.bytesSent.Add(int64(n))
	return n, err
}
