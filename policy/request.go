package policy

import (
	"time"
)

// RequestID names a request; the host picks it and never uses one twice.
type RequestID uint64

// Request is one client request.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int
	Key          uint64        // what the request is about; 0: nothing in particular
	Timeout      time.Duration // until the client gives up
	ExpectedWork time.Duration // 0: unknown
	ClientRetry  bool          // known to be a client's own retry
}

// Result says how an attempt ended.
type Result int

// The results of an attempt. Rejected, ConnectFailed and NotSent prove that
// it never ran; every other one but Succeeded means that it may have run, and
// so does a value not listed here.
const (
	Succeeded      Result = iota
	ServerError           // a response that is no success
	Rejected              // the endpoint says that it did not process the request
	TimedOut              // written, and no response in time
	ConnectFailed         // no connection, or the request was not written to its last byte
	ConnectionLost        // written, and the connection ended without a complete response
	Cancelled             // abandoned by Host.Cancel, or with its request
	NotSent               // not written, for a reason on the sidecar's side; says nothing of the endpoint
)

// Outcome is the end of one attempt.
type Outcome struct {
	RequestID RequestID
	Attempt   int // numbered from 0 in the order of Host.Send for this request
	Result    Result
	Answered  bool // the request has been answered, or its client has gone
}

// maxRequestTimeout bounds what a request may say of its time; more makes no
// difference.
const maxRequestTimeout = time.Hour

// class is the settings of a class with what was learned about it.
type class struct {
	Class
	index       int
	meanLatency time.Duration // of successful attempts
	maxTimeout  time.Duration // time left that first tries come with: the highest seen, slowly decreasing
}

type attemptState int

const (
	attemptInFlight attemptState = iota
	attemptMayHaveRun
	attemptNeverRan
)

// attempt is one send of a request.
type attempt struct {
	endpoint *endpoint
	zone     int // of the endpoint when it was sent; the list entry that removes it may lack both
	cell     int
	sentAt   time.Duration
	state    attemptState
}

// request is a request that has not been answered or has attempts in flight.
type request struct {
	id                RequestID
	class             *class
	bulkhead          *bulkhead
	key               uint64
	firstTryAt        time.Duration // when the client's first try began, as far as is known
	deadline          time.Duration // when the client gives up
	attemptDeadline   time.Duration // the deadline or, where late responses have no value, the latency objective
	objectiveDeadline time.Duration // a response before this meets the latency objective
	attempts          []attempt
	inFlight          int
	keyQueue          *keyQueue // nil: need not run in order with others

	awaitedReport  *endpoint // waits for this endpoint's load report
	reportDeadline time.Duration
	healthChecks   int // made for this request

	streaming bool // the response has begun to reach the client: no other may follow
	closed    bool // answered, or its client has gone; kept until its attempts have ended
}

// firstEffective returns the first attempt that may have run or may be
// running, or nil.
func (r *request) firstEffective() *attempt {
	for i := range r.attempts {
		if r.attempts[i].state != attemptNeverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// attempted says whether an attempt of this request went to an endpoint.
func (r *request) attempted(e *endpoint) bool {
	for i := range r.attempts {
		if r.attempts[i].endpoint == e {
			return true
		}
	}
	return false
}

// latestStart is when it stops being worth it to start an attempt: its
// response would come after attemptsEndBy.
func (r *request) latestStart() time.Duration {
	return r.attemptDeadline - min(2*r.class.meanLatency, r.class.LatencyObjective/2)
}

// neverRan says that a result proves that the attempt did not run.
func (r Result) neverRan() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent
}

// usable says whether a request names a class and a tenant that there are, and
// has time left. Where no tenants are set, all requests belong to one.
func (b *Balancer) validRequest(q *Request) bool {
	if len(b.cfg.Tenants) == 0 {
		q.Tenant = 0
	}
	classKnown := q.Class >= 0 && q.Class < len(b.classes)
	tenantKnown := q.Tenant >= 0 && q.Tenant < len(b.bulkheads.all)
	return classKnown && tenantKnown && q.Timeout > 0
}

// newRequest enters a usable request.
func (b *Balancer) newRequest(now time.Duration, q Request) *request {
	r := &request{
		id:         q.ID,
		class:      &b.classes[q.Class],
		bulkhead:   &b.bulkheads.all[q.Tenant],
		key:        q.Key,
		firstTryAt: now,
		deadline:   now + min(q.Timeout, maxRequestTimeout),
	}
	r.attemptDeadline = r.deadline
	r.objectiveDeadline = min(r.deadline, now+r.class.LatencyObjective)
	if q.ClientRetry && q.Key != 0 {
		r.firstTryAt = b.clientRetries.firstTryStart(now, r)
	}
	b.setAttemptDeadline(now, r, q)
	if r.class.OrderedByKey && q.Key != 0 {
		b.ordering.join(now, r, len(b.requests))
	}
	b.requests[r.id] = r
	b.open = append(b.open, r)
	return r
}

// limitUsefulness ends attempts at the latency objective of the client's first
// try, for classes whose late responses have no value. A client's retry comes with less time left than a
// first try, or waits less in all: that tells when the first try began.
func (b *Balancer) setAttemptDeadline(now time.Duration, r *request, q Request) {
	c := r.class
	objectiveKnown := c.ObjectivePerWork == 0 || q.ExpectedWork > 0
	if c.LateValue != 0 || !objectiveKnown {
		return
	}
	c.maxTimeout = max(q.Timeout, c.maxTimeout-(c.maxTimeout-q.Timeout)/maxTimeoutDecay)
	mayBeRetry := q.ClientRetry || !b.cfg.ClientsMarkRetries
	if mayBeRetry && q.Timeout < c.maxTimeout-2*activeTimerInterval {
		r.firstTryAt = min(r.firstTryAt, r.deadline-c.Deadline)
	}
	objective := c.LatencyObjective + time.Duration(c.ObjectivePerWork*float64(q.ExpectedWork))
	r.attemptDeadline = min(r.deadline, r.firstTryAt+objective)
}

// maxTimeoutDecay is how many requests it takes for class.maxTimeout to follow
// down by a factor of e.
const maxTimeoutDecay = 64

// attemptStarted counts an attempt wherever attempts are counted.
func (b *Balancer) attemptStarted(r *request, e *endpoint) { b.addInFlight(r, e, 1) }

// attemptEnded is the inverse of attemptStarted.
func (b *Balancer) attemptEnded(r *request, e *endpoint) { b.addInFlight(r, e, -1) }

func (b *Balancer) addInFlight(r *request, e *endpoint, n int) {
	r.inFlight += n
	e.inFlight += n
	r.bulkhead.used += n
	b.inFlight += n
}

// giveUp answers a request without a response of an endpoint: rejected where
// that is true, failed where it may have had an effect that would be repeated.
func (b *Balancer) rejectOrFail(now time.Duration, r *request) {
	if r.closed {
		return
	}
	if r.clientMayRetry() {
		b.count.Rejected++
		b.host.Reject(r.id, b.retryAfter())
	} else {
		b.count.Failed++
		b.host.Fail(r.id)
	}
	if b.cfg.ClientsMarkRetries && r.key != 0 {
		b.clientRetries.record(now, r)
	}
	b.closeRequest(r)
}

// retryAfter draws how long a rejected client is asked to wait: one to two
// times the mean latency, spread so that clients do not return all at once.
func (b *Balancer) retryAfter() time.Duration {
	pause := time.Duration((1 + b.rng.Float64()) * float64(b.meanLatency))
	return min(b.cfg.MaxRetryAfter, pause)
}

// closeRequest takes a request that has been answered, or whose client has
// gone, out of its queue and abandons its attempts.
func (b *Balancer) closeRequest(r *request) {
	r.closed = true
	r.bulkhead.removeQueued(r)
	for i := range r.attempts {
		if r.attempts[i].state == attemptInFlight && b.cfg.CanCancel {
			b.host.Cancel(r.id, i)
		}
	}
	if r.inFlight == 0 {
		b.removeRequest(r)
	}
}

// forget drops a closed request with no attempt in flight; the next of its key
// may go.
func (b *Balancer) removeRequest(r *request) {
	delete(b.requests, r.id)
	if r.keyQueue != nil {
		r.keyQueue.remove(r)
	}
}
