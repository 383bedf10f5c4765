package fleetsim

import (
	"testing"
	"time"
)

// All hosts of a zone fail and restart 20 s later. The restarted sidecars must read the full list, and
// all others only the changes. No invariant may be violated, and all sidecars must have each change within
// 5 s.
func TestZoneOutage(t *testing.T) {
	sim := newSimulation(t, testConfig(0, 100, 5))
	failLastZone(sim, 10*time.Second, 20*time.Second, 30*time.Second)
	checkInvariants(t, sim)
	c := sim.Counts()
	const failed, running = 16, 84 // of 100 in 6 zones
	if c.Discovery.Changes != 2*failed {
		t.Errorf("discovery recorded %d changes, want %d failures and as many restarts", c.Discovery.Changes, failed)
	}
	// Running sidecars read all changes. Each restarted sidecar reads the full list, which has at least
	// the running servers and at most all servers, and then the changes.
	changes := int64(running * 2 * failed)
	if c.EntriesRead < changes+failed*running || c.EntriesRead > changes+failed*(100+2*failed) {
		t.Errorf("sidecars read %d entries, want at least %d, and at most all changes and a full list for each restarted sidecar",
			c.EntriesRead, changes+failed*running)
	}
	if times := sim.PropagationTimes(); len(times) != 2*failed || maxDuration(times) > 5*time.Second {
		t.Errorf("%d changes reached all sidecars, the slowest after %v; want one per failure and restart, within 5 s",
			len(times), maxDuration(times))
	}
}

// The network between two regions is partitioned for a minute while servers are replaced on both sides. No
// invariant may be violated, and all changes must reach all sidecars within 15 s after the partition has
// healed.
func TestRegionPartition(t *testing.T) {
	sim := newSimulation(t, testConfig(0, 100, 5))
	partitionRegions(sim, 10, time.Minute)
	checkInvariants(t, sim)
	if times := sim.PropagationTimes(); sim.PendingChanges() > 0 || len(times) < 20 || maxDuration(times) > 15*time.Second {
		t.Errorf("%d changes reached all sidecars, the slowest after %v, and %d are pending; want no pending change and at most 15 s",
			len(times), maxDuration(times), sim.PendingChanges())
	}
}

// A tenth of the servers is replaced in a rolling update. No invariant may be violated, and each change must
// reach all sidecars within 5 s.
func TestRollingReplacement(t *testing.T) {
	const replaced, changesEach = 11, 3 // draining, gone and ready
	sim := newSimulation(t, testConfig(0, 100, 5))
	sim.Run(2 * time.Second)
	replaceServers(sim, replaced, 30*time.Second)
	sim.Run(time.Minute)
	checkInvariants(t, sim)
	if times := sim.PropagationTimes(); len(times) != changesEach*replaced || sim.PendingChanges() > 0 || maxDuration(times) > 5*time.Second {
		t.Errorf("%d changes reached all sidecars, want %d; the slowest after %v, want at most 5s; %d are pending, want none",
			len(times), changesEach*replaced, maxDuration(times), sim.PendingChanges())
	}
}

// Servers crash one after the other with their requests in flight. A non-idempotent request that may have
// been executed must not be sent again, and each request must get its response in time.
func TestServerCrashes(t *testing.T) {
	sim := newSimulation(t, testConfig(0, 60, 30))
	sim.Run(2 * time.Second)
	for k := range 40 {
		sim.clock.after(time.Duration(k)*500*ms, func() { sim.Crash(k*7%60, 2*time.Second) })
	}
	sim.Run(25 * time.Second)
	checkInvariants(t, sim)
	if c := sim.Class(nonIdempotentClass); c.Failed == 0 || c.WithinObjective < c.Requests*9/10 {
		t.Errorf("non-idempotent requests = %+v, want some failures and at least 90%% within the latency objective", c)
	}
}

// Servers restart with a tenth of their capacity. If each of 300 sidecars sent them only one request at a
// time, the requests of all sidecars together could still exceed the slow-start budget, which must not happen.
func TestSlowStartLimitsNewServers(t *testing.T) {
	cfg := testConfig(0, 300, 2)
	cfg.Servers, cfg.Policy.SlowStartFraction, cfg.Policy.OverloadFactor = 12, 0.1, 1.2
	sim := newSimulation(t, cfg)
	sim.Run(2 * time.Second)
	for k := range 6 {
		sim.clock.after(time.Duration(k)*time.Second, func() { sim.Crash(2*k, 2*time.Second) })
	}
	sim.Run(20 * time.Second)
	checkInvariants(t, sim)
}

// Discovery has an outage while servers are replaced. No invariant may be violated, and all changes must
// reach all sidecars within 15 s after the outage.
func TestDiscoveryOutage(t *testing.T) {
	sim := newSimulation(t, testConfig(0, 60, 5))
	sim.Run(5 * time.Second)
	sim.StartDiscoveryOutage()
	sim.Run(3 * time.Second)
	replaceServers(sim, 6, 5*time.Second)
	sim.Run(20 * time.Second)
	sim.EndDiscoveryOutage()
	sim.Run(30 * time.Second)
	checkInvariants(t, sim)
	if times := sim.PropagationTimes(); sim.PendingChanges() > 0 || len(times) == 0 || maxDuration(times) > 15*time.Second {
		t.Errorf("%d changes reached all sidecars, the slowest after %v, and %d are pending; want no pending change and at most 15 s",
			len(times), maxDuration(times), sim.PendingChanges())
	}
}
