package fleetsim

import (
	"slices"
	"time"
)

// propagationCheckInterval is how often the simulation checks which list versions all sidecars have.
const propagationCheckInterval = 50 * time.Millisecond

// propagation measures how long endpoint changes take to reach all sidecars.
type propagation struct {
	pending []pendingChange // in the order of their versions
	times   []time.Duration // of the changes that have reached all
}

// pendingChange is an endpoint change that has not reached all sidecars.
type pendingChange struct {
	version int64         // of the endpoint list with the change
	since   time.Duration // when all sidecars that are up could get it
}

// add starts the measurement of a change.
func (p *propagation) add(version int64, now time.Duration) {
	p.pending = append(p.pending, pendingChange{version, now})
}

// reset restarts the measurement of all pending changes.
func (p *propagation) reset(now time.Duration) {
	for i := range p.pending {
		p.pending[i].since = now
	}
}

// complete ends the measurement of the changes up to a version.
func (p *propagation) complete(version int64, now time.Duration) {
	for len(p.pending) > 0 && p.pending[0].version <= version {
		p.times = append(p.times, now-p.pending[0].since)
		p.pending = p.pending[1:]
	}
}

// updatePropagation ends the measurement of the changes that all sidecars have which are up.
func (sim *Simulation) updatePropagation() {
	if len(sim.propagation.pending) == 0 {
		return
	}
	oldest := int64(1 << 62)
	for _, s := range sim.sidecars {
		if s.balancer != nil {
			oldest = min(oldest, s.endpoints.version)
		}
	}
	sim.propagation.complete(oldest, sim.clock.now)
}

// discoveryReachable reports whether discovery can be called from a zone.
func (sim *Simulation) discoveryReachable(zone int) bool {
	return sim.discovery != nil && !sim.discovery.down && !sim.network.partitioned[0][zone]
}

// discoveryBecameReachable restarts the measurement of pending changes, as more sidecars can get them than before.
func (sim *Simulation) discoveryBecameReachable(from func(zone int) bool) {
	for zone := range sim.discoveryReachableSince {
		if from(zone) {
			sim.discoveryReachableSince[zone] = sim.clock.now
		}
	}
	sim.propagation.reset(sim.clock.now)
}

// PropagationTimes returns for each endpoint change that has reached all sidecars how long it took. Where a sidecar
// was down or could not reach discovery, the time counts from when it could. The resolution is 50 ms.
func (sim *Simulation) PropagationTimes() []time.Duration { return slices.Clone(sim.propagation.times) }

// PendingChanges is the number of endpoint changes that have not reached all sidecars.
func (sim *Simulation) PendingChanges() int { return len(sim.propagation.pending) }
