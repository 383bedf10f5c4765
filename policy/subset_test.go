package policy

import (
	"math"
	"testing"
	"time"
)

// A balancer with little traffic that uses all endpoints holds connections to all of them, and detects an
// unresponsive endpoint too late. The size of a subset must follow the balancer's traffic, and all subsets
// together must cover all endpoints evenly.
func TestSubsetsFollowTrafficAndCoverAllEndpoints(t *testing.T) {
	const balancers, endpoints = 600, 100
	subsets := map[EndpointID]int{} // number of subsets that include the endpoint
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
		// At 9 requests per second and balancer, 9 endpoints are picked once per second each.
		if got := len(b.subset.endpoints); got != 9 {
			t.Fatalf("subset size = %d, want 9", got)
		}
		for _, e := range b.subset.endpoints {
			subsets[e.ID]++
		}
	}
	for id, n := range subsets {
		if n < 48 || n > 60 { // an even spread is 54
			t.Errorf("endpoint %d is in %d subsets, want 48 to 60", id, n)
		}
	}
	if len(subsets) != endpoints {
		t.Errorf("%d of %d endpoints are in a subset, want all", len(subsets), endpoints)
	}
	b, _ := start(t, cfg, ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20))
	for i := range 1200 { // 100 requests per second
		submit(b, time.Duration(i)*10*ms, RequestID(i), idempotentClass)
		finish(b, time.Duration(i)*10*ms+5*ms, RequestID(i), 0, Succeeded)
	}
	if got := len(b.subset.endpoints); got != 20 {
		t.Fatalf("subset size at 100 requests per second = %d, want all 20", got)
	}
}

// In a burst of one tenant, all endpoints of a small subset reported that they were full, and requests were
// sent to them nevertheless. Once load reports have proved fresh, the subset must grow, so that it includes
// endpoints with free capacity.
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
		t.Fatalf("subset size = %d with fresh reports and %d before, want at least twice as many",
			len(b.subset.endpoints), before)
	}
}

func TestSubsetSize(t *testing.T) {
	for _, c := range []struct {
		name        string
		rate        float64
		size        float64
		needsResize bool // whether a subset of size 8 needs a resize
	}{
		{"same size", 4, 8, false},
		{"at the upper tolerance", 5, 10, false},
		{"above the upper tolerance", 5.1, 10.2, true},
		{"at the lower tolerance", 3, 6, false},
		{"below the lower tolerance", 2.9, 5.8, true},
		{"minimum size", 0.1, 4, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := subset{pickInterval: 2, size: 8}
			if got := s.sizeFor(c.rate); math.Abs(got-c.size) > 1e-9 {
				t.Errorf("sizeFor = %v, want %v", got, c.size)
			}
			if got := s.needsResize(c.rate); got != c.needsResize {
				t.Errorf("needsResize = %v, want %v", got, c.needsResize)
			}
		})
	}
}
