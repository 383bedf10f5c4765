package sidecar

import (
	"fmt"
	"net"
	"testing"
	"time"

	"cranehatch/policy"
)

// expireFirstIdle makes the first idle connection to a server as old as idle connections may get.
func expireFirstIdle(t *testing.T, tr *transport, to *endpoint) {
	t.Helper()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.idle[to][0].idleSince -= tr.idleTimeout
}

func expectDialed(t *testing.T, tr *transport, want int) {
	t.Helper()
	if tr.dialed != want {
		t.Errorf("%d connections dialled, want %d", tr.dialed, want)
	}
}

func TestConnectionsAreReused(t *testing.T) {
	s := newStub(t, echo)
	tr := newTestTransport(t)
	for i := range 5 {
		attempt(t, tr, s.host, fmt.Sprint(i), generous)
	}
	expectDialed(t, tr, 1)
}

// A server closes a connection while it is idle: at its idle timeout, when it drains or restarts. That is
// found before a request is written on it.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	closeNow, closed := make(chan struct{}), make(chan struct{})
	s := newStub(t, func(c net.Conn, r received) bool {
		answered := echo(c, r)
		if r.conn == 0 {
			<-closeNow
			c.Close()
			close(closed)
		}
		return answered && r.conn > 0
	})
	tr := newTestTransport(t)
	attempt(t, tr, s.host, "1", generous)
	close(closeNow)
	wait(t, "the server to close", closed)
	for end := time.Now().Add(generous); connAlive(tr.idle[s.host][0].Conn); time.Sleep(time.Millisecond) {
		if time.Now().After(end) { // the close has crossed the loopback long before
			t.Fatal("the closed connection passes for alive")
		}
	}
	if got := attempt(t, tr, s.host, "2", generous); got.outcome != policy.Succeeded {
		t.Fatalf("outcome %v, want %v", got.outcome, policy.Succeeded)
	}
	if tr.stale != 1 {
		t.Errorf("%d stale connections counted, want 1", tr.stale)
	}
	expectDialed(t, tr, 2)
	expectOpen(t, tr, 1)
}

// A connection that has been idle for nearly as long as its server allows may be closed under the next
// request. It is closed by the sweeper, and not used where the sweeper has not run yet.
func TestExpiredConnectionsAreClosed(t *testing.T) {
	s := newStub(t, echo)
	tr := newTestTransport(t)
	attempt(t, tr, s.host, "1", generous)
	expireFirstIdle(t, tr, s.host)
	tr.closeExpired()
	wait(t, "the expired connection to close", s.closed)

	attempt(t, tr, s.host, "2", generous)
	expireFirstIdle(t, tr, s.host)
	attempt(t, tr, s.host, "3", generous)
	expectDialed(t, tr, 3)
	expectOpen(t, tr, 1)
}

// A server closes a connection right after a response, and the close crosses a request that is sent soon
// after. So the connection that has been idle for longest is used first.
func TestOldestIdleConnectionIsUsedFirst(t *testing.T) {
	bothArrived := make(chan struct{})
	s := newStub(t, func(c net.Conn, r received) bool {
		if id := r.Header.Get("X-Request-ID"); id == "1" || id == "2" {
			<-bothArrived
		}
		return echo(c, r)
	})
	tr := newTestTransport(t)
	_, first := startAttempt(t, tr, s.host, "1")
	wait(t, "request 1", s.seen)
	_, second := startAttempt(t, tr, s.host, "2") // while the first is in flight: on a second connection
	wait(t, "request 2", s.seen)
	close(bothArrived)
	wait(t, "the first result", first)
	wait(t, "the second result", second)

	used := make(map[int]bool)
	for _, id := range []string{"3", "4"} { // one after the other
		attempt(t, tr, s.host, id, generous)
		used[wait(t, "request "+id, s.seen).conn] = true
	}
	if len(used) != 2 {
		t.Error("the connection just used was used once more, while the other was idle for longer")
	}
}

// A server sends a second copy of a response, which arrives once the connection is in use again: it would be
// read as the next request's response. So a connection stays idle for a while first, and what has arrived by
// then is found.
func TestDuplicateResponseIsNotTheNextResponse(t *testing.T) {
	s := newStub(t, func(c net.Conn, r received) bool {
		if id := r.Header.Get("X-Request-ID"); r.conn == 0 && id != "1" {
			return ok(c, "done 1")
		}
		return echo(c, r)
	})
	tr := newTestTransport(t)
	tr.minIdle = generous
	attempt(t, tr, s.host, "1", generous)
	if got := attempt(t, tr, s.host, "2", generous); string(got.body) != "done 2" {
		t.Errorf("outcome %v, body %q, want the response to request 2", got.outcome, got.body)
	}
}

// The limit on connections is reached. An idle connection to another server is closed for a new one; where
// none is idle nothing is sent, and the outcome says nothing about the server.
func TestConnectionsStayUnderTheLimit(t *testing.T) {
	a, b, unresponsive := newStub(t, echo), newStub(t, echo), newStub(t, silent)
	tr := newTestTransport(t)
	tr.maxConns = 1
	attempt(t, tr, a.host, "1", generous)
	expectOutcome(t, attempt(t, tr, b.host, "2", generous), policy.Succeeded)
	expectOpen(t, tr, 1)

	x, done := startAttempt(t, tr, unresponsive.host, "3")
	wait(t, "request 3", unresponsive.seen)
	expectOutcome(t, attempt(t, tr, a.host, "4", generous), policy.NotSent)
	x.cancel()
	wait(t, "the cancelled attempt", done)
}

// A machine that lets an attempt time out may be cut off from the network: requests on its other idle
// connections would get no response either, and could have run. So those are closed, and a new connection
// shows whether the machine can be reached. An attempt with less time than a dial may take shows nothing.
func TestTimeoutClosesOlderIdleConnections(t *testing.T) {
	s := newStub(t, func(c net.Conn, r received) bool {
		id := r.Header.Get("X-Request-ID")
		return id == "brief" || id == "silent" || echo(c, r)
	})
	tr := newTestTransport(t)
	attempt(t, tr, s.host, "1", generous)
	tr.minIdle = generous // so that the next attempts dial
	attempt(t, tr, s.host, "brief", 100*time.Millisecond)
	if len(tr.idle[s.host]) != 1 {
		t.Fatal("a timeout shorter than the dial timeout closed the idle connection")
	}
	tr.dialTimeout = time.Second / 2
	attempt(t, tr, s.host, "silent", time.Second)
	wait(t, "a connection to close", s.closed)
	expectOpen(t, tr, 0)
}

// A server is removed while a connection to it is in use. The connection is not pooled: the address may
// belong to another server by the time of the next request.
func TestConnectionOfARemovedServerIsNotPooled(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r received) bool {
		<-release
		return echo(c, r)
	})
	tr := newTestTransport(t)
	_, done := startAttempt(t, tr, s.host, "1")
	wait(t, "the request", s.seen)
	tr.remove(s.host)
	close(release)
	expectOutcome(t, wait(t, "the result", done), policy.Succeeded)
	expectOpen(t, tr, 0)
	if len(tr.idle) != 0 {
		t.Errorf("idle connections to %d servers, want none", len(tr.idle))
	}
}
