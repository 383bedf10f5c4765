package sidecar

import (
	"context"
	"testing"
	"time"
)

// Discovery is slow: each call is answered after the same time. Calls used to be cancelled for younger ones before they
// could be answered, so that no list was ever read. Whenever discovery becomes reachable, a call that starts after
// that must last until it is answered, in time for the sidecar to stop sending to a server that drains.
func TestSlowDiscoveryIsAnsweredBesideHedgedCalls(t *testing.T) {
	const interval = 250 * time.Millisecond // half of a drain grace of 500 ms
	const notifiedAfter = 6 * time.Second   // that discovery is reachable
	for _, answerTime := range []time.Duration{100 * time.Millisecond, time.Second, 1800 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(answerTime.String(), func(t *testing.T) {
			h := hedgedCalls{client: &discoveryClient{hedgeInterval: interval}}
			begin := time.Unix(1000, 0)
			// Calls that start before reachableAt are never answered.
			answeredAt := func(reachableAt time.Time) time.Time {
				h.inFlight = nil
				for now := begin; now.Before(reachableAt.Add(time.Minute)); now = now.Add(interval) {
					for len(h.inFlight) > 0 && now.Sub(h.inFlight[0].startedAt) >= callTimeout {
						h.inFlight = h.inFlight[1:]
					}
					for _, c := range h.inFlight {
						if !c.startedAt.Before(reachableAt) && now.Sub(c.startedAt) >= answerTime {
							return now
						}
					}
					if len(h.inFlight) == maxConcurrentCalls {
						h.cancelOne(now)
					}
					_, cancel := context.WithCancel(t.Context())
					h.inFlight = append(h.inFlight, &hedgedCall{startedAt: now, cancel: cancel})
				}
				return time.Time{}
			}
			worst := time.Duration(0)
			for outage := time.Duration(0); outage < 20*time.Second; outage += 50 * time.Millisecond {
				reachableAt := begin.Add(outage)
				at := answeredAt(reachableAt)
				if at.IsZero() {
					t.Fatalf("discovery is reachable after %v, and no call is answered", outage)
				}
				worst = max(worst, at.Sub(reachableAt))
			}
			if worst > notifiedAfter {
				t.Errorf("a call is answered up to %v after discovery is reachable, want %v", worst, notifiedAfter)
			}
			t.Logf("answered at most %v after discovery is reachable", worst)
		})
	}
}
