package policy

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// ruleChecker drives a Balancer with legal events in arbitrary order and checks the
// rules at every action. It models no server timing: it picks what happens.
type ruleChecker struct {
	t              testing.TB
	cfg            Config
	b              *Balancer
	now            time.Duration
	next           RequestID
	requests       map[RequestID]*trackedRequest
	order          []RequestID // ids of held, in order, so that a run can be repeated
	endpoints      map[EndpointID]Endpoint
	trace          []string
	watches        int
	requestTimes   []time.Duration // requests, for the budget
	retryTimes     []time.Duration // further attempts
	stableList     bool            // the list changes seldom
	blockedUntil   map[uint64]time.Duration
	slowStartSends map[EndpointID][]time.Duration // sends to a server that is cold, since it was listed so
	closeBy        map[EndpointID]time.Duration   // when idle connections must be closed, by server
}

// trackedRequest is what the world knows of one request.
type trackedRequest struct {
	request  Request
	deadline time.Duration
	attempts []trackedAttempt
	answered bool
	number   int // place among the requests taken
}

type trackedAttempt struct {
	endpoint Endpoint
	sentAt   time.Duration
	result   Result
	inFlight bool
}

func (a *trackedRequest) firstEffective() *trackedAttempt {
	for i := range a.attempts {
		if e := a.attempts[i].result; a.attempts[i].inFlight || (e != Rejected && e != ConnectFailed && e != NotSent) {
			return &a.attempts[i]
		}
	}
	return nil
}

func (w *ruleChecker) record(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

func (w *ruleChecker) Send(id RequestID, to EndpointID, timeout, _ time.Duration) {
	w.record("send %d %d %v", id, to, timeout)
	a, s := w.requests[id], w.endpoints[to]
	switch {
	case a == nil || a.answered:
		w.t.Fatalf("rule 1: attempt for request %d, which is over", id)
	case s.State != Ready:
		w.t.Fatalf("rule 3: attempt at server %d in state %d", to, s.State)
	case timeout <= 0 || w.now+timeout > a.deadline:
		w.t.Fatalf("rule 1: time-out %v at %v runs past the deadline %v", timeout, w.now, a.deadline)
	case len(a.attempts) >= w.cfg.MaxAttempts:
		w.t.Fatalf("attempt %d of at most %d", len(a.attempts)+1, w.cfg.MaxAttempts)
	}
	class := w.cfg.Classes[a.request.Class]
	if first := a.firstEffective(); first != nil {
		switch {
		case class.Idempotency == NonIdempotent:
			w.t.Fatalf("rule 2: unsafe request %d sent again though it may have run", id)
		case class.Idempotency == IdempotentByKey && w.now-first.sentAt >= class.DedupWindow:
			w.t.Fatalf("rule 2: keyed request %d sent again %v after the first send", id, w.now-first.sentAt)
		case class.Idempotency == IdempotentByKey && class.DedupScope == DedupInZone && s.Zone != first.endpoint.Zone,
			class.Idempotency == IdempotentByKey && class.DedupScope == DedupInCell && s.Cell != first.endpoint.Cell:
			w.t.Fatalf("rule 2: keyed request %d sent outside its group", id)
		}
	}
	w.checkKeyOrder(a)
	w.checkSlowStart(s)
	if out := a.inFlight(); out > 0 { // no setting that allows two is known to the module
		w.t.Fatalf("rule 2: request %d sent while %d of its attempts are out", id, out)
	}
	if b := w.cfg.RetryBudget; len(a.attempts) > 0 && b.Interval > 0 {
		w.retryTimes = append(w.retryTimes, w.now)
		n, taken := 0, 0
		for _, t := range w.retryTimes {
			if t >= w.now-b.Interval {
				n++
			}
		}
		for _, t := range w.requestTimes {
			if t > w.now-b.Interval {
				taken++
			}
		}
		if float64(n) > b.MinRetries+b.RetryRatio*float64(taken)+1e-6 {
			w.t.Fatalf("rule 6: %d further attempts in %v, in which %d requests were taken", n, b.Interval, taken)
		}
	}
	a.attempts = append(a.attempts, trackedAttempt{endpoint: s, sentAt: w.now, inFlight: true})
}

// inFlight counts the attempts that are out.
func (a *trackedRequest) inFlight() (n int) {
	for _, tr := range a.attempts {
		if tr.inFlight {
			n++
		}
	}
	return n
}

// checkSlowStart checks this balancer's part of a cold server's budget, of which it may have an even one at most.
func (w *ruleChecker) checkSlowStart(s Endpoint) {
	age := w.now - s.StartedAt
	if s.StartedAt == 0 || age >= w.cfg.SlowStartDuration {
		return
	}
	w.slowStartSends[s.ID] = append(w.slowStartSends[s.ID], w.now)
	n := 0
	for _, at := range w.slowStartSends[s.ID] {
		if at > w.now-time.Second {
			n++
		}
	}
	quota := 0.0
	for _, t := range w.cfg.Tenants {
		quota += t.Quota
	}
	warmth := w.cfg.SlowStartFraction + (1-w.cfg.SlowStartFraction)*float64(age)/float64(w.cfg.SlowStartDuration)
	if most := 1 + w.cfg.OverloadFactor*warmth*quota/float64(w.cfg.Balancers); float64(n) > most {
		w.t.Fatalf("rule 4: %d sends in a second to server %d, cold for %v, at most %.1f", n, s.ID, age, most)
	}
}

// checkKeyOrder checks the order of a key at a send.
func (w *ruleChecker) checkKeyOrder(a *trackedRequest) {
	ordered := func(o *trackedRequest) bool {
		return w.cfg.Classes[o.request.Class].OrderedByKey && o.request.Key == a.request.Key && a.request.Key != 0
	}
	if !ordered(a) {
		return
	}
	for id, o := range w.requests {
		out := slices.ContainsFunc(o.attempts, func(tr trackedAttempt) bool { return tr.inFlight })
		if o != a && ordered(o) && o.number < a.number && (!o.answered || out) {
			w.t.Fatalf("rule 5: request %d sent while %d of its key is not over", a.request.ID, id)
		}
	}
	if len(a.attempts) == 0 && w.now < w.blockedUntil[a.request.Key] {
		w.t.Fatalf("rule 5: request %d sent %v before its key has rested", a.request.ID, w.blockedUntil[a.request.Key]-w.now)
	}
}

// checkIdleCloses checks and starts the times in which connections to draining servers are closed.
func (w *ruleChecker) checkIdleCloses() {
	for id, until := range w.closeBy {
		if w.now > until {
			w.t.Fatalf("rule 7: connections to server %d not closed %v after their time", id, w.now-until)
		}
	}
}

// expectIdleClose starts that time anew: an event at a server that drains.
func (w *ruleChecker) expectIdleClose(id EndpointID) {
	if w.cfg.DrainCloseTimeout > 0 && w.endpoints[id].State == Draining {
		w.closeBy[id] = w.now + w.cfg.DrainCloseTimeout
	}
}

func (w *ruleChecker) recordAnswer(id RequestID) *trackedRequest {
	a := w.requests[id]
	if a == nil || a.answered {
		w.t.Fatalf("rule 1: second answer for request %d, or one for a request not held", id)
	}
	if w.now > a.deadline+20*ms {
		w.t.Fatalf("rule 1: answered %v after the deadline", w.now-a.deadline)
	}
	a.answered = true
	return a
}

func (w *ruleChecker) Reject(id RequestID, pause time.Duration) {
	w.record("refuse %d %v", id, pause)
	a := w.recordAnswer(id)
	class := w.cfg.Classes[a.request.Class]
	if a.firstEffective() != nil && (class.Idempotency == NonIdempotent || class.Idempotency == IdempotentByKey && class.DedupScope != DedupEverywhere) {
		w.t.Fatalf("rule 2: request %d refused though it may have run", id)
	}
	if pause < 0 || pause > w.cfg.MaxRetryAfter {
		w.t.Fatalf("pause %v", pause)
	}
}

func (w *ruleChecker) Fail(id RequestID)                { w.record("fail %d", id); w.recordAnswer(id) }
func (w *ruleChecker) Cancel(id RequestID, attempt int) { w.record("cancel %d %d", id, attempt) }
func (w *ruleChecker) SetTimer(d time.Duration)         { w.record("wake %v", d) }
func (w *ruleChecker) HealthCheck(to EndpointID)        { w.record("probe %d", to) }
func (w *ruleChecker) Broadcast(n GossipMessage)        { w.record("tell %+v", n) }
func (w *ruleChecker) CloseIdle(to EndpointID)          { w.record("close %d", to); delete(w.closeBy, to) }
func (w *ruleChecker) WatchEndpoints()                  { w.record("watch"); w.watches++ }
func (w *ruleChecker) Log(e HealthEvent)                { w.record("log %s", e) }

// checkSlots checks that no slot leaks and none goes below zero.
func (w *ruleChecker) checkSlots() {
	used := make([]int, len(w.cfg.Tenants))
	out := 0
	for _, a := range w.requests {
		for _, tr := range a.attempts {
			if tr.inFlight {
				used[a.request.Tenant]++
				out++
			}
		}
	}
	for i, c := range w.b.bulkheads.all {
		if c.used != used[i] || c.used > c.slots || w.b.FreeSlots(i) < 0 {
			w.t.Fatalf("compartment %d: %d of %d slots used, %d attempts out", i, c.used, c.slots, used[i])
		}
	}
	if w.b.inFlight != out {
		w.t.Fatalf("%d attempts counted, %d out", w.b.inFlight, out)
	}
	for _, s := range w.b.endpoints.all {
		if s.inFlight < 0 {
			w.t.Fatalf("server %d holds %d", s.ID, s.inFlight)
		}
	}
	if len(w.order) > 60 { // forget what is over
		w.order = slices.DeleteFunc(w.order, func(id RequestID) bool {
			a := w.requests[id]
			over := a.answered && !slices.ContainsFunc(a.attempts, func(tr trackedAttempt) bool { return tr.inFlight })
			if over {
				delete(w.requests, id)
			}
			return over
		})
	}
}
