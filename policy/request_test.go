package policy

import (
	"testing"
	"time"
)

// An attempt that runs on after its response can earn nothing any more takes a slot and an endpoint's work from others.
func TestAttemptTimeout(t *testing.T) {
	for _, c := range []struct {
		name    string
		request Request
		want    time.Duration
	}{
		{"latency objective", Request{Class: idempotentClass, Timeout: 2 * time.Second}, time.Second},
		{"late responses have a value", Request{Class: dedupEverywhereClass, Timeout: 2 * time.Second}, 2 * time.Second},
		{"client's timeout", Request{Class: dedupInCellClass, Timeout: 300 * ms}, 300 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Classes[dedupEverywhereClass].LateValue = 0.5
			b, h := start(t, cfg, ready(1, 2))
			b.Request(0, c.request)
			if got := h.sends[0].timeout; got != c.want {
				t.Errorf("timeout %v, want %v", got, c.want)
			}
		})
	}
}

// A client's retries were served when the latency objective of its first try had passed, so that nothing could be
// earned by them. While responses are quick that does no harm; under congestion it takes slots from other requests.
func TestLateClientRetryIsRejectedUnderCongestion(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	submitWithTimeout := func(id RequestID, timeout time.Duration) {
		b.Request(0, Request{ID: id, Class: idempotentClass, Timeout: timeout})
	}
	submitWithTimeout(1, 2800*ms) // first tries come with this much of the class's 3 s
	submitWithTimeout(2, 2500*ms) // the first try began half a second ago
	submitWithTimeout(3, 1500*ms) // the first try began 1.5 s ago: late, but responses are quick
	if len(h.sends) != 3 || h.sends[1].timeout != 500*ms || h.sends[2].timeout != 1500*ms {
		t.Fatalf("sends %v: want the second limited to what remains of its objective, and the third served", h.sends)
	}
	b.congestion.meanSquare = 0.2
	submitWithTimeout(4, 1500*ms)
	if _, rejected := h.rejected[4]; !rejected {
		t.Fatal("a late retry took a slot under congestion")
	}
}

// Clients of shorter timeouts than those before them were taken for late retries, and their requests were rejected
// under congestion. Once the shorter timeouts have lasted for a while, they count as those of first tries.
func TestClientTimeoutsMayChange(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	for id := range RequestID(400) {
		now := time.Duration(id) * 20 * ms
		timeout := 2800 * ms
		if id >= 20 {
			timeout = 2200 * ms
		}
		b.Request(now, Request{ID: id, Class: idempotentClass, Timeout: timeout})
		finish(b, now+5*ms, id, 0, Succeeded)
	}
	if last := h.sends[len(h.sends)-1]; last.timeout != time.Second {
		t.Fatalf("attempt timeout %v: the first try still counts as a retry, want the objective of 1 s", last.timeout)
	}
}

// Where clients mark their retries, a request without the mark is a first try, however little time it comes with: as a
// late retry it would be rejected.
func TestUnmarkedRequestsAreFirstTries(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, h := start(t, cfg, ready(1, 2))
	b.Request(0, Request{ID: 1, Class: idempotentClass, Timeout: 2800 * ms})
	b.Request(0, Request{ID: 2, Class: idempotentClass, Timeout: 2500 * ms})
	b.Request(0, Request{ID: 3, Class: idempotentClass, Timeout: 2500 * ms, ClientRetry: true})
	if h.sends[1].timeout != time.Second || h.sends[2].timeout != 500*ms {
		t.Fatalf("sends %v: want 1 s for the unmarked one, and 500 ms for the marked one", h.sends)
	}
}

func TestLatestStart(t *testing.T) {
	for _, c := range []struct {
		name        string
		meanLatency time.Duration // of an objective of 1 s
		want        time.Duration // before the response is of no use
	}{
		{"twice the usual latency", 125 * ms, 250 * ms},
		{"at most half of the objective", 400 * ms, 500 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			const usefulUntil = time.Minute
			r := request{attemptDeadline: usefulUntil,
				class: &class{Class: Class{LatencyObjective: time.Second}, meanLatency: c.meanLatency}}
			if got := r.latestStart(); got != usefulUntil-c.want {
				t.Errorf("latest start %v before, want %v", usefulUntil-got, c.want)
			}
		})
	}
}
