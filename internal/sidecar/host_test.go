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

// Sends beyond the attempt limit (caps.most_tries), after the request's deadline, with an expired time limit
// or to a server that is not listed must not be carried out. Each ends as NotSent.
func TestInvalidSendsEndAsNotSent(t *testing.T) {
	s := newStub(t, neverRespond)
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
	l.now += 2 * testTimeout
	l.Send(8, to, 0, 0)
	want := []policy.Outcome{
		{RequestID: 7, Attempt: 3, Result: policy.NotSent}, {RequestID: 8, Attempt: 0, Result: policy.NotSent},
		{RequestID: 8, Attempt: 1, Result: policy.NotSent}, {RequestID: 8, Attempt: 2, Result: policy.NotSent},
	}
	if len(l.deniedSends) != len(want) {
		t.Fatalf("deniedSends = %+v, want %+v", l.deniedSends, want)
	}
	for i := range want {
		if l.deniedSends[i] != want[i] {
			t.Errorf("denied send = %+v, want %+v", l.deniedSends[i], want[i])
		}
	}
	for range 3 {
		wait(t, "a request", s.receivedRequests)
	}
	for i := range 3 {
		l.Cancel(7, i)
		l.runNextEvent(t)
	}
}

// Servers drop duplicates of a request with an idempotency key only for a limited time. A retry that is
// written later would run a second time, so a retry must not be written if its connection is established
// after its write timeout (late), nor if the dial is still pending then.
func TestRetryIsNotWrittenAfterWriteTimeout(t *testing.T) {
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
			const writeTimeout = time.Millisecond
			l.now = l.clock.now()
			l.Send(7, serverID("s-0"), testTimeout, writeTimeout)
			if late {
				wait(t, "the dial", gate.dials)
				for l.clock.now() < l.now+writeTimeout {
					runtime.Gosched()
				}
				gate.proceed <- true
			}
			l.runNextEvent(t)
			if len(s.receivedRequests) > 0 || r.closed || r.inFlight != 0 {
				t.Errorf("retries written = %d, closed = %v, attempts in flight = %d, want 0, false and 0",
					len(s.receivedRequests), r.closed, r.inFlight)
			}
		})
	}
}
