package fleetsim

import (
	"slices"
	"testing"
	"time"

	"cranehatch/policy"
)

const ms = time.Millisecond

// Classes of testConfig.
const (
	idempotentClass = iota
	idempotentByKeyClass
	nonIdempotentClass
)

// testConfig returns the configuration of a service with as many servers as sidecars, in 6 zones and 2
// regions. ratePerSidecar is in requests per second. The settings of the Balancers are those of the fleet
// assumed in docs/CAPACITY.md, plus a non-idempotent class; the times of servers, network and discovery are
// assumed.
func testConfig(seed uint64, sidecars int, ratePerSidecar float64) Config {
	return Config{
		Seed: seed, Sidecars: sidecars, Servers: sidecars, Zones: 6, Regions: 2, FirstZone: int(seed % 6),
		RequestRate: ratePerSidecar * float64(sidecars),
		ClassMix:    []float64{idempotentClass: 0.5, idempotentByKeyClass: 0.3, nonIdempotentClass: 0.2},
		Server: ServerConfig{
			Cores: 2, ServiceTime: 27 * ms, OverloadQueue: 5, OverloadDelay: 500 * ms, RecoveryIdleTime: 800 * ms,
		},
		Network: NetworkConfig{
			SameZoneDelay: 250 * time.Microsecond, CrossZoneDelay: 500 * time.Microsecond, CrossRegionDelay: 15 * ms,
			DatagramJitter: 2 * ms, DatagramLoss: 0.01,
		},
		Discovery: &DiscoveryConfig{
			CallTime: 100 * time.Microsecond, EntryTime: 2 * time.Microsecond, QueueTimeout: 3 * time.Second,
			PropagationDelay: 100 * ms, FailureDetectionTime: 3 * time.Second,
		},
		Policy: testPolicy(1.25 * max(ratePerSidecar, 0.1) * float64(sidecars)),
	}
}

// testPolicy returns the Balancers' configuration. The tenants share the quota, in requests per second.
func testPolicy(quota float64) policy.Config {
	return policy.Config{
		Classes: []policy.Class{
			idempotentClass:      testClass(1, policy.Idempotent),
			idempotentByKeyClass: testClass(8, policy.IdempotentByKey),
			nonIdempotentClass:   testClass(4, policy.NonIdempotent),
		},
		Tenants: []policy.Tenant{
			{Weight: 0.42, Quota: 0.42 * quota}, {Weight: 0.33, Quota: 0.33 * quota}, {Weight: 0.25, Quota: 0.25 * quota},
		},
		MaxAttempts: 6, CanCancel: true, CanGossip: true, MaxRetryAfter: 2 * time.Second, ClientsMarkRetries: true, EventInterval: ms,
		PollsEndpoints: true, PollInterval: 10 * time.Second, SlowStartFraction: 0.32, SlowStartDuration: 8400 * ms, OverloadFactor: 4, CrossZoneCost: 0.12,
	}
}

// testClass returns a class with the latency objective and deadline of all test classes.
func testClass(priorityWeight float64, idempotency policy.Idempotency) policy.Class {
	return policy.Class{
		LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: priorityWeight,
		Idempotency: idempotency, DedupWindow: 6 * time.Second,
	}
}

// newSimulation starts a simulation, and fails the test if New returns an error.
func newSimulation(t testing.TB, cfg Config) *Simulation {
	t.Helper()
	sim, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return sim
}

// checkInvariants fails the test for invariant violations and for sidecars that failed to restart.
func checkInvariants(t testing.TB, sim *Simulation) {
	t.Helper()
	if v := sim.Violations(); v.Total() > 0 {
		t.Errorf("invariant violations = %v, want none: %q", v.Counts, v.Details)
	}
	if err := sim.Err(); err != nil {
		t.Error(err)
	}
}

// failLastZone runs a simulation in which the last zone has an outage. The parameters are the times before,
// during and after the outage.
func failLastZone(sim *Simulation, before, outage, after time.Duration) {
	sim.Run(before)
	sim.FailZone(sim.config.Zones - 1)
	sim.Run(outage)
	sim.RestoreZone(sim.config.Zones - 1)
	sim.Run(after)
}

// partitionRegions runs a simulation with a partition of its regions for d, and then for 30 s without it.
// During the partition, n servers are replaced on both sides.
func partitionRegions(sim *Simulation, n int, d time.Duration) {
	sim.Run(5 * time.Second)
	sim.PartitionRegions()
	replaceServers(sim, n, d)
	sim.Run(d)
	sim.HealPartition()
	sim.Run(30 * time.Second)
}

// replaceServers schedules the replacement of n servers and their sidecars, spread evenly over d and over all
// servers.
func replaceServers(sim *Simulation, n int, d time.Duration) {
	const grace, downtime = 8 * time.Second, 2 * time.Second
	for k := range n {
		sim.clock.after(d*time.Duration(k)/time.Duration(n), func() {
			sim.Replace(k*len(sim.servers)/n, grace, downtime)
		})
	}
}

// maxDuration returns the maximum of durations, or 0 if there are none.
func maxDuration(durations []time.Duration) time.Duration { return slices.Max(append(durations, 0)) }
