package policy

import (
	"testing"
	"time"
)

// Guards against incident i47e131: a thousand balancers with a slot each go on sending what comes back late.
func TestAdmissionFollowsGoodput(t *testing.T) {
	sent := func(end1 Result, took time.Duration) int {
		b, h := start(t, testConfig(), ready(1, 2, 3, 4))
		for id := range RequestID(200) {
			now := time.Duration(id) * 500 * ms
			n := len(h.sends)
			submit(b, now, id, nonIdempotentClass)
			if len(h.sends) > n {
				finish(b, now+took, id, 0, end1)
			}
		}
		return len(h.sends)
	}
	if n := sent(Succeeded, 100*ms); n != 200 {
		t.Errorf("%d of 200 sent while all are answered in time", n)
	}
	if n := sent(Succeeded, 1500*ms); n > 150 { // incident id1dbbf: late answers are no sign of room
		t.Errorf("%d of 200 sent while all are answered late", n)
	}
	if n := sent(TimedOut, time.Second); n > 120 || n < 20 {
		t.Errorf("%d of 200 sent while none is answered, want far fewer, but some", n)
	}
}

// One tenth of failures, as from one bad server of ten, must not refuse anything.
func TestAdmissionToleratesFewFailures(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4))
	for id := range RequestID(300) {
		now := time.Duration(id) * 100 * ms
		submit(b, now, id, nonIdempotentClass)
		finish(b, now+50*ms, id, 0, map[bool]Result{true: ServerError, false: Succeeded}[id%10 == 9])
	}
	if len(h.sends) != 300 {
		t.Fatalf("%d of 300 sent", len(h.sends))
	}
}

// Worth decides what is shed first: the same shortage costs the worthier class less.
func TestAdmissionShedsLowPriorityFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[0].PriorityWeight, cfg.Classes[1].PriorityWeight = 1, 4
	b, _ := start(t, cfg, ready(1, 2))
	var let [2]int
	for i := range 2000 {
		for i := range b.admission.demand {
			d := &b.admission.demand[i]
			d.offered, d.goodput = 20, 8
		}
		if b.admit(0, &request{class: &b.classes[i%2]}) {
			let[i%2]++
		}
	}
	if let[0]*3 > let[1]*2 || let[0] == 0 {
		t.Fatalf("let in %v of 1000 each, want the worthier class far ahead, and some of the other", let)
	}
}

// Guards against admission that locks itself in: after a bad while the worthy class alone fits into what
// was answered of late, the others' clients ask again at once, and their counting as shut out kept them out.
func TestAdmissionRecoversAfterFailures(t *testing.T) {
	cfg := testConfig()
	cfg.Balancers, cfg.Slots, cfg.MaxAttempts = 1, 100, 1
	cfg.Classes = cfg.Classes[:2]
	cfg.Classes[0].PriorityWeight, cfg.Classes[1].PriorityWeight = 1, 8
	b, h := start(t, cfg, ready(1, 2, 3, 4, 5, 6, 7, 8))
	const step, bad, well, until = 25 * ms, 5 * time.Second, 17 * time.Second, 20 * time.Second
	id := RequestID(0)
	let := func(now time.Duration, class int) bool {
		id++
		n := len(h.sends)
		submit(b, now, id, class)
		if len(h.sends) == n {
			return false
		}
		finish(b, now+10*ms, id, 0, map[bool]Result{true: ServerError, false: Succeeded}[now < bad])
		return true
	}
	lately, shut := 0, 0
	for now := time.Duration(0); now < until; now += step {
		class := 0
		if now/step%3 == 0 { // a third is worthy
			class = 1
		}
		in := false
		for tries := 0; tries < 3 && !in; tries++ { // clients ask again at once, twice
			in = let(now, class)
		}
		if now >= well {
			lately++
			if !in {
				shut++
			}
		}
	}
	if lately == 0 || shut*20 > lately {
		t.Fatalf("%d of %d requests were shut out long after servers were well again", shut, lately)
	}
}
