package policy

import (
	"testing"
	"time"
)

// Guards against all walls together let servers pass into their slower state.
func TestReportedLoadLimitsFleet(t *testing.T) {
	cfg := testConfig()
	cfg.CanHealthCheck, cfg.ReportFields = true, HasInFlight
	b, h := start(t, cfg, ready(1, 2))
	b.HealthChecked(ms, 1, true, LoadReport{Fields: HasInFlight, InFlight: 50})
	b.HealthChecked(ms, 2, true, LoadReport{Fields: HasInFlight, InFlight: 0})
	for id := range RequestID(4) {
		submit(b, 2*ms, id, idempotentClass)
	}
	if h.sentTo(1) != 0 || h.sentTo(2) != 4 || len(h.healthChecks) != 0 {
		t.Fatalf("sent %d to the full server, %d probes while reports are fresh", h.sentTo(1), len(h.healthChecks))
	}
	b.HealthChecked(2*ms, 9, true, LoadReport{Fields: HasInFlight, InFlight: 1})   // a server not listed
	b.HealthChecked(2*ms, 1, false, LoadReport{Fields: HasInFlight, InFlight: -1}) // a failed probe
	b.HealthChecked(2*time.Second, 1, true, LoadReport{Fields: HasInFlight, InFlight: 0})
	for id := RequestID(10); id < 12; id++ {
		submit(b, 2*time.Second, id, idempotentClass)
	}
	if h.sentTo(1) == 0 {
		t.Fatal("an old report still bars the server")
	}
}

// Guards against the grown toowoomba-hives: with a thousand sidecars of two requests a second, what one has
// out at a server tells nothing of its load, and reports asked for in rotation are old when its turn comes.
func TestHealthCheckPrecedesSendWhereReportsAreOld(t *testing.T) {
	cfg := testConfig()
	cfg.CanHealthCheck, cfg.ReportFields = true, HasInFlight
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	b.sampler.comparisons, b.sampler.changes = comparisonsNeeded, comparisonsNeeded // reports were found fresh
	submit(b, 0, 1, idempotentClass)
	if len(h.healthChecks) != 1 || len(h.sends) != 0 {
		t.Fatalf("%d probes, %d sends; want the server whose turn it is asked first", len(h.healthChecks), len(h.sends))
	}
	first := h.healthChecks[0]
	b.HealthChecked(6*ms, first, true, LoadReport{Fields: HasInFlight, InFlight: 50})
	if len(h.healthChecks) != 2 || h.healthChecks[1] == first || len(h.sends) != 0 {
		t.Fatalf("probes %v: want the next one asked, as the first is full", h.healthChecks)
	}
	b.HealthChecked(12*ms, h.healthChecks[1], true, LoadReport{Fields: HasInFlight, InFlight: 1})
	if len(h.sends) != 1 || h.sends[0].to != h.healthChecks[1] {
		t.Fatalf("sends %v: want one to the server that has room", h.sends)
	}
	submit(b, time.Second, 2, idempotentClass)
	for now := time.Second; now < 1200*ms; now += 10 * ms {
		b.TimerFired(now) // no report comes
	}
	if n := len(h.healthChecks) - 2; n != maxHealthChecks || len(h.sends) != 1 {
		t.Fatalf("%d asked, %d sends; want %d and nothing sent to servers that do not answer or were not asked",
			n, len(h.sends), maxHealthChecks)
	}
	for now := 1200 * ms; now < 3*time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if _, refused := h.rejected[2]; !refused {
		t.Fatal("the request was lost")
	}
}

// Guards against a release on sockets: a server that drains answers probes with 503 at once, before the list
// tells of it. Its turn stayed the next one, so all requests asked it three times and were refused.
func TestEndpointWithoutReportIsSkipped(t *testing.T) {
	cfg := testConfig()
	cfg.CanHealthCheck, cfg.ReportFields = true, HasInFlight
	b, h := start(t, cfg, ready(1, 2, 3, 4))
	b.sampler.comparisons, b.sampler.changes = comparisonsNeeded, comparisonsNeeded // reports were found fresh
	submit(b, 0, 1, idempotentClass)
	drains := h.healthChecks[0]
	b.HealthChecked(ms, drains, false, LoadReport{})
	if len(h.healthChecks) != 2 || h.healthChecks[1] == drains {
		t.Fatalf("probes %v: want the next one asked, as the first can't tell", h.healthChecks)
	}
	b.HealthChecked(2*ms, h.healthChecks[1], true, LoadReport{Fields: HasInFlight, InFlight: 1})
	if len(h.sends) != 1 || h.sends[0].to != h.healthChecks[1] {
		t.Fatalf("sends %v: want one to the server that has room", h.sends)
	}
}

// Guards against a day on which a few servers fail much of what they get: the others stood at their part and one
// more, well short of a crowd, and requests were refused.
func TestReportedLoadHeadroom(t *testing.T) {
	cfg := testConfig()
	cfg.CanHealthCheck, cfg.ReportFields = true, HasInFlight
	for over, want := range map[float64]int{1.5: 1, 2.5: 0} {
		b, h := start(t, cfg, ready(1))
		b.HealthChecked(ms, 1, true, LoadReport{Fields: HasInFlight, InFlight: b.fleetInFlight + over})
		if submit(b, 2*ms, 1, idempotentClass); len(h.sends) != want {
			t.Errorf("%d sends at %v over its part, want %d", len(h.sends), over, want)
		}
	}
}

// Guards against incident i50e019: all balancers ask the same stale reports and crowd to where it was empty.
func TestStaleReportsDoNotSteer(t *testing.T) {
	for _, stale := range []bool{false, true} {
		cfg := testConfig()
		cfg.CanHealthCheck, cfg.ReportFields = true, HasInFlight|HasUtilization
		b, h := start(t, cfg, ready(1, 2, 3))
		seen := 0
		for now := time.Duration(0); now < 3*time.Second; now += 10 * ms {
			b.TimerFired(now)
			for ; seen < len(h.healthChecks); seen++ {
				l := LoadReport{Fields: cfg.ReportFields, InFlight: 1, Utilization: now.Seconds()}
				if stale {
					l.Utilization = 0.5
				}
				b.HealthChecked(now, h.healthChecks[seen], true, l)
			}
		}
		n := len(h.healthChecks)
		submit(b, 4*time.Second, 1, idempotentClass)
		if asked := len(h.healthChecks) > n; asked == stale {
			t.Errorf("stale %v: asked before sending %v", stale, asked)
		}
	}
}

// Guards against incident i85adde: probes that fail tell nothing, and sampling went on for ever.
func TestSamplingEndsWhereHealthChecksFail(t *testing.T) {
	cfg := testConfig()
	cfg.CanHealthCheck, cfg.ReportFields = true, HasInFlight
	b, h := start(t, cfg, ready(1, 2, 3))
	seen := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * ms {
		b.TimerFired(now)
		for ; seen < len(h.healthChecks); seen++ {
			b.HealthChecked(now, h.healthChecks[seen], false, LoadReport{})
		}
	}
	if len(h.healthChecks) > 2*comparisonsNeeded {
		t.Fatalf("%d probes, none of which was answered", len(h.healthChecks))
	}
}
