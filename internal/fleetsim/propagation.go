package fleetsim

import (
	"slices"
	"time"
)

// propagationCheckInterval is the interval at which the simulation checks which list versions all sidecars
// have.
const propagationCheckInterval = 50 * time.Millisecond

// propagation measures how long endpoint changes take to reach all sidecars.
type propagation struct {
	pending []pendingChange // in the order of their versions
	times   []time.Duration // of the changes that have reached all sidecars
}

// pendingChange is an endpoint change that has not reached all sidecars.
type pendingChange struct {
	version      int64         // of the first endpoint list with the change
	measuredFrom time.Duration // when the change was made, or when discovery later became reachable
}

// add starts the measurement of a change.
func (p *propagation) add(version int64, now time.Duration) {
	p.pending = append(p.pending, pendingChange{version, now})
}

// reset restarts the measurement of all pending changes.
func (p *propagation) reset(now time.Duration) {
	for i := range p.pending {
		p.pending[i].measuredFrom = now
	}
}

// complete ends the measurement of all changes up to a version.
func (p *propagation) complete(version int64, now time.Duration) {
	for len(p.pending) > 0 && p.pending[0].version <= version {
		p.times = append(p.times, now-p.pending[0].measuredFrom)
		p.pending = p.pending[1:]
	}
}

// updatePropagation ends the measurement of each change that all running sidecars have received.
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

// discoveryReachable reports whether sidecars in a zone can reach discovery.
func (sim *Simulation) discoveryReachable(zone int) bool {
	return sim.discovery != nil && !sim.discovery.down && !sim.network.partitioned[0][zone]
}

// discoveryBecameReachable records that discovery has become reachable from the selected zones. It restarts
// the measurement of pending changes, because sidecars in these zones could not receive them before.
func (sim *Simulation) discoveryBecameReachable(selected func(zone int) bool) {
	for zone := range sim.discoveryReachableSince {
		if selected(zone) {
			sim.discoveryReachableSince[zone] = sim.clock.now
		}
	}
	sim.propagation.reset(sim.clock.now)
}

// PropagationTimes returns, for each endpoint change that has reached all running sidecars, the time that it
// took. If some sidecars could not reach discovery, the time counts from when discovery became reachable for
// them. The resolution is 50 ms.
func (sim *Simulation) PropagationTimes() []time.Duration { return slices.Clone(sim.propagation.times) }

// PendingChanges returns the number of endpoint changes that have not reached all running sidecars.
func (sim *Simulation) PendingChanges() int { return len(sim.propagation.pending) }
