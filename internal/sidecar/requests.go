package sidecar

import (
	"net/http"
	"time"

	"cranehatch/policy"
)

// request is an entry of the request table. It is deleted once the request is closed and all its attempts
// have ended.
type request struct {
	outbound         *outboundRequest
	reply            chan<- response
	deadline         time.Duration // the client's deadline, in the clock's time
	attempts         []*exchange   // indexed by attempt number; nil if the send was denied
	inFlight         int           // attempts whose Outcome has not been reported yet
	closed           bool          // the response was sent to reply, or the client has disconnected
	deadlineExceeded bool          // the attempt that ended last timed out; Fail then responds with 504
}

// response is the final response to a client's request.
type response struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration // with status 503: when the client should retry; 0: not stated
}

// submit registers a request and returns its id, for clientDisconnected. The ingress calls submit on the
// goroutine of the client's connection; it blocks as post does. The response is sent to reply, which must be
// buffered, as the loop must not block.
func (l *eventLoop) submit(req policy.Request, outbound *outboundRequest, deadline time.Duration, reply chan<- response) policy.RequestID {
	req.ID = policy.RequestID(l.lastID.Add(1))
	l.post(func(now time.Duration) {
		req.Timeout = deadline - now
		l.requests[req.ID] = &request{outbound: outbound, deadline: deadline, reply: reply}
		l.balancer.Request(now, req)
	})
	return req.ID
}

// clientDisconnected registers that the client of a request has closed its connection. The ingress calls it
// on the goroutine of that connection; it blocks as post does.
func (l *eventLoop) clientDisconnected(id policy.RequestID) {
	l.post(func(now time.Duration) {
		if r := l.requests[id]; r != nil {
			l.closeDisconnected(now, id, r)
		}
	})
}

// closeDisconnected closes a request whose client has disconnected and notifies the Balancer, unless the
// request is closed already.
func (l *eventLoop) closeDisconnected(now time.Duration, id policy.RequestID, r *request) {
	if r.closed {
		return
	}
	l.respond(id, r, nil)
	l.balancer.ClientDisconnected(now, id)
}

// respond closes a request and sends its final response, or none (nil) if the client has disconnected.
// Attempts whose request has not been written yet are abandoned. The others go on: only the Balancer cancels
// them, as the configuration may forbid that.
func (l *eventLoop) respond(id policy.RequestID, r *request, final *response) {
	r.closed = true
	for _, x := range r.attempts {
		if x != nil {
			x.abandonUnwritten(policy.Cancelled)
		}
	}
	if final != nil {
		r.reply <- *final
	}
	if r.inFlight == 0 {
		delete(l.requests, id)
	}
}

// attemptEnded processes the result of an attempt, on the loop's goroutine. The first successful attempt
// provides the response.
func (l *eventLoop) attemptEnded(id policy.RequestID, attempt int, result attemptResult) {
	r := l.requests[id]
	r.deadlineExceeded = result.result == policy.TimedOut
	// The transport checks the client's socket before it writes, so it may detect a disconnect before
	// clientDisconnected arrives. Without this check the Balancer would send a retry for a client that has
	// disconnected.
	if result.result == policy.NotSent && r.outbound.clientDisconnected() {
		l.closeDisconnected(l.now, id, r)
	}
	if result.result == policy.Succeeded && !r.closed {
		l.respond(id, r, &response{status: http.StatusOK, header: result.header, body: result.body})
	}
	l.reportOutcome(policy.Outcome{RequestID: id, Attempt: attempt, Result: result.result})
}

// reportOutcome reports the end of an attempt to the Balancer. It must be called exactly once for each
// attempt.
func (l *eventLoop) reportOutcome(o policy.Outcome) {
	r := l.requests[o.RequestID]
	r.inFlight--
	o.Answered = r.closed
	l.balancer.Outcome(l.now, o)
	if r.closed && r.inFlight == 0 {
		delete(l.requests, o.RequestID)
	}
}

// reportDeniedSends reports the sends that were not carried out. Send only records them, as it runs within a
// call of the Balancer and a Host must not call back into it. run calls reportDeniedSends between two events.
func (l *eventLoop) reportDeniedSends() {
	for len(l.deniedSends) > 0 {
		o := l.deniedSends[0]
		l.deniedSends = l.deniedSends[1:]
		l.reportOutcome(o)
	}
}
