package policy

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// goldenHost records every action of a Balancer except its health events, with the time of the action. It records
// numbers only, so that renaming something does not change the record.
type goldenHost struct {
	now      time.Duration
	lines    []string
	inFlight []goldenAttempt
	attempts map[RequestID]int // attempts sent so far for each request
}

// goldenAttempt is an attempt in flight.
type goldenAttempt struct {
	id      RequestID
	attempt int
	to      EndpointID
}

func (h *goldenHost) record(action int, args ...any) {
	line := fmt.Sprintf("%d %d", int64(h.now), action)
	for _, arg := range args {
		line += fmt.Sprintf(" %v", arg)
	}
	h.lines = append(h.lines, line)
}

func (h *goldenHost) Send(id RequestID, to EndpointID, timeout, writeTimeout time.Duration) {
	h.record(1, uint64(id), uint64(to), int64(timeout), int64(writeTimeout))
	h.inFlight = append(h.inFlight, goldenAttempt{id, h.attempts[id], to})
	h.attempts[id]++
}

func (h *goldenHost) Reject(id RequestID, retryAfter time.Duration) {
	h.record(2, uint64(id), int64(retryAfter))
}

func (h *goldenHost) Fail(id RequestID) {
	h.record(3, uint64(id))
}

func (h *goldenHost) Cancel(id RequestID, attempt int) { h.record(4, uint64(id), attempt) }
func (h *goldenHost) SetTimer(d time.Duration)         { h.record(5, int64(d)) }
func (h *goldenHost) CloseIdle(to EndpointID)          { h.record(6, uint64(to)) }
func (h *goldenHost) HealthCheck(to EndpointID)        { h.record(7, uint64(to)) }
func (h *goldenHost) WatchEndpoints()                  { h.record(8) }
func (h *goldenHost) Log(HealthEvent)                  {}

func (h *goldenHost) Broadcast(m GossipMessage) {
	h.record(9, int64(m.SentAt), m.RequestRate, m.Responses, m.Congestion)
}

// goldenRun generates the random events of one seed.
type goldenRun struct {
	rng         *rand.Rand
	cfg         Config
	host        *goldenHost
	balancer    *Balancer
	latestID    RequestID
	requestIDs  []RequestID
	reportsLoad bool // health checks return load reports
	slowdown    int  // if above 0, fewer attempts end, each chosen among the oldest slowdown+1
}

func (g *goldenRun) oneIn(n int) bool { return g.rng.IntN(n) == 0 }

func pickOne[T any](g *goldenRun, values ...T) T { return values[g.rng.IntN(len(values))] }

// randomConfig draws every setting that affects decisions.
func (g *goldenRun) randomConfig() Config {
	cfg := Config{
		Balancers: pickOne(g, 1, 2, 50, 300), Zone: g.rng.IntN(2),
		Slots: pickOne(g, 0, 0, 0, 6, 40), MaxAttempts: 1 + g.rng.IntN(4),
		CanCancel: g.oneIn(2), CanHealthCheck: !g.oneIn(4), CanGossip: !g.oneIn(3),
		MaxRetryAfter: pickOne(g, 100*ms, time.Second), ClientsMarkRetries: g.oneIn(2),
		OrderingDelay: pickOne(g, 0, 50*ms), IdleCloseTimeout: pickOne(g, 0, 100*ms), EventInterval: pickOne(g, 0, 5*ms, 20*ms),
		PollsEndpoints: g.oneIn(2), PollInterval: pickOne(g, 0, 400*ms, 3*time.Second),
		SlowStartFraction: pickOne(g, 0.05, 0.3), SlowStartDuration: pickOne(g, 0, 2*time.Second, 8*time.Second),
		OverloadFactor: pickOne(g, 0, 1.5, 3), CrossZoneCost: pickOne(g, 0, 0.02),
		ReportFields: pickOne(g, 0, HasInFlight, HasInFlight|HasUtilization|HasQueued, HasInFlight|HasServiceTime|HasThroughput|HasErrorRate),
	}
	cfg.Index = g.rng.IntN(cfg.Balancers)
	if g.oneIn(2) {
		cfg.RetryBudget = RetryBudget{Interval: pickOne(g, 200*ms, time.Second), MinRetries: float64(g.rng.IntN(4)), RetryRatio: pickOne(g, 0, 0.1, 0.5)}
	}
	for range 1 + g.rng.IntN(4) {
		cfg.Classes = append(cfg.Classes, Class{
			LatencyObjective: pickOne(g, 80*ms, 200*ms), ObjectivePerWork: pickOne(g, 0, 0, 2.0), Deadline: pickOne(g, 400*ms, 2*time.Second),
			LateValue: pickOne(g, 0, 0, 0.3), PriorityWeight: pickOne(g, 1.0, 1, 3, 0.2), Idempotency: Idempotency(g.rng.IntN(3)),
			DedupScope: DedupScope(g.rng.IntN(3)), DedupWindow: pickOne(g, 0, 100*ms, time.Second), OrderedByKey: g.oneIn(3),
		})
	}
	quota := pickOne(g, 0, 30, 400.0)
	for range g.rng.IntN(4) {
		cfg.Tenants = append(cfg.Tenants, Tenant{Weight: 1 + float64(g.rng.IntN(3)), Quota: quota * float64(cfg.Balancers) / 4})
	}
	return cfg
}

func (g *goldenRun) randomReport() LoadReport {
	if !g.reportsLoad {
		return LoadReport{}
	}
	return LoadReport{Fields: g.cfg.ReportFields, InFlight: float64(g.rng.IntN(30)), Queued: float64(g.rng.IntN(9)),
		Utilization: g.rng.Float64(), ServiceTime: time.Duration(g.rng.IntN(40)) * ms, Throughput: 30, ErrorRate: 1}
}

func (g *goldenRun) randomEndpoint(id int, state EndpointState) Endpoint {
	e := Endpoint{ID: EndpointID(id), Zone: id % 2, Cell: id%4/2*2 + id%2, State: state, Weight: pickOne(g, 1.0, 1, 2, 0)}
	if g.oneIn(5) {
		e.StartedAt = g.host.now - time.Duration(g.rng.IntN(5000))*ms
	}
	return e
}

func (g *goldenRun) updateEndpoints() {
	kind := UpdateKind(g.rng.IntN(4))
	var entries []Endpoint
	switch kind {
	case UpdateFailed:
	case DeltaUpdate:
		entries = append(entries, g.randomEndpoint(g.rng.IntN(24), EndpointState(g.rng.IntN(3))))
	default:
		for id := range 4 + g.rng.IntN(20) {
			entries = append(entries, g.randomEndpoint(id, pickOne(g, Ready, Ready, Ready, Draining)))
		}
	}
	g.balancer.UpdateEndpoints(g.host.now, kind, entries)
}

func (g *goldenRun) submitRandomRequest() {
	g.latestID++
	req := Request{ID: g.latestID, Class: g.rng.IntN(len(g.cfg.Classes)), Tenant: g.rng.IntN(max(1, len(g.cfg.Tenants))),
		Key: uint64(g.rng.IntN(6)), ExpectedWork: pickOne(g, 0, 10*ms, 60*ms), ClientRetry: g.oneIn(6)}
	req.Timeout = g.cfg.Classes[req.Class].Deadline - pickOne(g, 0, 0, 0, 150*ms)
	switch g.rng.IntN(200) {
	case 0:
		req.Class = 99 // an unknown class
	case 1:
		req.ID = RequestID(g.rng.Uint64N(uint64(g.latestID))) + 1 // may be in use
	case 2:
		req.Timeout = 0
	}
	g.requestIDs = append(g.requestIDs, req.ID)
	g.balancer.Request(g.host.now, req)
}

func (g *goldenRun) endRandomAttempt() {
	if len(g.host.inFlight) == 0 {
		return
	}
	i := min(len(g.host.inFlight)-1, g.rng.IntN(1+g.slowdown))
	a := g.host.inFlight[i]
	g.host.inFlight = append(g.host.inFlight[:i:i], g.host.inFlight[i+1:]...)
	result := Succeeded
	if g.oneIn(4) {
		result = pickOne(g, ServerError, Rejected, TimedOut, ConnectFailed, ConnectionLost, Cancelled, NotSent)
	}
	answered := result == Succeeded || g.oneIn(20)
	g.randomReport() // unused, but drawn since the digests were recorded: without it, later draws would differ
	g.balancer.Outcome(g.host.now, Outcome{RequestID: a.id, Attempt: a.attempt, Result: result, Answered: answered})
	if g.oneIn(50) { // a repeated outcome
		g.balancer.Outcome(g.host.now, Outcome{RequestID: a.id, Attempt: a.attempt, Result: Succeeded})
	}
}

// step generates one event of a random kind.
func (g *goldenRun) step() {
	g.host.now += time.Duration(g.rng.IntN(4000)) * time.Microsecond
	if g.oneIn(400) {
		g.slowdown = g.rng.IntN(12)
		g.reportsLoad = !g.reportsLoad
	}
	now := g.host.now
	switch g.rng.IntN(20) {
	case 0, 1, 2, 3, 4, 5:
		g.submitRandomRequest()
	case 6, 7, 8, 9, 10:
		if g.slowdown == 0 || g.oneIn(2) {
			g.endRandomAttempt()
		}
	case 11, 12, 13, 14:
		g.balancer.TimerFired(now)
	case 15:
		if g.oneIn(12) {
			g.updateEndpoints()
		}
	case 16, 17:
		g.balancer.HealthChecked(now, EndpointID(g.rng.IntN(24)), !g.oneIn(5), g.randomReport())
	case 18:
		sentAt := now - pickOne(g, 0, 5*ms, 30*ms, time.Hour)
		congestion := pickOne(g, 0.01, 0.2, 1, 3, -1, math.NaN())
		g.balancer.ReceiveGossip(now, g.rng.IntN(g.cfg.Balancers+1), GossipMessage{SentAt: sentAt,
			RequestRate: pickOne(g, 1.0, 20, 300), Responses: float64(g.rng.IntN(20)), Congestion: congestion})
	case 19:
		id := RequestID(g.rng.Uint64N(uint64(g.latestID) + 2))
		if g.oneIn(2) {
			g.balancer.ClientDisconnected(now, id)
		} else {
			g.balancer.StreamStarted(id)
		}
	}
}

// runGolden runs the events of a seed, and returns a digest of the Balancer's actions and counters and the number of
// actions.
func runGolden(t *testing.T, seed uint64) (digest string, actions int) {
	t.Helper()
	host := &goldenHost{now: time.Hour, attempts: map[RequestID]int{}}
	g := &goldenRun{rng: rand.New(rand.NewPCG(seed, 11)), host: host, reportsLoad: true}
	g.cfg = g.randomConfig()
	balancer, err := New(g.cfg, seed, host)
	if err != nil {
		t.Fatal(err)
	}
	g.balancer = balancer
	balancer.Start(host.now)
	balancer.UpdateEndpoints(host.now, CachedUpdate, []Endpoint{
		g.randomEndpoint(0, Ready), g.randomEndpoint(1, Ready), g.randomEndpoint(2, Ready),
		g.randomEndpoint(3, Ready), g.randomEndpoint(5, Ready)})
	for range 4000 {
		g.step()
	}
	sum := fnv.New64a()
	for _, line := range host.lines {
		fmt.Fprintln(sum, line)
	}
	counters := balancer.Counters()
	fmt.Fprintln(sum, counters.RoundRobinSends, counters.DivertedSends, counters.ConcurrencyLimited, counters.Shed,
		counters.CrossZoneSends, counters.Retries, counters.LateRejected, counters.Queued,
		counters.GossipSent, counters.GossipReceived, counters.GossipDropped, counters.Rejected, counters.Failed)
	return fmt.Sprintf("%016x", sum.Sum64()), len(host.lines)
}

// goldenDigests holds the digest of the decisions for each seed, recorded when this test was written. A refactoring must
// not change any of them. Only a commit that changes a decision on purpose may change a digest, and its message must say
// which decision and why.
var goldenDigests = []string{
	"2860e6a157bd8061", "d291c38e97ef6c58", "1079b309ef8aaf71", "0f7043301687e37d",
	"ca4a6b2172ce5cc7", "f559e6de65777795", "bb74b33b5b26281d", "7761455367b3b834",
	"d6ae9b0a48bf916f", "e9a39b22565ccb36", "96cad0f0909ef839", "a2de49e16d2a26f3",
	"7b657b1a2b4db9b8", "b49aace97f737b9e", "b1d71138f37401a1", "b7b8fd888561020c",
	"ce810a5271caefd0", "a0d8a4c4b42e0032", "b18f04d434f5088d", "876f66c400f391f6",
	"e3e79581a1f21265", "4792e68918193603", "4e14838983e81241", "cb65f20cf02f6ba8",
	"95f51f232655b015", "572a26ec202173c1", "45cfdfe93dde1afa", "ce64d3d034fc2ec8",
	"a38f8d03e62111e1", "7ddaf9a21c80413d", "a8b5d38f54eeb00a", "cb6415b4df64522b",
	"2c825f59f52385a7", "619d8de45c531424", "505907581233d2af", "871b78c04c45747f",
	"61702263c4ec7e39", "7cf3182329bc4829", "cc5b06a1f92c2c3f", "723d11fef9239f61",
	"d58e5622055f11b2", "3ad75c69fb4aa09c", "9efd9633485dd7ca", "180d55f53d543e4c",
	"ca18ee26a910b11e", "e1e997dab8215739", "f05a51f0bb162b3b", "518e937525b733f3",
	"1265be94d7151889", "7ebe487fc58736bf", "495d70701ede99b9", "f2dda137564146ed",
	"bfddd8dc8996c47e", "bcfdecc3701d8168", "c671efa4e676590e", "83f8c1d5a5e25d72",
	"aaebf66564676e19", "d638b0ac2535104f", "bb38de608f6cfcd0", "28b91a5fbedcae67",
	"423b27e289b087ae", "508ea5c571eae1ea", "a8edf751294b49a9", "90789ac53409cc89",
}

// A refactoring must not change any decision. Random events of all kinds, under random settings, must lead to the
// recorded actions with their arguments and times, and to the recorded counters.
func TestDecisionsAreUnchanged(t *testing.T) {
	for seed, want := range goldenDigests {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			if got, actions := runGolden(t, uint64(seed)); got != want {
				t.Errorf("digest of %d actions = %s, want %s", actions, got, want)
			}
		})
	}
}
