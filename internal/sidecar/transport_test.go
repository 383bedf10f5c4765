package sidecar

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"cranehatch/policy"
)

// newTestTransport returns a transport that uses idle connections again at once. Tests of the minimum idle
// time set it themselves.
func newTestTransport(t *testing.T) *transport {
	t.Helper()
	tr := newTransport(testConfig(t, listed(1, "ready"), nil), newClock())
	tr.minIdle = 0
	return tr
}

func newTestOutboundRequest(id string) *outboundRequest {
	return &outboundRequest{
		method: http.MethodPost,
		uri:    "/reading",
		host:   "service.internal",
		body:   []byte("weight"),
		header: http.Header{"X-Request-Id": {id}, "Idempotency-Key": {"k" + id}},
	}
}

// startAttempt sends a request that has generous time. The channel gets its result, and has capacity for one
// that must not come.
func startAttempt(t *testing.T, tr *transport, to *endpoint, id string) (*exchange, <-chan attemptResult) {
	t.Helper()
	return startAttemptWithin(t, tr, to, id, generous)
}

func startAttemptWithin(t *testing.T, tr *transport, to *endpoint, id string, timeout time.Duration) (*exchange, <-chan attemptResult) {
	t.Helper()
	done := make(chan attemptResult, 2)
	x := tr.send(to, newTestOutboundRequest(id), tr.clock.now()+timeout, 0, func(r attemptResult) { done <- r })
	return x, done
}

// attempt sends a request and waits for its result.
func attempt(t *testing.T, tr *transport, to *endpoint, id string, timeout time.Duration) attemptResult {
	t.Helper()
	_, done := startAttemptWithin(t, tr, to, id, timeout)
	return wait(t, "the result of attempt "+id, done)
}

func expectOutcome(t *testing.T, got attemptResult, want policy.Result) {
	t.Helper()
	if got.result != want {
		t.Errorf("outcome %v, want %v", got.result, want)
	}
}

// expectOpen checks how many connections the pool counts as open.
func expectOpen(t *testing.T, tr *transport, want int) {
	t.Helper()
	if tr.open != want {
		t.Errorf("%d connections open, want %d", tr.open, want)
	}
}

// An idle connection breaks after the last byte of a request: the request may have run, so nothing but package
// policy may send it again. http.Transport does, also for a POST with an Idempotency-Key.
func TestRequestIsNotResentOnABrokenConnection(t *testing.T) {
	s := newStub(t, func(c net.Conn, r received) bool {
		return r.Header.Get("X-Request-ID") == "1" && ok(c, "hi")
	})
	tr := newTestTransport(t)
	attempt(t, tr, s.host, "1", generous)
	if got := attempt(t, tr, s.host, "2", generous); got.result != policy.ConnectionLost {
		t.Fatalf("outcome %v, want %v", got.result, policy.ConnectionLost)
	}
	first, second := wait(t, "request 1", s.seen), wait(t, "request 2", s.seen)
	if first.conn != second.conn {
		t.Errorf("requests on connections %d and %d, want the same", first.conn, second.conn)
	}
	if len(s.seen) > 0 {
		t.Errorf("%d more requests, want none", len(s.seen))
	}
}

// No server listens at the address: nothing was sent, so the request has not run.
func TestConnectionRefusedMeansNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	tr := newTestTransport(t)
	expectOutcome(t, attempt(t, tr, &endpoint{address: address}, "1", generous), policy.ConnectFailed)
	expectOpen(t, tr, 0)
}

// A machine that vanished is silent: only the timeout ends the attempt, and its connection is closed.
func TestSilentServerTimesOut(t *testing.T) {
	s := newStub(t, silent)
	tr := newTestTransport(t)
	for timeout := 30 * time.Millisecond; timeout < generous; timeout *= 2 {
		got := attempt(t, tr, s.host, "1", timeout)
		expectOpen(t, tr, 0)
		if got.result == policy.TimedOut {
			wait(t, "the request", s.seen)
			return
		}
		// On a machine too busy to send anything in that time, the request never ran.
		if got.result != policy.ConnectFailed && got.result != policy.NotSent || len(s.seen) > 0 {
			t.Fatalf("outcome %v, want %v", got.result, policy.TimedOut)
		}
	}
	t.Fatal("the request was never sent")
}

// A cancelled attempt closes its connection, which stops the server, and still has exactly one result.
func TestCancelClosesTheConnection(t *testing.T) {
	s := newStub(t, silent)
	tr := newTestTransport(t)
	x, done := startAttempt(t, tr, s.host, "1")
	wait(t, "the request", s.seen)
	x.cancel()
	x.cancel()
	expectOutcome(t, wait(t, "the result", done), policy.Cancelled)
	wait(t, "the connection to close", s.closed)
	if len(done) > 0 {
		t.Errorf("%d more results, want none", len(done))
	}
	expectOpen(t, tr, 0)
}

// A request gets its final response from one attempt while another still waits for a connection, and is
// cancelled. Nothing of it may be written any more, on an idle connection or on a new one. A second cancel
// must not close the idle connection, which no longer belongs to the attempt.
func TestCancelBeforeTheWrite(t *testing.T) {
	s := newStub(t, echo)
	tr := newTestTransport(t)
	attempt(t, tr, s.host, "1", generous)
	x := new(exchange)
	x.cancel()
	expectCancelled := func() {
		t.Helper()
		deadline := tr.clock.now() + generous
		_, outcome := tr.roundTrip(x, s.host, newTestOutboundRequest("2"), deadlines{response: deadline, write: deadline})
		if outcome != policy.Cancelled {
			t.Errorf("outcome %v, want %v", outcome, policy.Cancelled)
		}
		x.cancel()
	}

	expectCancelled()
	if conns := tr.idle[s.host]; len(conns) != 1 || !connAlive(conns[0].Conn) {
		t.Fatal("the idle connection, on which nothing was written, is not in the pool")
	}
	tr.closeIdle(s.host)
	expectCancelled()
	tr.closeIdle(s.host)

	attempt(t, tr, s.host, "3", generous)
	wait(t, "request 1", s.seen)
	if next := wait(t, "request 3", s.seen); next.Header.Get("X-Request-ID") != "3" {
		t.Error("the cancelled request was written")
	}
}

// A server gets the request unchanged, but for the timeout, which is what remains of the client's.
func TestForwardedRequest(t *testing.T) {
	s := newStub(t, echo)
	attempt(t, newTestTransport(t), s.host, "7", generous)
	r := wait(t, "the request", s.seen)
	if r.Method != http.MethodPost || r.uri != "/reading" || r.body != "weight" || r.Host != "service.internal" {
		t.Errorf("%s %s %q for %s", r.Method, r.uri, r.body, r.Host)
	}
	if r.Header.Get("X-Request-ID") != "7" || r.Header.Get("Idempotency-Key") != "k7" {
		t.Errorf("headers %v", r.Header)
	}
	if remaining, ok := parseTimeout(r.Header.Get("X-Timeout")); !ok || remaining <= 0 || remaining > generous {
		t.Errorf("headers %v, want a timeout of at most %v", r.Header, generous)
	}
}

func TestHealthCheckReadsTheLoadReport(t *testing.T) {
	type result struct {
		ok   bool
		load policy.LoadReport
	}
	load := policy.LoadReport{
		Fields:      policy.HasInFlight | policy.HasServiceTime | policy.HasThroughput,
		InFlight:    7,
		Throughput:  2.5,
		ServiceTime: 40 * time.Millisecond,
	}
	for status, healthy := range map[int]bool{http.StatusOK: true, http.StatusServiceUnavailable: false} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			s := newStub(t, func(c net.Conn, r received) bool {
				report := "TEXT inflight=7, busy_reqs=7, served_ps=2.5, svc_ms=40, failed_ps=oops"
				if r.uri != "/metrics/load" {
					report = ""
				}
				_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(report), report)
				return err == nil
			})
			tr := newTestTransport(t)
			done := make(chan result, 2)
			tr.healthCheck(s.host, tr.clock.now(), func(ok bool, load policy.LoadReport) { done <- result{ok, load} })
			want := result{ok: healthy, load: load}
			if got := wait(t, "the result", done); got != want {
				t.Errorf("%+v, want %+v", got, want)
			}
		})
	}
}
