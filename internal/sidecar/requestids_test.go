package sidecar

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"
)

// postRequest returns a valid non-idempotent request in the form in which it is sent.
func postRequest(id string) string {
	return "POST /entry HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: entry\r\n" +
		"X-Tenant-Id: north\r\nX-Timeout: 20000m\r\nContent-Length: 1\r\n\r\n1"
}

// gates maps request IDs to channels whose close lets a stub respond to the request.
type gates map[string]chan struct{}

func (g gates) respond(c net.Conn, r receivedRequest) bool {
	if gate := g[r.Header.Get("X-Request-ID")]; gate != nil {
		<-gate
	}
	return echo(c, r)
}

// A client sends two requests at once, the second with the ID of another client's request in flight. When its
// turn came, that request had its response and its ID was forgotten: the second one was forwarded, and a
// non-idempotent request ran twice.
func TestIDInFlightAtArrivalIsRejectedBehindAnotherRequest(t *testing.T) {
	held := gates{"owned": make(chan struct{}), "ahead": make(chan struct{})}
	s := newStub(t, held.respond)
	side := startSidecar(t, nil, s.address)
	owner := bufio.NewReader(sendOnNewConn(t, side.address(), postRequest("owned")))
	wait(t, "the owner's request", s.receivedRequests)
	other := bufio.NewReader(sendOnNewConn(t, side.address(), rawRequest("ahead")+postRequest("owned")))
	wait(t, "the request ahead", s.receivedRequests)
	close(held["owned"])
	expectOK(t, owner)
	close(held["ahead"])
	expectOK(t, other)
	expectRejection(t, other, http.StatusConflict)
	if n := len(s.receivedRequests); n > 0 {
		t.Errorf("server received %d more requests, want none", n)
	}
}

// A client leaves while its request runs, and the ID comes again. The request may still be running at its
// server, so it must not be sent to another one.
func TestIDOfDisconnectedClientIsRejected(t *testing.T) {
	held := gates{"owned": make(chan struct{})}
	defer close(held["owned"])
	s := newStub(t, held.respond)
	side := startSidecar(t, func(_, settings map[string]any) {
		settings["caps"].(map[string]any)["may_cancel"] = false
	}, s.address)
	owner := sendOnNewConn(t, side.address(), postRequest("owned"))
	wait(t, "the owner's request", s.receivedRequests)
	owner.Close()
	for range 2 { // the first may arrive before the sidecar has noticed the close
		again := sendOnNewConn(t, side.address(), postRequest("owned"))
		expectRejection(t, bufio.NewReader(again), http.StatusConflict)
	}
	ready := side.dial(t)
	checkReadiness(t, ready, bufio.NewReader(ready))
	if n := len(s.receivedRequests); n > 0 {
		t.Errorf("server received %d more requests, want none", n)
	}
}

// A request that was rejected has not run, and its client may send it again. Its ID must be accepted then.
func TestIDOfRejectedRequestIsAcceptedAgain(t *testing.T) {
	held := gates{"slow": make(chan struct{})}
	s := newStub(t, held.respond)
	side := startSidecar(t, setLimit("max_open", 1), s.address)
	slow := bufio.NewReader(sendOnNewConn(t, side.address(), rawRequest("slow")))
	wait(t, "the slow request", s.receivedRequests)
	c := sendOnNewConn(t, side.address(), postRequest("rejected"))
	r := bufio.NewReader(c)
	if res := readWholeResponse(t, r); res.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("request over the limit: status %s, want 503", res.Status)
	}
	close(held["slow"])
	expectOK(t, slow)
	side.awaitNoneInFlight(t)
	write(t, c, postRequest("rejected"))
	expectOK(t, r)
}

// awaitNoneInFlight waits until a request is served within a limit of one request in flight. The count of a
// request ends shortly after its response has been written.
func (s *runningSidecar) awaitNoneInFlight(t *testing.T) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for n := 0; time.Now().Before(end); n++ {
		res := readWholeResponse(t, bufio.NewReader(sendOnNewConn(t, s.address(), rawRequest("idle"+strconv.Itoa(n)))))
		if res.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatal("no request is served although none is in flight")
}

// Guards the rules of requestIDs: which IDs are accepted while, and after, another request has them.
func TestRequestIDs(t *testing.T) {
	const closedAt = 10 * time.Second
	for name, c := range map[string]struct {
		closed     bool // the first request with the ID is closed
		mayHaveRun bool
		arrivedAt  time.Duration // of the second request with the ID
		accepted   bool
	}{
		"in flight":                             {false, true, closedAt, false},
		"may have run, arrived in flight":       {true, true, closedAt - 1, false},
		"may have run, arrived after":           {true, true, closedAt + time.Hour, false},
		"rejected, arrived before":              {true, false, closedAt - 1, false},
		"rejected, arrived after the rejection": {true, false, closedAt, true},
	} {
		t.Run(name, func(t *testing.T) {
			ids := newRequestIDs()
			first := ids.reserve("id", 0)
			first.mayHaveRun = c.mayHaveRun
			if c.closed {
				first.release(closedAt)
			}
			if got := ids.reserve("id", c.arrivedAt) != nil; got != c.accepted {
				t.Errorf("second request with the ID accepted: %v, want %v", got, c.accepted)
			}
			if ids.reserve("other", 0) == nil {
				t.Error("another ID is not accepted")
			}
		})
	}
}

// Clients send requests under ever new IDs. What is remembered of them must stay bounded, and requests that are
// rejected must not displace those that may have run.
func TestRememberedIDsAreBounded(t *testing.T) {
	ids := newRequestIDs()
	use := func(id string, mayHaveRun bool) {
		r := ids.reserve(id, time.Hour)
		if r == nil {
			t.Fatalf("new ID %s is not accepted", id)
		}
		r.mayHaveRun = mayHaveRun
		r.release(0)
	}
	const runs = 3 * rememberedRunIDs / 2
	for n := range runs {
		use("run"+strconv.Itoa(n), true)
	}
	for n := range 2 * rememberedRunIDs {
		use("rejected"+strconv.Itoa(n), false)
	}
	for name, h := range map[string]*idHistory{"run": ids.run, "rejected": ids.rejected} {
		if len(h.closedAt) != h.capacity || len(h.hashes) != h.capacity {
			t.Errorf("%s: %d IDs are remembered, %d in order, want %d", name, len(h.closedAt), len(h.hashes), h.capacity)
		}
	}
	if n := len(ids.inFlight); n > 0 {
		t.Errorf("%d IDs in flight, want none", n)
	}
	for _, n := range []int{runs - 1, runs - rememberedRunIDs} {
		if ids.reserve("run"+strconv.Itoa(n), time.Hour) != nil {
			t.Errorf("ID %d of %d that may have run is accepted again", n, runs)
		}
	}
	use("run"+strconv.Itoa(runs-rememberedRunIDs-1), true) // the latest that is forgotten
}
