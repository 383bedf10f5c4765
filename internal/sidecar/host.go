package sidecar

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"cranehatch/internal/gossip"
	"cranehatch/policy"
)

// The Balancer calls the methods of this file, which are those of policy.Host, from within the calls that the event
// loop makes to it: so on the loop's goroutine. They must neither block nor call the Balancer.
var _ policy.Host = (*eventLoop)(nil)

// Send starts an attempt, which ends at the latest after timeout (0: no limit) or at the client's deadline. It is
// written within the given time (0: no limit) or not at all. Each call brings one Outcome; where maySend says no,
// that is NotSent.
func (l *eventLoop) Send(id policy.RequestID, to policy.EndpointID, timeout, within time.Duration) {
	r := l.requests[id]
	if r == nil {
		return // closed, with all attempts ended: the Balancer has forgotten it too
	}
	number := len(r.attempts)
	r.inFlight++
	target := l.endpoints[to]
	if target == nil || !l.maySend(r, timeout, within) {
		r.attempts = append(r.attempts, nil)
		l.deniedSends = append(l.deniedSends, policy.Outcome{RequestID: id, Attempt: number, Result: policy.NotSent})
		return
	}
	deadline, writeBy := l.attemptDeadlines(r, timeout, within)
	attemptDone := func(result attemptResult) {
		l.post(func(time.Duration) { l.attemptEnded(id, number, result) })
	}
	r.attempts = append(r.attempts, l.transport.send(target, r.outbound, deadline, writeBy, attemptDone))
}

// maySend tells whether a request is open, has attempts and time left, and was given times that have not passed.
func (l *eventLoop) maySend(r *request, timeout, within time.Duration) bool {
	return !r.closed &&
		len(r.attempts) < l.maxAttempts &&
		l.now < r.deadline &&
		timeout >= 0 && within >= 0
}

// attemptDeadlines returns when an attempt ends, and when it must have been written (0: no limit of its own).
func (l *eventLoop) attemptDeadlines(r *request, timeout, within time.Duration) (deadline, writeBy time.Duration) {
	remaining := r.deadline - l.now
	if timeout == 0 || timeout > remaining {
		timeout = remaining
	}
	deadline = l.now + timeout
	if within > 0 {
		writeBy = min(deadline, l.now+within)
	}
	return deadline, writeBy
}

// Reject responds 503: the client may retry without harm, as the request has not run or a second run has no effect.
func (l *eventLoop) Reject(id policy.RequestID, pause time.Duration) {
	if r := l.requests[id]; r != nil && !r.closed {
		l.respond(id, r, &response{status: http.StatusServiceUnavailable, retryAfter: pause})
	}
}

// Fail responds 502, or 504 where time ran out: the request may have run.
func (l *eventLoop) Fail(id policy.RequestID) {
	r := l.requests[id]
	if r == nil || r.closed {
		return
	}
	status := http.StatusBadGateway
	if r.deadlineExceeded || r.inFlight > 0 {
		status = http.StatusGatewayTimeout
	}
	l.respond(id, r, &response{status: status})
}

// Cancel ends an attempt; its Outcome still comes.
func (l *eventLoop) Cancel(id policy.RequestID, attempt int) {
	r := l.requests[id]
	if r == nil || attempt < 0 || attempt >= len(r.attempts) || r.attempts[attempt] == nil {
		return
	}
	r.attempts[attempt].cancel()
}

// SetTimer has the Balancer's TimerFired called after d.
func (l *eventLoop) SetTimer(d time.Duration) { l.addTimer(l.now + max(d, 0)) }

// HealthCheck requests a server's load report.
func (l *eventLoop) HealthCheck(to policy.EndpointID) {
	checked := func(ok bool, load policy.LoadReport) {
		l.post(func(now time.Duration) { l.balancer.HealthChecked(now, to, ok, load) })
	}
	e := l.endpoints[to]
	if e == nil { // no longer listed; from a goroutine, as post from this one could be a deadlock
		go checked(false, policy.LoadReport{})
		return
	}
	l.transport.healthCheck(e, l.now, checked)
}

// CloseIdle closes the idle connections to a server.
func (l *eventLoop) CloseIdle(to policy.EndpointID) {
	if e := l.endpoints[to]; e != nil {
		l.transport.closeIdle(e)
	}
}

// Broadcast sends a gossip message to the other sidecars; it may be lost.
func (l *eventLoop) Broadcast(message policy.GossipMessage) { l.peers.send(gossip.Encode(message)) }

// gossipReceived takes a message of another sidecar, on the goroutine of gossipTransport.run. It blocks as post does.
func (l *eventLoop) gossipReceived(from int, message policy.GossipMessage) {
	l.post(func(now time.Duration) { l.balancer.ReceiveGossip(now, from, message) })
}

// WatchEndpoints asks the discovery client for the endpoint list.
func (l *eventLoop) WatchEndpoints() { l.watchEndpoints() }

// Log reports a change in an endpoint's health to the engineers on call.
func (l *eventLoop) Log(event policy.HealthEvent) {
	id := slog.String("endpoint", strconv.FormatUint(uint64(event.Endpoint), 16)) // a hash of discovery's instance id
	address := slog.String("address", "")
	if e := l.endpoints[event.Endpoint]; e != nil {
		address = slog.String("address", e.address)
	}
	inFlight := slog.Int("in_flight", event.InFlight)
	switch event.Kind {
	case policy.EndpointDegraded:
		slog.Info("endpoint degraded", id, address, inFlight)
	case policy.EndpointRecovered:
		slog.Info("endpoint recovered", id, address, inFlight, slog.Int64("unresponsive_ms", event.Unresponsive.Milliseconds()))
	}
}
