package policy

import (
	"slices"
	"testing"
	"time"
)

func TestPollsUntilNotified(t *testing.T) {
	cfg := testConfig()
	cfg.PollsEndpoints = true
	b, h := start(t, cfg, ready(1))
	if h.polls != 1 {
		t.Fatalf("asked %d times at the start", h.polls)
	}
	gaps, last, asked := []time.Duration{}, time.Duration(0), 1
	b.UpdateEndpoints(0, UpdateFailed, nil)
	for now := 10 * ms; now < 40*time.Second; now += 10 * ms {
		b.TimerFired(now)
		if h.polls > asked {
			asked = h.polls
			gaps = append(gaps, now-last)
			last = now
			b.UpdateEndpoints(now, UpdateFailed, nil)
		}
	}
	if len(gaps) < 4 || slices.Max(gaps) >= cfg.PollInterval || gaps[0] >= gaps[len(gaps)-1] {
		t.Fatalf("gaps between calls %v: want them to grow, and none to reach %v", gaps, cfg.PollInterval)
	}
	if b.endpoints.find(1) == nil {
		t.Fatal("a failed call dropped the old list")
	}
	b.UpdateEndpoints(40*time.Second, FullUpdate, ready(1))
	for now := 40 * time.Second; now < 60*time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if h.polls != asked {
		t.Fatal("asks again though it is subscribed")
	}
}

func TestUnansweredPollIsRepeated(t *testing.T) {
	cfg := testConfig()
	cfg.PollsEndpoints = true
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < cfg.PollInterval; now += 50 * ms {
		b.TimerFired(now)
	}
	if h.polls < 2 {
		t.Fatal("silence of the list service would have counted as being told")
	}
}

// Guards against asking at every Wake, or never again, where it is not known how soon silence counts.
func TestUnansweredPollIsRepeatedWithoutPollInterval(t *testing.T) {
	cfg := testConfig()
	cfg.PollsEndpoints, cfg.PollInterval = true, 0
	h := newFakeHost()
	b, _ := New(cfg, 1, h)
	b.Start(0)
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		b.TimerFired(now)
	}
	if h.polls != 3 {
		t.Fatalf("asked %d times in 10 s, want at the start and every 4 s", h.polls)
	}
}
