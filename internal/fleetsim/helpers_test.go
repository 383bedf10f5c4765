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
func testConfig(seed uint64, n int, rate float64) Config {
	class := func(worth float64, e policy.Idempotency) policy.Class {
		return policy.Class{LatencyObjective: 500 * ms, Deadline: 2 * time.Second, PriorityWeight: worth, Idempotency: e, DedupWindow: 6 * time.Second}
	}
	quota := 1.25 * max(rate, 0.1) * float64(n)
	return Config{
		Seed: seed, Sidecars: n, Servers: n, Zones: 6, Regions: 2, Offset: int(seed % 6),
		Rate: rate * float64(n), Mix: []float64{0.5, 0.3, 0.2},
		Server: Server{Cores: 2, Work: 27 * ms, Room: 5, Choke: 500 * ms, Rest: 800 * ms},
		Network: Network{Zone: 250 * time.Microsecond, Cross: 500 * time.Microsecond, Region: 15 * ms,
			DatagramSpread: 2 * ms, DatagramLoss: 0.01},
		Discovery: &Discovery{Call: 100 * time.Microsecond, Line: 2 * time.Microsecond, Patience: 3 * time.Second,
			Late: 100 * ms, Detect: 3 * time.Second},
		Policy: policy.Config{
			Classes: []policy.Class{class(1, policy.Idempotent), class(8, policy.IdempotentByKey), class(4, policy.NonIdempotent)},
			Tenants: []policy.Tenant{{Weight: 0.42, Quota: 0.42 * quota}, {Weight: 0.33, Quota: 0.33 * quota},
				{Weight: 0.25, Quota: 0.25 * quota}},
			MaxAttempts: 6, CanCancel: true, CanGossip: true, MaxRetryAfter: 2 * time.Second, ClientsMarkRetries: true, EventInterval: ms,
			PollsEndpoints: true, PollInterval: 10 * time.Second, SlowStartFraction: 0.32, SlowStartDuration: 8400 * ms, OverloadFactor: 4, CrossZoneCost: 0.12,
		},
	}
}

func begin(t testing.TB, cfg Config) *Service {
	t.Helper()
	f, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// keptRules finds no rule broken, and no sidecar that could not start.
func keptRules(t testing.TB, f *Service) {
	t.Helper()
	if b := f.Broken(); b.Total() > 0 {
		t.Errorf("rules broken %v: %q", b.Times, b.Detail)
	}
	if err := f.Err(); err != nil {
		t.Error(err)
	}
}

// loseAZone plays a service that loses its last zone and gets it back.
func loseAZone(f *Service, before, without, after time.Duration) {
	f.Run(before)
	f.LoseZone(f.cfg.Zones - 1)
	f.Run(without)
	f.ReturnZone(f.cfg.Zones - 1)
	f.Run(after)
}

// partRegions plays regions that are apart for d, and then 30 s more. Meanwhile n of the servers are replaced, on
// both sides.
func partRegions(f *Service, n int, d time.Duration) {
	f.Run(5 * time.Second)
	f.PartRegions()
	replaceSome(f, n, d)
	f.Run(d)
	f.JoinRegions()
	f.Run(30 * time.Second)
}

// replaceSome has n servers and their sidecars replaced within d, evenly spread over time and servers.
func replaceSome(f *Service, n int, d time.Duration) {
	for k := range n {
		f.clock.after(d*time.Duration(k)/time.Duration(n), func() {
			f.Replace(k*len(f.servers)/n, 8*time.Second, 2*time.Second)
		})
	}
}

// longest is the longest time until all knew of a change, and 0 where there was none.
func longest(known []time.Duration) time.Duration { return slices.Max(append(known, 0)) }
