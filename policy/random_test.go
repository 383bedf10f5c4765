package policy

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// randomEvents drives a Balancer with legal events in any order, while its ruleChecker checks the rules. It does not
// simulate endpoints: pick decides what happens.
type randomEvents struct {
	*ruleChecker
	pick       func(n int) int // one of n possibilities
	next       RequestID
	stableList bool // the endpoint list seldom changes
}

// pickFrom returns one of the values.
func pickFrom[T any](pick func(n int) int, values ...T) T { return values[pick(len(values))] }

// randomConfig draws the settings that the rules depend on.
func randomConfig(pick func(n int) int) Config {
	cfg := testConfig()
	cfg.PollsEndpoints, cfg.CanHealthCheck = true, true
	cfg.ReportFields = pickFrom(pick, 0, HasInFlight, HasInFlight|HasUtilization, HasUtilization|HasServiceTime)
	cfg.Balancers = pickFrom(pick, 2, 50)
	cfg.DrainCloseTimeout = time.Duration(pick(2)) * 100 * ms
	cfg.OrderingDelay = time.Duration(pick(3)) * 50 * ms
	cfg.Slots = pickFrom(pick, 0, 8, 40)
	if pick(2) == 0 {
		cfg.RetryBudget = RetryBudget{Interval: time.Second, MinRetries: float64(pick(3)), RetryRatio: float64(pick(3)) / 5}
	}
	for i := range cfg.Classes {
		cfg.Classes[i].OrderedByKey = pick(2) == 0
	}
	cfg.CrossZoneCost = float64(pick(2)) * 0.02
	cfg.CanGossip = pick(2) == 0
	return cfg
}

// runRandomEvents plays a number of events and then lets time pass until every request must have been answered. It
// returns the Balancer's actions.
func runRandomEvents(t testing.TB, steps int, pick func(n int) int) []string {
	t.Helper()
	cfg := randomConfig(pick)
	c := newRuleChecker(t, cfg, time.Hour)
	w := &randomEvents{ruleChecker: c, pick: pick, stableList: pick(2) == 0}
	b, err := New(cfg, uint64(pick(1000)), c)
	if err != nil {
		t.Fatal(err)
	}
	c.b = b
	b.Start(w.now)
	for range steps {
		w.step()
		w.checkIdleCloses()
		w.checkSlots()
		w.dropOver()
	}
	for range 600 {
		w.now += 5 * ms
		w.expireAttempts()
		b.TimerFired(w.now)
		w.checkSlots()
		w.dropOver()
		w.checkIdleCloses()
	}
	for id, r := range w.requests {
		if !r.answered {
			t.Fatalf("request %d was never answered", id)
		}
	}
	if len(b.requests) != 0 || b.inFlight != 0 {
		t.Fatalf("%d requests and %d attempts remain", len(b.requests), b.inFlight)
	}
	return w.trace
}

// step plays one event of any kind, after a gossip message now and then.
func (w *randomEvents) step() {
	w.now += time.Duration(w.pick(8)) * ms
	if w.cfg.CanGossip && w.pick(4) == 0 {
		w.receiveGossip()
	}
	w.expireAttempts()
	switch w.pick(10) {
	case 0, 1, 2:
		w.submitRequest()
	case 3, 4, 5:
		w.endRandomAttempt()
	case 6:
		w.b.TimerFired(w.now)
	case 7:
		if !w.stableList || len(w.endpoints) == 0 || w.pick(30) == 0 {
			w.updateEndpoints()
		}
	case 8:
		w.b.HealthChecked(w.now, EndpointID(w.pick(8)), w.pick(2) == 0, w.loadReport(w.pick(200)))
	case 9:
		w.disconnectClient()
	}
}

// receiveGossip plays a message, plausible or not: no message may break a rule.
func (w *randomEvents) receiveGossip() {
	figure := func() float64 { return pickFrom(w.pick, 0, 1, 40, 4, 1e9, -1, math.NaN(), math.Inf(1)) }
	at := w.now + pickFrom(w.pick, 0, -ms, -time.Hour, time.Hour)
	w.b.ReceiveGossip(w.now, w.pick(60)-5,
		GossipMessage{SentAt: at, RequestRate: figure(), Responses: figure(), Congestion: figure()})
}

func (w *randomEvents) submitRequest() {
	w.next++
	q := Request{ID: w.next, Class: w.pick(len(w.cfg.Classes)), Tenant: w.pick(2)}
	q.Timeout = time.Duration(1+w.pick(2000)) * ms
	q.Key = uint64(w.pick(4))
	w.requests[q.ID] = &trackedRequest{Request: q, deadline: w.now + q.Timeout}
	w.requestTimes = append(w.requestTimes, w.now)
	w.order = append(w.order, q.ID)
	w.b.Request(w.now, q)
}

func (w *randomEvents) disconnectClient() {
	if len(w.order) == 0 {
		return
	}
	id := w.order[w.pick(len(w.order))]
	if r := w.requests[id]; !r.answered {
		r.answered = true
		w.b.ClientDisconnected(w.now, id)
	}
}

// endRandomAttempt ends an attempt in flight, if it finds one in a few draws.
func (w *randomEvents) endRandomAttempt() {
	for range 4 {
		if len(w.order) == 0 {
			return
		}
		id := w.order[w.pick(len(w.order))]
		for i := range w.requests[id].attempts {
			if w.requests[id].attempts[i].inFlight {
				w.endAttempt(id, i, pickFrom(w.pick,
					Succeeded, ServerError, Rejected, ConnectFailed, ConnectionLost, Cancelled, NotSent))
				return
			}
		}
	}
}

func (w *randomEvents) endAttempt(id RequestID, number int, result Result) {
	r := w.requests[id]
	a := &r.attempts[number]
	a.inFlight, a.result = false, result
	r.answered = r.answered || result == Succeeded
	mayBeRunning := result == TimedOut || result == ConnectionLost || result == Cancelled
	if w.cfg.Classes[r.Class].OrderedByKey && mayBeRunning {
		w.blockedUntil[r.Key] = w.now + w.cfg.OrderingDelay
	}
	w.expectIdleClose(a.endpoint.ID)
	w.b.Outcome(w.now,
		Outcome{RequestID: id, Attempt: number, Result: result, Answered: r.answered, Report: w.loadReport(int(id))})
}

// expireAttempts fires the Balancer's timer, and ends the attempts of requests at their deadline.
func (w *randomEvents) expireAttempts() {
	w.b.TimerFired(w.now)
	for _, id := range w.order {
		r := w.requests[id]
		for i := range r.attempts {
			if r.attempts[i].inFlight && w.now >= r.deadline {
				w.endAttempt(id, i, TimedOut)
			}
		}
	}
}

// randomEndpoint draws a list entry. No two zones share a cell.
func (w *randomEvents) randomEndpoint() Endpoint {
	id := w.pick(8)
	e := Endpoint{ID: EndpointID(id), Zone: id % 2, Cell: id/2%2*2 + id%2,
		State: EndpointState(w.pick(3)), Weight: float64(w.pick(4))}
	if w.pick(4) == 0 {
		e.StartedAt = w.now - time.Duration(w.pick(10000))*ms
	}
	return e
}

func (w *randomEvents) updateEndpoints() {
	kind := UpdateKind(w.pick(4))
	if kind == UpdateFailed {
		w.b.UpdateEndpoints(w.now, kind, nil)
		return
	}
	before := maps.Clone(w.endpoints)
	if kind != DeltaUpdate {
		clear(w.endpoints)
		clear(w.closeBy)
	}
	var entries []Endpoint
	for range w.pick(8) {
		e := w.randomEndpoint()
		if slices.ContainsFunc(entries, func(other Endpoint) bool { return other.ID == e.ID }) {
			continue
		}
		entries = append(entries, e)
		if old, ok := before[e.ID]; !ok || e.StartedAt > old.StartedAt || old.State == Removed {
			delete(w.slowStartSends, e.ID)
		}
		w.endpoints[e.ID] = e
	}
	for _, e := range entries {
		delete(w.closeBy, e.ID)
		w.expectIdleClose(e.ID)
	}
	w.b.UpdateEndpoints(w.now, kind, entries)
}

// loadReport returns a report with the fields that the settings name, or none at all for every third n.
func (w *randomEvents) loadReport(n int) LoadReport {
	if n%3 == 0 {
		return LoadReport{}
	}
	return LoadReport{Fields: w.cfg.ReportFields, InFlight: float64(n % 40), Utilization: float64(n%11) / 10,
		ServiceTime: time.Duration(n%7) * 20 * ms}
}

// Whatever comes in whatever order, the rules that clients and endpoints rely on hold: one answer for each request, in
// time; no request runs twice whose class forbids it; nothing for endpoints that are not ready; no overload in slow
// start; the order of keys; the retry budget; idle connections to draining endpoints are closed.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runRandomEvents(t, 600, rand.New(rand.NewPCG(seed, 7)).IntN)
		})
	}
}

// A failure of a random run can be found only if the same events lead to the same actions again.
func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			first := runRandomEvents(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
			second := runRandomEvents(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
			if !slices.Equal(first, second) {
				t.Fatal("two runs over the same events differ")
			}
		})
	}
}

// FuzzRules lets the fuzzer's input decide what happens.
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
