package sidecar

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"cranehatch/policy"
)

// Sends past caps.most_tries, past the deadline, with a time that has passed, or to a server that is not listed are
// not carried out: each ends as not sent.
func TestNotSent(t *testing.T) {
	s := newStub(t, silent)
	l := newTestLoop(t, s.address)
	l.addRequest(7)
	to := serverID("s-0")
	for range 3 {
		l.Send(7, to, 0, 0)
	}
	l.Send(7, to, 0, 0)
	l.addRequest(8)
	l.Send(8, serverID("not listed"), 0, 0)
	l.Send(8, to, -time.Second, 0)
	l.now += 2 * generous
	l.Send(8, to, 0, 0)
	want := []policy.Outcome{
		{RequestID: 7, Attempt: 3, Result: policy.NotSent}, {RequestID: 8, Attempt: 0, Result: policy.NotSent},
		{RequestID: 8, Attempt: 1, Result: policy.NotSent}, {RequestID: 8, Attempt: 2, Result: policy.NotSent},
	}
	if len(l.deniedSends) != len(want) {
		t.Fatalf("not sent %+v, want %+v", l.deniedSends, want)
	}
	for i := range want {
		if l.deniedSends[i] != want[i] {
			t.Errorf("not sent %+v, want %+v", l.deniedSends[i], want[i])
		}
	}
	for range 3 {
		wait(t, "a request", s.seen)
	}
	for i := range 3 {
		l.Cancel(7, i)
		l.runNextEvent(t)
	}
}

// Servers drop repeats of a keyed request for a while only. A retry whose connection came up after that would run a
// second time, so it must not be written. Nor is it where the connection is not up by then at all.
func TestRetryIsNotWrittenTooLate(t *testing.T) {
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprintf("late %v", late), func(t *testing.T) {
			s := newStub(t, echo)
			l := newTestLoop(t, s.address)
			r, _ := l.addRequest(7)
			var gate *dialGate
			if late {
				gate = gateDials(l.transport)
			} else {
				l.transport.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
			}
			const within = time.Millisecond
			l.now = l.clock.now()
			l.Send(7, serverID("s-0"), generous, within)
			if late {
				wait(t, "the dial", gate.started)
				for l.clock.now() < l.now+within {
					runtime.Gosched()
				}
				gate.admit <- true
			}
			l.runNextEvent(t)
			if len(s.seen) > 0 || r.closed || r.inFlight != 0 {
				t.Errorf("%d retries written, closed %v, %d attempts in flight", len(s.seen), r.closed, r.inFlight)
			}
		})
	}
}
