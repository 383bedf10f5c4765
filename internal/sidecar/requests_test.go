package sidecar

import (
	"net"
	"net/http"
	"testing"
	"time"

	"cranehatch/policy"
)

// A request whose second attempt is still in flight has its response. Were the Balancer's decisions after that, or
// the second attempt's end, carried out too, a client would get two responses. Each attempt has one Outcome, and with
// the last of them the request leaves the table.
func TestOneResponseForEachRequest(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r received) bool {
		if r.conn > 0 {
			<-release
		}
		return ok(c, "first")
	})
	l := newTestLoop(t, s.address)
	r, reply := l.addRequest(7)
	to := serverID("s-0")
	l.Send(7, to, 0, 0)
	l.runNextEvent(t)
	if a := wait(t, "the response", reply); a.status != http.StatusOK || string(a.body) != "first" {
		t.Fatalf("response %+v", a)
	}
	if len(l.requests) != 0 {
		t.Fatal("the request is still in the table")
	}
	l.requests[7] = r // as if another attempt were in flight
	l.Reject(7, time.Second)
	l.Fail(7)
	l.Send(7, to, 0, 0)
	if len(reply) != 0 || len(l.unsentOutcomes) != 1 || l.unsentOutcomes[0] != (policy.Outcome{RequestID: 7, Attempt: 1, Result: policy.NotSent}) {
		t.Errorf("%d more responses, not sent %+v, want none and attempt 1", len(reply), l.unsentOutcomes)
	}
	l.reportUnsent()
	if len(l.requests) != 0 || r.inFlight != 0 {
		t.Errorf("%d requests in the table, %d attempts in flight, want none", len(l.requests), r.inFlight)
	}
	close(release)
}

// An attempt that is cancelled after the response still has its Outcome: without it the Balancer would count it as in
// flight for ever.
func TestOutcomeAfterTheResponse(t *testing.T) {
	s := newStub(t, silent)
	l := newTestLoop(t, s.address)
	r, reply := l.addRequest(7)
	l.Send(7, serverID("s-0"), 0, 0)
	wait(t, "the request", s.seen)
	l.Fail(7)
	if a := wait(t, "the response", reply); a.status != http.StatusGatewayTimeout {
		t.Errorf("status %d, want 504", a.status)
	}
	if l.requests[7] != r {
		t.Fatal("the request is no longer in the table, with an attempt in flight")
	}
	l.Cancel(7, 0)
	l.Cancel(7, 5)
	l.runNextEvent(t)
	if len(l.requests) != 0 {
		t.Error("the request is still in the table")
	}
}

// A client that disconnects gets no response, and its attempts are cancelled.
func TestClientGone(t *testing.T) {
	s := newStub(t, silent)
	l := newTestLoop(t, s.address)
	reply := make(chan response, 1)
	id := l.submit(policy.Request{Class: 0}, newTestOutboundRequest("1"), l.now+generous, reply)
	l.runNextEvent(t)
	wait(t, "the request", s.seen)
	l.clientGone(id)
	l.runNextEvent(t)
	l.runNextEvent(t) // the end of its attempt
	wait(t, "the connection to close", s.closed)
	if len(l.requests) != 0 || len(reply) != 0 {
		t.Errorf("%d requests in the table, %d responses, want none", len(l.requests), len(reply))
	}
}
