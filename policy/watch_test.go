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

func TestEndpointWatchBackoff(t *testing.T) {
	const now = 10 * time.Second
	for _, c := range []struct {
		name     string
		polledAt time.Duration
		want     time.Duration
	}{
		{"the call failed at once", now, now + 2*time.Second},
		{"the call took a second", now - time.Second, now + time.Second},
		{"the call took longer than the backoff", now - time.Minute, now + 500*ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := endpointWatch{polledAt: c.polledAt}
			w.recordFailure(now, 500*ms, 2*time.Second)
			if w.pollAt != c.want || w.failures != 1 {
				t.Errorf("polls at %v after %d failures, want %v after 1", w.pollAt, w.failures, c.want)
			}
			if w.shouldPoll(c.want-1) || !w.shouldPoll(c.want) {
				t.Errorf("due just before: %v, at the time: %v; want false and true", w.shouldPoll(c.want-1), w.shouldPoll(c.want))
			}
			w.recordUpdate()
			if w.shouldPoll(time.Hour) || w.failures != 0 {
				t.Errorf("due after an update: %v, %d failures; want false and 0", w.shouldPoll(time.Hour), w.failures)
			}
		})
	}
}

// Balancers must not poll in step, so each backoff has a random part: half of it either way.
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
				t.Errorf("backoffs from %v to %v, want about %v to %v", lowest, highest, c.mean/2, c.mean*3/2)
			}
		})
	}
}
