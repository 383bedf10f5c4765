package policy

import (
	"time"
)

// RequestID identifies a request. The host chooses it and never uses one twice.
type RequestID uint64

// Request is one client request.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int
	Key          uint64        // identifies the object that the request is about; 0: none
	Timeout      time.Duration // time until the client gives up
	ExpectedWork time.Duration // 0: unknown
	ClientRetry  bool          // known to be a client retry
}

// Result is how an attempt ended.
type Result int

// The results of an attempt. Rejected, ConnectFailed and NotSent prove that the attempt did not
// run. After any other result except Succeeded, including values not listed here, the attempt may
// have run.
const (
	Succeeded      Result = iota
	ServerError           // an unsuccessful response
	Rejected              // the endpoint reports that it did not process the request
	TimedOut              // the request was written, but no response came in time
	ConnectFailed         // there was no connection, or the request was not written completely
	ConnectionLost        // the request was written, but the connection ended before a complete response
	Cancelled             // abandoned by Host.Cancel, together with its request, or for lack of memory
	NotSent               // not written, for a reason within the sidecar and unrelated to the endpoint
)

// Outcome reports the end of one attempt.
type Outcome struct {
	RequestID RequestID
	Attempt   int // index in the order of the Host.Send calls for this request, from 0
	Result    Result
	Answered  bool // the request has been answered, or its client has disconnected
}

// maxRequestTimeout caps Request.Timeout. A longer timeout makes no difference.
const maxRequestTimeout = time.Hour

// class holds the settings of a class and the observations of its requests.
type class struct {
	Class
	index       int
	meanLatency time.Duration // of successful attempts
	maxTimeout  time.Duration // timeout of first tries: the highest Request.Timeout observed, decaying slowly
}

// attemptState is whether an attempt is in flight and, if not, whether it may have run.
type attemptState int

const (
	attemptInFlight attemptState = iota
	attemptMayHaveRun
	attemptNeverRan
)

// attempt is one attempt to serve a request.
type attempt struct {
	endpoint *endpoint
	// Zone and cell of the endpoint when the attempt was sent. They are kept because the list entry
	// that removes an endpoint may lack both.
	zone   int
	cell   int
	sentAt time.Duration
	state  attemptState
}

// request is a client request that has not been answered yet or has attempts in flight.
type request struct {
	id         RequestID
	class      *class
	bulkhead   *bulkhead
	key        uint64
	firstTryAt time.Duration // start of the client's first try, as estimated
	deadline   time.Duration // when the client gives up
	// When attempts time out: at the deadline or, if late responses have no value to the class, at
	// the end of the latency objective, counted from the first try. See also dispatchLate.
	attemptDeadline   time.Duration
	objectiveDeadline time.Duration // a response by this time counts as goodput: see admission
	attempts          []attempt
	inFlight          int
	keyQueue          *keyQueue // nil: the request need not run in order with others

	awaitedReport  *endpoint // the request waits for this endpoint's load report; nil: it does not wait
	reportDeadline time.Duration
	healthChecks   int // health checks made for this request

	streaming bool // the response has started to reach the client; no other answer may follow
	closed    bool // answered, or the client has disconnected; kept until all attempts have ended
}

// firstThatMayHaveRun returns the first attempt that may have run or may still be running, or nil.
func (r *request) firstThatMayHaveRun() *attempt {
	for i := range r.attempts {
		if r.attempts[i].state != attemptNeverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// attempted reports whether an attempt of this request was sent to the endpoint.
func (r *request) attempted(e *endpoint) bool {
	for i := range r.attempts {
		if r.attempts[i].endpoint == e {
			return true
		}
	}
	return false
}

// latestStart returns the time after which an attempt is not worth starting, as its response is
// expected after attemptDeadline. A response is expected to take twice the mean latency of the
// class, but at most half of its latency objective.
func (r *request) latestStart() time.Duration {
	return r.attemptDeadline - min(2*r.class.meanLatency, r.class.LatencyObjective/2)
}

// neverRan reports whether the result proves that the attempt did not run.
func (r Result) neverRan() bool {
	return r == Rejected || r == ConnectFailed || r == NotSent
}

// validRequest reports whether a request names an existing class and tenant and has time left. If
// no tenants are configured, all requests belong to one, and validRequest sets Tenant to 0.
func (b *Balancer) validRequest(req *Request) bool {
	if len(b.cfg.Tenants) == 0 {
		req.Tenant = 0
	}
	classKnown := req.Class >= 0 && req.Class < len(b.classes)
	tenantKnown := req.Tenant >= 0 && req.Tenant < len(b.bulkheads.byTenant)
	return classKnown && tenantKnown && req.Timeout > 0
}

// newRequest registers a valid request.
func (b *Balancer) newRequest(now time.Duration, req Request) *request {
	r := &request{
		id:         req.ID,
		class:      &b.classes[req.Class],
		bulkhead:   &b.bulkheads.byTenant[req.Tenant],
		key:        req.Key,
		firstTryAt: now,
		deadline:   now + min(req.Timeout, maxRequestTimeout),
	}
	r.attemptDeadline = r.deadline
	r.objectiveDeadline = min(r.deadline, now+r.class.LatencyObjective)
	if req.ClientRetry && req.Key != 0 {
		r.firstTryAt = b.clientRetries.firstTryStart(now, r)
	}
	b.setAttemptDeadline(now, r, req)
	if r.class.OrderedByKey && req.Key != 0 {
		b.ordering.join(now, r, len(b.requests))
	}
	b.requests[r.id] = r
	b.openRequests = append(b.openRequests, r)
	return r
}

// setAttemptDeadline makes attempts time out at the end of the latency objective, counted from the
// client's first try. It changes nothing if late responses have a value to the class, or if the
// objective depends on the expected work and that is unknown.
//
// A request with a shorter timeout than first tries usually have counts as a client retry, unless
// clients mark their retries and this one is not marked. Clients wait for Class.Deadline in total,
// so the first try of such a retry is assumed to have begun that long before the request's deadline.
func (b *Balancer) setAttemptDeadline(now time.Duration, r *request, req Request) {
	c := r.class
	objectiveKnown := c.ObjectivePerWork == 0 || req.ExpectedWork > 0
	if c.LateValue != 0 || !objectiveKnown {
		return
	}
	c.maxTimeout = max(req.Timeout, c.maxTimeout-(c.maxTimeout-req.Timeout)/maxTimeoutDecay)
	mayBeRetry := req.ClientRetry || !b.cfg.ClientsMarkRetries
	if mayBeRetry && req.Timeout < c.maxTimeout-2*activeTimerInterval {
		r.firstTryAt = min(r.firstTryAt, r.deadline-c.Deadline)
	}
	objective := c.LatencyObjective + time.Duration(c.ObjectivePerWork*float64(req.ExpectedWork))
	r.attemptDeadline = min(r.deadline, r.firstTryAt+objective)
}

// maxTimeoutDecay is the number of requests over which the difference between class.maxTimeout and
// the lower timeouts of these requests falls by a factor of e.
const maxTimeoutDecay = 64

// attemptStarted counts an attempt as in flight for its request, endpoint, bulkhead and balancer.
func (b *Balancer) attemptStarted(r *request, e *endpoint) { b.addInFlight(r, e, 1) }

// attemptEnded reverses attemptStarted.
func (b *Balancer) attemptEnded(r *request, e *endpoint) { b.addInFlight(r, e, -1) }

// addInFlight adds delta to all counts of attempts in flight that an attempt belongs to.
func (b *Balancer) addInFlight(r *request, e *endpoint, delta int) {
	r.inFlight += delta
	e.inFlight += delta
	r.bulkhead.slotsInUse += delta
	b.inFlight += delta
}

// rejectOrFail answers a request without a response from an endpoint. It rejects the request if the
// client may safely repeat it, and otherwise fails it, as the request may have had an effect that a
// retry would repeat.
func (b *Balancer) rejectOrFail(now time.Duration, r *request) {
	if r.closed {
		return
	}
	if r.clientMayRetry() {
		b.counters.Rejected++
		b.host.Reject(r.id, b.retryAfter())
	} else {
		b.counters.Failed++
		b.host.Fail(r.id)
	}
	if b.cfg.ClientsMarkRetries && r.key != 0 {
		b.clientRetries.record(now, r)
	}
	b.closeRequest(r)
}

// retryAfter returns how long a rejected client should wait: one to two times the mean latency,
// chosen at random so that clients do not all return at the same time.
func (b *Balancer) retryAfter() time.Duration {
	wait := time.Duration((1 + b.rng.Float64()) * float64(b.meanLatency))
	return min(b.cfg.MaxRetryAfter, wait)
}

// closeRequest closes a request that has been answered or whose client has disconnected: it removes
// the request from its queue and, if Config.CanCancel is set, cancels its attempts in flight.
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

// removeRequest removes a closed request without attempts in flight. The next request of its key
// may then run.
func (b *Balancer) removeRequest(r *request) {
	delete(b.requests, r.id)
	if r.keyQueue != nil {
		r.keyQueue.remove(r)
	}
}
