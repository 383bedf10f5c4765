package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// A restarted endpoint was given its whole part of the traffic at once, and failed. In slow start all balancers together
// must stay below what it can bear, so each of them stays below its even part of that. It has its whole part in the end.
func TestSlowStartOfRestartedEndpoint(t *testing.T) {
	for _, balancers := range []int{1, 4} {
		t.Run(fmt.Sprintf("balancers=%d", balancers), func(t *testing.T) {
			cfg := testConfig()
			cfg.Balancers = balancers
			list := ready(1, 2)
			b, h := start(t, cfg, list)
			list[0].StartedAt = 10 * time.Second // restarted under the same id
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
			// Its capacity by the quotas is half of 100 a second, 0.3 of that at its start; it bears 3 times that.
			budget := 100.0 / 2 * 0.3 * 3 / float64(balancers)
			if n := float64(inFirstSecond); n == 0 || n > budget {
				t.Errorf("%v sends in the first second, want 1 to %.1f", n, budget)
			}
			if h.sentTo(1) < 500 {
				t.Errorf("%d sends in all, want at least 500, as slow start is over after 8 s", h.sentTo(1))
			}
		})
	}
}

// Hundreds of balancers each sent one request to a restarted endpoint as soon as the list named it, and overloaded it
// within a second. Their first sends have to be spread too.
func TestSlowStartOverManyBalancers(t *testing.T) {
	const (
		balancers, endpoints = 400, 40
		restarted            = EndpointID(5)
		restartedAt          = 10 * time.Second
	)
	cfg := testConfig()
	cfg.Balancers, cfg.Slots = balancers, 0
	cfg.Tenants = []Tenant{{Weight: 1, Quota: 4 * balancers}}
	var sentAt []time.Duration // to the restarted endpoint
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
	// It can do 40 a second after slow start, 0.3 of that at first; three times that for a second is the limit.
	for from := restartedAt; from < 13*time.Second; from += 100 * ms {
		sends := 0
		for _, at := range sentAt {
			if at >= from && at < from+time.Second {
				sends++
			}
		}
		capacityFraction := 0.3 + 0.7*(from-restartedAt).Seconds()/8
		if limit := 3 * 40 * capacityFraction; float64(sends) > limit {
			t.Fatalf("%d sends to the restarted endpoint in the second from %v, want at most %.0f", sends, from, limit)
		}
	}
	if len(sentAt) < 20 {
		t.Fatalf("%d sends to the restarted endpoint, want at least 20 for the test to show anything", len(sentAt))
	}
}

// An endpoint that responds again after a long silence may have restarted before the list says so. Without a slow start
// it got its whole part of the traffic at once, and failed again.
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
		t.Fatalf("slow start until %v, want 8 s after the response; logged %v, want an event", until, h.log)
	}
}

func TestCapacityFraction(t *testing.T) {
	for _, c := range []struct {
		name      string
		atStart   float64
		remaining time.Duration // of a slow start of 8 s
		want      float64
	}{
		{"at its start", 0.3, 8 * time.Second, 0.3},
		{"halfway", 0.3, 4 * time.Second, 0.65},
		{"at its end", 0.3, 0, 1},
		{"later", 0.3, -time.Second, 1},
		{"starts with nothing", 0, 8 * time.Second, 0.05},
	} {
		t.Run(c.name, func(t *testing.T) {
			const now = time.Minute
			cfg := testConfig()
			cfg.SlowStartFraction = c.atStart
			b, _ := start(t, cfg, ready(1))
			e := b.endpoints.find(1)
			e.slowStartUntil = now + c.remaining
			if got := b.capacityFraction(now, e); math.Abs(got-c.want) > 1e-9 {
				t.Errorf("capacity fraction %v, want %v", got, c.want)
			}
		})
	}
}
