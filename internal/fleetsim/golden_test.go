package fleetsim

import (
	"fmt"
	"hash"
	"hash/fnv"
	"testing"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

// goldenCall is the number of a Host method in a golden digest. The numbers must never change; a new method
// gets a new number.
type goldenCall int

const (
	goldenSend goldenCall = iota + 1
	goldenReject
	goldenFail
	goldenCancel
	goldenSetTimer
	goldenCloseIdle
	goldenHealthCheck
	goldenWatchEndpoints
	goldenBroadcast
	goldenCallCount
)

// goldenRecorder computes a digest of the Host calls of all sidecars of a simulation, in order.
type goldenRecorder struct {
	sim               *Simulation
	hash              hash.Hash64
	callCounts        [goldenCallCount]int
	recordedBalancers []*policy.Balancer // by sidecar: the Balancer whose calls are recorded
	initialList       []policy.Endpoint  // list that sidecars have at the start of the simulation; nil afterwards
}

// recordingHost is a Host that records the calls of a Balancer and passes them to its sidecar.
type recordingHost struct {
	*goldenRecorder
	sidecar   *simSidecar
	replaying bool // the calls repeat those of the replaced Balancer, which the sidecar has already handled
}

// record adds a call to the digest: its time, its sidecar, its number and its arguments. It reports whether
// to pass the call to the sidecar.
func (h *recordingHost) record(call goldenCall, args ...any) bool {
	h.callCounts[call]++
	fmt.Fprintf(h.hash, "%d %d %d", int64(h.sim.clock.now), h.sidecar.index, int(call))
	for _, arg := range args {
		fmt.Fprintf(h.hash, " %v", arg)
	}
	fmt.Fprintln(h.hash)
	return !h.replaying
}

func (h *recordingHost) Send(id policy.RequestID, to policy.EndpointID, timeout, writeTimeout time.Duration) {
	if h.record(goldenSend, uint64(id), uint64(to), int64(timeout), int64(writeTimeout)) {
		h.sidecar.Send(id, to, timeout, writeTimeout)
	}
}

func (h *recordingHost) Reject(id policy.RequestID, retryAfter time.Duration) {
	if h.record(goldenReject, uint64(id), int64(retryAfter)) {
		h.sidecar.Reject(id, retryAfter)
	}
}

func (h *recordingHost) Fail(id policy.RequestID) {
	if h.record(goldenFail, uint64(id)) {
		h.sidecar.Fail(id)
	}
}

func (h *recordingHost) Cancel(id policy.RequestID, attempt int) {
	if h.record(goldenCancel, uint64(id), attempt) {
		h.sidecar.Cancel(id, attempt)
	}
}

func (h *recordingHost) SetTimer(d time.Duration) {
	if h.record(goldenSetTimer, int64(d)) {
		h.sidecar.SetTimer(d)
	}
}

func (h *recordingHost) CloseIdle(to policy.EndpointID) {
	if h.record(goldenCloseIdle, uint64(to)) {
		h.sidecar.CloseIdle(to)
	}
}

func (h *recordingHost) HealthCheck(to policy.EndpointID) {
	if h.record(goldenHealthCheck, uint64(to)) {
		h.sidecar.HealthCheck(to)
	}
}

func (h *recordingHost) WatchEndpoints() {
	if h.record(goldenWatchEndpoints) {
		h.sidecar.WatchEndpoints()
	}
}

func (h *recordingHost) Broadcast(message policy.GossipMessage) {
	if h.record(goldenBroadcast, int64(message.SentAt), message.RequestRate, message.Responses, message.Congestion) {
		h.sidecar.Broadcast(message)
	}
}

// Log is not recorded: log messages are for operators and may change.
func (h *recordingHost) Log(e policy.HealthEvent) { h.sidecar.Log(e) }

// newGoldenRecorder creates a recorder for a simulation that has not run yet.
func newGoldenRecorder(t testing.TB, sim *Simulation) *goldenRecorder {
	t.Helper()
	g := &goldenRecorder{sim: sim, hash: fnv.New64a(), recordedBalancers: make([]*policy.Balancer, len(sim.sidecars))}
	list, err := endpointlist.Parse(sim.discovery.response(noVersion).body, sim.zones)
	if err != nil {
		t.Fatal(err)
	}
	g.initialList = list.Endpoints
	g.attachAll(t)
	g.initialList = nil // restarted sidecars have no cached list
	return g
}

// attachAll attaches the recorder to the sidecars that have started since the last call.
func (g *goldenRecorder) attachAll(t testing.TB) {
	t.Helper()
	for i, s := range g.sim.sidecars {
		if s.balancer != nil && s.balancer != g.recordedBalancers[i] {
			g.attach(t, s)
		}
	}
}

// attach replaces the Balancer of a sidecar that has just started by an identical one whose calls are
// recorded. A Balancer's calls depend only on its configuration, its seed and its events, so the new Balancer
// gets the events that simSidecar.start passed to the old one. Its calls during these events are recorded but
// not passed on, because the sidecar has already handled them.
func (g *goldenRecorder) attach(t testing.TB, s *simSidecar) {
	t.Helper()
	host := &recordingHost{goldenRecorder: g, sidecar: s, replaying: true}
	b, err := s.newBalancer(host)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(g.sim.clock.now)
	if g.initialList != nil {
		b.UpdateEndpoints(g.sim.clock.now, policy.CachedUpdate, g.initialList)
	}
	host.replaying = false
	s.balancer, g.recordedBalancers[s.index] = b, b
}

// run advances the simulation as Simulation.Run does, without its samples, and attaches the recorder to each
// sidecar right after the event that starts it.
func (g *goldenRecorder) run(t testing.TB, d time.Duration) {
	t.Helper()
	sim := g.sim
	end := sim.clock.now + d
	g.attachAll(t)
	for sim.clock.hasEventUntil(end) {
		e := sim.clock.pop()
		sim.clock.now = e.at
		e.fire()
		g.attachAll(t)
	}
	sim.clock.now = end
}

// disconnectOldestRequests disconnects, at each sidecar, the client of the oldest request that has an attempt
// in flight.
func disconnectOldestRequests(sim *Simulation) {
	for _, s := range sim.sidecars {
		var oldest *request
		for _, r := range s.requests {
			if !r.done && r.inFlight > 0 && (oldest == nil || r.id < oldest.id) {
				oldest = r
			}
		}
		if oldest != nil && s.finish(oldest) {
			s.balancer.ClientDisconnected(sim.clock.now, oldest.id)
		}
	}
}

// goldenScenario is a simulation and the golden digest of its calls. Its run function gets a function that
// advances the simulation, so that the recorder can take part.
type goldenScenario struct {
	name       string
	config     func() Config
	run        func(sim *Simulation, run func(time.Duration))
	wantDigest uint64
}

// goldenScenarios returns the steady states, faults and settings that the golden digests cover.
func goldenScenarios() []goldenScenario {
	return []goldenScenario{
		{"steady with gossip", baseConfig(1, 60, 4), runFor(6 * time.Second), 0x9f04164adf41fdfa},
		{"overload without gossip", overloadWithoutGossip, runFor(5 * time.Second), 0xa03c58c2bfefea3f},
		{"rolling replacement", baseConfig(0, 40, 5), replaceHalf, 0xc4e535a278111f38},
		{"rolling replacement with health checks", withHealthChecks, replaceHalfBriefly, 0xaaf4ff1bf70156a3},
		{"zone outage", baseConfig(0, 40, 8), zoneOutage, 0xbbe56d58dcf4ed8d},
		{"region partition", baseConfig(0, 40, 5), regionPartition, 0x72c637623f5ddf12},
		{"discovery outage", baseConfig(0, 40, 5), discoveryOutage, 0x38a779a10daa844b},
		{"discovery overload", slowDiscovery, runFor(15 * time.Second), 0x8855b636048526d0},
		{"short deadlines", shortDeadlines, runFor(5 * time.Second), 0xf8bab8f0735ffbb2},
		{"client disconnects", baseConfig(5, 12, 40), clientDisconnects, 0xdc9d05f63f1da8b4},
		{"server crashes", baseConfig(0, 30, 30), serverCrashes, 0x1eccc7c9887d6840},
		{"slow start", slowStart, slowStartCrashes, 0x31c7c75e08bdd02a},
	}
}

// baseConfig returns a function that calls testConfig with these arguments.
func baseConfig(seed uint64, sidecars int, ratePerSidecar float64) func() Config {
	return func() Config { return testConfig(seed, sidecars, ratePerSidecar) }
}

func overloadWithoutGossip() Config {
	cfg := testConfig(2, 12, 90)
	cfg.Policy.CanGossip = false
	return cfg
}

// withHealthChecks enables health checks and the closing of idle connections, which testConfig does not.
func withHealthChecks() Config {
	cfg := testConfig(3, 20, 20)
	cfg.Policy.CanHealthCheck, cfg.Policy.ReportFields, cfg.Policy.IdleCloseTimeout = true, policy.HasInFlight, 100*ms
	return cfg
}

func slowDiscovery() Config {
	cfg := testConfig(1, 60, 1)
	cfg.Discovery.CallTime, cfg.Discovery.QueueTimeout = 100*ms, time.Second
	return cfg
}

func shortDeadlines() Config {
	cfg := testConfig(4, 12, 60)
	for i := range cfg.Policy.Classes {
		cfg.Policy.Classes[i].LatencyObjective, cfg.Policy.Classes[i].Deadline = 60*ms, 120*ms
	}
	return cfg
}

func slowStart() Config {
	cfg := testConfig(0, 100, 2)
	cfg.Servers, cfg.Policy.SlowStartFraction, cfg.Policy.OverloadFactor = 6, 0.1, 1.2
	return cfg
}

// runFor returns a run function without faults.
func runFor(d time.Duration) func(*Simulation, func(time.Duration)) {
	return func(_ *Simulation, run func(time.Duration)) { run(d) }
}

func replaceHalf(sim *Simulation, run func(time.Duration)) {
	run(2 * time.Second)
	replaceServers(sim, 20, 15*time.Second)
	run(35 * time.Second)
}

func replaceHalfBriefly(sim *Simulation, run func(time.Duration)) {
	run(2 * time.Second)
	replaceServers(sim, 10, 8*time.Second)
	run(20 * time.Second)
}

func zoneOutage(sim *Simulation, run func(time.Duration)) {
	run(5 * time.Second)
	sim.FailZone(sim.config.Zones - 1)
	run(10 * time.Second)
	sim.RestoreZone(sim.config.Zones - 1)
	run(15 * time.Second)
}

func regionPartition(sim *Simulation, run func(time.Duration)) {
	run(5 * time.Second)
	sim.PartitionRegions()
	replaceServers(sim, 6, 15*time.Second)
	run(20 * time.Second)
	sim.HealPartition()
	run(20 * time.Second)
}

func discoveryOutage(sim *Simulation, run func(time.Duration)) {
	run(3 * time.Second)
	sim.StartDiscoveryOutage()
	run(3 * time.Second)
	replaceServers(sim, 6, 5*time.Second)
	run(15 * time.Second)
	sim.EndDiscoveryOutage()
	run(15 * time.Second)
}

func clientDisconnects(sim *Simulation, run func(time.Duration)) {
	for k := range 100 {
		sim.clock.after(time.Duration(k)*30*ms, func() { disconnectOldestRequests(sim) })
	}
	run(5 * time.Second)
}

func serverCrashes(sim *Simulation, run func(time.Duration)) {
	run(2 * time.Second)
	for k := range 20 {
		sim.clock.after(time.Duration(k)*500*ms, func() { sim.Crash(k*7%30, 2*time.Second) })
	}
	run(12 * time.Second)
}

func slowStartCrashes(sim *Simulation, run func(time.Duration)) {
	run(2 * time.Second)
	for k := range 3 {
		sim.clock.after(time.Duration(k)*time.Second, func() { sim.Crash(2*k, 2*time.Second) })
	}
	run(10 * time.Second)
}

// TestGoldenCalls guards the behaviour of Balancers in a fleet against refactorings. Each digest covers every
// call that the Balancers of a simulation make on their Host, except Log, in order: the time of the call, the
// sidecar that made it, its number and its arguments. A digest contains only numbers and no name of a type,
// field or method, so renames do not change it.
//
// A refactoring must keep every digest: if a step changes a digest, it has changed a decision and is wrong.
// Only a change that is meant to alter decisions may put new digests here, and its commit message must give
// the reason.
//
// Each scenario runs a second time without the recorder. Both runs must produce the same result, which shows
// that the recorder does not change the simulation.
func TestGoldenCalls(t *testing.T) {
	var total [goldenCallCount]int
	scenarios, finished := goldenScenarios(), 0
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			recorded := newSimulation(t, scenario.config())
			g := newGoldenRecorder(t, recorded)
			scenario.run(recorded, func(d time.Duration) { g.run(t, d) })
			if got := g.hash.Sum64(); got != scenario.wantDigest {
				t.Errorf("digest = %#016x, want %#016x; number of calls by goldenCall: %v",
					got, scenario.wantDigest, g.callCounts[1:])
			}
			for call, count := range g.callCounts {
				total[call] += count
			}
			plain := newSimulation(t, scenario.config())
			scenario.run(plain, plain.Run)
			if recorded.Digest() != plain.Digest() || recorded.Counts() != plain.Counts() {
				t.Errorf("with the recorder: digest %x, counts %+v; without it: digest %x, counts %+v; want no difference",
					recorded.Digest(), recorded.Counts(), plain.Digest(), plain.Counts())
			}
			if err := recorded.Err(); err != nil {
				t.Error(err)
			}
			finished++
		})
	}
	if finished < len(scenarios) {
		return // a scenario ended with a fatal error, or -run selected only some
	}
	for call, count := range total[1:] {
		if count == 0 {
			t.Errorf("no scenario makes Host call %d", call+1)
		}
	}
}
