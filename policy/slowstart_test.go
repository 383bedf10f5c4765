package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// If a restarted endpoint gets its full share of the traffic at once, it is overloaded and fails. During slow
// start, all balancers together must stay below what the endpoint can serve, so each balancer stays below an
// equal share of that. After slow start, the endpoint must get its full share.
func TestSlowStartOfRestartedEndpoint(t *testing.T) {
	for _, balancers := range []int{1, 4} {
		t.Run(fmt.Sprintf("balancers=%d", balancers), func(t *testing.T) {
			cfg := testConfig()
			cfg.Balancers = balancers
			list := ready(1, 2)
			b, h := start(t, cfg, list)
			list[0].StartedAt = 10 * time.Second // restarted under the same ID
			b.UpdateEndpoints(10*time.Second, DeltaUpdate, list[:1])
			id := RequestID(0)
			inFirstSecond := 0
			for now := 10 * time.Second; now < 20*time.Second; now += 2 * ms {
				before := h.sentTo(1)
				submit(b, now, id, idempotentClass)
				finish(b, now+ms, id, 0, Succeeded)
				id++
				if h.sentTo(1) > before && now < 11*time.Second {
					inFirstSecond++
				}
			}
			// By the quotas, the capacity of the endpoint is half of 100 requests per second. At its start it
			// has 0.3 of that, and it fails above 3 times the capacity that it has.
			budget := 100.0 / 2 * 0.3 * 3 / float64(balancers)
			if n := float64(inFirstSecond); n == 0 || n > budget {
				t.Errorf("sends in the first second = %v, want 1 to %.1f", n, budget)
			}
			if h.sentTo(1) < 500 {
				t.Errorf("sends in 10 s = %d, want at least 500, because slow start ends after 8 s", h.sentTo(1))
			}
		})
	}
}

// If hundreds of balancers each send one request to a restarted endpoint as soon as the endpoint list names
// it, they overload it within a second. Their first sends must be spread over time too.
func TestSlowStartOverManyBalancers(t *testing.T) {
	const (
		balancers, endpoints = 400, 40
		restarted            = EndpointID(5)
		restartedAt          = 10 * time.Second
	)
	cfg := testConfig()
	cfg.Balancers, cfg.Slots = balancers, 0
	cfg.Tenants = []Tenant{{Weight: 1, Quota: 4 * balancers}}
	var sentAt []time.Duration // times of the sends to the restarted endpoint
	for n := range balancers {
		cfg.Index = n
		list := ready()
		for id := range EndpointID(endpoints) {
			list = append(list, Endpoint{ID: id, State: Ready, Weight: 1})
		}
		b, h := startSeeded(t, cfg, uint64(n), list)
		for id := range EndpointID(endpoints) {
			if id != restarted {
				b.endpoints.find(id).nextPick = math.Inf(1) // the restarted endpoint is always next
			}
		}
		b.UpdateEndpoints(restartedAt, DeltaUpdate, []Endpoint{{ID: restarted, State: Ready, Weight: 1, StartedAt: restartedAt}})
		for i := range 400 {
			now := restartedAt + time.Duration(i)*10*ms
			before := h.sentTo(restarted)
			if i%10 == n%10 {
				submit(b, now, RequestID(i), nonIdempotentClass)
				if last := h.sends[len(h.sends)-1]; last.to != restarted {
					finish(b, now, last.id, 0, Succeeded)
				}
			}
			b.TimerFired(now)
			if h.sentTo(restarted) > before {
				sentAt = append(sentAt, now)
				finish(b, now, RequestID(i), 0, Succeeded)
			}
		}
	}
	// The endpoint can serve 40 requests per second after slow start, and 0.3 of that at its start. It fails
	// if it gets more than three times what it can serve during a second.
	for from := restartedAt; from < 13*time.Second; from += 100 * ms {
		sends := 0
		for _, at := range sentAt {
			if at >= from && at < from+time.Second {
				sends++
			}
		}
		capacityFraction := 0.3 + 0.7*(from-restartedAt).Seconds()/8
		if limit := 3 * 40 * capacityFraction; float64(sends) > limit {
			t.Fatalf("sends to the restarted endpoint = %d in the second from %v, want at most %.0f",
				sends, from, limit)
		}
	}
	if len(sentAt) < 20 {
		t.Fatalf("sends to the restarted endpoint = %d, want at least 20 for a meaningful test", len(sentAt))
	}
}

// An endpoint that responds again after a long silence may have restarted although the endpoint list does not
// show it yet. Without a slow start, it would get its full share of the traffic at once and fail again.
func TestSlowStartAfterSilence(t *testing.T) {
	b, h := start(t, testConfig(), ready(1))
	submit(b, 0, 1, nonIdempotentClass)
	finish(b, time.Second, 1, 0, TimedOut)
	resetAdmission(b)
	submit(b, 1100*ms, 2, nonIdempotentClass)
	finish(b, 2100*ms, 2, 0, TimedOut)
	resetAdmission(b)
	submit(b, 3*time.Second, 3, nonIdempotentClass)
	finish(b, 3100*ms, 3, 0, Succeeded)
	if until := b.endpoints.find(1).slowStartUntil; until != 3100*ms+8*time.Second || len(h.log) == 0 {
		t.Fatalf("slowStartUntil = %v, want 8 s after the response; logged events = %v, want at least one",
			until, h.log)
	}
}

func TestCapacityFraction(t *testing.T) {
	for _, c := range []struct {
		name      string
		atStart   float64       // Config.SlowStartFraction
		remaining time.Duration // remaining time of a slow start of 8 s
		want      float64
	}{
		{"at its start", 0.3, 8 * time.Second, 0.3},
		{"halfway", 0.3, 4 * time.Second, 0.65},
		{"at its end", 0.3, 0, 1},
		{"later", 0.3, -time.Second, 1},
		{"starts with no capacity", 0, 8 * time.Second, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			const now = time.Minute
			cfg := testConfig()
			cfg.SlowStartFraction = c.atStart
			b, _ := start(t, cfg, ready(1))
			e := b.endpoints.find(1)
			e.slowStartUntil = now + c.remaining
			if got := b.capacityFraction(now, e); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("capacityFraction = %v, want %v", got, c.want)
			}
		})
	}
}
