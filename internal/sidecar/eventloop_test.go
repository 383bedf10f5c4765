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

// newTestLoop returns a loop that is run by the test's own goroutine, with one server in its endpoint list.
func newTestLoop(t *testing.T, address string) *eventLoop {
	t.Helper()
	return newTestLoopWithConfig(t, testConfig(t, fullListResponse(1, "ready", address), nil))
}

// newTestLoopWithConfig is newTestLoop with a given configuration.
func newTestLoopWithConfig(t *testing.T, cfg *Config) *eventLoop {
	t.Helper()
	clk := newClock()
	l, err := newEventLoop(cfg, clk, newTransport(cfg, clk))
	if err != nil {
		t.Fatal(err)
	}
	l.now = clk.now()
	l.balancer.Start(l.now)
	l.applyEndpoints(cfg.CachedEndpoints, policy.CachedUpdate)
	return l
}

// takeEvent takes the next event from the queue without running it. what names the event in the failure
// message.
func (l *eventLoop) takeEvent(t *testing.T, what string) func(now time.Duration) {
	t.Helper()
	return wait(t, what, l.events)
}

// runNextEvent runs the next event and then reports the sends that it denied, as run does.
func (l *eventLoop) runNextEvent(t *testing.T) {
	t.Helper()
	event := l.takeEvent(t, "an event")
	l.now = l.clock.now()
	event(l.now)
	l.reportDeniedSends()
}

// updateEndpoints applies a full endpoint list. The servers at the addresses have the ids s-0, s-1 and so on,
// and all have the same lifecycle state.
func (l *eventLoop) updateEndpoints(t *testing.T, lifecycle string, addresses ...string) {
	t.Helper()
	update, err := endpointlist.Parse([]byte(fullListResponse(2, lifecycle, addresses...)), nil)
	if err != nil {
		t.Fatal(err)
	}
	l.applyEndpoints(update, policy.FullUpdate)
	l.reportDeniedSends()
}

// addRequest adds a request to the table that the Balancer does not know, so that the test makes the decisions
// about it.
func (l *eventLoop) addRequest(id policy.RequestID) (*request, chan response) {
	reply := make(chan response, 1)
	r := &request{outbound: newTestOutboundRequest("1"), reply: reply, deadline: l.now + testTimeout}
	l.requests[id] = r
	return r, reply
}

// dialGate holds each dial to a server until the test lets it proceed.
type dialGate struct {
	dials   chan string // the address of each dial as it begins
	proceed chan bool   // each item lets one dial proceed
}

// gateDials installs a gate in front of a transport's dials. A dial waits for the gate even after its context
// has ended, as a dial may complete at any time.
func gateDials(tr *transport) *dialGate {
	gate := &dialGate{dials: make(chan string, 100), proceed: make(chan bool, 100)}
	dial := tr.dial
	tr.dial = func(_ context.Context, network, address string) (net.Conn, error) {
		gate.dials <- address
		<-gate.proceed
		return dial(context.Background(), network, address)
	}
	return gate
}

// Timers set for the same time share one call of the Balancer. Timers that have not expired yet must stay set
// when an earlier one fires.
func TestTimersForTheSameTimeAreMerged(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:1")
	l.pendingTimers = nil
	now := l.now
	for _, d := range []time.Duration{30, 10, 20, 10, -5} {
		l.SetTimer(d * time.Millisecond)
	}
	if len(l.pendingTimers) != 4 || l.pendingTimers[0] != now || l.pendingTimers[1] != now+10*time.Millisecond {
		t.Fatalf("pendingTimers = %v, set at %v, want 4 of them, the first two due now and 10ms later", l.pendingTimers, now)
	}
	l.now = now + 15*time.Millisecond
	l.fireTimers()
	if first := l.pendingTimers[0]; first > now+20*time.Millisecond {
		t.Errorf("first pending timer = %v from now, want at most 20ms", first-now)
	}
}

// A counter that is added to policy.Counters must also be logged, as the engineers on call see only the log
// line.
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
			t.Errorf("log = %q, want it to contain %s", &log, want)
		}
	}
}

// snakeCase converts SlowStart to slow_start.
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
