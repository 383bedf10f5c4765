// Package fleetsim simulates one service in one process: its sidecars, its servers, its discovery service and
// the network between them. It measures effects that appear only in a fleet. Each simulated sidecar runs a
// real policy.Balancer and uses the real encodings of gossip messages and endpoint lists. Everything else is
// a model that runs on a fake clock.
//
// A simulation is deterministic: the same Config produces the same events, because all random draws come from
// seeded generators, and nothing depends on the real clock or on the iteration order of a map.
//
// A Simulation must be used by only one goroutine at a time. Simulations are independent of one another, so
// RunAll can run several concurrently.
package fleetsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

const (
	// startTime is the time on the fake clock when a simulation starts.
	startTime = time.Second

	// inFlightSampleInterval is the interval at which the requests in flight at servers are sampled.
	inFlightSampleInterval = 10 * time.Millisecond

	// rngStream is the stream of the random generator that Config.Seed seeds.
	rngStream = 2
)

// Simulation is the simulated fleet of one service.
type Simulation struct {
	config        Config
	clock         *clock
	rng           *rand.Rand
	network       *simNetwork
	discovery     *simDiscovery // nil if the endpoint list never changes
	servers       []*simServer
	serverByID    map[policy.EndpointID]*simServer
	sidecars      []*simSidecar
	zones         map[string]int // zone numbers by name
	lastRequestID policy.RequestID
	restartErrors error // of sidecars that failed to restart

	classCounts     []ClassCounts
	counts          Counts
	violations      Violations
	digest          uint64
	inFlightSum     float64 // sum over all samples of the mean number of requests in flight per server
	inFlightSamples int     // number of samples in inFlightSum

	propagation             propagation
	discoveryReachableSince []time.Duration // by zone: when discovery last became reachable
}

// New creates and starts the fleet that config describes. It returns an error if the fleet cannot be
// simulated or if config.Policy is invalid for a Balancer.
func New(config Config) (*Simulation, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	sim := &Simulation{
		config:                  config,
		clock:                   &clock{now: startTime},
		rng:                     rand.New(rand.NewPCG(config.Seed, rngStream)),
		serverByID:              make(map[policy.EndpointID]*simServer),
		zones:                   make(map[string]int),
		classCounts:             make([]ClassCounts, len(config.Policy.Classes)),
		discoveryReachableSince: make([]time.Duration, config.Zones),
	}
	sim.network = newNetwork(config.Network, sim.clock, sim.rng, config.Zones, config.Regions)
	for zone := range config.Zones {
		sim.zones[zoneName(zone)] = zone
	}
	sim.addServers()
	list, err := sim.addDiscovery()
	if err != nil {
		return nil, fmt.Errorf("fleetsim: initial endpoint list: %w", err)
	}
	sim.addSidecars()
	for _, s := range sim.sidecars {
		if err := s.start(&list); err != nil {
			return nil, fmt.Errorf("fleetsim: %w", err)
		}
	}
	return sim, nil
}

// addServers creates the servers.
func (sim *Simulation) addServers() {
	for i := range sim.config.Servers {
		server := &simServer{sim: sim, name: fmt.Sprintf("s-%05d", i), zone: (sim.config.FirstZone + i) % sim.config.Zones}
		server.id = endpointlist.EndpointID(server.name)
		if sim.config.EndpointID != nil {
			server.id = sim.config.EndpointID(i)
		}
		sim.servers = append(sim.servers, server)
		sim.serverByID[server.id] = server
	}
}

// addDiscovery creates the discovery service if one is configured, and returns the initial endpoint list.
func (sim *Simulation) addDiscovery() (endpointlist.List, error) {
	discovery := newDiscovery(sim, DiscoveryConfig{})
	if sim.config.Discovery != nil {
		discovery.config, sim.discovery = *sim.config.Discovery, discovery
	}
	list, err := endpointlist.Parse(discovery.response(noVersion).body, sim.zones)
	if err != nil {
		return endpointlist.List{}, err
	}
	for i := range list.Endpoints { // the initial list has one entry per server, in the same order
		list.Endpoints[i].ID = sim.servers[i].id
	}
	return list, nil
}

// addSidecars creates the sidecars and sets their request rates: HighRate for high-rate sidecars, and for the
// others a share of Config.RequestRate.
func (sim *Simulation) addSidecars() {
	total := 0.0
	for i := range sim.config.Sidecars {
		s := newSidecar(sim, i)
		total += s.requestRate
		sim.sidecars = append(sim.sidecars, s)
	}
	for _, s := range sim.sidecars {
		s.requestRate *= sim.config.RequestRate / max(total, 1e-9)
		if s.highRate {
			s.requestRate = sim.config.HighRate
		}
	}
}

// Run advances the simulation by d on the fake clock.
func (sim *Simulation) Run(d time.Duration) {
	end := sim.clock.now + d
	nextSample, lastCheck := sim.clock.now, sim.clock.now
	for sim.clock.hasEventUntil(end) {
		e := sim.clock.pop()
		for ; nextSample <= e.at; nextSample += inFlightSampleInterval {
			sim.sampleInFlight()
		}
		sim.clock.now = e.at
		e.fire()
		if e.at-lastCheck >= propagationCheckInterval {
			lastCheck = e.at
			sim.updatePropagation()
		}
	}
	sim.clock.now = end
	sim.updatePropagation()
}

// sampleInFlight adds a sample of the mean number of requests in flight per server.
func (sim *Simulation) sampleInFlight() {
	inFlight := 0
	for _, server := range sim.servers {
		inFlight += len(server.queue)
	}
	sim.inFlightSamples++
	sim.inFlightSum += float64(inFlight) / float64(len(sim.servers))
}

// ResetCounts sets all counts to zero, for instance after a warm-up. Violations and propagation times are
// kept.
func (sim *Simulation) ResetCounts() {
	clear(sim.classCounts)
	sim.counts, sim.inFlightSum, sim.inFlightSamples = Counts{}, 0, 0
}

// Counts returns the counts since the start or the last call of ResetCounts.
func (sim *Simulation) Counts() Counts { return sim.counts }

// Class returns the counts of the class with the given index in policy.Config.Classes.
func (sim *Simulation) Class(class int) ClassCounts { return sim.classCounts[class] }

// MeanInFlight returns the mean number of requests in flight per server, queued or executing.
func (sim *Simulation) MeanInFlight() float64 {
	return sim.inFlightSum / float64(max(1, sim.inFlightSamples))
}

// Goodput returns the fraction of requests, weighted by priority, that were answered within their latency
// objective.
func (sim *Simulation) Goodput() float64 {
	good, all := 0.0, 0.0
	for i, c := range sim.classCounts {
		good += sim.config.Policy.Classes[i].PriorityWeight * float64(c.WithinObjective)
		all += sim.config.Policy.Classes[i].PriorityWeight * float64(c.Requests)
	}
	return good / all
}

// Violations returns the invariant violations since the start.
func (sim *Simulation) Violations() Violations { return sim.violations }

// Err returns the joined errors of sidecars that failed to restart, or nil.
func (sim *Simulation) Err() error { return sim.restartErrors }

// Digest returns a hash of all requests, attempts, results and endpoint lists, in the order in which they
// occurred.
func (sim *Simulation) Digest() uint64 { return sim.digest }

// Now returns the time on the fake clock, which starts at 1 s.
func (sim *Simulation) Now() time.Duration { return sim.clock.now }
