package policy

import (
	"testing"
	"time"
)

func TestRetryByIdempotency(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		ends  Result
		again bool
		fails bool // where it is not sent again
	}{
		{"safe after an error", idempotentClass, ServerError, true, false},
		{"keyed after a reset", dedupEverywhereClass, ConnectionLost, true, false},
		{"unsafe turned away", nonIdempotentClass, Rejected, true, false},
		{"unsafe without a connection", nonIdempotentClass, ConnectFailed, true, false},
		{"unsafe never sent", nonIdempotentClass, NotSent, true, false},
		{"unsafe after an error", nonIdempotentClass, ServerError, false, true},
		{"unsafe after a reset", nonIdempotentClass, ConnectionLost, false, true},
		{"unsafe after a time-out", nonIdempotentClass, TimedOut, false, true},
		{"unsafe after an unknown end", nonIdempotentClass, Result(99), false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, h := start(t, testConfig(), ready(1, 2, 3))
			submit(b, 0, 1, c.class)
			finish(b, 30*ms, 1, 0, c.ends)
			if again := len(h.sends) == 2; again != c.again {
				t.Fatalf("sent again: %v, want %v", again, c.again)
			}
			if !c.again && h.failed[1] != c.fails {
				t.Fatalf("failed: %v, want %v (refused: %v)", h.failed[1], c.fails, h.rejected)
			}
			if c.again && h.sends[1].to == h.sends[0].to {
				t.Fatal("sent again to the same server")
			}
		})
	}
}

func TestRejectedAfterMaxAttempts(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4, 5))
	submit(b, 0, 1, nonIdempotentClass)
	for i := range 3 {
		finish(b, time.Duration(i+1)*ms, 1, i, ConnectFailed)
	}
	if _, ok := h.rejected[1]; len(h.sends) != 3 || !ok {
		t.Fatalf("sends %d, refused %v; want 3 and a refusal: it provably never ran", len(h.sends), ok)
	}
}

func TestRetryStaysInDedupScope(t *testing.T) {
	list := []Endpoint{
		{ID: 1, State: Ready, Weight: 1, Zone: 0, Cell: 10}, {ID: 2, State: Ready, Weight: 1, Zone: 0, Cell: 11},
		{ID: 3, State: Ready, Weight: 1, Zone: 1, Cell: 12}, {ID: 4, State: Ready, Weight: 1, Zone: 1, Cell: 12},
	}
	byID := func(id EndpointID) Endpoint { return list[id-1] }
	for id := range RequestID(8) { // the turns make the first attempt meet every server
		for _, class := range []int{dedupInZoneClass, dedupInCellClass} {
			b, h := start(t, testConfig(), list)
			for warm := range id {
				submit(b, 0, 100+warm, idempotentClass)
				finish(b, ms, 100+warm, 0, Succeeded)
			}
			h.sends = nil
			submit(b, 2*ms, 1, class)
			first := byID(h.sends[0].to)
			finish(b, 30*ms, 1, 0, ConnectionLost)
			if len(h.sends) < 2 {
				if class == dedupInZoneClass || first.Zone == 1 {
					t.Fatalf("class %d from server %d was not sent again", class, first.ID)
				}
				continue // alone in its cell
			}
			second := byID(h.sends[1].to)
			if second.Zone != first.Zone || (class == dedupInCellClass && second.Cell != first.Cell) {
				t.Fatalf("class %d went from server %d to %d, outside its group", class, first.ID, second.ID)
			}
		}
	}
}

func TestDedupScopeIgnoresAttemptsThatNeverRan(t *testing.T) {
	list := []Endpoint{{ID: 1, State: Ready, Weight: 1, Zone: 0}, {ID: 2, State: Ready, Weight: 1, Zone: 1},
		{ID: 3, State: Ready, Weight: 1, Zone: 1}}
	b, h := start(t, testConfig(), list)
	for h.sentTo(1) == 0 || len(h.sends) == 0 || h.sends[len(h.sends)-1].to != 1 {
		id := RequestID(100 + len(h.sends))
		submit(b, 0, id, idempotentClass)
		finish(b, ms, id, 0, Succeeded)
	}
	b.UpdateEndpoints(ms, DeltaUpdate, []Endpoint{{ID: 3, State: Removed}})
	h.sends = nil
	submit(b, 2*ms, 1, dedupInZoneClass) // it is the turn of server 2, in zone 1
	if h.sends[0].to != 2 {
		t.Fatalf("set-up: first attempt went to %d", h.sends[0].to)
	}
	finish(b, 3*ms, 1, 0, Rejected) // it never ran there, so zone 1 does not bind
	if len(h.sends) != 2 || h.sends[1].to != 1 {
		t.Fatalf("sends %v, want a second attempt at server 1", h.sends)
	}
	finish(b, 4*ms, 1, 1, ConnectionLost) // may have run in zone 0: server 2 is barred now
	if len(h.sends) != 2 {
		t.Fatalf("sent outside the group: %v", h.sends)
	}
}

func TestNoRetryAfterDedupWindow(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3))
	submit(b, 0, 1, dedupEverywhereClass)
	finish(b, 700*ms, 1, 0, ServerError) // the window of 700 ms since its send is over
	if _, refused := h.rejected[1]; len(h.sends) != 1 || !refused {
		t.Fatalf("sends %d, refused %v; want 1 and a refusal, as all servers drop repeats", len(h.sends), refused)
	}
	resetAdmission(b)
	submit(b, 800*ms, 2, dedupInZoneClass)
	finish(b, 1500*ms, 2, 0, ServerError)
	if !h.failed[2] {
		t.Fatal("a keyed request that may have run, with a group of one zone, must be failed and not refused")
	}
}

// A repeat is told how long its like are dropped: connections may come up late. Nothing else is held to that.
func TestRetryHasWriteTimeout(t *testing.T) {
	for _, c := range []struct {
		class int
		ends  Result
		want  time.Duration
	}{
		{dedupEverywhereClass, ServerError, 400 * ms}, {dedupInZoneClass, ConnectionLost, 400 * ms}, {dedupInCellClass, TimedOut, 400 * ms},
		{dedupEverywhereClass, Rejected, 0}, {dedupEverywhereClass, ConnectFailed, 0}, {idempotentClass, ServerError, 0}, {nonIdempotentClass, Rejected, 0},
	} {
		b, h := start(t, testConfig(), ready(1, 2, 3))
		submit(b, 0, 1, c.class)
		finish(b, 300*ms, 1, 0, c.ends)
		if len(h.sends) != 2 || h.sends[0].writeTimeout != 0 || h.sends[1].writeTimeout != c.want {
			t.Errorf("class %d, ending %d: sends %+v, want two, the second within %v", c.class, c.ends, h.sends, c.want)
		}
	}
}

// A server that leaves may be listed without its zone and cell. The repeat of what it may have run stays within them.
func TestRetryStaysInDedupScopeOfRemovedEndpoint(t *testing.T) {
	for _, class := range []int{dedupInZoneClass, dedupInCellClass} {
		list := []Endpoint{{ID: 1, Zone: 1, Cell: 1, State: Ready, Weight: 1}}
		b, h := start(t, testConfig(), list)
		submit(b, 0, 1, class)
		list[0].Zone, list[0].Cell, list[0].State = 0, 0, Removed
		other := Endpoint{ID: 2, State: Ready, Weight: 1} // in zone and cell 0
		b.UpdateEndpoints(ms, DeltaUpdate, append(list, other))
		finish(b, 2*ms, 1, 0, ConnectionLost)
		b.TimerFired(100 * ms)
		if len(h.sends) != 1 || h.sends[0].to != 1 {
			t.Errorf("class %d: sends %+v, want the first alone", class, h.sends)
		}
	}
}

// Rule 6: further attempts stay within the budget of their own window.
func TestRetryBudget(t *testing.T) {
	cfg := testConfig()
	cfg.RetryBudget = RetryBudget{Interval: time.Second, MinRetries: 1, RetryRatio: 0.5}
	b, h := start(t, cfg, ready(1, 2, 3))
	try := func(now time.Duration, id RequestID, class int) int {
		n := len(h.sends)
		resetAdmission(b)
		submit(b, now, id, class)
		finish(b, now, id, 0, Rejected)
		if len(h.sends) > n+1 {
			finish(b, now, id, 1, Succeeded)
		}
		return len(h.sends) - n
	}
	if try(0, 1, idempotentClass) != 2 || try(0, 2, nonIdempotentClass) != 2 || try(0, 3, nonIdempotentClass) != 1 {
		t.Fatalf("sends %+v: want one free further attempt and one for two requests", h.sends)
	}
	if _, ok := h.rejected[3]; !ok {
		t.Fatal("a request that never ran and met the end of the budget is not refused")
	}
	// A second later the requests no longer count, but the attempts made just then still do.
	if n := try(time.Second, 4, idempotentClass); n != 1 {
		t.Fatalf("%d sends at the window's edge, want 1", n)
	}
	if n := try(time.Second+1, 5, idempotentClass); n != 2 {
		t.Fatalf("%d sends once the window has passed, want 2", n)
	}
}

// A budget of nothing is a budget; none at all is no limit.
func TestRetryBudgetZeroAndAbsent(t *testing.T) {
	for _, c := range []struct {
		budget RetryBudget
		want   int
	}{{RetryBudget{Interval: time.Second}, 1}, {RetryBudget{}, 2}} {
		cfg := testConfig()
		cfg.RetryBudget = c.budget
		b, h := start(t, cfg, ready(1, 2, 3))
		submit(b, 0, 1, idempotentClass)
		finish(b, 0, 1, 0, Rejected)
		if len(h.sends) != c.want {
			t.Errorf("budget %+v: %d sends, want %d", c.budget, len(h.sends), c.want)
		}
	}
}
