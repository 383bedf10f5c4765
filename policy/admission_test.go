package policy

import (
	"math"
	"testing"
	"time"
)

// A thousand balancers with one slot each kept sending to endpoints that were so slow that most responses
// were late, so the endpoints did work that was of no use to clients. Admission has to follow the responses
// within the objective: late responses are no sign of capacity. Some requests are always admitted, as
// otherwise a recovery would go unnoticed.
func TestAdmissionFollowsGoodput(t *testing.T) {
	const requests = 200
	for _, c := range []struct {
		name     string
		result   Result
		latency  time.Duration
		min, max int // number of sends
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
				t.Errorf("%d of %d requests sent, want %d to %d", n, requests, c.min, c.max)
			}
		})
	}
}

// If one endpoint of ten fails, capacity is not short: shedding would reject requests that the others could
// serve.
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
		t.Fatalf("%d of 300 requests sent, want all", len(h.sends))
	}
}

// When capacity was short, requests of high priority were shed as often as others. Most of the shed requests
// must be of the lower priority, but not all requests of it, as its clients must notice a recovery.
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
		t.Fatalf("admitted = %v of 1000 each, want at most two thirds as many of the lower priority, but some", admitted)
	}
}

// After a fault, one class was shed permanently: the recent goodput covered the high priority only, clients of
// the other class retried at once, and as these retries counted as offered, the class was not admitted again.
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
		clientRetries = 2 // immediately after a rejection
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
	requests, shed := 0, 0
	for now := time.Duration(0); now < testEnds; now += interval {
		class := 0
		if now/interval%3 == 0 { // a third of the requests has the high priority
			class = 1
		}
		ok := false
		for try := 0; try <= clientRetries && !ok; try++ {
			ok = admitted(now, class)
		}
		if now >= countedFrom {
			requests++
			if !ok {
				shed++
			}
		}
	}
	if requests == 0 || shed*20 > requests {
		t.Fatalf("%d of %d requests shed long after the endpoints had recovered, want at most 5%%", shed, requests)
	}
}

// admissionWith returns an admission with these demands by class and a mean latency objective of 2 s.
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
		{"lower priority gets the remainder", []classDemand{{1, 20, 8}, {4, 8, 8}}, 0, 17.5 / 21},
		{"equal priorities", []classDemand{{4, 20, 8}, {4, 8, 8}}, 0, 25.5 / 29},
		{"nothing remains", []classDemand{{1, 20, 0}, {4, 8, 2}}, 0, -3.5 / 21},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := admissionWith(c.demands...)
			got := a.admitFraction(0, &class{Class: Class{PriorityWeight: c.demands[c.class].priority}, index: c.class})
			if math.Abs(got-c.want) > 1e-9 {
				t.Errorf("admitFraction = %v, want %v", got, c.want)
			}
		})
	}
}

// A response close to its latency objective suggests that the next ones will be late, so it counts as a
// fraction.
func TestAdmissionGoodputNearObjective(t *testing.T) {
	for _, c := range []struct {
		name      string
		remaining time.Duration // of an objective of 800 ms
		want      float64
	}{
		{"most of the objective remains", 700 * ms, 1},
		{"half of the objective remains", 400 * ms, 1},
		{"a quarter of the objective remains", 200 * ms, 0.5},
		{"nothing of the objective remains", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := admissionWith(classDemand{}, classDemand{})
			const now = 5 * time.Second
			cl := &class{Class: Class{LatencyObjective: 800 * ms}, index: 1}
			a.recordSuccess(now, &request{class: cl, objectiveDeadline: now + c.remaining})
			if got := a.demand[1].goodput; got != c.want || a.demand[0].goodput != 0 {
				t.Errorf("goodput = %v, and %v of another class; want %v and 0", got, a.demand[0].goodput, c.want)
			}
		})
	}
}

func TestAdmissionDecays(t *testing.T) {
	a := admissionWith(classDemand{offered: 10, goodput: 4})
	a.decayedAt = time.Second
	a.decay(3500 * ms) // 1.25 objectives later
	if d := a.demand[0]; math.Abs(d.offered-10/math.E) > 1e-9 || math.Abs(d.goodput-4/math.E) > 1e-9 {
		t.Errorf("offered = %v, goodput = %v; want 10/e and 4/e", d.offered, d.goodput)
	}
	a.decay(3500 * ms) // no time has passed since
	if d := a.demand[0]; math.Abs(d.offered-10/math.E) > 1e-9 {
		t.Errorf("offered = %v after a second decay at the same time, want 10/e", d.offered)
	}
}
