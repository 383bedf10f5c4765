package fleetsim

import (
	"errors"
	"time"

	"cranehatch/policy"
)

// StartDiscoveryOutage makes all calls of discovery fail, those in progress included. Config.Discovery must be set.
func (sim *Simulation) StartDiscoveryOutage() { sim.discovery.startOutage() }

// EndDiscoveryOutage ends the outage. The endpoint list is as before.
func (sim *Simulation) EndDiscoveryOutage() {
	sim.discovery.down = false
	sim.discoveryBecameReachable(func(int) bool { return true })
}

// PartitionRegions interrupts the network between all regions.
func (sim *Simulation) PartitionRegions() { sim.network.setPartition(sim.network.region, true) }

// HealPartition ends what PartitionRegions began.
func (sim *Simulation) HealPartition() {
	sim.network.setPartition(sim.network.region, false)
	sim.discoveryBecameReachable(func(zone int) bool { return sim.network.region(zone) != sim.network.region(0) })
}

// FailZone makes all hosts of a zone fail at once, with their servers and sidecars. The zone must not be zone 0,
// where discovery is. Discovery detects the failures by itself.
func (sim *Simulation) FailZone(zone int) {
	for i, server := range sim.servers {
		if server.zone == zone {
			server.stop(true)
			sim.detectFailure(i)
		}
	}
	for _, s := range sim.sidecars {
		if s.zone == zone {
			s.stop()
		}
	}
}

// detectFailure has discovery remove a server whose host has failed, unless it restarts before that.
func (sim *Simulation) detectFailure(i int) {
	if sim.discovery == nil {
		return
	}
	server := sim.servers[i]
	incarnation := server.incarnation
	sim.clock.after(sim.discovery.config.FailureDetectionTime+sim.discovery.config.PropagationDelay, func() {
		if server.incarnation == incarnation && server.down {
			sim.discovery.setState(i, policy.Removed)
		}
	})
}

// RestoreZone restarts all servers of a zone, in slow start, and its sidecars, without an endpoint list.
func (sim *Simulation) RestoreZone(zone int) {
	for i, server := range sim.servers {
		if server.zone == zone {
			server.start()
			sim.announceState(i, policy.Ready)
		}
	}
	for _, s := range sim.sidecars {
		if s.zone == zone {
			sim.restartSidecar(s)
		}
	}
}

// restartSidecar starts a sidecar without an endpoint list.
func (sim *Simulation) restartSidecar(s *simSidecar) {
	sim.startErrors = errors.Join(sim.startErrors, s.start(nil))
}

// Replace drains server i for the time of grace, stops it and starts it again, in slow start, after downtime. The
// sidecar with the same index, if there is one, stops and restarts with it, without an endpoint list.
func (sim *Simulation) Replace(i int, grace, downtime time.Duration) {
	server := sim.servers[i]
	sim.announceState(i, policy.Draining)
	sim.clock.after(grace, func() {
		if server.down {
			return // its zone has failed meanwhile
		}
		var stopped *simSidecar
		if i < len(sim.sidecars) && sim.sidecars[i].balancer != nil {
			stopped = sim.sidecars[i]
			stopped.stop()
		}
		sim.restartServer(i, downtime, func() {
			if stopped != nil && stopped.balancer == nil {
				sim.restartSidecar(stopped)
			}
		})
	})
}

// Crash stops server i with all its requests and starts it again, in slow start, after downtime. The sidecar with
// the same index keeps running. It does nothing if the server is down.
func (sim *Simulation) Crash(i int, downtime time.Duration) {
	if !sim.servers[i].down {
		sim.restartServer(i, downtime, func() {})
	}
}

// restartServer stops a server and starts it again after downtime, unless it was started or stopped meanwhile.
func (sim *Simulation) restartServer(i int, downtime time.Duration, restarted func()) {
	server := sim.servers[i]
	server.stop(false)
	sim.announceState(i, policy.Removed)
	incarnation := server.incarnation
	sim.clock.after(downtime, func() {
		if server.incarnation == incarnation {
			server.start()
			sim.announceState(i, policy.Ready)
			restarted()
		}
	})
}

// announceState reports the state of a server from its zone to discovery. The report is dropped if the server was
// started or stopped meanwhile.
func (sim *Simulation) announceState(i int, state policy.EndpointState) {
	if sim.discovery == nil {
		return
	}
	server := sim.servers[i]
	incarnation := server.incarnation
	sim.network.sendReliable(server.zone, 0, func() {
		sim.clock.after(sim.discovery.config.PropagationDelay, func() {
			if server.incarnation == incarnation {
				sim.discovery.setState(i, state)
			}
		})
	})
}
