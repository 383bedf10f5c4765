package policy

import (
	"math"
	"testing"
	"time"
)

// A balancer of little traffic that used all endpoints held connections to all of them, and learned too late that one
// did not respond. Its subset has to follow its traffic, and all subsets together have to load all endpoints alike.
func TestSubsetsFollowTrafficAndCoverAllEndpoints(t *testing.T) {
	const balancers, endpoints = 600, 100
	subsets := map[EndpointID]int{} // that an endpoint is in
	cfg := testConfig()
	cfg.Balancers = balancers
	cfg.Tenants = []Tenant{{Weight: 1, Quota: 9 * balancers}}
	for n := range balancers {
		cfg.Index = n
		var list []Endpoint
		for id := range EndpointID(endpoints) {
			list = append(list, Endpoint{ID: id, State: Ready, Weight: 1})
		}
		b, _ := start(t, cfg, list)
		if got := len(b.subset.endpoints); got != 9 { // 9 requests a second, a turn every second
			t.Fatalf("a subset of %d endpoints, want 9", got)
		}
		for _, e := range b.subset.endpoints {
			subsets[e.ID]++
		}
	}
	for id, n := range subsets {
		if n < 48 || n > 60 { // evenly 54
			t.Errorf("endpoint %d is in %d subsets, want about 54", id, n)
		}
	}
	if len(subsets) != endpoints {
		t.Errorf("%d of %d endpoints are in a subset", len(subsets), endpoints)
	}
	b, _ := start(t, cfg, ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20))
	for i := range 1200 { // ten times as much
		submit(b, time.Duration(i)*10*ms, RequestID(i), idempotentClass)
		finish(b, time.Duration(i)*10*ms+5*ms, RequestID(i), 0, Succeeded)
	}
	if got := len(b.subset.endpoints); got != 20 {
		t.Fatalf("a balancer of much traffic has a subset of %d, want all 20", got)
	}
}

// In a burst of one tenant, all endpoints of a small subset reported that they were full, and requests were sent to
// them all the same. Where reports are fresh, a larger subset finds endpoints with capacity.
func TestSubsetGrowsWithFreshReports(t *testing.T) {
	cfg := testConfig()
	cfg.CanHealthCheck, cfg.ReportFields = true, HasInFlight|HasUtilization
	b, h := start(t, cfg, ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20))
	b.traffic = requestRate{4, 0}
	b.selectSubset(0)
	before := len(b.subset.endpoints)
	for seen, now := 0, time.Duration(0); now < time.Second; now += 10 * ms {
		b.TimerFired(now)
		for ; seen < len(h.healthChecks); seen++ {
			report := LoadReport{Fields: cfg.ReportFields, InFlight: 1, Utilization: now.Seconds()}
			b.HealthChecked(now, h.healthChecks[seen], true, report)
		}
	}
	b.traffic = requestRate{4, time.Second}
	submit(b, time.Second, 1, idempotentClass)
	if len(b.subset.endpoints) < 2*before {
		t.Fatalf("a subset of %d, and of %d before reports were found fresh", len(b.subset.endpoints), before)
	}
}

func TestSubsetSize(t *testing.T) {
	for _, c := range []struct {
		name     string
		rate     float64
		size     float64
		outgrown bool // by a subset of 8
	}{
		{"same size", 4, 8, false},
		{"a quarter more", 5, 10, false},
		{"more", 5.1, 10.2, true},
		{"a quarter less", 3, 6, false},
		{"less", 2.9, 5.8, true},
		{"little traffic", 0.1, 4, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := subset{turnInterval: 2, size: 8}
			if got := s.sizeFor(c.rate); math.Abs(got-c.size) > 1e-9 {
				t.Errorf("size %v, want %v", got, c.size)
			}
			if got := s.outgrown(c.rate); got != c.outgrown {
				t.Errorf("outgrown: %v, want %v", got, c.outgrown)
			}
		})
	}
}
