package policy

import (
	"slices"
	"testing"
	"time"
)

// While discovery is down, a balancer has to poll it again and again, each time after a longer backoff, but often
// enough that a change is noticed in time once discovery is back. Meanwhile it goes by the list it has.
func TestPollsUntilNotified(t *testing.T) {
	cfg := testConfig()
	cfg.PollsEndpoints = true
	b, h := start(t, cfg, ready(1))
	if h.polls != 1 {
		t.Fatalf("%d polls at the start, want 1", h.polls)
	}
	backoffs, last, polls := []time.Duration{}, time.Duration(0), 1
	b.UpdateEndpoints(0, UpdateFailed, nil)
	for now := 10 * ms; now < 40*time.Second; now += 10 * ms {
		b.TimerFired(now)
		if h.polls > polls {
			polls = h.polls
			backoffs = append(backoffs, now-last)
			last = now
			b.UpdateEndpoints(now, UpdateFailed, nil)
		}
	}
	if len(backoffs) < 4 || slices.Max(backoffs) >= cfg.PollInterval || backoffs[0] >= backoffs[len(backoffs)-1] {
		t.Fatalf("backoffs %v: want them to grow, and none to reach %v", backoffs, cfg.PollInterval)
	}
	if b.endpoints.find(1) == nil {
		t.Fatal("a failed poll dropped the list")
	}
	b.UpdateEndpoints(40*time.Second, FullUpdate, ready(1))
	for now := 40 * time.Second; now < 60*time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if h.polls != polls {
		t.Fatal("polls again though updates come")
	}
}

// A poll that nobody answers, without an error, must be repeated: changes count as notified if a balancer does not poll
// for the poll interval, and it would send to endpoints that had left.
func TestUnansweredPollIsRepeated(t *testing.T) {
	cfg := testConfig()
	cfg.PollsEndpoints = true
	h := newFakeHost()
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	for now := time.Duration(0); now < cfg.PollInterval; now += 50 * ms {
		b.TimerFired(now)
	}
	if h.polls < 2 {
		t.Fatalf("%d polls within the poll interval, want another before it is over", h.polls)
	}
}

// Where the poll interval is not known, a balancer must neither poll at each timer nor never again.
func TestUnansweredPollIsRepeatedWithoutPollInterval(t *testing.T) {
	cfg := testConfig()
	cfg.PollsEndpoints, cfg.PollInterval = true, 0
	h := newFakeHost()
	b, err := New(cfg, 1, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	for now := time.Duration(0); now < 10*time.Second; now += 50 * ms {
		b.TimerFired(now)
	}
	if h.polls != 3 {
		t.Fatalf("%d polls in 10 s, want one at the start and every 4 s", h.polls)
	}
}
