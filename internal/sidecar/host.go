package sidecar

import (
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"cranehatch/internal/gossip"
	"cranehatch/policy"
)

// The methods of this file implement policy.Host. The Balancer calls them only from within calls that the
// event loop makes to it, so they run on the loop's goroutine. They must not block and must not call back
// into the Balancer.
var _ policy.Host = (*eventLoop)(nil)

// Send starts an attempt, which ends at the client's deadline or after timeout (0: no limit), whichever is
// earlier. Its request is written within writeTimeout (0: no limit) or not at all. Each call for a request in
// the table produces exactly one Outcome, which is NotSent if the attempt must not be sent.
func (l *eventLoop) Send(id policy.RequestID, to policy.EndpointID, timeout, writeTimeout time.Duration) {
	r := l.requests[id]
	if r == nil {
		return // the request is closed and its attempts have ended; the Balancer no longer has it either
	}
	attempt := len(r.attempts)
	r.inFlight++
	target := l.endpoints[to]
	if target == nil || !l.maySend(r, timeout, writeTimeout) {
		r.attempts = append(r.attempts, nil)
		l.deniedSends = append(l.deniedSends, policy.Outcome{RequestID: id, Attempt: attempt, Result: policy.NotSent})
		return
	}
	deadline, writeDeadline := l.attemptDeadlines(r, timeout, writeTimeout)
	attemptDone := func(result attemptResult) {
		l.post(func(time.Duration) { l.attemptEnded(id, attempt, result) })
	}
	r.attempts = append(r.attempts, l.transport.send(target, r.outbound, deadline, writeDeadline, attemptDone))
}

// maySend reports whether an attempt may be sent: its request is open and has attempts and time left, and
// neither of the attempt's time limits has expired (is negative).
func (l *eventLoop) maySend(r *request, timeout, writeTimeout time.Duration) bool {
	return !r.closed &&
		len(r.attempts) < l.maxAttempts &&
		l.now < r.deadline &&
		timeout >= 0 && writeTimeout >= 0
}

// attemptDeadlines returns the time at which an attempt ends, and the time by which its request must have
// been written (0: no separate limit).
func (l *eventLoop) attemptDeadlines(r *request, timeout, writeTimeout time.Duration) (deadline, writeDeadline time.Duration) {
	remaining := r.deadline - l.now
	if timeout == 0 || timeout > remaining {
		timeout = remaining
	}
	deadline = l.now + timeout
	if writeTimeout > 0 {
		writeDeadline = min(deadline, l.now+writeTimeout)
	}
	return deadline, writeDeadline
}

// Reject responds with 503: the client may retry safely, preferably after delay (0: not stated), as the request
// has not run or running it again has no effect.
func (l *eventLoop) Reject(id policy.RequestID, delay time.Duration) {
	if r := l.requests[id]; r != nil && !r.closed {
		l.respond(id, r, &response{status: http.StatusServiceUnavailable, retryAfter: delay})
	}
}

// Fail responds with 502, or with 504 if time ran out: the attempt that ended last timed out, or an attempt
// is still in flight. The request may have run.
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

// Cancel abandons an attempt; its Outcome is still reported.
func (l *eventLoop) Cancel(id policy.RequestID, attempt int) {
	r := l.requests[id]
	if r == nil || attempt < 0 || attempt >= len(r.attempts) || r.attempts[attempt] == nil {
		return
	}
	r.attempts[attempt].cancel()
}

// SetTimer schedules a call of the Balancer's TimerFired after d.
func (l *eventLoop) SetTimer(d time.Duration) { l.addTimer(l.now + max(d, 0)) }

// HealthCheck requests a server's health or load report and passes the result to the Balancer.
func (l *eventLoop) HealthCheck(to policy.EndpointID) {
	checked := func(ok bool, load policy.LoadReport) {
		l.post(func(now time.Duration) { l.balancer.HealthChecked(now, to, ok, load) })
	}
	e := l.endpoints[to]
	if e == nil { // no longer listed
		// checked runs on another goroutine, because post could deadlock on the loop's own.
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

// Broadcast sends a gossip message to the other sidecars. It may be lost.
func (l *eventLoop) Broadcast(message policy.GossipMessage) { l.peers.send(gossip.Encode(message)) }

// handleGossip passes a message of another sidecar to the Balancer. It is called on the goroutine of
// gossipTransport.run and blocks as post does.
func (l *eventLoop) handleGossip(from int, message policy.GossipMessage) {
	l.post(func(now time.Duration) { l.balancer.ReceiveGossip(now, from, message) })
}

// WatchEndpoints asks the discovery client to poll the endpoint list. It has no effect if the list is pushed.
func (l *eventLoop) WatchEndpoints() { l.watchEndpoints() }

// Log logs a change in an endpoint's health for the engineers on call.
func (l *eventLoop) Log(event policy.HealthEvent) {
	// The id is a hash of the instance id in discovery.
	id := slog.String("endpoint", strconv.FormatUint(uint64(event.Endpoint), 16))
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
