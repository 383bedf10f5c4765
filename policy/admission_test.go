package policy

import (
	"math"
	"testing"
	"time"
)

// A thousand balancers with a slot each went on sending although endpoints were so slow that most responses came too
// late: the endpoints worked, and no client had anything of it. Admission has to follow what is answered in time. Late
// responses are no sign of capacity, and some requests are always let through, or nothing would show a recovery.
func TestAdmissionFollowsGoodput(t *testing.T) {
	const requests = 200
	for _, c := range []struct {
		name     string
		result   Result
		latency  time.Duration
		min, max int // sends
	}{
		{"in time", Succeeded, 100 * ms, requests, requests},
		{"late", Succeeded, 1500 * ms, 0, 150},
		{"timed out", TimedOut, time.Second, 20, 120},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, h := start(t, testConfig(), ready(1, 2, 3, 4))
			for id := range RequestID(requests) {
				now := time.Duration(id) * 500 * ms
				before := len(h.sends)
				submit(b, now, id, nonIdempotentClass)
				if len(h.sends) > before {
					finish(b, now+c.latency, id, 0, c.result)
				}
			}
			if n := len(h.sends); n < c.min || n > c.max {
				t.Errorf("%d of %d sent, want %d to %d", n, requests, c.min, c.max)
			}
		})
	}
}

// One endpoint of ten that fails is no lack of capacity: shedding for it would reject what the others could serve.
func TestAdmissionToleratesFewFailures(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4))
	for id := range RequestID(300) {
		now := time.Duration(id) * 100 * ms
		result := Succeeded
		if id%10 == 9 {
			result = ServerError
		}
		submit(b, now, id, nonIdempotentClass)
		finish(b, now+50*ms, id, 0, result)
	}
	if len(h.sends) != 300 {
		t.Fatalf("%d of 300 sent", len(h.sends))
	}
}

// Under a lack of capacity, requests of a high priority were shed as often as the others. The lower priority has to
// bear most of the shortage, though not all of it: its clients must see when capacity is back.
func TestAdmissionShedsLowPriorityFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[0].PriorityWeight, cfg.Classes[1].PriorityWeight = 1, 4
	b, _ := start(t, cfg, ready(1, 2))
	var admitted [2]int
	for i := range 2000 {
		for j := range b.admission.demand {
			d := &b.admission.demand[j]
			d.offered, d.goodput = 20, 8
		}
		if b.admit(0, &request{class: &b.classes[i%2]}) {
			admitted[i%2]++
		}
	}
	if admitted[0]*3 > admitted[1]*2 || admitted[0] == 0 {
		t.Fatalf("admitted %v of 1000 each, want many more of the higher priority, and some of the lower", admitted)
	}
}

// After a fault, admission locked itself in: the recent goodput had capacity for the high priority alone, the clients
// of the others retried at once, and because these retries counted as offered, their class stayed shut out for good.
func TestAdmissionRecoversAfterFailures(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers, cfg.Slots, cfg.MaxAttempts = 1, 100, 1
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[0].PriorityWeight, cfg.Classes[1].PriorityWeight = 1, 8
	b, h := start(t, cfg, ready(1, 2, 3, 4, 5, 6, 7, 8))
	const (
		interval      = 25 * ms
		faultEnds     = 5 * time.Second
		countedFrom   = 17 * time.Second
		testEnds      = 20 * time.Second
		clientRetries = 2 // at once
	)
	id := RequestID(0)
	admitted := func(now time.Duration, class int) bool {
		id++
		before := len(h.sends)
		submit(b, now, id, class)
		if len(h.sends) == before {
			return false
		}
		result := Succeeded
		if now < faultEnds {
			result = ServerError
		}
		finish(b, now+10*ms, id, 0, result)
		return true
	}
	requests, shut := 0, 0
	for now := time.Duration(0); now < testEnds; now += interval {
		class := 0
		if now/interval%3 == 0 { // a third is of high priority
			class = 1
		}
		ok := false
		for try := 0; try <= clientRetries && !ok; try++ {
			ok = admitted(now, class)
		}
		if now >= countedFrom {
			requests++
			if !ok {
				shut++
			}
		}
	}
	if requests == 0 || shut*20 > requests {
		t.Fatalf("%d of %d requests were shed long after endpoints had recovered", shut, requests)
	}
}

// admissionWith returns an admission whose classes have these demands, for a latency objective of 2 s.
func admissionWith(demands ...classDemand) admission {
	return admission{objective: 2, demand: demands}
}

func TestAdmitFraction(t *testing.T) {
	for _, c := range []struct {
		name    string
		demands []classDemand
		class   int
		want    float64
	}{
		{"nothing recent", []classDemand{{priority: 1}, {priority: 4}}, 0, 1.5},
		{"all answered in time", []classDemand{{1, 20, 20}, {4, 0, 0}}, 0, 31.5 / 21},
		{"higher priority", []classDemand{{1, 20, 8}, {4, 8, 8}}, 1, 25.5 / 9},
		{"lower priority has what the higher leaves", []classDemand{{1, 20, 8}, {4, 8, 8}}, 0, 17.5 / 21},
		{"equal priorities", []classDemand{{4, 20, 8}, {4, 8, 8}}, 0, 25.5 / 29},
		{"nothing remains", []classDemand{{1, 20, 0}, {4, 8, 2}}, 0, -3.5 / 21},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := admissionWith(c.demands...)
			got := a.admitFraction(0, &class{Class: Class{PriorityWeight: c.demands[c.class].priority}, index: c.class})
			if math.Abs(got-c.want) > 1e-9 {
				t.Errorf("fraction %v, want %v", got, c.want)
			}
		})
	}
}

// A response near its latency objective warns of the next, so it counts in part.
func TestAdmissionGoodputNearObjective(t *testing.T) {
	for _, c := range []struct {
		name      string
		remaining time.Duration // of an objective of 800 ms
		want      float64
	}{
		{"most of the objective remains", 700 * ms, 1},
		{"half of it", 400 * ms, 1},
		{"a quarter of it", 200 * ms, 0.5},
		{"nothing", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := admissionWith(classDemand{}, classDemand{})
			const now = 5 * time.Second
			cl := &class{Class: Class{LatencyObjective: 800 * ms}, index: 1}
			a.recordSuccess(now, &request{class: cl, objectiveDeadline: now + c.remaining})
			if got := a.demand[1].goodput; got != c.want || a.demand[0].goodput != 0 {
				t.Errorf("goodput %v, and %v of another class; want %v and 0", got, a.demand[0].goodput, c.want)
			}
		})
	}
}

func TestAdmissionDecays(t *testing.T) {
	a := admissionWith(classDemand{offered: 10, goodput: 4})
	a.decayedAt = time.Second
	a.decay(3500 * ms) // 1.25 objectives later
	if d := a.demand[0]; math.Abs(d.offered-10/math.E) > 1e-9 || math.Abs(d.goodput-4/math.E) > 1e-9 {
		t.Errorf("offered %v and goodput %v, want a fraction of 1/e of 10 and 4", d.offered, d.goodput)
	}
	a.decay(3500 * ms) // no time has passed
	if d := a.demand[0]; math.Abs(d.offered-10/math.E) > 1e-9 {
		t.Errorf("offered %v, decayed twice for the same time", d.offered)
	}
}
