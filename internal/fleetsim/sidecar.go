package fleetsim

import (
	"fmt"
	"math"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/internal/gossip"
	"cranehatch/policy"
)

// incarnationShift is the bit of a Balancer's seed at which the incarnation of its sidecar begins.
const incarnationShift = 40

// minTimer is the shortest timer that a sidecar sets.
const minTimer = time.Millisecond

// simSidecar is a simulated sidecar: it is the policy.Host of a real Balancer, and simulates its clients.
type simSidecar struct {
	sim         *Simulation
	balancer    *policy.Balancer // nil while the sidecar is down
	index       int
	zone        int
	incarnation int     // incremented at each stop
	requestRate float64 // of its clients, in requests per second
	highRate    bool    // it is one of Config.HighRateSidecars

	requests     map[policy.RequestID]*request       // in progress
	drainNotices map[policy.EndpointID]time.Duration // when an endpoint list said that a server drains or is gone
	endpoints    endpointClient
}

// newSidecar creates a sidecar and draws its request rate, which New scales to Config.RequestRate. The rates have a
// log-normal distribution: some are many times those of others.
func newSidecar(sim *Simulation, index int) *simSidecar {
	s := &simSidecar{
		sim:         sim,
		index:       index,
		zone:        (sim.config.FirstZone + index) % sim.config.Zones,
		requestRate: math.Exp(sim.rng.NormFloat64()),
		highRate:    index < sim.config.HighRateSidecars,
	}
	if s.highRate {
		s.requestRate = 0
	}
	s.endpoints.sidecar = s
	return s
}

// start gives the sidecar a new Balancer and, if it is not nil, an endpoint list that it has from before. It returns
// an error if the Balancer's settings are invalid.
func (s *simSidecar) start(list *endpointlist.List) error {
	balancer, err := s.newBalancer(s)
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", s.index, err)
	}
	s.balancer = balancer
	s.requests = make(map[policy.RequestID]*request)
	s.drainNotices = make(map[policy.EndpointID]time.Duration)
	s.endpoints.reset()
	s.balancer.Start(s.sim.clock.now)
	if list != nil {
		s.endpoints.version = list.Version
		kind := policy.CachedUpdate
		if s.sim.discovery == nil {
			kind = policy.FullUpdate
		}
		s.balancer.UpdateEndpoints(s.sim.clock.now, kind, list.Endpoints)
	}
	s.scheduleClientCall()
	return nil
}

// newBalancer creates a Balancer of this sidecar for a host. Its random draws depend on the index and the
// incarnation of the sidecar; Config.Seed is for the world around it.
func (s *simSidecar) newBalancer(host policy.Host) (*policy.Balancer, error) {
	config := s.sim.config.Policy
	config.Balancers, config.Index, config.Zone = len(s.sim.sidecars), s.index, s.zone
	seed := uint64(s.index) + uint64(s.incarnation)<<incarnationShift
	return policy.New(config, seed, host)
}

// stop ends the sidecar and its clients.
func (s *simSidecar) stop() {
	s.incarnation++
	s.balancer, s.requests = nil, nil
	s.endpoints.cancelCalls()
}

// receiveGossip takes a datagram of another sidecar.
func (s *simSidecar) receiveGossip(sender int, datagram []byte) {
	if s.balancer == nil {
		return
	}
	s.sim.counts.Gossip.Received.add(len(datagram) + datagramHeaderBytes)
	started := s.startCPU()
	if n, err := gossip.Decode(datagram); err == nil {
		s.balancer.ReceiveGossip(s.sim.clock.now, sender, n)
	}
	s.chargeControl(started)
}

// Broadcast sends a gossip message to all other sidecars. Each gets it a little later, or not at all.
func (s *simSidecar) Broadcast(n policy.GossipMessage) {
	sim, datagram := s.sim, gossip.Encode(n)
	sim.counts.Gossip.Sent.add(len(datagram) + datagramHeaderBytes)
	for i, recipients := range s.drawRecipients() {
		if len(recipients) > 0 {
			delay := sim.network.datagramDelay(s.zone, i/jitterSteps, i%jitterSteps)
			sim.clock.push(event{at: sim.clock.now + delay, recipients: recipients, sender: s.index, datagram: datagram})
		}
	}
}

// drawRecipients draws which sidecars a datagram reaches, by zone and step of the jitter.
func (s *simSidecar) drawRecipients() [][]*simSidecar {
	sim := s.sim
	recipients := make([][]*simSidecar, sim.config.Zones*jitterSteps)
	for _, other := range sim.sidecars {
		if other == s || other.balancer == nil {
			continue
		}
		step, arrives := sim.network.datagramArrives(s.zone, other.zone)
		if !arrives {
			sim.counts.DatagramsLost++
			continue
		}
		i := other.zone*jitterSteps + step
		recipients[i] = append(recipients[i], other)
	}
	return recipients
}

// SetTimer sets a timer, with a resolution of a millisecond as in the real sidecar.
func (s *simSidecar) SetTimer(d time.Duration) {
	incarnation := s.incarnation
	s.sim.clock.after(max(d, minTimer), func() {
		if s.incarnation != incarnation {
			return
		}
		started := s.startCPU()
		s.balancer.TimerFired(s.sim.clock.now)
		s.chargeControl(started)
	})
}

// WatchEndpoints begins to follow the endpoint list.
func (s *simSidecar) WatchEndpoints() {
	if s.sim.discovery != nil {
		s.endpoints.requested = true
		s.sim.clock.after(0, s.endpoints.start)
	}
}

// CloseIdle does nothing: simulated servers keep no connections.
func (s *simSidecar) CloseIdle(policy.EndpointID) {}

// HealthCheck does nothing: simulated servers report no load.
func (s *simSidecar) HealthCheck(policy.EndpointID) {}

// Log does nothing: its lines are for people.
func (s *simSidecar) Log(policy.HealthEvent) {}
