package sidecar

import "time"

// A client that always has its next request ready never makes the goroutine of its connection wait. With a single
// thread, the runtime then looks for bytes of other connections only every 10 ms, and their requests are answered
// late. Such a connection pauses after each turn.
const (
	// requestsPerTurn is how many requests a connection may have answered before it pauses.
	requestsPerTurn = 16
	// minTurnPause and maxTurnPause limit the pause, which otherwise is as long as the turn.
	minTurnPause = time.Millisecond
	maxTurnPause = 10 * time.Millisecond
)

// clientTurn counts the requests of a connection since its latest pause, or since its client last waited for a
// response. Only the goroutine of net/http that serves the connection uses it.
type clientTurn struct {
	requests  int
	startedAt time.Time
}

// countRequest counts a request, before it is answered. If the client's next request has not arrived by then, the
// connection will wait for it, and its turn ends.
func (t *clientTurn) countRequest(nextArrived bool) {
	switch {
	case !nextArrived:
		t.requests = 0
	case t.requests == 0:
		*t = clientTurn{requests: 1, startedAt: time.Now()}
	default:
		t.requests++
	}
}

// requestAnswered is called after each response, before the next request is read. If the connection's turn has
// lasted for long enough, it pauses, so that other connections get theirs. The pauses of several such connections
// add up.
func (c *clientConn) requestAnswered() {
	if c.turn.requests < requestsPerTurn {
		return
	}
	pausing := c.acceptor.pausingConns.Add(1)
	defer c.acceptor.pausingConns.Add(-1)
	pause := min(max(time.Since(c.turn.startedAt), minTurnPause), maxTurnPause)
	c.acceptor.pause(pause * time.Duration(pausing))
	c.turn.requests = 0
}

// acceptTurn counts the connections that are accepted. Clients that connect again as soon as they are turned away keep
// the acceptor from waiting, and the goroutines of their connections fill the run queue, in which those of other
// connections then wait for seconds. The acceptor pauses after each turn. Only its goroutine uses acceptTurn.
type acceptTurn struct {
	conns     int
	startedAt time.Time
}

const (
	// connsPerTurn is how many connections are accepted before the acceptor pauses.
	connsPerTurn = 16
	// maxAcceptTurn is the longest turn after which it pauses: at a lower rate of connections it waits anyway.
	maxAcceptTurn = 16 * time.Millisecond
)

// connAccepted counts a connection and returns how long to pause before the next one is accepted: as long as the
// turn, if that has ended.
func (t *acceptTurn) connAccepted(now time.Time) (pause time.Duration) {
	if t.conns == 0 {
		t.startedAt = now
	}
	t.conns++
	if t.conns < connsPerTurn {
		return 0
	}
	t.conns = 0
	if turn := now.Sub(t.startedAt); turn <= maxAcceptTurn {
		return max(turn, minTurnPause)
	}
	return 0
}
