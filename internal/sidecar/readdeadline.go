package sidecar

import (
	"net"
	"sync"
	"time"
)

// readDeadline combines the read deadlines of a client's connection: net/http's, and that of the request that is
// being received. It has a lock of its own, as net/http sets its deadline several times for each request, and the
// acceptor's lock is shared by all connections.
type readDeadline struct {
	mu      sync.Mutex
	http    time.Time // net/http's; zero: none
	request time.Time // of the request that is being received; zero: none
	passed  bool      // pass was called
}

// setHTTP sets net/http's deadline.
func (d *readDeadline) setHTTP(c net.Conn, t time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.http = t
	return d.apply(c)
}

// setRequest sets the deadline of the request that is being received. It changes nothing if that is the one in
// force.
func (d *readDeadline) setRequest(c net.Conn, t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.request.Equal(t) {
		return
	}
	d.request = t
	_ = d.apply(c) // fails only on a closed connection, as a read then does
}

// pass makes reads fail from now on.
func (d *readDeadline) pass(c net.Conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.passed = true
	_ = d.apply(c) // fails only on a closed connection, as a read then does
}

// apply sets the earlier of the deadlines on the connection. The caller holds the lock.
func (d *readDeadline) apply(c net.Conn) error {
	switch {
	case d.passed:
		return c.SetReadDeadline(time.Unix(1, 0))
	case d.request.IsZero() || !d.http.IsZero() && d.http.Before(d.request):
		return c.SetReadDeadline(d.http)
	}
	return c.SetReadDeadline(d.request)
}
