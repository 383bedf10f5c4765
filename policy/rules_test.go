package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// ruleChecker is a Host that checks the rules at every action of a Balancer. It keeps count of the requests and the
// endpoints by itself, so that a mistake in the Balancer's own state does not hide from it.
type ruleChecker struct {
	t         testing.TB
	cfg       Config
	b         *Balancer
	now       time.Duration
	requests  map[RequestID]*trackedRequest
	order     []RequestID // keys of requests, in order of arrival, so that a run can be repeated
	endpoints map[EndpointID]Endpoint
	trace     []string // the actions

	requestTimes   []time.Duration                // of all requests, for the retry budget
	retryTimes     []time.Duration                // of all retries
	blockedUntil   map[uint64]time.Duration       // by key
	slowStartSends map[EndpointID][]time.Duration // since the endpoint was listed as started
	closeBy        map[EndpointID]time.Duration   // when idle connections to a draining endpoint must be closed
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

// trackedRequest is what a ruleChecker knows of one request.
type trackedRequest struct {
	Request
	deadline time.Duration
	attempts []trackedAttempt
	answered bool // or its client has gone
}

// trackedAttempt is what a ruleChecker knows of one attempt.
type trackedAttempt struct {
	endpoint Endpoint // as listed when it was sent
	sentAt   time.Duration
	result   Result
	inFlight bool
}

// firstEffective returns the first attempt that may have run or may be running, or nil.
func (r *trackedRequest) firstEffective() *trackedAttempt {
	for i := range r.attempts {
		a := &r.attempts[i]
		neverRan := a.result == Rejected || a.result == ConnectFailed || a.result == NotSent
		if a.inFlight || !neverRan {
			return a
		}
	}
	return nil
}

// inFlight counts the attempts in flight.
func (r *trackedRequest) inFlight() (n int) {
	for _, a := range r.attempts {
		if a.inFlight {
			n++
		}
	}
	return n
}

// over says that nothing more can come of a request.
func (r *trackedRequest) over() bool { return r.answered && r.inFlight() == 0 }

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

// checkAttempt checks that an open request is sent to a ready endpoint, within its deadline and number of attempts.
func (c *ruleChecker) checkAttempt(id RequestID, r *trackedRequest, e Endpoint, timeout time.Duration) {
	c.t.Helper()
	switch {
	case r == nil || r.answered:
		c.t.Fatalf("attempt for request %d, which is over", id)
	case e.State != Ready:
		c.t.Fatalf("attempt at endpoint %d in state %d", e.ID, e.State)
	case timeout <= 0 || c.now+timeout > r.deadline:
		c.t.Fatalf("attempt timeout %v at %v runs past the deadline %v", timeout, c.now, r.deadline)
	case len(r.attempts) >= c.cfg.MaxAttempts:
		c.t.Fatalf("attempt %d of at most %d", len(r.attempts)+1, c.cfg.MaxAttempts)
	}
}

// checkDuplicate checks that no request runs twice whose class forbids it.
func (c *ruleChecker) checkDuplicate(r *trackedRequest, e Endpoint) {
	c.t.Helper()
	if n := r.inFlight(); n > 0 { // no setting allows two
		c.t.Fatalf("request %d sent while %d of its attempts are in flight", r.ID, n)
	}
	class, first := c.cfg.Classes[r.Class], r.firstEffective()
	if first == nil {
		return
	}
	switch class.Idempotency {
	case NonIdempotent:
		c.t.Fatalf("request %d, not idempotent, sent again though it may have run", r.ID)
	case IdempotentByKey:
		if c.now-first.sentAt >= class.DedupWindow {
			c.t.Fatalf("request %d, idempotent by key, sent again %v after the first attempt", r.ID, c.now-first.sentAt)
		}
		otherZone := class.DedupScope == DedupInZone && e.Zone != first.endpoint.Zone
		otherCell := class.DedupScope == DedupInCell && e.Cell != first.endpoint.Cell
		if otherZone || otherCell {
			c.t.Fatalf("request %d, idempotent by key, sent outside its scope", r.ID)
		}
	}
}

// checkRetryBudget checks that the retries of an interval stay within the budget of its requests.
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
		c.t.Fatalf("%d retries in %v, in which there were %d requests", retries, budget.Interval, requests)
	}
}

// checkSlowStart checks that this balancer sends an endpoint in slow start at most its even part of what that bears.
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
		c.t.Fatalf("%d sends in a second to endpoint %d, in slow start for %v, at most %.1f", sends, e.ID, age, limit)
	}
}

// checkKeyOrder checks that no earlier request of the same key is open, and that the key is not blocked.
func (c *ruleChecker) checkKeyOrder(r *trackedRequest) {
	c.t.Helper()
	ordered := func(other *trackedRequest) bool {
		return c.cfg.Classes[other.Class].OrderedByKey && other.Key == r.Key && r.Key != 0
	}
	if !ordered(r) {
		return
	}
	for id, other := range c.requests {
		if id < r.ID && ordered(other) && !other.over() { // ids are in order of arrival
			c.t.Fatalf("request %d sent while %d of its key is not over", r.ID, id)
		}
	}
	if len(r.attempts) == 0 && c.now < c.blockedUntil[r.Key] {
		c.t.Fatalf("request %d sent %v too early after another of its key", r.ID, c.blockedUntil[r.Key]-c.now)
	}
}

// checkIdleCloses checks that idle connections to draining endpoints are closed in time.
func (c *ruleChecker) checkIdleCloses() {
	c.t.Helper()
	for id, by := range c.closeBy {
		if c.now > by {
			c.t.Fatalf("connections to endpoint %d not closed, %v late", id, c.now-by)
		}
	}
}

// expectIdleClose starts that time anew, if the endpoint drains.
func (c *ruleChecker) expectIdleClose(id EndpointID) {
	if c.cfg.IdleCloseTimeout > 0 && c.endpoints[id].State == Draining {
		c.closeBy[id] = c.now + c.cfg.IdleCloseTimeout
	}
}

// recordAnswer checks that a request is answered once, and in time.
func (c *ruleChecker) recordAnswer(id RequestID) *trackedRequest {
	c.t.Helper()
	r := c.requests[id]
	if r == nil || r.answered {
		c.t.Fatalf("second answer for request %d, or one for an unknown request", id)
	}
	if c.now > r.deadline+20*ms {
		c.t.Fatalf("answered %v after the deadline", c.now-r.deadline)
	}
	r.answered = true
	return r
}

func (c *ruleChecker) Reject(id RequestID, retryAfter time.Duration) {
	c.record("reject %d %v", id, retryAfter)
	r := c.recordAnswer(id)
	class := c.cfg.Classes[r.Class]
	harmful := class.Idempotency == NonIdempotent ||
		class.Idempotency == IdempotentByKey && class.DedupScope != DedupEverywhere
	if r.firstEffective() != nil && harmful {
		c.t.Fatalf("request %d rejected though it may have run", id)
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

// checkSlots checks that the Balancer counts the attempts in flight as they are: no slot leaks, and none is used twice.
func (c *ruleChecker) checkSlots() {
	c.t.Helper()
	byTenant := make([]int, len(c.cfg.Tenants))
	total := 0
	for _, r := range c.requests {
		byTenant[r.Tenant] += r.inFlight()
		total += r.inFlight()
	}
	for i, h := range c.b.bulkheads.byTenant {
		if h.slotsInUse != byTenant[i] || h.slotsInUse > h.slots || c.b.FreeSlots(i) < 0 {
			c.t.Fatalf("bulkhead %d: %d of %d slots used, %d attempts in flight", i, h.slotsInUse, h.slots, byTenant[i])
		}
	}
	if c.b.inFlight != total {
		c.t.Fatalf("%d attempts counted, %d in flight", c.b.inFlight, total)
	}
	for _, e := range c.b.endpoints.all {
		if e.inFlight < 0 {
			c.t.Fatalf("%d attempts counted at endpoint %d", e.inFlight, e.ID)
		}
	}
}

// dropOver drops the requests that are over, once there are many.
func (c *ruleChecker) dropOver() {
	if len(c.order) <= 60 {
		return
	}
	c.order = slices.DeleteFunc(c.order, func(id RequestID) bool {
		over := c.requests[id].over()
		if over {
			delete(c.requests, id)
		}
		return over
	})
}
