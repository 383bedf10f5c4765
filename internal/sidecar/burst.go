package sidecar

import "time"

// A client that always has its next request ready never makes the goroutine of its connection wait. With a single
// thread, the runtime then looks for bytes of other connections only every 10 ms, and their requests are answered
// late. Such a connection pauses after each burst of requests.
const (
	// maxBurstRequests is how many requests a connection may have answered before it pauses.
	maxBurstRequests = 16
	// minBurstPause and maxBurstPause limit the pause, which otherwise is as long as the burst.
	minBurstPause = time.Millisecond
	maxBurstPause = 10 * time.Millisecond
)

// requestBurst counts the requests of a connection since its latest pause, or since its client last waited for a
// response. Only the goroutine of net/http that serves the connection uses it.
type requestBurst struct {
	requests  int
	startedAt time.Time
}

// countRequest counts a request, before it is answered. If the client's next request has not arrived by then, the
// connection will wait for it, and the burst ends.
func (b *requestBurst) countRequest(nextArrived bool) {
	switch {
	case !nextArrived:
		b.requests = 0
	case b.requests == 0:
		*b = requestBurst{requests: 1, startedAt: time.Now()}
	default:
		b.requests++
	}
}

// requestAnswered is called after each response, before the next request is read. If the burst has lasted
// for long enough, the connection pauses, so that others are served. The pauses of several such connections
// add up.
func (c *clientConn) requestAnswered() {
	if c.burst.requests < maxBurstRequests {
		return
	}
	pausing := c.acceptor.pausingConns.Add(1)
	defer c.acceptor.pausingConns.Add(-1)
	pause := min(max(time.Since(c.burst.startedAt), minBurstPause), maxBurstPause)
	c.acceptor.pause(pause * time.Duration(pausing))
	c.burst.requests = 0
}

// acceptBurst counts the connections that are accepted. Clients that connect again as soon as they are rejected
// keep the acceptor from waiting, and the goroutines of their connections fill the run queue, in which those of
// other connections then wait for seconds. The acceptor pauses after each burst. Only its goroutine uses
// acceptBurst.
type acceptBurst struct {
	conns     int
	startedAt time.Time
}

const (
	// maxBurstConns is how many connections are accepted before the acceptor pauses.
	maxBurstConns = 16
	// maxAcceptBurst is the longest burst after which it pauses: at a lower rate of connections it waits anyway.
	maxAcceptBurst = 16 * time.Millisecond
)

// connAccepted counts a connection and returns how long to pause before the next one is accepted: as long as the
// burst, if that has ended.
func (b *acceptBurst) connAccepted(now time.Time) (pause time.Duration) {
	if b.conns == 0 {
		b.startedAt = now
	}
	b.conns++
	if b.conns < maxBurstConns {
		return 0
	}
	b.conns = 0
	if length := now.Sub(b.startedAt); length <= maxAcceptBurst {
		return max(length, minBurstPause)
	}
	return 0
}
