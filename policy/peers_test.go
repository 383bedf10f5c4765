package policy

import (
	"math"
	"testing"
	"time"
)

func newsConfig() Config {
	cfg := testConfig()
	cfg.Balancers, cfg.MayTell = 4, true
	return cfg
}

func TestNewsThatCannotBeIsDropped(t *testing.T) {
	b, _ := start(t, newsConfig(), ready(1, 2))
	now := time.Hour
	good := News{At: now, Rate: 10, Answers: 5, Crowd: 0.1}
	for name, try := range map[string]func(n *News) int{
		"its own":       func(*News) int { return 0 },
		"no such peer":  func(*News) int { return 4 },
		"a negative":    func(*News) int { return -1 },
		"stale":         func(n *News) int { n.At -= 3 * time.Second; return 1 },
		"of the future": func(n *News) int { n.At += time.Second; return 1 },
		"no rate":       func(n *News) int { n.Rate = math.NaN(); return 1 },
		"boundless":     func(n *News) int { n.Rate = math.Inf(1); return 1 },
		"less than 0":   func(n *News) int { n.Answers = -1; return 1 },
		"crowd":         func(n *News) int { n.Crowd = 1e6; return 1 },
	} {
		n := good
		from := try(&n)
		before := b.Counters()
		if b.Heard(now, from, n); b.Counters().Unheard != before.Unheard+1 || b.Counters().Heard != before.Heard {
			t.Errorf("%s: not dropped and counted", name)
		}
	}
	b.Heard(now, 1, good)
	b.Heard(now, 1, good) // twice
	older := good
	older.At -= ms
	b.Heard(now, 1, older) // overtaken
	if c := b.Counters(); c.Heard != 1 {
		t.Errorf("%d taken, want one", c.Heard)
	}
}

// Guards against one slow answer of its own closing the walls of a balancer of few requests.
func TestFleetTellsHowCrowdedServersAre(t *testing.T) {
	b, _ := start(t, newsConfig(), ready(1, 2))
	b.crowd = 4
	alone := b.wall(time.Hour)
	for i := 1; i < 4; i++ {
		b.Heard(time.Hour, i, News{At: time.Hour, Rate: 25, Answers: 20, Crowd: 0.01})
	}
	b.rate, b.rateAt = 25, time.Hour
	if told := b.wall(time.Hour); alone != 1 || told != float64(b.slots) {
		t.Fatalf("wall at %v alone and %v once told, want 1 and all %d slots", alone, told, b.slots)
	}
	if later := b.wall(time.Hour + time.Minute); later != 1 {
		t.Fatalf("wall at %v, want its own measure again once news is old", later)
	}
}

// Guards against a busy balancer held as small as an idle one where walls come down.
func TestBusyBalancerHasMoreOfWhatIsLeft(t *testing.T) {
	wall := func(own, others float64) float64 {
		b, _ := start(t, newsConfig(), ready(1, 2))
		for i := 1; i < 4; i++ {
			b.Heard(time.Hour, i, News{At: time.Hour, Rate: others, Answers: 20, Crowd: 0.1})
		}
		b.rate, b.rateAt = own, time.Hour
		return b.wall(time.Hour)
	}
	if busy, idle := wall(90, 3), wall(1, 33); busy < 3*idle || idle != 1 {
		t.Fatalf("walls of %v for one with most of the requests and %v for one with few", busy, idle)
	}
}

// What is told is what came since the last time; with nothing to tell it stays mostly silent.
func TestTellsWhatCameSinceTheLastTime(t *testing.T) {
	b, h := start(t, newsConfig(), ready(1, 2))
	now := time.Duration(0)
	for ; now < 20*time.Second; now += 20 * ms {
		b.Wake(now)
	}
	if n := len(h.tells); n == 0 || n > 8 {
		t.Fatalf("told %d times in 20 s with nothing to tell", n)
	}
	h.tells = nil
	for i := range RequestID(10) {
		ask(b, now, i, safeClass)
		end(b, now+100*ms, i, 0, Served)
		now += 200 * ms
		b.Wake(now)
	}
	for end := now + 2*time.Second; now < end; now += 20 * ms {
		b.Wake(now)
	}
	answers, worst := 0.0, 0.0
	for _, n := range h.tells {
		answers += n.Answers
		worst = max(worst, n.Crowd)
	}
	if answers != 10 || math.Abs(worst-0.01) > 1e-9 {
		t.Fatalf("told of %v answers, crowded %v; want each of 10 once, which took a tenth of the aim", answers, worst)
	}
	cfg := newsConfig()
	cfg.MayTell = false
	b, h = start(t, cfg, ready(1, 2))
	for now := time.Duration(0); now < 20*time.Second; now += 20 * ms {
		b.Wake(now)
	}
	if len(h.tells) > 0 {
		t.Fatal("told where it may not")
	}
}
