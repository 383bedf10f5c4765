package policy

import (
	"slices"
	"testing"
	"time"
)

// While discovery cannot be reached, a balancer has to poll it repeatedly, with a growing backoff, but often
// enough that a change is noticed in time once discovery can be reached again. Meanwhile the balancer uses
// the list that it has.
func TestPollsUntilUpdate(t *testing.T) {
	cfg := testConfig()
	cfg.PollsEndpoints = true
	b, h := start(t, cfg, ready(1))
	if h.polls != 1 {
		t.Fatalf("polls at the start = %d, want 1", h.polls)
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
		t.Fatalf("backoffs = %v, want at least 4, growing, and all below %v", backoffs, cfg.PollInterval)
	}
	if b.endpoints.find(1) == nil {
		t.Fatal("endpoint 1 is not listed after failed polls, want the previous list")
	}
	b.UpdateEndpoints(40*time.Second, FullUpdate, ready(1))
	for now := 40 * time.Second; now < 60*time.Second; now += 10 * ms {
		b.TimerFired(now)
	}
	if h.polls != polls {
		t.Fatal("the list was polled again after an update")
	}
}

// A poll that gets neither an update nor an error must be repeated: once a balancer has not polled for the
// poll interval, changes count as notified, and it would send requests to removed endpoints.
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
		t.Fatalf("polls within the poll interval = %d, want at least 2", h.polls)
	}
}

// If the poll interval is unknown, an unanswered poll must be repeated too, but not at each timer.
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
		t.Fatalf("polls in 10 s = %d, want 3: one at the start and one every 4 s", h.polls)
	}
}

func TestEndpointWatchBackoff(t *testing.T) {
	const now = 10 * time.Second
	for _, c := range []struct {
		name     string
		polledAt time.Duration
		want     time.Duration
	}{
		{"the call failed immediately", now, now + 2*time.Second},
		{"the call took one second", now - time.Second, now + time.Second},
		{"the call took longer than the backoff", now - time.Minute, now + 500*ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := endpointWatch{polledAt: c.polledAt}
			w.recordFailure(now, 500*ms, 2*time.Second)
			if w.pollAt != c.want || w.failures != 1 {
				t.Errorf("pollAt, failures = %v, %d, want %v, 1", w.pollAt, w.failures, c.want)
			}
			if w.shouldPoll(c.want-1) || !w.shouldPoll(c.want) {
				t.Errorf("shouldPoll before pollAt = %v, at pollAt = %v, want false, true",
					w.shouldPoll(c.want-1), w.shouldPoll(c.want))
			}
			w.recordUpdate()
			if w.shouldPoll(time.Hour) || w.failures != 0 {
				t.Errorf("after an update: shouldPoll, failures = %v, %d, want false, 0",
					w.shouldPoll(time.Hour), w.failures)
			}
		})
	}
}

// Without jitter, balancers would all poll at the same time. Each backoff varies by half of it in both
// directions.
func TestBackoffGrowsWithJitter(t *testing.T) {
	for _, c := range []struct {
		name         string
		failures     int
		pollInterval time.Duration
		mean         time.Duration
	}{
		{"first failure", 0, 0, 250 * ms},
		{"second failure", 1, 0, 500 * ms},
		{"third failure", 2, 0, time.Second},
		{"many failures", 100, 0, time.Second},
		{"short poll interval", 100, 400 * ms, 400 * ms},
		{"long poll interval", 100, time.Minute, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.PollInterval = c.pollInterval
			b, _ := start(t, cfg, ready(1))
			lowest, highest := time.Hour, time.Duration(0)
			for range 1000 {
				backoff := b.backoff(c.failures)
				lowest, highest = min(lowest, backoff), max(highest, backoff)
			}
			if lowest < c.mean/2 || lowest > c.mean*6/10 || highest < c.mean*14/10 || highest > c.mean*3/2 {
				t.Errorf("backoffs range from %v to %v, want about %v to %v", lowest, highest, c.mean/2, c.mean*3/2)
			}
		})
	}
}
