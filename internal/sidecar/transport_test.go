package sidecar

import (
	"fmt"
	"math"
	"net"
	"net/http"
	"testing"
	"time"

	"cranehatch/policy"
)

// newTestTransport returns a transport that reuses idle connections immediately. Tests of the minimum idle
// time set minIdle themselves.
func newTestTransport(t *testing.T) *transport {
	t.Helper()
	tr := newTransport(testConfig(t, fullListResponse(1, "ready"), nil), newClock())
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
		memory: &memoryCharge{budget: &memoryBudget{limit: math.MaxInt64}},
	}
}

// startAttempt sends a request with a timeout of testTimeout. The channel receives the result; it has
// capacity for a second one, so that the test can detect it.
func startAttempt(t *testing.T, tr *transport, to *endpoint, id string) (*exchange, <-chan attemptResult) {
	t.Helper()
	return startAttemptWithin(t, tr, to, id, testTimeout)
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

func expectResult(t *testing.T, got attemptResult, want policy.Result) {
	t.Helper()
	if got.result != want {
		t.Errorf("result = %v, want %v", got.result, want)
	}
}

// expectOpenConns checks the number of connections that the pool counts as open.
func expectOpenConns(t *testing.T, tr *transport, want int) {
	t.Helper()
	if tr.openConns != want {
		t.Errorf("open connections = %d, want %d", tr.openConns, want)
	}
}

// An idle connection breaks after the last byte of a request was written. The request may have run, so only
// package policy may send it again. http.Transport would resend it on its own, even a POST with an
// Idempotency-Key.
func TestRequestIsNotResentOnABrokenConnection(t *testing.T) {
	s := newStub(t, func(c net.Conn, r receivedRequest) bool {
		return r.Header.Get("X-Request-ID") == "1" && respondOK(c, "hi")
	})
	tr := newTestTransport(t)
	attempt(t, tr, s.endpoint, "1", testTimeout)
	if got := attempt(t, tr, s.endpoint, "2", testTimeout); got.result != policy.ConnectionLost {
		t.Fatalf("result = %v, want %v", got.result, policy.ConnectionLost)
	}
	first, second := wait(t, "request 1", s.receivedRequests), wait(t, "request 2", s.receivedRequests)
	if first.connNumber != second.connNumber {
		t.Errorf("requests used connections %d and %d, want the same one", first.connNumber, second.connNumber)
	}
	if len(s.receivedRequests) > 0 {
		t.Errorf("server got %d more requests, want none", len(s.receivedRequests))
	}
}

// No server listens at the address. Nothing was sent, so the result must prove that the request has not run.
func TestConnectionRefusedMeansNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	l.Close()
	tr := newTestTransport(t)
	expectResult(t, attempt(t, tr, &endpoint{address: address}, "1", testTimeout), policy.ConnectFailed)
	expectOpenConns(t, tr, 0)
}

// A machine that has crashed or is cut off from the network sends nothing. Only the timeout ends the attempt,
// which must close its connection.
func TestSilentServerTimesOut(t *testing.T) {
	s := newStub(t, neverRespond)
	tr := newTestTransport(t)
	for timeout := 30 * time.Millisecond; timeout < testTimeout; timeout *= 2 {
		got := attempt(t, tr, s.endpoint, "1", timeout)
		expectOpenConns(t, tr, 0)
		if got.result == policy.TimedOut {
			wait(t, "the request", s.receivedRequests)
			return
		}
		// If the machine was too busy to send the request within the timeout, the request has not run.
		if got.result != policy.ConnectFailed && got.result != policy.NotSent || len(s.receivedRequests) > 0 {
			t.Fatalf("result = %v, want %v", got.result, policy.TimedOut)
		}
	}
	t.Fatal("request was not sent within any of the timeouts")
}

// Cancelling an attempt must close its connection, so that the server can detect the cancellation, and the
// attempt must still have exactly one result.
func TestCancelClosesTheConnection(t *testing.T) {
	s := newStub(t, neverRespond)
	tr := newTestTransport(t)
	x, done := startAttempt(t, tr, s.endpoint, "1")
	wait(t, "the request", s.receivedRequests)
	x.cancel()
	x.cancel()
	expectResult(t, wait(t, "the result", done), policy.Cancelled)
	wait(t, "the connection to close", s.closedConns)
	if len(done) > 0 {
		t.Errorf("%d more results, want none", len(done))
	}
	expectOpenConns(t, tr, 0)
}

// A request gets its response from one attempt while another still waits for a connection and is cancelled.
// The cancelled attempt must not be written any more, neither on an idle connection nor on a new one. A
// second cancel must not close the idle connection, which no longer belongs to the attempt.
func TestCancelBeforeWrite(t *testing.T) {
	s := newStub(t, echo)
	tr := newTestTransport(t)
	attempt(t, tr, s.endpoint, "1", testTimeout)
	x := new(exchange)
	x.cancel()
	expectCancelled := func() {
		t.Helper()
		deadline := tr.clock.now() + testTimeout
		_, result := tr.roundTrip(x, s.endpoint, newTestOutboundRequest("2"), deadlines{response: deadline, write: deadline})
		if result != policy.Cancelled {
			t.Errorf("result = %v, want %v", result, policy.Cancelled)
		}
		x.cancel()
	}

	expectCancelled()
	if conns := tr.idle[s.endpoint]; len(conns) != 1 || !connAlive(conns[0].Conn) {
		t.Fatal("idle connection on which nothing was written is not alive in the pool")
	}
	tr.closeIdle(s.endpoint)
	expectCancelled()
	tr.closeIdle(s.endpoint)

	attempt(t, tr, s.endpoint, "3", testTimeout)
	wait(t, "request 1", s.receivedRequests)
	if next := wait(t, "request 3", s.receivedRequests); next.Header.Get("X-Request-ID") != "3" {
		t.Error("cancelled request was written")
	}
}

// A server must get the request unchanged, except that its timeout is the time that remains of the client's.
func TestForwardedRequest(t *testing.T) {
	s := newStub(t, echo)
	attempt(t, newTestTransport(t), s.endpoint, "7", testTimeout)
	r := wait(t, "the request", s.receivedRequests)
	if r.Method != http.MethodPost || r.uri != "/reading" || r.body != "weight" || r.Host != "service.internal" {
		t.Errorf("server got %s %s with body %q for host %s", r.Method, r.uri, r.body, r.Host)
	}
	if r.Header.Get("X-Request-ID") != "7" || r.Header.Get("Idempotency-Key") != "k7" {
		t.Errorf("headers = %v, want the request id and the idempotency key", r.Header)
	}
	if remaining, ok := parseTimeout(r.Header.Get("X-Timeout")); !ok || remaining <= 0 || remaining > testTimeout {
		t.Errorf("headers = %v, want a timeout above 0 and at most %v", r.Header, testTimeout)
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
			s := newStub(t, func(c net.Conn, r receivedRequest) bool {
				report := "TEXT inflight=7, busy_reqs=7, served_ps=2.5, svc_ms=40, failed_ps=oops"
				if r.uri != "/metrics/load" {
					report = ""
				}
				_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(report), report)
				return err == nil
			})
			tr := newTestTransport(t)
			done := make(chan result, 2)
			tr.healthCheck(s.endpoint, tr.clock.now(), func(ok bool, load policy.LoadReport) { done <- result{ok, load} })
			want := result{ok: healthy, load: load}
			if got := wait(t, "the result", done); got != want {
				t.Errorf("health check = %+v, want %+v", got, want)
			}
		})
	}
}
