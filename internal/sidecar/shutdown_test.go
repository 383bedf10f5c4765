package sidecar

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// stopAndAwaitDrain makes a sidecar stop, and waits until GET /up reports that it is draining.
func stopAndAwaitDrain(t *testing.T, side *runningSidecar) {
	t.Helper()
	side.stop()
	for {
		if res, _ := doRequest(t, side.newRequest(t, "GET", "/up", "")); res.StatusCode == http.StatusServiceUnavailable {
			return
		}
	}
}

// Clients keep sending on connections that are open at SIGTERM. If the sidecar closed such a connection while
// it was idle, or with part of a request received, that request would be lost. Each request must be answered
// and its connection then closed, and the sidecar must exit after the last one.
func TestOpenConnectionsAreServedWhileDraining(t *testing.T) {
	s := newStub(t, echo)
	side := startSidecar(t, nil, s.address)
	address := strings.TrimPrefix(side.url, "http://")
	idle := sendOnNewConn(t, address, rawRequest("before"))
	idleReader := bufio.NewReader(idle)
	if res, err := http.ReadResponse(idleReader, nil); err != nil || res.Close {
		t.Fatalf("before SIGTERM: response %+v, error %v, want the connection kept open", res, err)
	} else if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	const sentBefore = 40 // bytes of partialRequest that are sent before SIGTERM
	partialRequest := rawRequest("crossing")
	partial := sendOnNewConn(t, address, partialRequest[:sentBefore])
	wait(t, "the first request", s.receivedRequests)
	stopAndAwaitDrain(t, side)
	select {
	case err := <-side.serveErr:
		t.Fatalf("serve() = %v while connections are open, want it to wait for them", err)
	default:
	}
	write(t, idle, rawRequest("after"))
	write(t, partial, partialRequest[sentBefore:])
	for name, r := range map[string]*bufio.Reader{"idle": idleReader, "partial": bufio.NewReader(partial)} {
		if res, err := http.ReadResponse(r, nil); err != nil || res.StatusCode != http.StatusOK || !res.Close {
			t.Errorf("%s connection: response %+v, error %v, want 200 and Connection: close", name, res, err)
		}
	}
	if err := wait(t, "serve to return", side.serveErr); err != nil {
		t.Errorf("serve() = %v, want nil", err)
	}
}

// A request that arrives after SIGTERM, at a server that hangs, would still be in flight at SIGKILL. It must
// get its response before SIGKILL may be sent. A request that arrives when SIGKILL may already be sent must
// be rejected at once and never forwarded.
func TestDrainDeadlineCapsRequestDeadlines(t *testing.T) {
	s := newStub(t, neverRespond)
	l := newTestLoop(t, s.address)
	handler, address := serveClients(t, l)
	handler.drainDeadline.Store(int64(l.clock.now() + testTimeout/2))
	sendOnNewConn(t, address, rawRequest("in time"))
	l.runNextEvent(t)
	for _, r := range l.requests {
		if r.deadline != time.Duration(handler.drainDeadline.Load()) {
			t.Errorf("deadline = %v, want %v", r.deadline, time.Duration(handler.drainDeadline.Load()))
		}
	}
	handler.drainDeadline.Store(1)
	c := sendOnNewConn(t, address, rawRequest("late"))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || !res.Close || res.Header.Get("Retry-After") == "" {
		t.Errorf("late request: response %+v, error %v, want 503, Retry-After and Connection: close", res, err)
	}
	if len(l.events) > 0 || len(l.requests) != 1 {
		t.Errorf("%d events and %d requests after the late request, want 0 and 1", len(l.events), len(l.requests))
	}
}
