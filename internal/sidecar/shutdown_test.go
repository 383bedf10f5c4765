package sidecar

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// stopAndAwaitDrain has a sidecar stop, and waits until GET /up says that it drains.
func stopAndAwaitDrain(t *testing.T, side *running) {
	t.Helper()
	side.stop()
	for {
		if res, _ := do(t, side.request(t, "GET", "/up", "")); res.StatusCode == http.StatusServiceUnavailable {
			return
		}
	}
}

// Clients go on sending on connections that are open at SIGTERM. A sidecar that closed one while it was idle, or with
// half a request received, would lose the request. Each must be answered and then closed, and the sidecar end with
// the last one.
func TestOpenConnectionsAreServedWhileDraining(t *testing.T) {
	s := newStub(t, echo)
	side := start(t, nil, s.address)
	address := strings.TrimPrefix(side.url, "http://")
	idle := sendOnNewConn(t, address, rawRequest("before"))
	idleReader := bufio.NewReader(idle)
	if res, err := http.ReadResponse(idleReader, nil); err != nil || res.Close {
		t.Fatalf("before the stop: %+v, error %v", res, err)
	} else if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	const sentBefore = 40 // bytes of the request that crosses the stop
	crossing := rawRequest("crossing")
	begun := sendOnNewConn(t, address, crossing[:sentBefore])
	wait(t, "the first request", s.seen)
	stopAndAwaitDrain(t, side)
	select {
	case err := <-side.ended:
		t.Fatalf("ended (%v) with connections open", err)
	default:
	}
	write(t, idle, rawRequest("after"))
	write(t, begun, crossing[sentBefore:])
	for name, r := range map[string]*bufio.Reader{"idle": idleReader, "begun": bufio.NewReader(begun)} {
		if res, err := http.ReadResponse(r, nil); err != nil || res.StatusCode != http.StatusOK || !res.Close {
			t.Errorf("on the %s connection: %+v, error %v, want 200 and the connection closed", name, res, err)
		}
	}
	if err := wait(t, "the end", side.ended); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A request that comes after SIGTERM and meets a server that hangs would still be open at SIGKILL. It gets its
// response before that may come; one that comes when it may come at any moment is rejected at once and never sent.
func TestDrainDeadlineCapsRequestDeadlines(t *testing.T) {
	s := newStub(t, silent)
	l := newTestLoop(t, s.address)
	f, address := serveClients(t, l)
	f.drainDeadline.Store(int64(l.clock.now() + generous/2))
	sendOnNewConn(t, address, rawRequest("in time"))
	l.runNextEvent(t)
	for _, r := range l.requests {
		if r.deadline != time.Duration(f.drainDeadline.Load()) {
			t.Errorf("its deadline is %v, want %v", r.deadline, time.Duration(f.drainDeadline.Load()))
		}
	}
	f.drainDeadline.Store(1)
	c := sendOnNewConn(t, address, rawRequest("late"))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || !res.Close || res.Header.Get("Retry-After") == "" {
		t.Errorf("the late one: %+v, error %v, want 503, Retry-After, and the connection closed", res, err)
	}
	if len(l.events) > 0 || len(l.requests) != 1 {
		t.Errorf("%d events, %d requests: the late one was submitted", len(l.events), len(l.requests))
	}
}
