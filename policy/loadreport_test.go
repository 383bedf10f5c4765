package policy

import (
	"testing"
	"time"
)

// reportingConfig is testConfig with health checks that return the number of requests in flight.
func reportingConfig() Config {
	cfg := testConfig()
	cfg.CanHealthCheck, cfg.ReportFields = true, HasInFlight
	return cfg
}

// markReportsFresh makes the Balancer consider load reports fresh, as after a successful comparison.
func markReportsFresh(b *Balancer) {
	b.sampler.comparisons, b.sampler.changes = comparisonsNeeded, comparisonsNeeded
}

// The limits of all balancers together may exceed what an endpoint can serve, so an endpoint that reports
// that it is full must get no more requests. Only a recent report may have this effect: with an old one, the
// endpoint would get no requests permanently.
func TestReportedLoadLimitsFleet(t *testing.T) {
	b, h := start(t, reportingConfig(), ready(1, 2))
	b.HealthChecked(ms, 1, true, LoadReport{Fields: HasInFlight, InFlight: 50})
	b.HealthChecked(ms, 2, true, LoadReport{Fields: HasInFlight, InFlight: 0})
	for id := range RequestID(4) {
		submit(b, 2*ms, id, idempotentClass)
	}
	if h.sentTo(1) != 0 || h.sentTo(2) != 4 || len(h.healthChecks) != 0 {
		t.Fatalf("attempts at the full endpoint = %d, at the other one = %d, health checks = %d, want 0, 4, 0",
			h.sentTo(1), h.sentTo(2), len(h.healthChecks))
	}
	b.HealthChecked(2*ms, 9, true, LoadReport{Fields: HasInFlight, InFlight: 1})   // an unlisted endpoint
	b.HealthChecked(2*ms, 1, false, LoadReport{Fields: HasInFlight, InFlight: -1}) // a failed health check
	b.HealthChecked(2*time.Second, 1, true, LoadReport{Fields: HasInFlight, InFlight: 0})
	for id := RequestID(10); id < 12; id++ {
		submit(b, 2*time.Second, id, idempotentClass)
	}
	if h.sentTo(1) == 0 {
		t.Fatal("attempts at endpoint 1 = 0 after it reported no load, want at least 1")
	}
}

// With a thousand balancers of two requests per second each, one balancer's attempts in flight at an endpoint
// show nothing about the load there, and load reports requested in rotation are too old when they are used.
// So a request must wait for a report of the endpoint that is due next and, if that one is full, for the
// reports of a few others.
func TestHealthCheckPrecedesSendWhereReportsAreOld(t *testing.T) {
	b, h := start(t, reportingConfig(), ready(1, 2, 3, 4))
	markReportsFresh(b)
	submit(b, 0, 1, idempotentClass)
	if len(h.healthChecks) != 1 || len(h.sends) != 0 {
		t.Fatalf("health checks, sends = %d, %d, want 1, 0: a health check of the next endpoint before the send",
			len(h.healthChecks), len(h.sends))
	}
	first := h.healthChecks[0]
	b.HealthChecked(6*ms, first, true, LoadReport{Fields: HasInFlight, InFlight: 50})
	if len(h.healthChecks) != 2 || h.healthChecks[1] == first || len(h.sends) != 0 {
		t.Fatalf("health checks = %v, want a second one of another endpoint, as the first is full", h.healthChecks)
	}
	b.HealthChecked(12*ms, h.healthChecks[1], true, LoadReport{Fields: HasInFlight, InFlight: 1})
	if len(h.sends) != 1 || h.sends[0].to != h.healthChecks[1] {
		t.Fatalf("sends = %v, want one to the endpoint that has capacity", h.sends)
	}
	submit(b, time.Second, 2, idempotentClass)
	for now := time.Second; now < 1200*ms; now += 10 * ms {
		b.TimerFired(now) // without any report
	}
	if n := len(h.healthChecks) - 2; n != maxHealthChecks || len(h.sends) != 1 {
		t.Fatalf("health checks = %d, sends = %d, want %d, and no send to an endpoint without a report",
			n, len(h.sends), maxHealthChecks)
	}
	for now := 1200 * ms; now < 3*time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if _, rejected := h.rejected[2]; !rejected {
		t.Fatal("request 2 was not rejected")
	}
}

// During a release, a draining endpoint may answer health checks with 503 before the endpoint list shows that
// it is draining. If it remained the next endpoint, all requests would wait for it three times and be
// rejected.
func TestEndpointWithoutReportIsSkipped(t *testing.T) {
	b, h := start(t, reportingConfig(), ready(1, 2, 3, 4))
	markReportsFresh(b)
	submit(b, 0, 1, idempotentClass)
	draining := h.healthChecks[0]
	b.HealthChecked(ms, draining, false, LoadReport{})
	if len(h.healthChecks) != 2 || h.healthChecks[1] == draining {
		t.Fatalf("health checks = %v, want a second one of another endpoint, as the first does not report",
			h.healthChecks)
	}
	b.HealthChecked(2*ms, h.healthChecks[1], true, LoadReport{Fields: HasInFlight, InFlight: 1})
	if len(h.sends) != 1 || h.sends[0].to != h.healthChecks[1] {
		t.Fatalf("sends = %v, want one to the endpoint that has capacity", h.sends)
	}
}

// While a few endpoints failed many of their attempts, requests were rejected although the other endpoints
// had only one request more than their share of the fleet's requests, well below what they could serve. An
// endpoint must accept a few requests beyond its share.
func TestReportedLoadHeadroom(t *testing.T) {
	for _, c := range []struct {
		name   string
		excess float64 // reported requests beyond the endpoint's share
		sends  int
	}{
		{"below the headroom", 1.5, 1},
		{"above the headroom", 2.5, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, h := start(t, reportingConfig(), ready(1))
			b.HealthChecked(ms, 1, true, LoadReport{Fields: HasInFlight, InFlight: b.fleetInFlight + c.excess})
			if submit(b, 2*ms, 1, idempotentClass); len(h.sends) != c.sends {
				t.Errorf("sends = %d, want %d", len(h.sends), c.sends)
			}
		})
	}
}

// Endpoints that renew their load reports too rarely show the same old report to all balancers, which then
// all send to the endpoints whose load was low before. Requests must wait for reports only if these change as
// fast as they are used.
func TestOnlyFreshReportsAreAwaited(t *testing.T) {
	for _, c := range []struct {
		name        string
		utilization func(now time.Duration) float64
		checked     bool
	}{
		{"fresh", func(now time.Duration) float64 { return now.Seconds() }, true},
		{"stale", func(time.Duration) float64 { return 0.5 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := reportingConfig()
			cfg.ReportFields = HasInFlight | HasUtilization
			b, h := start(t, cfg, ready(1, 2, 3))
			seen := 0
			for now := time.Duration(0); now < 3*time.Second; now += 10 * ms {
				b.TimerFired(now)
				for ; seen < len(h.healthChecks); seen++ {
					report := LoadReport{Fields: cfg.ReportFields, InFlight: 1, Utilization: c.utilization(now)}
					b.HealthChecked(now, h.healthChecks[seen], true, report)
				}
			}
			before := len(h.healthChecks)
			submit(b, 4*time.Second, 1, idempotentClass)
			if checked := len(h.healthChecks) > before; checked != c.checked {
				t.Errorf("health check before the send = %v, want %v", checked, c.checked)
			}
		})
	}
}

// If health checks fail, there are no reports to compare. Sampling must end nevertheless, after a few health
// checks.
func TestSamplingEndsWhereHealthChecksFail(t *testing.T) {
	b, h := start(t, reportingConfig(), ready(1, 2, 3))
	seen := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		b.TimerFired(now)
		for ; seen < len(h.healthChecks); seen++ {
			b.HealthChecked(now, h.healthChecks[seen], false, LoadReport{})
		}
	}
	if len(h.healthChecks) > 2*comparisonsNeeded {
		t.Fatalf("failed health checks = %d, want at most %d", len(h.healthChecks), 2*comparisonsNeeded)
	}
}

func TestReportSampler(t *testing.T) {
	for _, c := range []struct {
		name        string
		changed     []bool // for each comparison, whether the report had changed
		becameFresh int    // index of the comparison that proves reports fresh; -1: none
		done        bool
	}{
		{"three changes", []bool{true, true, true}, 2, false},
		{"four changes", []bool{true, true, true, true}, 2, true},
		{"one without a change", []bool{true, false, true, true}, 3, true},
		{"two without a change", []bool{true, false, false, true}, -1, true},
		{"too few comparisons", []bool{true, true}, -1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s reportSampler
			becameFresh := -1
			for i, changed := range c.changed {
				if s.recordComparison(changed) {
					if becameFresh >= 0 {
						t.Errorf("recordComparison returned true for comparison %d and again for %d, want once",
							becameFresh, i)
					}
					becameFresh = i
				}
			}
			if becameFresh != c.becameFresh || s.fresh() != (c.becameFresh >= 0) || s.done() != c.done {
				t.Errorf("became fresh by comparison %d, fresh = %v, done = %v, want %d, %v, %v",
					becameFresh, s.fresh(), s.done(), c.becameFresh, c.becameFresh >= 0, c.done)
			}
		})
	}
}

func TestFullByReport(t *testing.T) {
	const (
		now   = time.Minute
		share = 12.0 // share of the only endpoint: all of the fleet's attempts with traffic at the quotas
	)
	for _, c := range []struct {
		name           string
		reportedAt     time.Duration
		othersInFlight float64
		inFlight       int // attempts of this balancer
		healthChecks   int
		want           bool
	}{
		{"at the headroom", now, share + 2, 0, 0, true},
		{"below the headroom", now, share + 1.9, 0, 0, false},
		{"with this balancer's attempts", now, share, 2, 0, true},
		{"recent report", now - 250*ms + 1, share + 2, 0, 0, true},
		{"old report", now - 250*ms, share + 2, 0, 0, false},
		{"old report, waited for two others", now - 250*ms, 0, 0, 2, false},
		{"old report, waited for three others", now - 250*ms, 0, 0, 3, true},
		{"no report, waited for three others", 0, 0, 0, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, _ := start(t, reportingConfig(), ready(1))
			e := b.endpoints.find(1)
			e.reportedAt, e.othersInFlight, e.inFlight = c.reportedAt, c.othersInFlight, c.inFlight
			if got := b.fullByReport(now, &request{healthChecks: c.healthChecks}, e); got != c.want {
				t.Errorf("fullByReport = %v, want %v", got, c.want)
			}
		})
	}
	t.Run("no report just after the start, waited for three others", func(t *testing.T) {
		b, _ := start(t, reportingConfig(), ready(1))
		if !b.fullByReport(ms, &request{healthChecks: 3}, b.endpoints.find(1)) {
			t.Error("fullByReport = false, want true for an endpoint that has never reported")
		}
	})
}

// Load reports that proved stale must not mark an endpoint as full: the endpoint would be skipped for as long
// as the latest of these reports counts as current.
func TestStaleReportDoesNotMakeAnEndpointFull(t *testing.T) {
	cfg := testConfig()
	cfg.CanHealthCheck, cfg.ReportFields = true, HasInFlight
	b, h := start(t, cfg, ready(1))
	now := time.Duration(0)
	for seen := 0; !b.sampler.done() && now < 10*time.Second; now += 10 * ms {
		b.TimerFired(now)
		for ; seen < len(h.healthChecks); seen++ { // the same report each time
			b.HealthChecked(now, h.healthChecks[seen], true, LoadReport{Fields: cfg.ReportFields, InFlight: 1000})
		}
	}
	if !b.sampler.done() || b.sampler.fresh() {
		t.Fatalf("done, fresh = %v, %v, want true, false", b.sampler.done(), b.sampler.fresh())
	}
	submit(b, now, 1, idempotentClass)
	if len(h.sends) != 1 {
		t.Error("request not sent, want a send to the only endpoint, whose reports are stale")
	}
}
