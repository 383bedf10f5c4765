package policy

import (
	"testing"
	"time"
)

// An attempt that continues when its response no longer has any value takes a slot and an endpoint's capacity
// from other requests.
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
				t.Errorf("attempt timeout = %v, want %v", got, c.want)
			}
		})
	}
}

// Client retries were sent although the latency objective of their first try had passed, so their responses
// had no value. Without congestion this does no harm; under congestion it takes slots from other requests.
func TestLateClientRetryIsRejectedUnderCongestion(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2))
	submitWithTimeout := func(id RequestID, timeout time.Duration) {
		b.Request(0, Request{ID: id, Class: idempotentClass, Timeout: timeout})
	}
	submitWithTimeout(1, 2800*ms) // timeout of first tries, out of the class's deadline of 3 s
	submitWithTimeout(2, 2500*ms) // the first try began 0.5 s ago, as 2.5 s of the deadline remain
	submitWithTimeout(3, 1500*ms) // the first try began 1.5 s ago: late, but there is no congestion
	if len(h.sends) != 3 || h.sends[1].timeout != 500*ms || h.sends[2].timeout != 1500*ms {
		t.Fatalf("sends = %v, want 3: the second with timeout 500ms, the third with timeout 1.5s", h.sends)
	}
	b.congestion.meanSquare = 0.2
	submitWithTimeout(4, 1500*ms)
	if _, rejected := h.rejected[4]; !rejected {
		t.Fatal("late client retry was not rejected under congestion")
	}
}

// Requests of clients with shorter timeouts than earlier clients were taken for late retries and rejected
// under congestion. After the shorter timeouts have lasted for a while, they have to count as those of first
// tries.
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
		t.Fatalf("attempt timeout = %v for a first try, want the objective of 1 s", last.timeout)
	}
}

// Where clients mark their retries, an unmarked request is a first try, however short its timeout. Taken for
// a late retry, it would be rejected.
func TestUnmarkedRequestsAreFirstTries(t *testing.T) {
	cfg := testConfig()
	cfg.ClientsMarkRetries = true
	b, h := start(t, cfg, ready(1, 2))
	b.Request(0, Request{ID: 1, Class: idempotentClass, Timeout: 2800 * ms})
	b.Request(0, Request{ID: 2, Class: idempotentClass, Timeout: 2500 * ms})
	b.Request(0, Request{ID: 3, Class: idempotentClass, Timeout: 2500 * ms, ClientRetry: true})
	if h.sends[1].timeout != time.Second || h.sends[2].timeout != 500*ms {
		t.Fatalf("sends = %v, want timeouts of 1 s for the unmarked request and 500 ms for the marked one", h.sends)
	}
}

func TestLatestStart(t *testing.T) {
	for _, c := range []struct {
		name        string
		meanLatency time.Duration // with an objective of 1 s
		want        time.Duration // latest start before the attempt deadline
	}{
		{"twice the mean latency", 125 * ms, 250 * ms},
		{"at most half of the objective", 400 * ms, 500 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			const deadline = time.Minute
			r := request{attemptDeadline: deadline,
				class: &class{Class: Class{LatencyObjective: time.Second}, meanLatency: c.meanLatency}}
			if got := r.latestStart(); got != deadline-c.want {
				t.Errorf("latest start = %v before the attempt deadline, want %v", deadline-got, c.want)
			}
		})
	}
}
