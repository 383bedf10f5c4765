package policy

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// runRandomEvents runs a world; pick(n) chooses among n possibilities.
func runRandomEvents(t testing.TB, steps int, pick func(n int) int) []string {
	cfg := testConfig()
	cfg.PollsEndpoints, cfg.CanHealthCheck = true, true
	cfg.ReportFields = []ReportFields{0, HasInFlight, HasInFlight | HasUtilization, HasUtilization | HasServiceTime}[pick(4)]
	cfg.Balancers = []int{2, 50}[pick(2)]
	cfg.DrainCloseTimeout = time.Duration(pick(2)) * 100 * ms
	cfg.OrderingDelay = time.Duration(pick(3)) * 50 * ms
	cfg.Slots = []int{0, 8, 40}[pick(3)]
	if pick(2) == 0 {
		cfg.RetryBudget = RetryBudget{Interval: time.Second, MinRetries: float64(pick(3)), RetryRatio: float64(pick(3)) / 5}
	}
	for i := range cfg.Classes {
		cfg.Classes[i].OrderedByKey = pick(2) == 0
	}
	cfg.CrossZoneCost = float64(pick(2)) * 0.02
	cfg.CanGossip = pick(2) == 0
	w := &ruleChecker{t: t, cfg: cfg, requests: map[RequestID]*trackedRequest{}, endpoints: map[EndpointID]Endpoint{}, now: time.Hour}
	w.slowStartSends = map[EndpointID][]time.Duration{}
	w.stableList = pick(2) == 0
	w.blockedUntil, w.closeBy = map[uint64]time.Duration{}, map[EndpointID]time.Duration{}
	b, err := New(cfg, uint64(pick(1000)), w)
	if err != nil {
		t.Fatal(err)
	}
	w.b = b
	b.Start(w.now)
	for range steps {
		w.step(pick)
		w.checkIdleCloses()
		w.checkSlots()
	}
	for range 600 { // everything left is answered in time
		w.now += 5 * ms
		w.timeouts()
		b.TimerFired(w.now)
		w.checkSlots()
		w.checkIdleCloses()
	}
	for id, a := range w.requests {
		if !a.answered {
			t.Fatalf("rule 1: request %d was never answered", id)
		}
	}
	if len(b.requests) != 0 || b.inFlight != 0 {
		t.Fatalf("%d requests and %d attempts are still held", len(b.requests), b.inFlight)
	}
	return w.trace
}

func (w *ruleChecker) step(pick func(int) int) {
	w.now += time.Duration(pick(8)) * ms
	if w.cfg.CanGossip && pick(4) == 0 { // true or false, it must not break a rule
		figure := func() float64 {
			return []float64{0, 1, 40, 4, 1e9, -1, math.NaN(), math.Inf(1)}[pick(8)]
		}
		at := w.now + []time.Duration{0, -ms, -time.Hour, time.Hour}[pick(4)]
		w.b.ReceiveGossip(w.now, pick(60)-5, GossipMessage{SentAt: at, RequestRate: figure(), Responses: figure(), Congestion: figure()})
	}
	w.timeouts()
	switch pick(10) {
	case 0, 1, 2:
		w.next++
		q := Request{ID: w.next, Class: pick(len(w.cfg.Classes)), Tenant: pick(2)}
		q.Timeout = time.Duration(1+pick(2000)) * ms
		q.Key = uint64(pick(4))
		w.requests[q.ID] = &trackedRequest{request: q, deadline: w.now + q.Timeout, number: int(w.next)}
		w.requestTimes = append(w.requestTimes, w.now)
		w.order = append(w.order, q.ID)
		w.b.Request(w.now, q)
	case 3, 4, 5:
		w.endRandomAttempt(pick)
	case 6:
		w.b.TimerFired(w.now)
	case 7:
		if !w.stableList || len(w.endpoints) == 0 || pick(30) == 0 {
			w.updateEndpoints(pick)
		}
	case 8:
		w.b.HealthChecked(w.now, EndpointID(pick(8)), pick(2) == 0, w.loadReport(pick(200)))
	case 9:
		if len(w.order) > 0 {
			if id := w.order[pick(len(w.order))]; !w.requests[id].answered {
				w.requests[id].answered = true
				w.b.ClientDisconnected(w.now, id)
			}
		}
	}
}

// endRandomAttempt ends one attempt that is out.
func (w *ruleChecker) endRandomAttempt(pick func(int) int) {
	for range 4 {
		if len(w.order) == 0 {
			return
		}
		id := w.order[pick(len(w.order))]
		for i := range w.requests[id].attempts {
			if w.requests[id].attempts[i].inFlight {
				w.endAttempt(id, i, []Result{Succeeded, ServerError, Rejected, ConnectFailed, ConnectionLost, Cancelled, NotSent}[pick(7)])
				return
			}
		}
	}
}

func (w *ruleChecker) endAttempt(id RequestID, i int, e Result) {
	a := w.requests[id]
	a.attempts[i].inFlight, a.attempts[i].result = false, e
	settled := a.answered || e == Succeeded
	a.answered = settled
	if w.cfg.Classes[a.request.Class].OrderedByKey && (e == TimedOut || e == ConnectionLost || e == Cancelled) {
		w.blockedUntil[a.request.Key] = w.now + w.cfg.OrderingDelay
	}
	w.expectIdleClose(a.attempts[i].endpoint.ID)
	w.b.Outcome(w.now, Outcome{RequestID: id, Attempt: i, Result: e, Answered: settled, Report: w.loadReport(int(id))})
}

// timeouts ends the attempts whose request's deadline has come, and wakes the
// Balancer as its timers would.
func (w *ruleChecker) timeouts() {
	w.b.TimerFired(w.now)
	for _, id := range w.order {
		for i := range w.requests[id].attempts {
			if a := w.requests[id]; a.attempts[i].inFlight && w.now >= a.deadline {
				w.endAttempt(id, i, TimedOut)
			}
		}
	}
}

func (w *ruleChecker) updateEndpoints(pick func(int) int) {
	entry := func() Endpoint {
		id := EndpointID(pick(8))
		s := Endpoint{ID: id, Zone: int(id) % 2, Cell: int(id) / 2 % 2 * 2, State: EndpointState(pick(3)), Weight: float64(pick(4))}
		s.Cell += s.Zone // no two zones share a cell
		if pick(4) == 0 {
			s.StartedAt = w.now - time.Duration(pick(10000))*ms
		}
		return s
	}
	kind := UpdateKind(pick(4))
	if kind == UpdateFailed {
		w.b.UpdateEndpoints(w.now, kind, nil)
		return
	}
	var entries []Endpoint
	before := maps.Clone(w.endpoints)
	if kind != DeltaUpdate {
		clear(w.endpoints)
	}
	for range pick(8) {
		s := entry()
		if slices.ContainsFunc(entries, func(o Endpoint) bool { return o.ID == s.ID }) {
			continue
		}
		entries = append(entries, s)
		if old, ok := before[s.ID]; !ok || s.StartedAt > old.StartedAt || old.State == Removed {
			delete(w.slowStartSends, s.ID)
		}
		w.endpoints[s.ID] = s
	}
	if kind != DeltaUpdate {
		clear(w.closeBy)
	}
	for _, s := range entries {
		delete(w.closeBy, s.ID)
		w.expectIdleClose(s.ID)
	}
	w.b.UpdateEndpoints(w.now, kind, entries)
}

// loadReport is a report of what the settings say that reports hold, now and then of nothing.
func (w *ruleChecker) loadReport(n int) LoadReport {
	if n%3 == 0 {
		return LoadReport{}
	}
	return LoadReport{Fields: w.cfg.ReportFields, InFlight: float64(n % 40), Utilization: float64(n%11) / 10,
		ServiceTime: time.Duration(n%7) * 20 * ms}
}

func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 7))
		runRandomEvents(t, 600, rng.IntN)
	}
}

func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		a := runRandomEvents(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
		b := runRandomEvents(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
		if !slices.Equal(a, b) {
			t.Fatalf("seed %d: two runs over the same events differ", seed)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add([]byte("a seed of some length, so that a few events happen"))
	f.Add([]byte{0, 1, 7, 7, 7, 7, 0, 0, 0, 3, 3, 3, 9, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		at := 0
		runRandomEvents(t, min(len(data)/2, 400), func(n int) int {
			if len(data) == 0 {
				return 0
			}
			v := int(data[at%len(data)]) + 251*(at/len(data)) + at
			at++
			return v % n
		})
	})
}
