package sidecar

import (
	"net"
	"net/http"
	"testing"
	"time"

	"cranehatch/policy"
)

// A request has its response while its second attempt is still in flight. Decisions of the Balancer after
// that, and the end of the second attempt, must not produce another response. Each attempt must have one
// Outcome, and the request must leave the table with the last of them.
func TestOneResponseForEachRequest(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r receivedRequest) bool {
		if r.connNumber > 0 {
			<-release
		}
		return respondOK(c, "first")
	})
	l := newTestLoop(t, s.address)
	r, reply := l.addRequest(7)
	to := serverID("s-0")
	l.Send(7, to, 0, 0)
	l.runNextEvent(t)
	if got := wait(t, "the response", reply); got.status != http.StatusOK || string(got.body) != "first" {
		t.Fatalf("response = %+v, want the first attempt's", got)
	}
	if len(l.requests) != 0 {
		t.Fatal("request is still in the table after its response")
	}
	l.requests[7] = r // as if another attempt were in flight
	l.Reject(7, time.Second)
	l.Fail(7)
	l.Send(7, to, 0, 0)
	if len(reply) != 0 || len(l.deniedSends) != 1 || l.deniedSends[0] != (policy.Outcome{RequestID: 7, Attempt: 1, Result: policy.NotSent}) {
		t.Errorf("%d more responses, denied sends = %+v, want none and attempt 1", len(reply), l.deniedSends)
	}
	l.reportDeniedSends()
	if len(l.requests) != 0 || r.inFlight != 0 {
		t.Errorf("%d requests in the table, %d attempts in flight, want none", len(l.requests), r.inFlight)
	}
	close(release)
}

// An attempt that is cancelled after its request's response must still report an Outcome. Otherwise the
// Balancer would count it as in flight forever.
func TestCancelledAttemptReportsOutcomeAfterResponse(t *testing.T) {
	s := newStub(t, neverRespond)
	l := newTestLoop(t, s.address)
	r, reply := l.addRequest(7)
	l.Send(7, serverID("s-0"), 0, 0)
	wait(t, "the request", s.receivedRequests)
	l.Fail(7)
	if got := wait(t, "the response", reply); got.status != http.StatusGatewayTimeout {
		t.Errorf("status = %d, want 504", got.status)
	}
	if l.requests[7] != r {
		t.Fatal("request is no longer in the table although an attempt is in flight")
	}
	l.Cancel(7, 0)
	l.Cancel(7, 5)
	l.runNextEvent(t)
	if len(l.requests) != 0 {
		t.Error("request is still in the table after its last attempt has ended")
	}
}

// A client that disconnects must get no response, and its attempts must be cancelled.
func TestDisconnectedClientGetsNoResponse(t *testing.T) {
	s := newStub(t, neverRespond)
	l := newTestLoop(t, s.address)
	reply := make(chan response, 1)
	id := l.submit(policy.Request{Class: 0}, newTestOutboundRequest("1"), l.now+testTimeout, reply)
	l.runNextEvent(t)
	wait(t, "the request", s.receivedRequests)
	l.clientDisconnected(id)
	l.runNextEvent(t)
	l.runNextEvent(t) // its attempt ends
	wait(t, "the connection to close", s.closedConns)
	if len(l.requests) != 0 || len(reply) != 0 {
		t.Errorf("%d requests in the table, %d responses, want none", len(l.requests), len(reply))
	}
}
