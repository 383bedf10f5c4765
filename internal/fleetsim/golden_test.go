package fleetsim

import (
	"fmt"
	"hash/fnv"
	"io"
	"testing"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

// The numbers that stand for the calls in a golden digest. They never change; a new call gets a new number.
const (
	goldenSend = iota + 1
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

// goldenRecorder digests the host calls of all sidecars of one service in their order. It holds numbers only.
type goldenRecorder struct {
	sim         *Simulation
	hash        io.Writer
	sum         func() uint64
	callCounts  [goldenCallCount]int // by their number
	adopted     []*policy.Balancer
	initialList []policy.Endpoint // the list that sidecars are given at first
}

// recordingHost stands between a Balancer and its sidecar.
type recordingHost struct {
	*goldenRecorder
	sidecar   *simSidecar
	replaying bool // the sidecar has had these calls already
}

// record writes one call down: its time, its sidecar, its number and its arguments. It says whether the sidecar is
// still to have it.
func (h *recordingHost) record(call int, args ...any) bool {
	h.callCounts[call]++
	fmt.Fprintf(h.hash, "%d %d %d", int64(h.sim.clock.now), h.sidecar.index, call)
	for _, arg := range args {
		fmt.Fprintf(h.hash, " %v", arg)
	}
	fmt.Fprintln(h.hash)
	return !h.replaying
}

func (h *recordingHost) Send(id policy.RequestID, to policy.EndpointID, timeout, within time.Duration) {
	if h.record(goldenSend, uint64(id), uint64(to), int64(timeout), int64(within)) {
		h.sidecar.Send(id, to, timeout, within)
	}
}

func (h *recordingHost) Reject(id policy.RequestID, pause time.Duration) {
	if h.record(goldenReject, uint64(id), int64(pause)) {
		h.sidecar.Reject(id, pause)
	}
}

func (h *recordingHost) Fail(id policy.RequestID) {
	if h.record(goldenFail, uint64(id)) {
		h.sidecar.Fail(id)
	}
}

func (h *recordingHost) Cancel(id policy.RequestID, n int) {
	if h.record(goldenCancel, uint64(id), n) {
		h.sidecar.Cancel(id, n)
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

func (h *recordingHost) Broadcast(n policy.GossipMessage) {
	if h.record(goldenBroadcast, int64(n.SentAt), n.RequestRate, n.Responses, n.Congestion) {
		h.sidecar.Broadcast(n)
	}
}

// Log is left out: its texts are for people and may change.
func (h *recordingHost) Log(line string) { h.sidecar.Log(line) }

// newGoldenRecorder records a service that has not run yet.
func newGoldenRecorder(t testing.TB, sim *Simulation) *goldenRecorder {
	t.Helper()
	hash := fnv.New64a()
	g := &goldenRecorder{sim: sim, hash: hash, sum: hash.Sum64, adopted: make([]*policy.Balancer, len(sim.sidecars))}
	list, err := endpointlist.Parse(sim.discovery.response(-1).body, sim.zones)
	if err != nil {
		t.Fatal(err)
	}
	g.initialList = list.Servers
	g.adopt(t)
	g.initialList = nil // sidecars that start again hold no list
	return g
}

// adopt replaces the Balancer of each sidecar that has just started by an equal one whose calls are recorded. A
// Balancer's calls follow from its seed and what it is told, so the new one is told what sidecar.start told the
// old one; the calls it makes then are recorded, but the sidecar has already had them.
func (g *goldenRecorder) adopt(t testing.TB) {
	t.Helper()
	sim := g.sim
	for i, s := range sim.sidecars {
		if s.balancer == nil || s.balancer == g.adopted[i] {
			continue
		}
		cfg := sim.config.Policy
		cfg.Balancers, cfg.Index, cfg.Zone = len(sim.sidecars), s.index, s.zone
		host := &recordingHost{goldenRecorder: g, sidecar: s, replaying: true}
		b, err := policy.New(cfg, uint64(s.index)+uint64(s.incarnation)<<40, host)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(sim.clock.now)
		if g.initialList != nil {
			b.UpdateEndpoints(sim.clock.now, policy.CachedUpdate, g.initialList)
		}
		host.replaying = false
		s.balancer, g.adopted[i] = b, b
	}
}

// run plays on for d like Service.Run, without its counts, and adopts each sidecar right after the event that
// starts it.
func (g *goldenRecorder) run(t testing.TB, d time.Duration) {
	t.Helper()
	sim := g.sim
	end := sim.clock.now + d
	g.adopt(t)
	for len(sim.clock.heap) > 0 && sim.clock.heap[0].at <= end {
		e := sim.clock.pop()
		sim.clock.now = e.at
		if e.recipients == nil {
			e.run()
			g.adopt(t)
			continue
		}
		for _, s := range e.recipients {
			s.receiveGossip(e.sender, e.datagram)
		}
	}
	sim.clock.now = end
}

// disconnectOldestRequests has the client of each sidecar's oldest request go, if an attempt of it is out.
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

// goldenScenarios are the plays whose digests are kept. Each acts on a service and has it run by the function given.
var goldenScenarios = []struct {
	name   string
	config func() Config
	act    func(sim *Simulation, run func(time.Duration))
	want   uint64
}{
	{"steady with gossip", func() Config { return testConfig(1, 60, 4) }, func(sim *Simulation, run func(time.Duration)) {
		run(6 * time.Second)
	}, 0x9f04164adf41fdfa},
	{"overload without gossip", func() Config {
		cfg := testConfig(2, 12, 90)
		cfg.Policy.CanGossip = false
		return cfg
	}, func(sim *Simulation, run func(time.Duration)) {
		run(5 * time.Second)
	}, 0xa03c58c2bfefea3f},
	{"roll-out", func() Config { return testConfig(0, 40, 5) }, func(sim *Simulation, run func(time.Duration)) {
		run(2 * time.Second)
		replaceServers(sim, 20, 15*time.Second)
		run(35 * time.Second)
	}, 0xbc01dd98ca6b1cbc},
	{"roll-out, probes and closes allowed", func() Config {
		cfg := testConfig(3, 20, 20)
		cfg.Policy.CanHealthCheck, cfg.Policy.ReportFields, cfg.Policy.DrainCloseTimeout = true, policy.HasInFlight, 100*ms
		return cfg
	}, func(sim *Simulation, run func(time.Duration)) {
		run(2 * time.Second)
		replaceServers(sim, 10, 8*time.Second)
		run(20 * time.Second)
	}, 0x176155d6e53a8836},
	{"zone lost and back", func() Config { return testConfig(0, 40, 8) }, func(sim *Simulation, run func(time.Duration)) {
		run(5 * time.Second)
		sim.FailZone(sim.config.Zones - 1)
		run(10 * time.Second)
		sim.RestoreZone(sim.config.Zones - 1)
		run(15 * time.Second)
	}, 0xdc1f48c661dcf76f},
	{"regions apart", func() Config { return testConfig(0, 40, 5) }, func(sim *Simulation, run func(time.Duration)) {
		run(5 * time.Second)
		sim.PartitionRegions()
		replaceServers(sim, 6, 15*time.Second)
		run(20 * time.Second)
		sim.HealPartition()
		run(20 * time.Second)
	}, 0x031467ad4e5537cc},
	{"discovery down", func() Config { return testConfig(0, 40, 5) }, func(sim *Simulation, run func(time.Duration)) {
		run(3 * time.Second)
		sim.StartDiscoveryOutage()
		run(3 * time.Second)
		replaceServers(sim, 6, 5*time.Second)
		run(15 * time.Second)
		sim.EndDiscoveryOutage()
		run(15 * time.Second)
	}, 0xdc76b0eea57028c9},
	{"discovery overrun", func() Config {
		cfg := testConfig(1, 60, 1)
		cfg.Discovery.CallTime, cfg.Discovery.QueueTimeout = 100*ms, time.Second
		return cfg
	}, func(sim *Simulation, run func(time.Duration)) {
		run(15 * time.Second)
	}, 0x8855b636048526d0},
	{"short deadlines", func() Config {
		cfg := testConfig(4, 12, 60)
		for i := range cfg.Policy.Classes {
			cfg.Policy.Classes[i].LatencyObjective, cfg.Policy.Classes[i].Deadline = 60*ms, 120*ms
		}
		return cfg
	}, func(sim *Simulation, run func(time.Duration)) {
		run(5 * time.Second)
	}, 0xf8bab8f0735ffbb2},
	{"clients quit", func() Config { return testConfig(5, 12, 40) }, func(sim *Simulation, run func(time.Duration)) {
		for k := range 100 {
			sim.clock.after(time.Duration(k)*30*ms, func() { disconnectOldestRequests(sim) })
		}
		run(5 * time.Second)
	}, 0xdc9d05f63f1da8b4},
	{"crashes", func() Config { return testConfig(0, 30, 30) }, func(sim *Simulation, run func(time.Duration)) {
		run(2 * time.Second)
		for k := range 20 {
			sim.clock.after(time.Duration(k)*500*ms, func() { sim.Crash(k*7%30, 2*time.Second) })
		}
		run(12 * time.Second)
	}, 0xfd590881f2b5d24f},
	{"cold servers", func() Config {
		cfg := testConfig(0, 100, 2)
		cfg.Servers, cfg.Policy.SlowStartFraction, cfg.Policy.OverloadFactor = 6, 0.1, 1.2
		return cfg
	}, func(sim *Simulation, run func(time.Duration)) {
		run(2 * time.Second)
		for k := range 3 {
			sim.clock.after(time.Duration(k)*time.Second, func() { sim.Crash(2*k, 2*time.Second) })
		}
		run(10 * time.Second)
	}, 0x60b82509bd6c1497},
}

// TestGoldenCalls guards the behaviour of Balancers in a fleet against refactorings. Each digest covers every call
// that the Balancers of a play make on their Host, except Log, in order: its time, the sidecar that made it, its
// number and its arguments. A digest holds plain numbers only, no name of a type, field or method, so renames do
// not change it.
//
// A refactoring must keep every digest: a step that changes one has changed a decision and is wrong. Only a change
// that is meant to alter decisions may put new digests here, and its commit message has to say why.
//
// Each play runs a second time without the recorder and must come out the same, so the recorder itself changes
// nothing.
func TestGoldenCalls(t *testing.T) {
	var calls [goldenCallCount]int
	for _, p := range goldenScenarios {
		recorded := newSimulation(t, p.config())
		g := newGoldenRecorder(t, recorded)
		p.act(recorded, func(d time.Duration) { g.run(t, d) })
		if got := g.sum(); got != p.want {
			t.Errorf("%s: the digest is %#016x, want %#016x; calls by their number %v", p.name, got, p.want, g.callCounts[1:])
		}
		for call, times := range g.callCounts {
			calls[call] += times
		}
		plain := newSimulation(t, p.config())
		p.act(plain, plain.Run)
		if recorded.Digest() != plain.Digest() || recorded.Counts() != plain.Counts() {
			t.Errorf("%s: the recorder changes the play: digest %x and %+v, without it %x and %+v", p.name,
				recorded.Digest(), recorded.Counts(), plain.Digest(), plain.Counts())
		}
		if err := recorded.Err(); err != nil {
			t.Errorf("%s: %v", p.name, err)
		}
	}
	for call, times := range calls {
		if call > 0 && times == 0 {
			t.Errorf("no play makes call %d", call)
		}
	}
}
