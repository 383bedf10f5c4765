package policy

import (
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
