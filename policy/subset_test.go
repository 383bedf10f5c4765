package policy

import (
	"testing"
	"time"
)

// Guards against the grown deployments: a light sidecar that takes turns among all servers holds connections
// to all of them and never learns of a hung one; together they still load all servers alike.
func TestSubsetsFollowTrafficAndCoverTheList(t *testing.T) {
	const balancers, servers = 600, 100
	cover := map[EndpointID]int{}
	cfg := testConfig()
	cfg.Balancers = balancers
	cfg.Tenants = []Tenant{{Weight: 1, Quota: 9 * balancers}}
	for n := range balancers {
		cfg.Index = n
		var list []Endpoint
		for id := range EndpointID(servers) {
			list = append(list, Endpoint{ID: id, State: Ready, Weight: 1})
		}
		b, _ := start(t, cfg, list)
		if got := len(b.subset.endpoints); got != 9 { // 9 requests a second, a turn every second
			t.Fatalf("an arc of %d servers, want 9", got)
		}
		for _, s := range b.subset.endpoints {
			cover[s.ID]++
		}
	}
	for id, n := range cover {
		if n < 48 || n > 60 { // evenly 54
			t.Errorf("server %d lies in %d arcs", id, n)
		}
	}
	if len(cover) != servers {
		t.Errorf("%d servers covered", len(cover))
	}
	b, _ := start(t, cfg, ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20))
	for i := range 1200 { // ten times as much
		submit(b, time.Duration(i)*10*ms, RequestID(i), idempotentClass)
		finish(b, time.Duration(i)*10*ms+5*ms, RequestID(i), 0, Succeeded)
	}
	if got := len(b.subset.endpoints); got != 20 {
		t.Fatalf("a busy balancer keeps to %d of 20 servers", got)
	}
}

// Guards against a fresh day of toowoomba-hives-later (burst of one tenant): with short arcs, asking finds every
// server of the arc full, and all send to it all the same.
func TestSubsetGrowsWithFreshReports(t *testing.T) {
	cfg := testConfig()
	cfg.CanHealthCheck, cfg.ReportFields = true, HasInFlight|HasUtilization
	b, h := start(t, cfg, ready(1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20))
	b.traffic = requestRate{4, 0}
	b.selectSubset()
	short := len(b.subset.endpoints)
	for seen, now := 0, time.Duration(0); now < time.Second; now += 10 * ms {
		b.TimerFired(now)
		for ; seen < len(h.healthChecks); seen++ {
			b.HealthChecked(now, h.healthChecks[seen], true, LoadReport{Fields: cfg.ReportFields, InFlight: 1, Utilization: now.Seconds()})
		}
	}
	b.traffic = requestRate{4, time.Second}
	submit(b, time.Second, 1, idempotentClass)
	if len(b.subset.endpoints) < 2*short {
		t.Fatalf("an arc of %d, %d before reports were found fresh", len(b.subset.endpoints), short)
	}
}
