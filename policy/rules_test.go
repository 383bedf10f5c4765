package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// ruleChecker is a Host that checks the rules at every action of a Balancer. It tracks the requests and endpoints
// independently of the Balancer, so that it also detects faults in the Balancer's own state.
type ruleChecker struct {
	t          testing.TB
	cfg        Config
	balancer   *Balancer
	now        time.Duration
	requests   map[RequestID]*trackedRequest
	requestIDs []RequestID // keys of requests, in order of arrival: iterating over the map would make runs differ
	endpoints  map[EndpointID]Endpoint
	trace      []string // the Balancer's actions, as text

	requestTimes   []time.Duration                // times of all requests, for the retry budget
	retryTimes     []time.Duration                // times of all retries
	blockedUntil   map[uint64]time.Duration       // by Request.Key
	slowStartSends map[EndpointID][]time.Duration // times of the sends since the endpoint was listed with a new start
	closeBy        map[EndpointID]time.Duration   // by when idle connections to a draining endpoint must be closed
}

func newRuleChecker(t testing.TB, cfg Config, now time.Duration) *ruleChecker {
	return &ruleChecker{
		t:              t,
		cfg:            cfg,
		now:            now,
		requests:       map[RequestID]*trackedRequest{},
		endpoints:      map[EndpointID]Endpoint{},
		blockedUntil:   map[uint64]time.Duration{},
		slowStartSends: map[EndpointID][]time.Duration{},
		closeBy:        map[EndpointID]time.Duration{},
	}
}

// trackedRequest is a ruleChecker's record of one request.
type trackedRequest struct {
	Request
	deadline time.Duration
	attempts []trackedAttempt
	answered bool // answered, or its client has disconnected
}

// trackedAttempt is a ruleChecker's record of one attempt.
type trackedAttempt struct {
	endpoint Endpoint // as listed when the attempt was sent
	sentAt   time.Duration
	result   Result
	inFlight bool
}

// firstThatMayHaveRun returns the first attempt that may have run or may still be running, or nil.
func (r *trackedRequest) firstThatMayHaveRun() *trackedAttempt {
	for i := range r.attempts {
		a := &r.attempts[i]
		neverRan := a.result == Rejected || a.result == ConnectFailed || a.result == NotSent
		if a.inFlight || !neverRan {
			return a
		}
	}
	return nil
}

// inFlight returns the number of attempts in flight.
func (r *trackedRequest) inFlight() (n int) {
	for _, a := range r.attempts {
		if a.inFlight {
			n++
		}
	}
	return n
}

// finished reports whether a request has been answered and none of its attempts is in flight.
func (r *trackedRequest) finished() bool { return r.answered && r.inFlight() == 0 }

// record appends an action to the trace.
func (c *ruleChecker) record(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf(format, args...))
}

func (c *ruleChecker) Send(id RequestID, to EndpointID, timeout, _ time.Duration) {
	c.record("send %d %d %v", id, to, timeout)
	r, e := c.requests[id], c.endpoints[to]
	c.checkAttempt(id, r, e, timeout)
	c.checkDuplicate(r, e)
	c.checkKeyOrder(r)
	c.checkSlowStart(e)
	c.checkRetryBudget(r)
	r.attempts = append(r.attempts, trackedAttempt{endpoint: e, sentAt: c.now, inFlight: true})
}

// checkAttempt checks that the request is open and the endpoint ready, and that the attempt keeps to the request's
// deadline and to the maximum number of attempts.
func (c *ruleChecker) checkAttempt(id RequestID, r *trackedRequest, e Endpoint, timeout time.Duration) {
	c.t.Helper()
	switch {
	case r == nil || r.answered:
		c.t.Fatalf("attempt for request %d, which is unknown or already answered", id)
	case e.State != Ready:
		c.t.Fatalf("attempt at endpoint %d, which is in state %d, not ready", e.ID, e.State)
	case timeout <= 0 || c.now+timeout > r.deadline:
		c.t.Fatalf("attempt with timeout %v at %v ends after the deadline %v", timeout, c.now, r.deadline)
	case len(r.attempts) >= c.cfg.MaxAttempts:
		c.t.Fatalf("attempt %d sent, want at most %d attempts", len(r.attempts)+1, c.cfg.MaxAttempts)
	}
}

// checkDuplicate checks that no request runs twice if its class forbids it.
func (c *ruleChecker) checkDuplicate(r *trackedRequest, e Endpoint) {
	c.t.Helper()
	if n := r.inFlight(); n > 0 { // no configuration allows hedged requests
		c.t.Fatalf("request %d sent while %d of its attempts are in flight", r.ID, n)
	}
	class, first := c.cfg.Classes[r.Class], r.firstThatMayHaveRun()
	if first == nil {
		return
	}
	switch class.Idempotency {
	case NonIdempotent:
		c.t.Fatalf("non-idempotent request %d sent again although it may have run", r.ID)
	case IdempotentByKey:
		if c.now-first.sentAt >= class.DedupWindow {
			c.t.Fatalf("request %d, idempotent by key, sent again %v after its first attempt, outside its deduplication window",
				r.ID, c.now-first.sentAt)
		}
		otherZone := class.DedupScope == DedupInZone && e.Zone != first.endpoint.Zone
		otherCell := class.DedupScope == DedupInCell && e.Cell != first.endpoint.Cell
		if otherZone || otherCell {
			c.t.Fatalf("request %d, idempotent by key, sent again outside its deduplication scope", r.ID)
		}
	}
}

// checkRetryBudget checks that the retries of each interval stay within the budget given by its requests.
func (c *ruleChecker) checkRetryBudget(r *trackedRequest) {
	c.t.Helper()
	budget := c.cfg.RetryBudget
	if len(r.attempts) == 0 || budget.Interval == 0 {
		return
	}
	c.retryTimes = append(c.retryTimes, c.now)
	retries, requests := 0, 0
	for _, at := range c.retryTimes {
		if at >= c.now-budget.Interval {
			retries++
		}
	}
	for _, at := range c.requestTimes {
		if at > c.now-budget.Interval {
			requests++
		}
	}
	if float64(retries) > budget.MinRetries+budget.RetryRatio*float64(requests)+1e-6 {
		c.t.Fatalf("%d retries in %v exceed the budget for %d requests", retries, budget.Interval, requests)
	}
}

// checkSlowStart checks that this balancer sends an endpoint in slow start at most an equal share of the requests that
// the endpoint can take without failing.
func (c *ruleChecker) checkSlowStart(e Endpoint) {
	c.t.Helper()
	age := c.now - e.StartedAt
	if e.StartedAt == 0 || age >= c.cfg.SlowStartDuration {
		return
	}
	c.slowStartSends[e.ID] = append(c.slowStartSends[e.ID], c.now)
	sends := 0
	for _, at := range c.slowStartSends[e.ID] {
		if at > c.now-time.Second {
			sends++
		}
	}
	quota := 0.0
	for _, t := range c.cfg.Tenants {
		quota += t.Quota
	}
	capacityFraction := c.cfg.SlowStartFraction + (1-c.cfg.SlowStartFraction)*float64(age)/float64(c.cfg.SlowStartDuration)
	if limit := 1 + c.cfg.OverloadFactor*capacityFraction*quota/float64(c.cfg.Balancers); float64(sends) > limit {
		c.t.Fatalf("%d sends in one second to endpoint %d, in slow start for %v, want at most %.1f", sends, e.ID, age, limit)
	}
}

// checkKeyOrder checks that all earlier requests of the same key have finished, and that the key is not blocked.
func (c *ruleChecker) checkKeyOrder(r *trackedRequest) {
	c.t.Helper()
	ordered := func(other *trackedRequest) bool {
		return c.cfg.Classes[other.Class].OrderedByKey && other.Key == r.Key && r.Key != 0
	}
	if !ordered(r) {
		return
	}
	for id, other := range c.requests {
		if id < r.ID && ordered(other) && !other.finished() { // IDs are in order of arrival
			c.t.Fatalf("request %d sent before request %d of the same key has finished", r.ID, id)
		}
	}
	if len(r.attempts) == 0 && c.now < c.blockedUntil[r.Key] {
		c.t.Fatalf("request %d sent while its key is blocked for another %v", r.ID, c.blockedUntil[r.Key]-c.now)
	}
}

// checkIdleCloses checks that idle connections to draining endpoints are closed in time.
func (c *ruleChecker) checkIdleCloses() {
	c.t.Helper()
	for id, limit := range c.closeBy {
		if c.now > limit {
			c.t.Fatalf("idle connections to draining endpoint %d not closed, %v overdue", id, c.now-limit)
		}
	}
}

// expectIdleClose restarts the time limit for closing idle connections to an endpoint, if it is draining.
func (c *ruleChecker) expectIdleClose(id EndpointID) {
	if c.cfg.IdleCloseTimeout > 0 && c.endpoints[id].State == Draining {
		c.closeBy[id] = c.now + c.cfg.IdleCloseTimeout
	}
}

// recordAnswer records the answer to a request, and checks that it is the first one and in time.
func (c *ruleChecker) recordAnswer(id RequestID) *trackedRequest {
	c.t.Helper()
	r := c.requests[id]
	if r == nil || r.answered {
		c.t.Fatalf("request %d answered, which is unknown or already answered", id)
	}
	if c.now > r.deadline+20*ms {
		c.t.Fatalf("request answered %v after its deadline", c.now-r.deadline)
	}
	r.answered = true
	return r
}

func (c *ruleChecker) Reject(id RequestID, retryAfter time.Duration) {
	c.record("reject %d %v", id, retryAfter)
	r := c.recordAnswer(id)
	class := c.cfg.Classes[r.Class]
	duplicateHasEffect := class.Idempotency == NonIdempotent ||
		class.Idempotency == IdempotentByKey && class.DedupScope != DedupEverywhere
	if r.firstThatMayHaveRun() != nil && duplicateHasEffect {
		c.t.Fatalf("request %d rejected although it may have run and a duplicate may have an effect", id)
	}
	if retryAfter < 0 || retryAfter > c.cfg.MaxRetryAfter {
		c.t.Fatalf("request %d rejected with a Retry-After of %v, want 0 to %v", id, retryAfter, c.cfg.MaxRetryAfter)
	}
}

func (c *ruleChecker) Fail(id RequestID)                { c.record("fail %d", id); c.recordAnswer(id) }
func (c *ruleChecker) Cancel(id RequestID, attempt int) { c.record("cancel %d %d", id, attempt) }
func (c *ruleChecker) SetTimer(d time.Duration)         { c.record("timer %v", d) }
func (c *ruleChecker) HealthCheck(to EndpointID)        { c.record("healthcheck %d", to) }
func (c *ruleChecker) Broadcast(m GossipMessage)        { c.record("broadcast %+v", m) }
func (c *ruleChecker) CloseIdle(to EndpointID)          { c.record("close %d", to); delete(c.closeBy, to) }
func (c *ruleChecker) WatchEndpoints()                  { c.record("watch") }
func (c *ruleChecker) Log(e HealthEvent)                { c.record("log %s", e) }

// checkSlots checks that the Balancer's counts of attempts in flight are right: no slot leaks, and none is used twice.
func (c *ruleChecker) checkSlots() {
	c.t.Helper()
	inFlightByTenant := make([]int, len(c.cfg.Tenants))
	total := 0
	for _, r := range c.requests {
		inFlightByTenant[r.Tenant] += r.inFlight()
		total += r.inFlight()
	}
	for i, h := range c.balancer.bulkheads.byTenant {
		if h.slotsInUse != inFlightByTenant[i] || h.slotsInUse > h.slots || c.balancer.FreeSlots(i) < 0 {
			c.t.Fatalf("bulkhead %d: %d of %d slots in use, %d attempts in flight", i, h.slotsInUse, h.slots, inFlightByTenant[i])
		}
	}
	if c.balancer.inFlight != total {
		c.t.Fatalf("Balancer counts %d attempts in flight, want %d", c.balancer.inFlight, total)
	}
	for _, e := range c.balancer.endpoints.all {
		if e.inFlight < 0 {
			c.t.Fatalf("Balancer counts %d attempts in flight at endpoint %d, want at least 0", e.inFlight, e.ID)
		}
	}
}

// dropFinished drops the finished requests if more than 60 are tracked.
func (c *ruleChecker) dropFinished() {
	if len(c.requestIDs) <= 60 {
		return
	}
	c.requestIDs = slices.DeleteFunc(c.requestIDs, func(id RequestID) bool {
		finished := c.requests[id].finished()
		if finished {
			delete(c.requests, id)
		}
		return finished
	})
}
