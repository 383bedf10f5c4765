package sidecar

import (
	"fmt"
	"net"
	"testing"
	"time"

	"cranehatch/policy"
)

// expireFirstIdle lets the first idle connection to a server reach its idle timeout.
func expireFirstIdle(t *testing.T, tr *transport, to *endpoint) {
	t.Helper()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.idle[to][0].idleSince -= tr.idleTimeout
}

func expectDialedConns(t *testing.T, tr *transport, want int) {
	t.Helper()
	if tr.dialedConns != want {
		t.Errorf("dialed connections = %d, want %d", tr.dialedConns, want)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	s := newStub(t, echo)
	tr := newTestTransport(t)
	for i := range 5 {
		attempt(t, tr, s.endpoint, fmt.Sprint(i), testTimeout)
	}
	expectDialedConns(t, tr, 1)
}

// Servers close idle connections at their idle timeout, when they drain and when they restart. The transport
// must detect that before it writes a request on such a connection.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	closeNow, closed := make(chan struct{}), make(chan struct{})
	s := newStub(t, func(c net.Conn, r receivedRequest) bool {
		answered := echo(c, r)
		if r.connNumber == 0 {
			<-closeNow
			c.Close()
			close(closed)
		}
		return answered && r.connNumber > 0
	})
	tr := newTestTransport(t)
	attempt(t, tr, s.endpoint, "1", testTimeout)
	close(closeNow)
	wait(t, "the server to close", closed)
	for end := time.Now().Add(testTimeout); connAlive(tr.idle[s.endpoint][0].Conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) { // the close takes far less time on loopback
			t.Fatal("connAlive = true for a connection that the server has closed, want false")
		}
	}
	if got := attempt(t, tr, s.endpoint, "2", testTimeout); got.result != policy.Succeeded {
		t.Fatalf("result = %v, want %v", got.result, policy.Succeeded)
	}
	if tr.staleConns != 1 {
		t.Errorf("stale connections = %d, want 1", tr.staleConns)
	}
	expectDialedConns(t, tr, 2)
	expectOpenConns(t, tr, 1)
}

// A server may close a connection that has been idle for nearly its idle timeout while the next request is
// being sent. The sweeper must close such a connection, and acquire must not return it if the sweeper has not
// run yet.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	s := newStub(t, echo)
	tr := newTestTransport(t)
	attempt(t, tr, s.endpoint, "1", testTimeout)
	expireFirstIdle(t, tr, s.endpoint)
	tr.closeExpired()
	wait(t, "the expired connection to close", s.closedConns)

	attempt(t, tr, s.endpoint, "2", testTimeout)
	expireFirstIdle(t, tr, s.endpoint)
	attempt(t, tr, s.endpoint, "3", testTimeout)
	expectDialedConns(t, tr, 3)
	expectOpenConns(t, tr, 1)
}

// A server may close a connection right after a response, and the close may coincide with a request that is
// sent soon after. The connection that has been idle longest must therefore be used first.
func TestOldestIdleConnectionIsUsedFirst(t *testing.T) {
	bothArrived := make(chan struct{})
	s := newStub(t, func(c net.Conn, r receivedRequest) bool {
		if id := r.Header.Get("X-Request-ID"); id == "1" || id == "2" {
			<-bothArrived
		}
		return echo(c, r)
	})
	tr := newTestTransport(t)
	_, first := startAttempt(t, tr, s.endpoint, "1")
	wait(t, "request 1", s.receivedRequests)
	_, second := startAttempt(t, tr, s.endpoint, "2") // the first is in flight, so this needs a second connection
	wait(t, "request 2", s.receivedRequests)
	close(bothArrived)
	wait(t, "the first result", first)
	wait(t, "the second result", second)

	used := make(map[int]bool)
	for _, id := range []string{"3", "4"} { // one after the other
		attempt(t, tr, s.endpoint, id, testTimeout)
		used[wait(t, "request "+id, s.receivedRequests).connNumber] = true
	}
	if len(used) != 2 {
		t.Error("both requests used the same connection, want the one that was idle longest each time")
	}
}

// A server sends a second copy of a response, which arrives when the connection is in use again and would be
// read as the next request's response. A connection must therefore stay idle for a minimum time, so that
// bytes which arrive by then are detected.
func TestDuplicateResponseIsNotTheNextResponse(t *testing.T) {
	s := newStub(t, func(c net.Conn, r receivedRequest) bool {
		if id := r.Header.Get("X-Request-ID"); r.connNumber == 0 && id != "1" {
			return respondOK(c, "done 1")
		}
		return echo(c, r)
	})
	tr := newTestTransport(t)
	tr.minIdle = testTimeout
	attempt(t, tr, s.endpoint, "1", testTimeout)
	if got := attempt(t, tr, s.endpoint, "2", testTimeout); string(got.body) != "done 2" {
		t.Errorf("result = %v, body = %q, want the response to request 2", got.result, got.body)
	}
}

// A server has sent a second copy of a response on an idle connection. Its next one may come later, when the
// connection is in use again, and would be served to another client: connections must be idle for longer from then
// on, to all servers. A server that closes an idle connection must not cause that.
func TestLateCopyMakesConnectionsWaitLonger(t *testing.T) {
	for name, c := range map[string]struct {
		after func(c net.Conn) bool // what the server does after its response
		want  time.Duration
	}{
		"second copy": {func(c net.Conn) bool { return respondOK(c, "done 1") }, minConnIdleAfterCopy},
		"close":       {func(net.Conn) bool { return false }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			proceed := make(chan struct{})
			s := newStub(t, func(conn net.Conn, r receivedRequest) bool {
				if !echo(conn, r) || r.connNumber > 0 {
					return true
				}
				<-proceed // the response has been read, and the connection is idle
				return c.after(conn)
			})
			tr := newTestTransport(t)
			attempt(t, tr, s.endpoint, "1", testTimeout)
			close(proceed)
			for end := time.Now().Add(testTimeout); connAlive(tr.idle[s.endpoint][0].Conn); time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("nothing arrives on the idle connection")
				}
			}
			if got := attempt(t, tr, s.endpoint, "2", testTimeout); string(got.body) != "done 2" {
				t.Errorf("result = %v, body = %q, want the response to request 2", got.result, got.body)
			}
			if tr.minIdle != c.want {
				t.Errorf("connections are reused after %v, want %v", tr.minIdle, c.want)
			}
		})
	}
}

// At the limit on connections, an idle connection to another server must be closed for a new one. If none is
// idle, nothing must be sent, with a result that is no evidence about the server.
func TestConnectionsStayUnderTheLimit(t *testing.T) {
	a, b, unresponsive := newStub(t, echo), newStub(t, echo), newStub(t, neverRespond)
	tr := newTestTransport(t)
	tr.maxConns = 1
	attempt(t, tr, a.endpoint, "1", testTimeout)
	expectResult(t, attempt(t, tr, b.endpoint, "2", testTimeout), policy.Succeeded)
	expectOpenConns(t, tr, 1)

	x, done := startAttempt(t, tr, unresponsive.endpoint, "3")
	wait(t, "request 3", unresponsive.receivedRequests)
	expectResult(t, attempt(t, tr, a.endpoint, "4", testTimeout), policy.NotSent)
	x.cancel()
	wait(t, "the cancelled attempt", done)
}

// A machine on which an attempt times out may be cut off from the network. Requests on its other idle
// connections would get no response either and would count as possibly run, so those connections must be
// closed: a new one shows whether the machine can be reached. A timeout shorter than the dial timeout is no
// such evidence.
func TestTimeoutClosesOlderIdleConnections(t *testing.T) {
	s := newStub(t, func(c net.Conn, r receivedRequest) bool {
		id := r.Header.Get("X-Request-ID")
		return id == "brief" || id == "silent" || echo(c, r)
	})
	tr := newTestTransport(t)
	attempt(t, tr, s.endpoint, "1", testTimeout)
	tr.minIdle = testTimeout // forces the next attempts to dial
	attempt(t, tr, s.endpoint, "brief", 100*time.Millisecond)
	if len(tr.idle[s.endpoint]) != 1 {
		t.Fatal("idle connection was closed by a timeout shorter than the dial timeout")
	}
	tr.dialTimeout = time.Second / 2
	attempt(t, tr, s.endpoint, "silent", time.Second)
	wait(t, "a connection to close", s.closedConns)
	expectOpenConns(t, tr, 0)
}

// A server is removed while a connection to it is in use. The connection must not be pooled, as the address
// may belong to another server by the time of the next request.
func TestConnectionOfARemovedServerIsNotPooled(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r receivedRequest) bool {
		<-release
		return echo(c, r)
	})
	tr := newTestTransport(t)
	_, done := startAttempt(t, tr, s.endpoint, "1")
	wait(t, "the request", s.receivedRequests)
	tr.remove(s.endpoint)
	close(release)
	expectResult(t, wait(t, "the result", done), policy.Succeeded)
	expectOpenConns(t, tr, 0)
	if len(tr.idle) != 0 {
		t.Errorf("servers with idle connections = %d, want none", len(tr.idle))
	}
}
