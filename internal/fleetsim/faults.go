package fleetsim

import (
	"errors"
	"time"

	"cranehatch/policy"
)

// StartDiscoveryOutage makes all calls to discovery fail, including those in progress. Config.Discovery must
// be set.
func (sim *Simulation) StartDiscoveryOutage() { sim.discovery.startOutage() }

// EndDiscoveryOutage ends the outage. Discovery has kept its endpoint list.
func (sim *Simulation) EndDiscoveryOutage() {
	sim.discovery.down = false
	sim.discoveryBecameReachable(func(int) bool { return true })
}

// PartitionRegions starts a network partition between all regions.
func (sim *Simulation) PartitionRegions() { sim.network.setPartition(sim.network.region, true) }

// HealPartition ends the partition that PartitionRegions started.
func (sim *Simulation) HealPartition() {
	sim.network.setPartition(sim.network.region, false)
	sim.discoveryBecameReachable(func(zone int) bool { return sim.network.region(zone) != sim.network.region(0) })
}

// FailZone makes all hosts of a zone fail at once, with their servers and sidecars. Zone 0 must not fail,
// because discovery is there. The servers do not report their failure: discovery detects it.
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

// detectFailure schedules the removal of a server whose host has failed from the endpoint list, unless the
// server restarts before that.
func (sim *Simulation) detectFailure(serverIndex int) {
	if sim.discovery == nil {
		return
	}
	server := sim.servers[serverIndex]
	incarnation := server.incarnation
	sim.clock.after(sim.discovery.config.FailureDetectionTime+sim.discovery.config.PropagationDelay, func() {
		if server.incarnation == incarnation && server.down {
			sim.discovery.setState(serverIndex, policy.Removed)
		}
	})
}

// RestoreZone restarts all servers and sidecars of a zone. The servers are in slow start, and the sidecars
// have no cached endpoint list.
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

// restartSidecar starts a sidecar without a cached endpoint list.
func (sim *Simulation) restartSidecar(s *simSidecar) {
	sim.restartErrors = errors.Join(sim.restartErrors, s.start(nil))
}

// Replace drains a server for the duration of grace, stops it, and restarts it in slow start after downtime.
// The sidecar with the same index, if there is one, stops and restarts with the server, without a cached
// endpoint list.
func (sim *Simulation) Replace(serverIndex int, grace, downtime time.Duration) {
	server := sim.servers[serverIndex]
	sim.announceState(serverIndex, policy.Draining)
	sim.clock.after(grace, func() {
		if server.down {
			return // its zone has failed in the meantime
		}
		var stopped *simSidecar
		if serverIndex < len(sim.sidecars) && sim.sidecars[serverIndex].balancer != nil {
			stopped = sim.sidecars[serverIndex]
			stopped.stop()
		}
		sim.restartServer(serverIndex, downtime, func() {
			if stopped != nil && stopped.balancer == nil {
				sim.restartSidecar(stopped)
			}
		})
	})
}

// Crash stops a server, which loses all its requests, and restarts it in slow start after downtime. The
// sidecar with the same index keeps running. Crash does nothing if the server is already down.
func (sim *Simulation) Crash(serverIndex int, downtime time.Duration) {
	if !sim.servers[serverIndex].down {
		sim.restartServer(serverIndex, downtime, func() {})
	}
}

// restartServer stops a server and restarts it after downtime, unless it has been started or stopped in the
// meantime. It calls restarted after the restart.
func (sim *Simulation) restartServer(serverIndex int, downtime time.Duration, restarted func()) {
	server := sim.servers[serverIndex]
	server.stop(false)
	sim.announceState(serverIndex, policy.Removed)
	incarnation := server.incarnation
	sim.clock.after(downtime, func() {
		if server.incarnation == incarnation {
			server.start()
			sim.announceState(serverIndex, policy.Ready)
			restarted()
		}
	})
}

// announceState reports the state of a server to discovery, over the network from the zone of the server. The
// report is dropped if the server has been started or stopped in the meantime.
func (sim *Simulation) announceState(serverIndex int, state policy.EndpointState) {
	if sim.discovery == nil {
		return
	}
	server := sim.servers[serverIndex]
	incarnation := server.incarnation
	sim.network.sendReliable(server.zone, 0, func() {
		sim.clock.after(sim.discovery.config.PropagationDelay, func() {
			if server.incarnation == incarnation {
				sim.discovery.setState(serverIndex, state)
			}
		})
	})
}
