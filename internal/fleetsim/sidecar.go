package fleetsim

import (
	"fmt"
	"math"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/internal/gossip"
	"cranehatch/policy"
)

// incarnationShift is the position of the incarnation in the seed of a Balancer; the lower bits are the
// sidecar's index.
const incarnationShift = 40

// minTimerDuration is the shortest duration of a timer of a sidecar.
const minTimerDuration = time.Millisecond

// simSidecar is a simulated sidecar. It is the policy.Host of a real Balancer, and it also simulates the
// sidecar's clients.
type simSidecar struct {
	sim         *Simulation
	balancer    *policy.Balancer // nil while the sidecar is down
	index       int
	zone        int
	incarnation int     // incremented each time the sidecar stops
	requestRate float64 // of client requests, in requests per second
	highRate    bool    // whether it is one of Config.HighRateSidecars

	requests     map[policy.RequestID]*request       // in progress, by ID
	drainNotices map[policy.EndpointID]time.Duration // when first notified of draining or removal
	endpoints    endpointClient
}

// newSidecar creates a sidecar and draws its request rate, which addSidecars scales to Config.RequestRate.
// The rates have a log-normal distribution, so some are many times higher than others.
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

// start creates and starts the sidecar's Balancer. A non-nil list is the endpoint list that the sidecar has
// at its start. start returns an error if the Balancer's configuration is invalid.
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

// newBalancer creates a Balancer for this sidecar with the given host. Its random draws depend on the index
// and the incarnation of the sidecar; Config.Seed affects only the simulated environment.
func (s *simSidecar) newBalancer(host policy.Host) (*policy.Balancer, error) {
	config := s.sim.config.Policy
	config.Balancers, config.Index, config.Zone = len(s.sim.sidecars), s.index, s.zone
	seed := uint64(s.index) + uint64(s.incarnation)<<incarnationShift
	return policy.New(config, seed, host)
}

// stop stops the sidecar and its clients.
func (s *simSidecar) stop() {
	s.incarnation++
	s.balancer, s.requests = nil, nil
	s.endpoints.cancelCalls()
}

// receiveGossip handles a datagram from another sidecar.
func (s *simSidecar) receiveGossip(sender int, datagram []byte) {
	if s.balancer == nil {
		return
	}
	s.sim.counts.Gossip.Received.add(len(datagram) + datagramHeaderBytes)
	started := s.startCPUTimer()
	if message, err := gossip.Decode(datagram); err == nil {
		s.balancer.ReceiveGossip(s.sim.clock.now, sender, message)
	}
	s.addControlCPU(started)
}

// Broadcast sends a gossip message to all other sidecars that are up. The network delays each datagram or
// loses it.
func (s *simSidecar) Broadcast(message policy.GossipMessage) {
	sim, datagram := s.sim, gossip.Encode(message)
	sim.counts.Gossip.Sent.add(len(datagram) + datagramHeaderBytes)
	for i, recipients := range s.drawRecipients() {
		if len(recipients) > 0 {
			delay := sim.network.datagramDelay(s.zone, i/jitterSteps, i%jitterSteps)
			sim.clock.push(event{at: sim.clock.now + delay, recipients: recipients, sender: s.index, datagram: datagram})
		}
	}
}

// drawRecipients draws which sidecars a datagram reaches. It groups them by zone and jitter step: the index
// is zone*jitterSteps + step.
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

// SetTimer sets a timer for TimerFired. Timers are at least 1 ms, the resolution of the real sidecar.
func (s *simSidecar) SetTimer(d time.Duration) {
	incarnation := s.incarnation
	s.sim.clock.after(max(d, minTimerDuration), func() {
		if s.incarnation != incarnation {
			return
		}
		started := s.startCPUTimer()
		s.balancer.TimerFired(s.sim.clock.now)
		s.addControlCPU(started)
	})
}

// WatchEndpoints starts following the endpoint list.
func (s *simSidecar) WatchEndpoints() {
	if s.sim.discovery != nil {
		s.endpoints.requested = true
		s.sim.clock.after(0, s.endpoints.start)
	}
}

// CloseIdle is a no-op: simulated servers have no connections.
func (s *simSidecar) CloseIdle(policy.EndpointID) {}

// HealthCheck is a no-op: simulated servers report no load.
func (s *simSidecar) HealthCheck(policy.EndpointID) {}

// Log is a no-op: health events are information for operators.
func (s *simSidecar) Log(policy.HealthEvent) {}
