package policy

import (
	"testing"
	"time"
)

// reportingConfig has health checks that bring the number of requests in flight.
func reportingConfig() Config {
	cfg := testConfig()
	cfg.CanHealthCheck, cfg.ReportFields = true, HasInFlight
	return cfg
}

// markReportsFresh has the Balancer take load reports for fresh, as after its samples of them.
func markReportsFresh(b *Balancer) {
	b.sampler.comparisons, b.sampler.changes = comparisonsNeeded, comparisonsNeeded
}

// The limits of all balancers together still let an endpoint have more requests than it can bear. One that reports so
// must get no more of them, while its report is recent: by an old one it would stay without requests for good.
func TestReportedLoadLimitsFleet(t *testing.T) {
	b, h := start(t, reportingConfig(), ready(1, 2))
	b.HealthChecked(ms, 1, true, LoadReport{Fields: HasInFlight, InFlight: 50})
	b.HealthChecked(ms, 2, true, LoadReport{Fields: HasInFlight, InFlight: 0})
	for id := range RequestID(4) {
		submit(b, 2*ms, id, idempotentClass)
	}
	if h.sentTo(1) != 0 || h.sentTo(2) != 4 || len(h.healthChecks) != 0 {
		t.Fatalf("%d sent to the full endpoint, %d to the other, %d health checks; want 0, 4 and, with recent reports, 0",
			h.sentTo(1), h.sentTo(2), len(h.healthChecks))
	}
	b.HealthChecked(2*ms, 9, true, LoadReport{Fields: HasInFlight, InFlight: 1})   // an endpoint that is not listed
	b.HealthChecked(2*ms, 1, false, LoadReport{Fields: HasInFlight, InFlight: -1}) // a failed health check
	b.HealthChecked(2*time.Second, 1, true, LoadReport{Fields: HasInFlight, InFlight: 0})
	for id := RequestID(10); id < 12; id++ {
		submit(b, 2*time.Second, id, idempotentClass)
	}
	if h.sentTo(1) == 0 {
		t.Fatal("the endpoint gets nothing by an old report")
	}
}

// With a thousand balancers of two requests a second each, what one of them has in flight at an endpoint tells nothing
// of the load there, and reports asked for in rotation are old when they are used. So a request waits for a report of
// the endpoint that is next, and for a few others' if that is full.
func TestHealthCheckPrecedesSendWhereReportsAreOld(t *testing.T) {
	b, h := start(t, reportingConfig(), ready(1, 2, 3, 4))
	markReportsFresh(b)
	submit(b, 0, 1, idempotentClass)
	if len(h.healthChecks) != 1 || len(h.sends) != 0 {
		t.Fatalf("%d health checks, %d sends; want one of the endpoint that is next, before the send",
			len(h.healthChecks), len(h.sends))
	}
	first := h.healthChecks[0]
	b.HealthChecked(6*ms, first, true, LoadReport{Fields: HasInFlight, InFlight: 50})
	if len(h.healthChecks) != 2 || h.healthChecks[1] == first || len(h.sends) != 0 {
		t.Fatalf("health checks %v: want one of another endpoint, as the first is full", h.healthChecks)
	}
	b.HealthChecked(12*ms, h.healthChecks[1], true, LoadReport{Fields: HasInFlight, InFlight: 1})
	if len(h.sends) != 1 || h.sends[0].to != h.healthChecks[1] {
		t.Fatalf("sends %v: want one to the endpoint that has capacity", h.sends)
	}
	submit(b, time.Second, 2, idempotentClass)
	for now := time.Second; now < 1200*ms; now += 10 * ms {
		b.TimerFired(now) // no report comes
	}
	if n := len(h.healthChecks) - 2; n != maxHealthChecks || len(h.sends) != 1 {
		t.Fatalf("%d health checks, %d sends; want %d, and none to an endpoint without a report",
			n, len(h.sends), maxHealthChecks)
	}
	for now := 1200 * ms; now < 3*time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if _, rejected := h.rejected[2]; !rejected {
		t.Fatal("the request was not answered")
	}
}

// During a release, an endpoint that drained answered health checks with 503 before the list said that it drained. It
// stayed the next one, so all requests waited for it three times and were rejected.
func TestEndpointWithoutReportIsSkipped(t *testing.T) {
	b, h := start(t, reportingConfig(), ready(1, 2, 3, 4))
	markReportsFresh(b)
	submit(b, 0, 1, idempotentClass)
	draining := h.healthChecks[0]
	b.HealthChecked(ms, draining, false, LoadReport{})
	if len(h.healthChecks) != 2 || h.healthChecks[1] == draining {
		t.Fatalf("health checks %v: want one of another endpoint, as the first does not report", h.healthChecks)
	}
	b.HealthChecked(2*ms, h.healthChecks[1], true, LoadReport{Fields: HasInFlight, InFlight: 1})
	if len(h.sends) != 1 || h.sends[0].to != h.healthChecks[1] {
		t.Fatalf("sends %v: want one to the endpoint that has capacity", h.sends)
	}
}

// While a few endpoints failed much of what they got, the others were at their part of the fleet's requests and one
// more, well below what they can bear, and requests were rejected. Endpoints have to take a few more than their part.
func TestReportedLoadHeadroom(t *testing.T) {
	for _, c := range []struct {
		name   string
		excess float64 // over the endpoint's part
		sends  int
	}{
		{"below the headroom", 1.5, 1},
		{"above the headroom", 2.5, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, h := start(t, reportingConfig(), ready(1))
			b.HealthChecked(ms, 1, true, LoadReport{Fields: HasInFlight, InFlight: b.fleetInFlight + c.excess})
			if submit(b, 2*ms, 1, idempotentClass); len(h.sends) != c.sends {
				t.Errorf("%d sends, want %d", len(h.sends), c.sends)
			}
		})
	}
}

// Endpoints renewed their reports so seldom that all balancers saw the same old ones, and all sent to where load had
// been low before. Requests wait for reports only where these change as quickly as they are used.
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
				t.Errorf("health check before the send: %v, want %v", checked, c.checked)
			}
		})
	}
}

// Where health checks failed, balancers went on to sample reports for ever, as no two could be compared.
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
		t.Fatalf("%d health checks, none of which succeeded; want at most %d", len(h.healthChecks), 2*comparisonsNeeded)
	}
}

func TestReportSampler(t *testing.T) {
	for _, c := range []struct {
		name        string
		changed     []bool // by comparison
		becameFresh int    // by this comparison; -1: by none
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
						t.Errorf("became fresh by comparison %d and again by %d", becameFresh, i)
					}
					becameFresh = i
				}
			}
			if becameFresh != c.becameFresh || s.fresh() != (c.becameFresh >= 0) || s.done() != c.done {
				t.Errorf("became fresh by comparison %d, fresh: %v, done: %v; want %d, %v and %v",
					becameFresh, s.fresh(), s.done(), c.becameFresh, c.becameFresh >= 0, c.done)
			}
		})
	}
}

func TestFullByReport(t *testing.T) {
	const (
		now  = time.Minute
		part = 12.0 // of the only endpoint: all that the fleet has in flight at the quotas
	)
	for _, c := range []struct {
		name           string
		reportedAt     time.Duration
		othersInFlight float64
		inFlight       int // of this balancer
		healthChecks   int
		want           bool
	}{
		{"at the headroom", now, part + 2, 0, 0, true},
		{"below the headroom", now, part + 1.9, 0, 0, false},
		{"with this balancer's attempts", now, part, 2, 0, true},
		{"recent report", now - 250*ms + 1, part + 2, 0, 0, true},
		{"old report", now - 250*ms, part + 2, 0, 0, false},
		{"old report, waited for two others", now - 250*ms, 0, 0, 2, false},
		{"old report, waited for three others", now - 250*ms, 0, 0, 3, true},
		{"no report, waited for three others", 0, 0, 0, 3, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, _ := start(t, reportingConfig(), ready(1))
			e := b.endpoints.find(1)
			e.reportedAt, e.othersInFlight, e.inFlight = c.reportedAt, c.othersInFlight, c.inFlight
			if got := b.fullByReport(now, &request{healthChecks: c.healthChecks}, e); got != c.want {
				t.Errorf("full: %v, want %v", got, c.want)
			}
		})
	}
	t.Run("no report just after the start, waited for three others", func(t *testing.T) {
		b, _ := start(t, reportingConfig(), ready(1))
		if !b.fullByReport(ms, &request{healthChecks: 3}, b.endpoints.find(1)) {
			t.Error("an endpoint that has never reported counts as reporting no load")
		}
	})
}

// Reports that turn out not to follow the load must not say any more that an endpoint is full: it was passed over for
// as long as the last of them was taken for a current one.
func TestStaleReportDoesNotMakeAnEndpointFull(t *testing.T) {
	cfg := testConfig()
	cfg.CanHealthCheck, cfg.ReportFields = true, HasInFlight
	b, h := start(t, cfg, ready(1))
	now := time.Duration(0)
	for seen := 0; !b.sampler.done() && now < 10*time.Second; now += 10 * ms {
		b.TimerFired(now)
		for ; seen < len(h.healthChecks); seen++ { // each time the same
			b.HealthChecked(now, h.healthChecks[seen], true, LoadReport{Fields: cfg.ReportFields, InFlight: 1000})
		}
	}
	if !b.sampler.done() || b.sampler.fresh() {
		t.Fatalf("reports compared: %v, fresh: %v; want true and false", b.sampler.done(), b.sampler.fresh())
	}
	submit(b, now, 1, idempotentClass)
	if len(h.sends) != 1 {
		t.Error("the only endpoint is passed over as full, by a report found stale")
	}
}
