package policy

import (
	"fmt"
	"testing"
	"time"
)

// A request that must not run twice was sent again although its first attempt may have run, so the client's
// order was executed twice. A retry requires that the class allows it or that no attempt may have run. After
// an unknown result, an attempt may have run.
func TestRetryByIdempotency(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		result  Result
		retried bool
		failed  bool // if it is not retried
	}{
		{"idempotent after an error", idempotentClass, ServerError, true, false},
		{"by key after a lost connection", dedupEverywhereClass, ConnectionLost, true, false},
		{"not idempotent, rejected", nonIdempotentClass, Rejected, true, false},
		{"not idempotent, without a connection", nonIdempotentClass, ConnectFailed, true, false},
		{"not idempotent, never sent", nonIdempotentClass, NotSent, true, false},
		{"not idempotent after an error", nonIdempotentClass, ServerError, false, true},
		{"not idempotent after a lost connection", nonIdempotentClass, ConnectionLost, false, true},
		{"not idempotent after a timeout", nonIdempotentClass, TimedOut, false, true},
		{"not idempotent after an unknown result", nonIdempotentClass, Result(99), false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, h := start(t, testConfig(), ready(1, 2, 3))
			submit(b, 0, 1, c.class)
			finish(b, 30*ms, 1, 0, c.result)
			if retried := len(h.sends) == 2; retried != c.retried {
				t.Fatalf("retried = %v, want %v", retried, c.retried)
			}
			if !c.retried && h.failed[1] != c.failed {
				t.Fatalf("failed = %v, want %v (rejected = %v)", h.failed[1], c.failed, h.rejected)
			}
			if c.retried && h.sends[1].to == h.sends[0].to {
				t.Fatal("request retried at the same endpoint")
			}
		})
	}
}

// A request none of whose attempts can have run is rejected, so that its client may retry.
func TestRejectedAfterMaxAttempts(t *testing.T) {
	b, h := start(t, testConfig(), ready(1, 2, 3, 4, 5))
	submit(b, 0, 1, nonIdempotentClass)
	for i := range 3 {
		finish(b, time.Duration(i+1)*ms, 1, i, ConnectFailed)
	}
	if _, rejected := h.rejected[1]; len(h.sends) != 3 || !rejected {
		t.Fatalf("%d sends, rejected = %v; want 3 and true", len(h.sends), rejected)
	}
}

// Endpoints of a zone or cell share the idempotency keys that they have received. A retry outside of that
// group would run the request a second time.
func TestRetryStaysInDedupScope(t *testing.T) {
	list := []Endpoint{
		{ID: 1, State: Ready, Weight: 1, Zone: 0, Cell: 10}, {ID: 2, State: Ready, Weight: 1, Zone: 0, Cell: 11},
		{ID: 3, State: Ready, Weight: 1, Zone: 1, Cell: 12}, {ID: 4, State: Ready, Weight: 1, Zone: 1, Cell: 12},
	}
	byID := func(id EndpointID) Endpoint { return list[id-1] }
	for _, c := range []struct {
		name  string
		class int
	}{{"zone", dedupInZoneClass}, {"cell", dedupInCellClass}} {
		for earlier := range RequestID(8) { // enough for the first attempt to go to every endpoint
			t.Run(fmt.Sprintf("%s after %d requests", c.name, earlier), func(t *testing.T) {
				b, h := start(t, testConfig(), list)
				for id := range earlier {
					submit(b, 0, 100+id, idempotentClass)
					finish(b, ms, 100+id, 0, Succeeded)
				}
				h.sends = nil
				submit(b, 2*ms, 1, c.class)
				first := byID(h.sends[0].to)
				finish(b, 30*ms, 1, 0, ConnectionLost)
				if len(h.sends) < 2 {
					if c.class == dedupInZoneClass || first.Zone == 1 {
						t.Fatalf("attempt at endpoint %d not retried", first.ID)
					}
					return // the only endpoint of its cell
				}
				second := byID(h.sends[1].to)
				if second.Zone != first.Zone || (c.class == dedupInCellClass && second.Cell != first.Cell) {
					t.Fatalf("retried at endpoint %d after %d, outside the deduplication scope", second.ID, first.ID)
				}
			})
		}
	}
}

// A rejected attempt leaves no idempotency key behind, so the retry need not stay in its zone: with no other
// endpoint ready there, a safe retry would be omitted. The first attempt that may have run
// determines the zone.
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
	submit(b, 2*ms, 1, dedupInZoneClass) // endpoint 2, in zone 1, is next
	if h.sends[0].to != 2 {
		t.Fatalf("set-up: first attempt sent to endpoint %d, want 2", h.sends[0].to)
	}
	finish(b, 3*ms, 1, 0, Rejected) // the attempt did not run, so the retry need not stay in zone 1
	if len(h.sends) != 2 || h.sends[1].to != 1 {
		t.Fatalf("sends = %v, want a second attempt at endpoint 1", h.sends)
	}
	finish(b, 4*ms, 1, 1, ConnectionLost) // the attempt may have run in zone 0, so endpoint 2 is not eligible
	if len(h.sends) != 2 {
		t.Fatalf("sends = %v, want none outside the deduplication scope", h.sends)
	}
}

// Endpoints drop an idempotency key after the deduplication window. A later retry would run the request a
// second time.
func TestNoRetryAfterDedupWindow(t *testing.T) {
	for _, c := range []struct {
		name     string
		class    int
		rejected bool // if false, it is failed
	}{
		{"all endpoints drop duplicates", dedupEverywhereClass, true},
		{"endpoints of one zone drop duplicates", dedupInZoneClass, false}, // the client's retry may go to another zone
	} {
		t.Run(c.name, func(t *testing.T) {
			b, h := start(t, testConfig(), ready(1, 2, 3))
			submit(b, 0, 1, c.class)
			finish(b, 700*ms, 1, 0, ServerError) // the window of 700 ms since the send is over
			if len(h.sends) != 1 {
				t.Errorf("%d sends, want 1", len(h.sends))
			}
			if _, rejected := h.rejected[1]; rejected != c.rejected || h.failed[1] == c.rejected {
				t.Errorf("rejected = %v, failed = %v; want rejected = %v and otherwise failed", rejected, h.failed[1], c.rejected)
			}
		})
	}
}

// The connection for a retry was established so late that endpoints no longer recognized the duplicate when
// the request was written. The host must know until when the retry may be written. Other attempts have no
// such limit.
func TestRetryHasWriteTimeout(t *testing.T) {
	for _, c := range []struct {
		name   string
		class  int
		result Result
		want   time.Duration
	}{
		{"everywhere, server error", dedupEverywhereClass, ServerError, 400 * ms},
		{"in zone, connection lost", dedupInZoneClass, ConnectionLost, 400 * ms},
		{"in cell, timed out", dedupInCellClass, TimedOut, 400 * ms},
		{"everywhere, rejected", dedupEverywhereClass, Rejected, 0},
		{"everywhere, connect failed", dedupEverywhereClass, ConnectFailed, 0},
		{"idempotent, server error", idempotentClass, ServerError, 0},
		{"not idempotent, rejected", nonIdempotentClass, Rejected, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, h := start(t, testConfig(), ready(1, 2, 3))
			submit(b, 0, 1, c.class)
			finish(b, 300*ms, 1, 0, c.result)
			if len(h.sends) != 2 || h.sends[0].writeTimeout != 0 || h.sends[1].writeTimeout != c.want {
				t.Errorf("sends = %+v, want 2, the second with a write timeout of %v", h.sends, c.want)
			}
		})
	}
}

// The list entry that removes an endpoint may lack its zone and cell. The retry of an attempt that may have
// run there was then sent to an endpoint in zone 0, which did not recognize the duplicate.
func TestRetryStaysInDedupScopeOfRemovedEndpoint(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
	}{{"zone", dedupInZoneClass}, {"cell", dedupInCellClass}} {
		t.Run(c.name, func(t *testing.T) {
			list := []Endpoint{{ID: 1, Zone: 1, Cell: 1, State: Ready, Weight: 1}}
			b, h := start(t, testConfig(), list)
			submit(b, 0, 1, c.class)
			list[0].Zone, list[0].Cell, list[0].State = 0, 0, Removed
			other := Endpoint{ID: 2, State: Ready, Weight: 1} // in zone 0 and cell 0
			b.UpdateEndpoints(ms, DeltaUpdate, append(list, other))
			finish(b, 2*ms, 1, 0, ConnectionLost)
			b.TimerFired(100 * ms)
			if len(h.sends) != 1 || h.sends[0].to != 1 {
				t.Errorf("sends = %+v, want only the first attempt", h.sends)
			}
		})
	}
}

// Retries multiply the load while endpoints fail. The retries of any interval have to stay within the budget
// given by the requests received in it.
func TestRetryBudget(t *testing.T) {
	cfg := testConfig()
	cfg.RetryBudget = RetryBudget{Interval: time.Second, MinRetries: 1, RetryRatio: 0.5}
	b, h := start(t, cfg, ready(1, 2, 3))
	attempts := func(now time.Duration, id RequestID, class int) int {
		before := len(h.sends)
		resetAdmission(b)
		submit(b, now, id, class)
		finish(b, now, id, 0, Rejected)
		if len(h.sends) > before+1 {
			finish(b, now, id, 1, Succeeded)
		}
		return len(h.sends) - before
	}
	first, second, third := attempts(0, 1, idempotentClass), attempts(0, 2, nonIdempotentClass), attempts(0, 3, nonIdempotentClass)
	if first != 2 || second != 2 || third != 1 {
		t.Fatalf("sends = %+v, want one retry by MinRetries and one by RetryRatio for two requests", h.sends)
	}
	if _, rejected := h.rejected[3]; !rejected {
		t.Fatal("request whose attempt did not run was not rejected when the budget was exhausted")
	}
	// One interval later the requests no longer count, but the retries of that time still do.
	if n := attempts(time.Second, 4, idempotentClass); n != 1 {
		t.Fatalf("%d sends exactly one interval later, want 1", n)
	}
	if n := attempts(time.Second+1, 5, idempotentClass); n != 2 {
		t.Fatalf("%d sends after the interval, want 2", n)
	}
}

// A budget without retries forbids them, unlike the absence of a budget, which sets no limit.
func TestRetryBudgetZeroAndAbsent(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget RetryBudget
		sends  int
	}{
		{"no retries", RetryBudget{Interval: time.Second}, 1},
		{"no budget", RetryBudget{}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			cfg.RetryBudget = c.budget
			b, h := start(t, cfg, ready(1, 2, 3))
			submit(b, 0, 1, idempotentClass)
			finish(b, 0, 1, 0, Rejected)
			if len(h.sends) != c.sends {
				t.Errorf("%d sends, want %d", len(h.sends), c.sends)
			}
		})
	}
}

func TestRetryBudgetExhausted(t *testing.T) {
	const now = 5 * time.Second
	for _, c := range []struct {
		name     string
		budget   RetryBudget
		requests slidingWindow
		retries  slidingWindow
		want     bool
	}{
		{"no budget", RetryBudget{}, nil, slidingWindow{now, now, now}, false},
		{"no retries", RetryBudget{Interval: time.Second}, slidingWindow{now, now}, nil, true},
		{"minimum not used", RetryBudget{Interval: time.Second, MinRetries: 2}, nil, slidingWindow{now}, false},
		{"minimum used", RetryBudget{Interval: time.Second, MinRetries: 2}, nil, slidingWindow{now, now}, true},
		{"ratio not used", RetryBudget{Interval: time.Second, RetryRatio: 0.5}, slidingWindow{now, now}, nil, false},
		{"ratio needs another request", RetryBudget{Interval: time.Second, RetryRatio: 0.5}, slidingWindow{now}, nil, true},
		{"minimum and ratio", RetryBudget{Interval: time.Second, MinRetries: 1, RetryRatio: 0.5},
			slidingWindow{now, now}, slidingWindow{now}, false},
		{"request exactly one interval ago", RetryBudget{Interval: time.Second, RetryRatio: 1},
			slidingWindow{now - time.Second}, nil, true},
		{"request within the interval", RetryBudget{Interval: time.Second, RetryRatio: 1},
			slidingWindow{now - time.Second + 1}, nil, false},
		{"retry exactly one interval ago", RetryBudget{Interval: time.Second, MinRetries: 1},
			nil, slidingWindow{now - time.Second}, true},
		{"retry before the interval", RetryBudget{Interval: time.Second, MinRetries: 1},
			nil, slidingWindow{now - time.Second - 1}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := retryBudget{RetryBudget: c.budget, requests: c.requests, retries: c.retries}
			if got := b.exhausted(now); got != c.want {
				t.Errorf("exhausted = %v, want %v", got, c.want)
			}
		})
	}
}

func TestRetryBudgetCounts(t *testing.T) {
	b := retryBudget{RetryBudget: RetryBudget{Interval: time.Second, MinRetries: 1}}
	b.recordRequest(0)
	b.recordRetry(0)
	b.recordRetry(500 * ms)
	if len(b.requests) != 1 || len(b.retries) != 2 {
		t.Fatalf("%d requests and %d retries, want 1 and 2", len(b.requests), len(b.retries))
	}
	b.recordRequest(1100 * ms) // the events at 0 are older than the interval
	if len(b.requests) != 1 || len(b.retries) != 1 {
		t.Fatalf("%d requests and %d retries within the interval, want 1 and 1", len(b.requests), len(b.retries))
	}
}

// Two endpoints with an unknown zone or cell were treated as sharing it. A retry went to an endpoint that had
// not received the idempotency key, and the request ran a second time.
func TestNoRetryInUnknownDedupScope(t *testing.T) {
	for _, c := range []struct {
		name       string
		class      int
		zone, cell int
		retried    bool
	}{
		{"zone known", dedupInZoneClass, 0, UnknownCell, true},
		{"zone unknown", dedupInZoneClass, UnknownZone, 3, false},
		{"cell known", dedupInCellClass, 0, 3, true},
		{"cell known, zone not", dedupInCellClass, UnknownZone, 3, true},
		{"cell unknown", dedupInCellClass, 0, UnknownCell, false},
		{"everywhere", dedupEverywhereClass, UnknownZone, UnknownCell, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			list := ready(1, 2, 3)
			for i := range list {
				list[i].Zone, list[i].Cell = c.zone, c.cell
			}
			b, h := start(t, testConfig(), list)
			submit(b, 0, 1, c.class)
			finish(b, 30*ms, 1, 0, ConnectionLost)
			if retried := len(h.sends) == 2; retried != c.retried {
				t.Errorf("retried = %v, want %v", retried, c.retried)
			}
		})
	}
}
