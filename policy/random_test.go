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

// eventGenerator passes valid events to a Balancer in random order, while its ruleChecker checks the rules. It does not
// simulate endpoints: pick determines all events.
type eventGenerator struct {
	*ruleChecker
	pick       func(n int) int // returns a number from 0 to n-1
	latestID   RequestID
	stableList bool // the endpoint list rarely changes
}

// pickFrom returns one of the values, chosen by pick.
func pickFrom[T any](pick func(n int) int, values ...T) T { return values[pick(len(values))] }

// randomConfig draws the settings that the rules depend on.
func randomConfig(pick func(n int) int) Config {
	cfg := testConfig()
	cfg.PollsEndpoints, cfg.CanHealthCheck = true, true
	cfg.ReportFields = pickFrom(pick, 0, HasInFlight, HasInFlight|HasUtilization, HasUtilization|HasServiceTime)
	cfg.Balancers = pickFrom(pick, 2, 50)
	cfg.IdleCloseTimeout = time.Duration(pick(2)) * 100 * ms
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

// runRandomEvents generates a number of events and then advances the time until every request must have been answered.
// It returns the Balancer's actions.
func runRandomEvents(t testing.TB, steps int, pick func(n int) int) []string {
	t.Helper()
	cfg := randomConfig(pick)
	c := newRuleChecker(t, cfg, time.Hour)
	g := &eventGenerator{ruleChecker: c, pick: pick, stableList: pick(2) == 0}
	balancer, err := New(cfg, uint64(pick(1000)), c)
	if err != nil {
		t.Fatal(err)
	}
	c.balancer = balancer
	balancer.Start(g.now)
	for range steps {
		g.step()
		g.checkIdleCloses()
		g.checkSlots()
		g.dropFinished()
	}
	for range 600 {
		g.now += 5 * ms
		g.expireAttempts()
		balancer.TimerFired(g.now)
		g.checkSlots()
		g.dropFinished()
		g.checkIdleCloses()
	}
	for id, r := range g.requests {
		if !r.answered {
			t.Fatalf("request %d was never answered", id)
		}
	}
	if len(balancer.requests) != 0 || balancer.inFlight != 0 {
		t.Fatalf("%d requests and %d attempts in flight remain registered, want none", len(balancer.requests), balancer.inFlight)
	}
	return g.trace
}

// step generates one event of a random kind, sometimes after a gossip message.
func (g *eventGenerator) step() {
	g.now += time.Duration(g.pick(8)) * ms
	if g.cfg.CanGossip && g.pick(4) == 0 {
		g.receiveGossip()
	}
	g.expireAttempts()
	switch g.pick(10) {
	case 0, 1, 2:
		g.submitRequest()
	case 3, 4, 5:
		g.endRandomAttempt()
	case 6:
		g.balancer.TimerFired(g.now)
	case 7:
		if !g.stableList || len(g.endpoints) == 0 || g.pick(30) == 0 {
			g.updateEndpoints()
		}
	case 8:
		g.balancer.HealthChecked(g.now, EndpointID(g.pick(8)), g.pick(2) == 0, g.loadReport(g.pick(200)))
	case 9:
		g.disconnectClient()
	}
}

// receiveGossip generates a gossip message, which may be implausible: no message may lead to a violation of a rule.
func (g *eventGenerator) receiveGossip() {
	randomValue := func() float64 { return pickFrom(g.pick, 0, 1, 40, 4, 1e9, -1, math.NaN(), math.Inf(1)) }
	sentAt := g.now + pickFrom(g.pick, 0, -ms, -time.Hour, time.Hour)
	g.balancer.ReceiveGossip(g.now, g.pick(60)-5,
		GossipMessage{SentAt: sentAt, RequestRate: randomValue(), Responses: randomValue(), Congestion: randomValue()})
}

func (g *eventGenerator) submitRequest() {
	g.latestID++
	req := Request{ID: g.latestID, Class: g.pick(len(g.cfg.Classes)), Tenant: g.pick(2)}
	req.Timeout = time.Duration(1+g.pick(2000)) * ms
	req.Key = uint64(g.pick(4))
	g.requests[req.ID] = &trackedRequest{Request: req, deadline: g.now + req.Timeout}
	g.requestTimes = append(g.requestTimes, g.now)
	g.requestIDs = append(g.requestIDs, req.ID)
	g.balancer.Request(g.now, req)
}

func (g *eventGenerator) disconnectClient() {
	if len(g.requestIDs) == 0 {
		return
	}
	id := g.requestIDs[g.pick(len(g.requestIDs))]
	if r := g.requests[id]; !r.answered {
		r.answered = true
		g.balancer.ClientDisconnected(g.now, id)
	}
}

// endRandomAttempt ends an attempt in flight, if a few draws find one.
func (g *eventGenerator) endRandomAttempt() {
	for range 4 {
		if len(g.requestIDs) == 0 {
			return
		}
		id := g.requestIDs[g.pick(len(g.requestIDs))]
		for i := range g.requests[id].attempts {
			if g.requests[id].attempts[i].inFlight {
				g.endAttempt(id, i, pickFrom(g.pick,
					Succeeded, ServerError, Rejected, ConnectFailed, ConnectionLost, Cancelled, NotSent))
				return
			}
		}
	}
}

// endAttempt updates the records for an attempt that has ended, and passes its outcome to the Balancer.
func (g *eventGenerator) endAttempt(id RequestID, number int, result Result) {
	r := g.requests[id]
	a := &r.attempts[number]
	a.inFlight, a.result = false, result
	r.answered = r.answered || result == Succeeded
	mayBeRunning := result == TimedOut || result == ConnectionLost || result == Cancelled
	if g.cfg.Classes[r.Class].OrderedByKey && mayBeRunning {
		g.blockedUntil[r.Key] = g.now + g.cfg.OrderingDelay
	}
	g.expectIdleClose(a.endpoint.ID)
	g.balancer.Outcome(g.now,
		Outcome{RequestID: id, Attempt: number, Result: result, Answered: r.answered})
}

// expireAttempts fires the Balancer's timer, and ends the attempts of requests that have reached their deadline.
func (g *eventGenerator) expireAttempts() {
	g.balancer.TimerFired(g.now)
	for _, id := range g.requestIDs {
		r := g.requests[id]
		for i := range r.attempts {
			if r.attempts[i].inFlight && g.now >= r.deadline {
				g.endAttempt(id, i, TimedOut)
			}
		}
	}
}

// randomEndpoint draws a list entry. No two zones share a cell.
func (g *eventGenerator) randomEndpoint() Endpoint {
	id := g.pick(8)
	e := Endpoint{ID: EndpointID(id), Zone: id % 2, Cell: id/2%2*2 + id%2,
		State: EndpointState(g.pick(3)), Weight: float64(g.pick(4))}
	if g.pick(4) == 0 {
		e.StartedAt = g.now - time.Duration(g.pick(10000))*ms
	}
	return e
}

func (g *eventGenerator) updateEndpoints() {
	kind := UpdateKind(g.pick(4))
	if kind == UpdateFailed {
		g.balancer.UpdateEndpoints(g.now, kind, nil)
		return
	}
	before := maps.Clone(g.endpoints)
	if kind != DeltaUpdate {
		clear(g.endpoints)
		clear(g.closeBy)
	}
	var entries []Endpoint
	for range g.pick(8) {
		e := g.randomEndpoint()
		if slices.ContainsFunc(entries, func(other Endpoint) bool { return other.ID == e.ID }) {
			continue
		}
		entries = append(entries, e)
		if old, ok := before[e.ID]; !ok || e.StartedAt > old.StartedAt || old.State == Removed {
			delete(g.slowStartSends, e.ID)
		}
		g.endpoints[e.ID] = e
	}
	for _, e := range entries {
		delete(g.closeBy, e.ID)
		g.expectIdleClose(e.ID)
	}
	g.balancer.UpdateEndpoints(g.now, kind, entries)
}

// loadReport returns a load report that depends on n and has the fields in Config.ReportFields, or no report for every
// third n.
func (g *eventGenerator) loadReport(n int) LoadReport {
	if n%3 == 0 {
		return LoadReport{}
	}
	return LoadReport{Fields: g.cfg.ReportFields, InFlight: float64(n % 40), Utilization: float64(n%11) / 10,
		ServiceTime: time.Duration(n%7) * 20 * ms}
}

// Whatever events occur in whatever order, the rules that clients and endpoints rely on must hold: each request is
// answered once and in time, no request runs twice if its class forbids it, endpoints that are not ready get no
// requests, endpoints in slow start are not overloaded, requests of one key run in order, retries stay within their
// budget, and idle connections to draining endpoints are closed.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			runRandomEvents(t, 600, rand.New(rand.NewPCG(seed, 7)).IntN)
		})
	}
}

// A failure of a random run can be reproduced only if the same events always lead to the same actions.
func TestSameEventsSameActions(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			first := runRandomEvents(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
			second := runRandomEvents(t, 800, rand.New(rand.NewPCG(seed, 3)).IntN)
			if !slices.Equal(first, second) {
				t.Fatal("actions of two runs with the same events differ")
			}
		})
	}
}

// FuzzRules checks the rules with events determined by the fuzzer's input.
func FuzzRules(f *testing.F) {
	f.Add([]byte("a seed of some length, so that a few events happen"))
	f.Add([]byte{0, 1, 7, 7, 7, 7, 0, 0, 0, 3, 3, 3, 9, 9})
	f.Fuzz(func(t *testing.T, data []byte) {
		position := 0
		runRandomEvents(t, min(len(data)/2, 400), func(n int) int {
			if len(data) == 0 {
				return 0
			}
			v := int(data[position%len(data)]) + 251*(position/len(data)) + position
			position++
			return v % n
		})
	})
}
