package fleetsim

import (
	"slices"
	"testing"
	"time"
)

// idleSimulation starts 6 sidecars and 6 servers without client requests.
func idleSimulation(t *testing.T) *Simulation {
	t.Helper()
	cfg := testConfig(0, 6, 0)
	cfg.RequestRate = 0
	return newSimulation(t, cfg)
}

// addRequest adds a request in progress to a sidecar without passing it to its Balancer.
func addRequest(s *simSidecar, class int) *request {
	r := &request{call: &clientCall{class: class}, id: 1 << 40, sidecar: s, incarnation: s.incarnation}
	s.requests[r.id] = r
	return r
}

// invariantViolations are the ways of violating an invariant that the simulation has to detect.
var invariantViolations = []struct {
	name      string
	invariant Invariant
	violate   func(sim *Simulation, s *simSidecar)
}{
	{"second response", SingleResponse, func(_ *Simulation, s *simSidecar) {
		r := addRequest(s, idempotentClass)
		r.inFlight = 1
		s.Fail(r.id)
		s.Fail(r.id)
	}},
	{"response to an unknown request", SingleResponse, func(_ *Simulation, s *simSidecar) { s.Fail(1 << 50) }},
	{"no response", SingleResponse, submitWithoutResponse},
	{"second execution", AtMostOnce, func(sim *Simulation, s *simSidecar) {
		r := addRequest(s, nonIdempotentClass)
		sim.executionStarted(&attempt{request: r})
		sim.executionStarted(&attempt{request: r})
	}},
	{"rejection after an execution", AtMostOnce, func(sim *Simulation, s *simSidecar) {
		r := addRequest(s, nonIdempotentClass)
		sim.executionStarted(&attempt{request: r})
		s.Reject(r.id, 0)
	}},
	{"send more than 1 s after a drain notice", NoSendWhileDraining, func(sim *Simulation, s *simSidecar) {
		s.drainNotices[sim.servers[1].id] = sim.clock.now - time.Second - 1
		sim.checkSend(s, sim.servers[1])
		sim.checkSend(s, sim.servers[2])
	}},
	{"send more than 7 s after discovery listed the server as draining", NoSendWhileDraining, func(sim *Simulation, s *simSidecar) {
		sim.Run(10 * time.Second)
		sim.servers[1].drainingSince = sim.clock.now - 7*time.Second - 1
		sim.servers[2].drainingSince = sim.clock.now - 7*time.Second
		sim.checkSend(s, sim.servers[1])
		sim.checkSend(s, sim.servers[2])
	}},
	{"one request over the slow-start budget", SlowStartBudget, func(sim *Simulation, _ *simSidecar) {
		server := sim.servers[1]
		server.start()
		for range int(server.slowStartBudget(0)) + 1 {
			server.countSlowStartRequest()
		}
	}},
}

// Guards against a simulation that misses violations, with which every other test would still pass. Each case
// violates one invariant once, and the simulation must record exactly that violation.
func TestInvariantViolationsAreDetected(t *testing.T) {
	for _, test := range invariantViolations {
		t.Run(test.name, func(t *testing.T) {
			sim := idleSimulation(t)
			sim.Run(time.Second)
			test.violate(sim, sim.sidecars[0])
			if v := sim.Violations(); v.Counts[test.invariant] != 1 || v.Total() != 1 {
				t.Errorf("violations = %v, want only one of %v: %q", v.Counts, test.invariant, v.Details)
			}
		})
	}
}

// submitWithoutResponse submits a request and drops all events except the check after the timeout of its
// client, so that the Balancer never responds.
func submitWithoutResponse(sim *Simulation, s *simSidecar) {
	s.submit(&clientCall{class: idempotentClass, startedAt: sim.clock.now}, 0)
	checkedAt := sim.clock.now + clientTimeout + responseSlack
	sim.clock.heap = slices.DeleteFunc(sim.clock.heap, func(e event) bool { return e.at != checkedAt })
	sim.Run(2 * time.Second)
}

// A server drains while one region cannot reach discovery. The sidecars of this region must not count as
// notified until notifyTimeout after the partition has healed.
func TestDrainNoticeNeedsReachableDiscovery(t *testing.T) {
	sim := idleSimulation(t)
	sim.PartitionRegions()
	server := sim.servers[1]
	server.drainingSince = sim.clock.now
	sim.Run(time.Minute)
	local, remote := sim.sidecars[0], sim.sidecars[5]
	if _, notified := sim.drainNoticeAt(remote, server); notified {
		t.Error("sidecar without access to discovery counts as notified, want not notified")
	}
	if at, notified := sim.drainNoticeAt(local, server); !notified || at != server.drainingSince+notifyTimeout {
		t.Errorf("sidecar in the region of discovery: notified = %v at %v, want notified 6 s after the server started draining",
			notified, at)
	}
	sim.HealPartition()
	if at, notified := sim.drainNoticeAt(remote, server); !notified || at != sim.clock.now+notifyTimeout {
		t.Errorf("sidecar after the partition: notified = %v at %v, want notified 6 s after %v",
			notified, at, sim.clock.now)
	}
}
