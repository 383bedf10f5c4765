package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"
	"unicode"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

// newTestLoop is a loop whose goroutine is the test itself, with one server in its endpoint list.
func newTestLoop(t *testing.T, address string) *eventLoop {
	t.Helper()
	return newTestLoopFor(t, testConfig(t, listed(1, "ready", address), nil))
}

// newTestLoopFor is such a loop with a configuration of its own.
func newTestLoopFor(t *testing.T, cfg *Config) *eventLoop {
	t.Helper()
	c := newClock()
	l, err := newEventLoop(cfg, c, newTransport(cfg, c))
	if err != nil {
		t.Fatal(err)
	}
	l.now = c.now()
	l.balancer.Start(l.now)
	l.applyEndpoints(cfg.CachedEndpoints, policy.CachedUpdate)
	return l
}

// takeEvent takes the next event without running it.
func (l *eventLoop) takeEvent(t *testing.T, what string) func(now time.Duration) {
	t.Helper()
	return wait(t, what, l.events)
}

// runNextEvent runs the next event, and reports what was not sent in it, as the loop does.
func (l *eventLoop) runNextEvent(t *testing.T) {
	t.Helper()
	event := l.takeEvent(t, "an event")
	l.now = l.clock.now()
	event(l.now)
	l.reportUnsent()
}

// updateEndpoints applies a full list of servers in one state, at addresses, with the ids s-0, s-1 and so on.
func (l *eventLoop) updateEndpoints(t *testing.T, lifecycle string, addresses ...string) {
	t.Helper()
	update, err := endpointlist.Parse([]byte(listed(2, lifecycle, addresses...)), nil)
	if err != nil {
		t.Fatal(err)
	}
	l.applyEndpoints(update, policy.FullUpdate)
	l.reportUnsent()
}

// addRequest enters a request that the Balancer does not know, so that the test decides for it.
func (l *eventLoop) addRequest(id policy.RequestID) (*request, chan response) {
	reply := make(chan response, 1)
	r := &request{outbound: newTestOutboundRequest("1"), reply: reply, deadline: l.now + generous}
	l.requests[id] = r
	return r, reply
}

// dialGate has connections to servers come up when the test says so.
type dialGate struct {
	started chan string // the address of each dial, as it begins
	admit   chan bool   // each item lets one dial go on
}

// gateDials puts a gate before a transport's dials. They wait for it whatever their context says, as a connection may
// come up at any time.
func gateDials(u *transport) *dialGate {
	gate := &dialGate{started: make(chan string, 100), admit: make(chan bool, 100)}
	dial := u.dial
	u.dial = func(_ context.Context, network, address string) (net.Conn, error) {
		gate.started <- address
		<-gate.admit
		return dial(context.Background(), network, address)
	}
	return gate
}

// Timers for the same time share one call of the Balancer, and the others wait for theirs.
func TestTimersAreMerged(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:1")
	l.timersAt = nil
	now := l.now
	for _, d := range []time.Duration{30, 10, 20, 10, -5} {
		l.SetTimer(d * time.Millisecond)
	}
	if len(l.timersAt) != 4 || l.timersAt[0] != now || l.timersAt[1] != now+10*time.Millisecond {
		t.Fatalf("timers at %v, set at %v", l.timersAt, now)
	}
	l.now = now + 15*time.Millisecond
	l.fireTimers()
	if first := l.timersAt[0]; first > now+20*time.Millisecond {
		t.Errorf("the first timer is set for %v, want 20ms at most", first-now)
	}
}

// A counter that is added to the policy and forgotten in the log line would be missed by the engineers on call.
func TestEachPolicyCounterIsLogged(t *testing.T) {
	var counters policy.Counters
	fields := reflect.ValueOf(&counters).Elem()
	for i := range fields.NumField() {
		fields.Field(i).SetUint(uint64(1000 + i))
	}
	var log strings.Builder
	slog.New(slog.NewTextHandler(&log, nil)).Info("counters", policyCounters(counters))
	for i := range fields.NumField() {
		want := fmt.Sprintf(" policy.%s=%d", snakeCase(fields.Type().Field(i).Name), 1000+i)
		if !strings.Contains(log.String(), want) {
			t.Errorf("log %q, want%s", &log, want)
		}
	}
}

// snakeCase turns SlowStart into slow_start.
func snakeCase(name string) string {
	var snake strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			snake.WriteByte('_')
		}
		snake.WriteRune(unicode.ToLower(r))
	}
	return snake.String()
}
