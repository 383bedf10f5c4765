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
	goldenRefuse
	goldenFail
	goldenCancel
	goldenWake
	goldenClose
	goldenProbe
	goldenWatchList
	goldenTell
	goldenCalls
)

// goldenRecord digests the host calls of all sidecars of one service in their order. It holds numbers only.
type goldenRecord struct {
	f       *Service
	hash    io.Writer
	sum     func() uint64
	calls   [goldenCalls]int // by their number
	adopted []*policy.Balancer
	first   []policy.Endpoint // the list that sidecars are given at first
}

// goldenHost stands between a Balancer and its sidecar.
type goldenHost struct {
	*goldenRecord
	s       *sidecar
	replays bool // the sidecar has had these calls already
}

// note writes one call down: its time, its sidecar, its number and its arguments. It says whether the sidecar is
// still to have it.
func (h *goldenHost) note(call int, args ...any) bool {
	h.calls[call]++
	fmt.Fprintf(h.hash, "%d %d %d", int64(h.f.clock.now), h.s.index, call)
	for _, arg := range args {
		fmt.Fprintf(h.hash, " %v", arg)
	}
	fmt.Fprintln(h.hash)
	return !h.replays
}

func (h *goldenHost) Send(id policy.RequestID, to policy.EndpointID, timeout, within time.Duration) {
	if h.note(goldenSend, uint64(id), uint64(to), int64(timeout), int64(within)) {
		h.s.Send(id, to, timeout, within)
	}
}

func (h *goldenHost) Reject(id policy.RequestID, pause time.Duration) {
	if h.note(goldenRefuse, uint64(id), int64(pause)) {
		h.s.Reject(id, pause)
	}
}

func (h *goldenHost) Fail(id policy.RequestID) {
	if h.note(goldenFail, uint64(id)) {
		h.s.Fail(id)
	}
}

func (h *goldenHost) Cancel(id policy.RequestID, n int) {
	if h.note(goldenCancel, uint64(id), n) {
		h.s.Cancel(id, n)
	}
}

func (h *goldenHost) SetTimer(d time.Duration) {
	if h.note(goldenWake, int64(d)) {
		h.s.SetTimer(d)
	}
}

func (h *goldenHost) CloseIdle(to policy.EndpointID) {
	if h.note(goldenClose, uint64(to)) {
		h.s.CloseIdle(to)
	}
}

func (h *goldenHost) HealthCheck(to policy.EndpointID) {
	if h.note(goldenProbe, uint64(to)) {
		h.s.HealthCheck(to)
	}
}

func (h *goldenHost) WatchEndpoints() {
	if h.note(goldenWatchList) {
		h.s.WatchEndpoints()
	}
}

func (h *goldenHost) Broadcast(n policy.GossipMessage) {
	if h.note(goldenTell, int64(n.SentAt), n.RequestRate, n.Responses, n.Congestion) {
		h.s.Broadcast(n)
	}
}

// Log is left out: its texts are for people and may change.
func (h *goldenHost) Log(line string) { h.s.Log(line) }

// newGoldenRecord records a service that has not run yet.
func newGoldenRecord(t testing.TB, f *Service) *goldenRecord {
	t.Helper()
	hash := fnv.New64a()
	g := &goldenRecord{f: f, hash: hash, sum: hash.Sum64, adopted: make([]*policy.Balancer, len(f.sidecars))}
	list, err := endpointlist.Parse(f.discovery.say(-1).body, f.zones)
	if err != nil {
		t.Fatal(err)
	}
	g.first = list.Endpoints
	g.adopt(t)
	g.first = nil // sidecars that start again hold no list
	return g
}

// adopt replaces the Balancer of each sidecar that has just started by an equal one whose calls are recorded. A
// Balancer's calls follow from its seed and what it is told, so the new one is told what sidecar.start told the
// old one; the calls it makes then are recorded, but the sidecar has already had them.
func (g *goldenRecord) adopt(t testing.TB) {
	t.Helper()
	f := g.f
	for i, s := range f.sidecars {
		if s.b == nil || s.b == g.adopted[i] {
			continue
		}
		cfg := f.cfg.Policy
		cfg.Balancers, cfg.Index, cfg.Zone = len(f.sidecars), s.index, s.zone
		host := &goldenHost{goldenRecord: g, s: s, replays: true}
		b, err := policy.New(cfg, uint64(s.index)+uint64(s.life)<<40, host)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(f.clock.now)
		if g.first != nil {
			b.UpdateEndpoints(f.clock.now, policy.CachedUpdate, g.first)
		}
		host.replays = false
		s.b, g.adopted[i] = b, b
	}
}

// run plays on for d like Service.Run, without its counts, and adopts each sidecar right after the event that
// starts it.
func (g *goldenRecord) run(t testing.TB, d time.Duration) {
	t.Helper()
	f := g.f
	end := f.clock.now + d
	g.adopt(t)
	for len(f.clock.heap) > 0 && f.clock.heap[0].at <= end {
		e := f.clock.pop()
		f.clock.now = e.at
		if e.to == nil {
			e.do()
			g.adopt(t)
			continue
		}
		for _, s := range e.to {
			s.hear(e.from, e.raw)
		}
	}
	f.clock.now = end
}

// oldestQuits has the client of each sidecar's oldest request go, if an attempt of it is out.
func oldestQuits(f *Service) {
	for _, s := range f.sidecars {
		var oldest *request
		for _, r := range s.held {
			if !r.over && r.out > 0 && (oldest == nil || r.id < oldest.id) {
				oldest = r
			}
		}
		if oldest != nil && s.answer(oldest) {
			s.b.ClientDisconnected(f.clock.now, oldest.id)
		}
	}
}

// goldenPlays are the plays whose digests are kept. Each acts on a service and has it run by the function given.
var goldenPlays = []struct {
	name   string
	config func() Config
	act    func(f *Service, run func(time.Duration))
	want   uint64
}{
	{"steady with gossip", func() Config { return testConfig(1, 60, 4) }, func(f *Service, run func(time.Duration)) {
		run(6 * time.Second)
	}, 0x9f04164adf41fdfa},
	{"overload without gossip", func() Config {
		cfg := testConfig(2, 12, 90)
		cfg.Policy.CanGossip = false
		return cfg
	}, func(f *Service, run func(time.Duration)) {
		run(5 * time.Second)
	}, 0xa03c58c2bfefea3f},
	{"roll-out", func() Config { return testConfig(0, 40, 5) }, func(f *Service, run func(time.Duration)) {
		run(2 * time.Second)
		replaceSome(f, 20, 15*time.Second)
		run(35 * time.Second)
	}, 0xbc01dd98ca6b1cbc},
	{"roll-out, probes and closes allowed", func() Config {
		cfg := testConfig(3, 20, 20)
		cfg.Policy.CanHealthCheck, cfg.Policy.ReportFields, cfg.Policy.DrainCloseTimeout = true, policy.HasInFlight, 100*ms
		return cfg
	}, func(f *Service, run func(time.Duration)) {
		run(2 * time.Second)
		replaceSome(f, 10, 8*time.Second)
		run(20 * time.Second)
	}, 0x176155d6e53a8836},
	{"zone lost and back", func() Config { return testConfig(0, 40, 8) }, func(f *Service, run func(time.Duration)) {
		run(5 * time.Second)
		f.LoseZone(f.cfg.Zones - 1)
		run(10 * time.Second)
		f.ReturnZone(f.cfg.Zones - 1)
		run(15 * time.Second)
	}, 0xdc1f48c661dcf76f},
	{"regions apart", func() Config { return testConfig(0, 40, 5) }, func(f *Service, run func(time.Duration)) {
		run(5 * time.Second)
		f.PartRegions()
		replaceSome(f, 6, 15*time.Second)
		run(20 * time.Second)
		f.JoinRegions()
		run(20 * time.Second)
	}, 0x031467ad4e5537cc},
	{"discovery down", func() Config { return testConfig(0, 40, 5) }, func(f *Service, run func(time.Duration)) {
		run(3 * time.Second)
		f.StopDiscovery()
		run(3 * time.Second)
		replaceSome(f, 6, 5*time.Second)
		run(15 * time.Second)
		f.StartDiscovery()
		run(15 * time.Second)
	}, 0xdc76b0eea57028c9},
	{"discovery overrun", func() Config {
		cfg := testConfig(1, 60, 1)
		cfg.Discovery.Call, cfg.Discovery.Patience = 100*ms, time.Second
		return cfg
	}, func(f *Service, run func(time.Duration)) {
		run(15 * time.Second)
	}, 0x8855b636048526d0},
	{"short deadlines", func() Config {
		cfg := testConfig(4, 12, 60)
		for i := range cfg.Policy.Classes {
			cfg.Policy.Classes[i].LatencyObjective, cfg.Policy.Classes[i].Deadline = 60*ms, 120*ms
		}
		return cfg
	}, func(f *Service, run func(time.Duration)) {
		run(5 * time.Second)
	}, 0xf8bab8f0735ffbb2},
	{"clients quit", func() Config { return testConfig(5, 12, 40) }, func(f *Service, run func(time.Duration)) {
		for k := range 100 {
			f.clock.after(time.Duration(k)*30*ms, func() { oldestQuits(f) })
		}
		run(5 * time.Second)
	}, 0xdc9d05f63f1da8b4},
	{"crashes", func() Config { return testConfig(0, 30, 30) }, func(f *Service, run func(time.Duration)) {
		run(2 * time.Second)
		for k := range 20 {
			f.clock.after(time.Duration(k)*500*ms, func() { f.Crash(k*7%30, 2*time.Second) })
		}
		run(12 * time.Second)
	}, 0xfd590881f2b5d24f},
	{"cold servers", func() Config {
		cfg := testConfig(0, 100, 2)
		cfg.Servers, cfg.Policy.SlowStartFraction, cfg.Policy.OverloadFactor = 6, 0.1, 1.2
		return cfg
	}, func(f *Service, run func(time.Duration)) {
		run(2 * time.Second)
		for k := range 3 {
			f.clock.after(time.Duration(k)*time.Second, func() { f.Crash(2*k, 2*time.Second) })
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
	var calls [goldenCalls]int
	for _, p := range goldenPlays {
		recorded := begin(t, p.config())
		g := newGoldenRecord(t, recorded)
		p.act(recorded, func(d time.Duration) { g.run(t, d) })
		if got := g.sum(); got != p.want {
			t.Errorf("%s: the digest is %#016x, want %#016x; calls by their number %v", p.name, got, p.want, g.calls[1:])
		}
		for call, times := range g.calls {
			calls[call] += times
		}
		plain := begin(t, p.config())
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
