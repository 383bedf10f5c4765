package sidecar

import (
	"net/http"
	"time"

	"cranehatch/policy"
)

// request is an entry of the request table. It stays until the request has its response (or its client has
// disconnected) and all its attempts have ended.
type request struct {
	outbound         *outboundRequest
	reply            chan<- response
	deadline         time.Duration
	attempts         []*exchange // by attempt number; nil: was not sent
	inFlight         int         // attempts with no Outcome yet
	closed           bool        // it has its response, or its client has disconnected
	deadlineExceeded bool        // its latest attempt ended so: makes the status of a failure 504
}

// response is the one response that a request's client gets.
type response struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration // with 503: when the client may retry
}

// submit enters a request. The ingress calls it on the goroutine of the client's connection; it blocks as post does.
// The response goes to reply, which must have capacity for it, as the loop must not block. The returned id names
// the request for clientGone.
func (l *eventLoop) submit(q policy.Request, m *outboundRequest, deadline time.Duration, reply chan<- response) policy.RequestID {
	q.ID = policy.RequestID(l.lastID.Add(1))
	l.post(func(now time.Duration) {
		q.Timeout = deadline - now
		l.requests[q.ID] = &request{outbound: m, deadline: deadline, reply: reply}
		l.balancer.Request(now, q)
	})
	return q.ID
}

// clientGone takes that the client of a request has closed its connection. The ingress calls it on the goroutine of
// that connection; it blocks as post does.
func (l *eventLoop) clientGone(id policy.RequestID) {
	l.post(func(now time.Duration) {
		if r := l.requests[id]; r != nil {
			l.abandon(now, id, r)
		}
	})
}

// abandon ends a request whose client has disconnected, once.
func (l *eventLoop) abandon(now time.Duration, id policy.RequestID, r *request) {
	if r.closed {
		return
	}
	l.respond(id, r, nil)
	l.balancer.ClientDisconnected(now, id)
}

// respond closes a request with its response, or with none (nil) where the client has disconnected. Attempts of which
// nothing is written yet end unwritten. Those under way go on: whether they are cancelled is for the Balancer, as
// the settings may forbid it.
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

// attemptEnded takes the result of an attempt, on the loop's goroutine. The first that succeeded is the response.
func (l *eventLoop) attemptEnded(id policy.RequestID, number int, result attemptResult) {
	r := l.requests[id]
	r.deadlineExceeded = result.outcome == policy.TimedOut
	// The transport asks the client's socket before it writes, so it may know of a disconnect before clientGone
	// arrives. Without this check the Balancer would send a retry that nobody waits for.
	if result.outcome == policy.NotSent && r.outbound.abandoned() {
		l.abandon(l.now, id, r)
	}
	if result.outcome == policy.Succeeded && !r.closed {
		l.respond(id, r, &response{status: http.StatusOK, header: result.header, body: result.body})
	}
	l.reportOutcome(policy.Outcome{RequestID: id, Attempt: number, Result: result.outcome, Report: result.report})
}

// reportOutcome reports the end of an attempt to the Balancer. It must be called once for each attempt.
func (l *eventLoop) reportOutcome(o policy.Outcome) {
	r := l.requests[o.RequestID]
	r.inFlight--
	o.Answered = r.closed
	l.balancer.Outcome(l.now, o)
	if r.closed && r.inFlight == 0 {
		delete(l.requests, o.RequestID)
	}
}

// reportUnsent reports the sends that were not carried out. Send only notes them, as the Balancer is in the midst of
// a call then and a Host must not call back; run calls this between two events.
func (l *eventLoop) reportUnsent() {
	for len(l.unsentOutcomes) > 0 {
		o := l.unsentOutcomes[0]
		l.unsentOutcomes = l.unsentOutcomes[1:]
		l.reportOutcome(o)
	}
}
