package fleetsim

import (
	"slices"
	"testing"
	"time"

	"cranehatch/policy"
)

const ms = time.Millisecond

// The classes of testConfig.
const (
	safeClass = iota
	keyedClass
	unsafeClass
)

// testConfig is a service of n sidecars and as many servers in 6 zones and 2 regions, that is asked rate requests
// a second of each sidecar. What servers, network and discovery take is assumed; the settings are like those of
// the days at size, with a class that is unsafe.
func testConfig(seed uint64, sidecars int, ratePerSidecar float64) Config {
	class := func(priorityWeight float64, idempotency policy.Idempotency) policy.Class {
		return policy.Class{LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: priorityWeight, Idempotency: idempotency, DedupWindow: 6 * time.Second}
	}
	quota := 1.25 * max(ratePerSidecar, 0.1) * float64(sidecars)
	return Config{
		Seed: seed, Sidecars: sidecars, Servers: sidecars, Zones: 6, Regions: 2, FirstZone: int(seed % 6),
		RequestRate: ratePerSidecar * float64(sidecars), ClassMix: []float64{0.5, 0.3, 0.2},
		Server: ServerConfig{Cores: 2, ServiceTime: 27 * ms, OverloadQueue: 5, OverloadDelay: 500 * ms, RecoveryIdleTime: 800 * ms},
		Network: NetworkConfig{SameZoneDelay: 250 * time.Microsecond, CrossZoneDelay: 500 * time.Microsecond, CrossRegionDelay: 15 * ms,
			DatagramJitter: 2 * ms, DatagramLoss: 0.01},
		Discovery: &DiscoveryConfig{CallTime: 100 * time.Microsecond, EntryTime: 2 * time.Microsecond, QueueTimeout: 3 * time.Second,
			PropagationDelay: 100 * ms, FailureDetectionTime: 3 * time.Second},
		Policy: policy.Config{
			Classes: []policy.Class{class(1, policy.Idempotent), class(8, policy.IdempotentByKey), class(4, policy.NonIdempotent)},
			Tenants: []policy.Tenant{{Weight: 0.42, Quota: 0.42 * quota}, {Weight: 0.33, Quota: 0.33 * quota},
				{Weight: 0.25, Quota: 0.25 * quota}},
			MaxAttempts: 6, CanCancel: true, CanGossip: true, MaxRetryAfter: 2 * time.Second, ClientsMarkRetries: true, EventInterval: ms,
			PollsEndpoints: true, PollInterval: 10 * time.Second, SlowStartFraction: 0.32, SlowStartDuration: 8400 * ms, OverloadFactor: 4, CrossZoneCost: 0.12,
		},
	}
}

func newSimulation(t testing.TB, cfg Config) *Simulation {
	t.Helper()
	sim, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return sim
}

// checkInvariants finds no rule broken, and no sidecar that could not start.
func checkInvariants(t testing.TB, sim *Simulation) {
	t.Helper()
	if b := sim.Violations(); b.Total() > 0 {
		t.Errorf("rules broken %v: %q", b.Counts, b.Details)
	}
	if err := sim.Err(); err != nil {
		t.Error(err)
	}
}

// failLastZone plays a service that loses its last zone and gets it back.
func failLastZone(sim *Simulation, before, without, after time.Duration) {
	sim.Run(before)
	sim.FailZone(sim.config.Zones - 1)
	sim.Run(without)
	sim.RestoreZone(sim.config.Zones - 1)
	sim.Run(after)
}

// partitionRegions plays regions that are apart for d, and then 30 s more. Meanwhile n of the servers are replaced, on
// both sides.
func partitionRegions(sim *Simulation, n int, d time.Duration) {
	sim.Run(5 * time.Second)
	sim.PartitionRegions()
	replaceServers(sim, n, d)
	sim.Run(d)
	sim.HealPartition()
	sim.Run(30 * time.Second)
}

// replaceServers has n servers and their sidecars replaced within d, evenly spread over time and servers.
func replaceServers(sim *Simulation, n int, d time.Duration) {
	for k := range n {
		sim.clock.after(d*time.Duration(k)/time.Duration(n), func() {
			sim.Replace(k*len(sim.servers)/n, 8*time.Second, 2*time.Second)
		})
	}
}

// maxDuration is the longest time until all knew of a change, and 0 where there was none.
func maxDuration(known []time.Duration) time.Duration { return slices.Max(append(known, 0)) }
