// Package fleetsim plays a service of many sidecars in one process, to count what they do together that none does
// alone. Each is hollow: a real policy.Balancer that tells in gossip's form and reads lists as listing does,
// among model servers, a model discovery of bounded capacity and a model network, on one fake clock. The same
// seed brings the same play: every draw is from it, nothing goes by a real clock, and no order is left to chance.
//
// A Service is single-threaded. Services have nothing to do with one another, so Play runs several at once.
package fleetsim

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

// Config says what to play.
type Config struct {
	Seed     uint64
	Sidecars int
	Servers  int
	Zones    int // sidecars and servers take turns among them; discovery is in the first
	Offset   int // the zone that the first sidecar and server are in
	Regions  int // zones are dealt out to them in order

	Rate float64   // requests a second that clients ask of all sidecars together, of very different parts each
	Mix  []float64 // share of each class in them

	Busy     int     // the first so many sidecars are asked at another rate,
	BusyRate float64 // so many requests a second each, and their processor time is told apart

	Policy    policy.Config // Balancers, Index and Zone are set for each sidecar
	Server    Server
	Network   Network
	Discovery *Discovery // nil: the list is given at the start and never changes

	// ID names the servers of a list that never changes, where their order is to be another than chance: the
	// sidecars begin their rounds evenly spread over it. nil: by their instanceIds, as everywhere else.
	ID func(server int) policy.EndpointID

	Measure bool // take the processor time of Balancers, by the real clock
}

// ClassCounts are what came of the requests of one class.
type ClassCounts struct{ Asked, InTime, Late, Refused, Failed int }

// Service is one service at play.
type Service struct {
	cfg       Config
	clock     *clock
	rng       *rand.Rand
	network   *network
	discovery *discovery
	servers   []*server
	byID      map[policy.EndpointID]*server
	sidecars  []*sidecar
	zones     map[string]int
	requests  policy.RequestID

	classes []ClassCounts
	count   Counts
	broken  Broken
	digest  uint64
	held    float64 // requests that servers held, summed over looks
	looks   int

	reach   []time.Duration // by zone: since when discovery can be reached from it
	pending []pending
	failed  error           // starts that failed
	known   []time.Duration // what it took until all knew of a change, by change
}

// pending is a version of the list that not all sidecars know yet.
type pending struct {
	version int64
	since   time.Duration // it could be known from then on
}

const (
	lookEvery  = 10 * time.Millisecond // how often servers are looked at
	knownEvery = 50 * time.Millisecond // and whether all know the list
)

// New starts a service.
func New(cfg Config) (*Service, error) {
	switch {
	case cfg.Sidecars < 1 || cfg.Servers < 1 || cfg.Zones < 1 || cfg.Offset < 0 || cfg.Regions < 1 || cfg.Regions > cfg.Zones:
		return nil, fmt.Errorf("fleet: %d sidecars, %d servers, %d zones and %d regions can't be played",
			cfg.Sidecars, cfg.Servers, cfg.Zones, cfg.Regions)
	case cfg.Server.Cores < 1 || cfg.Server.Work <= 0:
		return nil, fmt.Errorf("fleet: servers of %d cores that work %v on a request serve nothing",
			cfg.Server.Cores, cfg.Server.Work)
	case cfg.ID != nil && cfg.Discovery != nil:
		return nil, errors.New("fleet: servers of a list that changes are named by it")
	case len(cfg.Mix) != len(cfg.Policy.Classes):
		return nil, fmt.Errorf("fleet: a mix of %d classes, and there are %d", len(cfg.Mix), len(cfg.Policy.Classes))
	}
	f := &Service{cfg: cfg, clock: &clock{now: time.Second}, rng: rand.New(rand.NewPCG(cfg.Seed, 2)),
		byID: make(map[policy.EndpointID]*server), zones: make(map[string]int),
		classes: make([]ClassCounts, len(cfg.Policy.Classes)), reach: make([]time.Duration, cfg.Zones)}
	f.network = newNetwork(cfg.Network, f.clock, f.rng, cfg.Zones, cfg.Regions)
	for z := range cfg.Zones {
		f.zones[zoneName(z)] = z
	}
	for i := range cfg.Servers {
		m := &server{f: f, name: fmt.Sprintf("s-%05d", i), zone: (cfg.Offset + i) % cfg.Zones}
		m.id = endpointlist.EndpointID(m.name)
		if cfg.ID != nil {
			m.id = cfg.ID(i)
		}
		f.servers = append(f.servers, m)
		f.byID[m.id] = m
	}
	d := newDiscovery(f, Discovery{})
	if cfg.Discovery != nil {
		d.cfg, f.discovery = *cfg.Discovery, d
	}
	list, err := endpointlist.Parse(d.say(-1).body, f.zones)
	if err != nil {
		return nil, fmt.Errorf("fleet: the first list: %w", err)
	}
	for i := range list.Endpoints { // the first list names them in their order
		list.Endpoints[i].ID = f.servers[i].id
	}
	sum := 0.0
	for i := range cfg.Sidecars {
		s := &sidecar{f: f, index: i, zone: (cfg.Offset + i) % cfg.Zones, rate: f.demand(), busy: i < cfg.Busy}
		if s.busy {
			s.rate = 0
		}
		sum += s.rate
		f.sidecars = append(f.sidecars, s)
	}
	for _, s := range f.sidecars {
		s.rate *= cfg.Rate / max(sum, 1e-9)
		if s.busy {
			s.rate = cfg.BusyRate
		}
		if err := s.start(&list); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	return f, nil
}

// Run plays on for d.
func (f *Service) Run(d time.Duration) {
	end, look := f.clock.now+d, f.clock.now
	looked := f.clock.now
	for len(f.clock.heap) > 0 && f.clock.heap[0].at <= end {
		e := f.clock.pop()
		for ; look <= e.at; look += lookEvery {
			f.look()
		}
		f.clock.now = e.at
		if e.to != nil {
			for _, s := range e.to {
				s.hear(e.from, e.raw)
			}
		} else {
			e.do()
		}
		if e.at-looked >= knownEvery {
			looked = e.at
			f.allKnow()
		}
	}
	f.clock.now = end
	f.allKnow()
}

// look counts what servers hold.
func (f *Service) look() {
	held := 0
	for _, m := range f.servers {
		held += len(m.queue)
	}
	f.looks++
	f.held += float64(held) / float64(len(f.servers))
}

// Recount has everything counted anew from now on, but for broken rules and what all know.
func (f *Service) Recount() {
	clear(f.classes)
	f.count, f.held, f.looks = Counts{}, 0, 0
}

// Holding is how many requests a server held on average.
func (f *Service) Holding() float64 { return f.held / float64(max(1, f.looks)) }

// Class is what came of the requests of a class.
func (f *Service) Class(class int) ClassCounts { return f.classes[class] }

// Good is the share of the worth asked for that was answered in time.
func (f *Service) Good() float64 {
	good, all := 0.0, 0.0
	for i, c := range f.classes {
		good += f.cfg.Policy.Classes[i].PriorityWeight * float64(c.InTime)
		all += f.cfg.Policy.Classes[i].PriorityWeight * float64(c.Asked)
	}
	return good / all
}

// Counts returns what was counted since the start, or since Recount.
func (f *Service) Counts() Counts { return f.count }

// Broken returns the rules that were broken so far.
func (f *Service) Broken() Broken { return f.broken }

// Err returns why sidecars could not start again, if any could not.
func (f *Service) Err() error { return f.failed }

// Digest sums up every send, answer, ending and list, in their order.
func (f *Service) Digest() uint64 { return f.digest }

// Now is the time on the fake clock.
func (f *Service) Now() time.Duration { return f.clock.now }

// mark adds something that happened to the digest.
func (f *Service) mark(what, who, which uint64) {
	for _, x := range [...]uint64{uint64(f.clock.now), what, who, which} {
		f.digest = (f.digest ^ x) * 0x100000001b3
		f.digest ^= f.digest >> 29
	}
}

// reachable says whether discovery can be called from a zone.
func (f *Service) reachable(zone int) bool {
	return f.discovery != nil && !f.discovery.down && !f.network.cut[0][zone]
}

// allKnow takes the time of changes that all sidecars know now that could.
func (f *Service) allKnow() {
	if len(f.pending) == 0 {
		return
	}
	least := int64(1 << 62)
	for _, s := range f.sidecars {
		if s.b != nil {
			least = min(least, s.version)
		}
	}
	for len(f.pending) > 0 && f.pending[0].version <= least {
		f.known = append(f.known, f.clock.now-f.pending[0].since)
		f.pending = f.pending[1:]
	}
}

// Known returns what it took until all sidecars knew of a change, for each change that all know; where they
// could not be told, or were down, from the moment on that they could. It is measured to 50 ms.
func (f *Service) Known() []time.Duration { return slices.Clone(f.known) }

// Unknown is how many changes not all sidecars know.
func (f *Service) Unknown() int { return len(f.pending) }

// renew has what is pending count from now on, as discovery can be reached by more than before.
func (f *Service) renew(zone func(int) bool) {
	for z := range f.reach {
		if zone(z) {
			f.reach[z] = f.clock.now
		}
	}
	for i := range f.pending {
		f.pending[i].since = f.clock.now
	}
}

// announce tells discovery of a server's state, from the server's zone or, where the server can't, by itself.
func (f *Service) announce(i int, state policy.EndpointState) {
	if f.discovery == nil {
		return
	}
	m := f.servers[i]
	life := m.life
	f.network.stream(m.zone, 0, func() {
		f.clock.after(f.discovery.cfg.Late, func() {
			if m.life == life {
				f.discovery.change(i, state)
			}
		})
	})
}

// StopDiscovery has all calls of discovery fail.
func (f *Service) StopDiscovery() { f.discovery.stop() }

// StartDiscovery ends that. The list is as it was.
func (f *Service) StartDiscovery() {
	f.discovery.down = false
	f.renew(func(int) bool { return true })
}

// PartRegions cuts the regions off from one another, and JoinRegions ends that.
func (f *Service) PartRegions() {
	f.network.part(func(z int) int { return f.network.regions[z] }, true)
}

// JoinRegions heals what PartRegions cut.
func (f *Service) JoinRegions() {
	f.network.part(func(z int) int { return f.network.regions[z] }, false)
	f.renew(func(z int) bool { return f.network.regions[z] != f.network.regions[0] })
}

// LoseZone has all machines of a zone fail at once; not the first zone's, where discovery is. Discovery finds it
// out by itself.
func (f *Service) LoseZone(zone int) {
	for i, m := range f.servers {
		if m.zone != zone {
			continue
		}
		m.stop(true)
		life := m.life
		if f.discovery != nil {
			f.clock.after(f.discovery.cfg.Detect+f.discovery.cfg.Late, func() {
				if m.life == life && m.down {
					f.discovery.change(i, policy.Removed)
				}
			})
		}
	}
	for _, s := range f.sidecars {
		if s.zone == zone {
			s.stop()
		}
	}
}

// ReturnZone starts all machines of a zone again: cold servers, and sidecars that hold no list.
func (f *Service) ReturnZone(zone int) {
	for i, m := range f.servers {
		if m.zone == zone {
			m.start()
			f.announce(i, policy.Ready)
		}
	}
	for _, s := range f.sidecars {
		if s.zone == zone {
			f.failed = errors.Join(f.failed, s.start(nil))
		}
	}
}

// Replace has server i leave, and after the grace stop for a time before it starts again, cold. With it goes the
// sidecar of that number, if there is one, which starts again without a list.
func (f *Service) Replace(i int, grace, pause time.Duration) {
	m := f.servers[i]
	f.announce(i, policy.Draining)
	f.clock.after(grace, func() {
		if m.down {
			return // its zone was lost meanwhile
		}
		var s *sidecar
		if i < len(f.sidecars) && f.sidecars[i].b != nil {
			s = f.sidecars[i]
			s.stop()
		}
		f.restart(i, pause, func() {
			if s != nil && s.b == nil {
				f.failed = errors.Join(f.failed, s.start(nil))
			}
		})
	})
}

// Crash has server i stop with all that it holds, and start again after a pause, cold. Its sidecar lives on.
func (f *Service) Crash(i int, pause time.Duration) {
	if !f.servers[i].down {
		f.restart(i, pause, func() {})
	}
}

// restart stops a server and, after a pause, starts it again, unless something else has become of it.
func (f *Service) restart(i int, pause time.Duration, then func()) {
	m := f.servers[i]
	m.stop(false)
	f.announce(i, policy.Removed)
	life := m.life
	f.clock.after(pause, func() {
		if m.life == life {
			m.start()
			f.announce(i, policy.Ready)
			then()
		}
	})
}
