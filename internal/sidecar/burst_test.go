package sidecar

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A client sends small requests on one connection at full speed. The sidecar used to answer them one after the other
// without a pause, and other clients got their answers seconds late. Clients that send one request at a time
// must not be held up.
func TestFloodOnOneConnectionPauses(t *testing.T) {
	const requests = 4 * maxBurstRequests
	check := func(int) string { return readinessCheck }
	get := func(n int) string { return strings.Replace(rawRequest(fmt.Sprint("r", n)), "20000m", "1u", 1) }
	post := func(n int) string { return strings.Replace(postRequest(fmt.Sprint("r", n)), "20000m", "1u", 1) }
	for name, c := range map[string]struct {
		request    func(number int) string
		atOnce     int // requests sent before the first of them is answered
		status     int
		wantPauses int
	}{
		"readiness checks at once":           {check, requests, http.StatusOK, 3},
		"readiness checks one at a time":     {check, 1, http.StatusOK, 0},
		"few readiness checks at a time":     {check, maxBurstRequests, http.StatusOK, 0},
		"requests without time at once":      {get, requests, http.StatusServiceUnavailable, 3},
		"requests with a body at once":       {post, requests, http.StatusServiceUnavailable, 3},
		"requests with a body one at a time": {post, 1, http.StatusServiceUnavailable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			pauses := make(chan time.Duration, requests)
			address := serveWithPause(t, func(d time.Duration) { pauses <- d })
			client := sendOnNewConn(t, address, "")
			r := bufio.NewReader(client)
			for first := 0; first < requests; first += c.atOnce {
				var text strings.Builder
				for n := range c.atOnce {
					text.WriteString(c.request(first + n))
				}
				write(t, client, text.String())
				for range c.atOnce {
					if res := readWholeResponse(t, r); res.StatusCode != c.status {
						t.Fatalf("status %s, want %d", res.Status, c.status)
					}
				}
			}
			if len(pauses) != c.wantPauses {
				t.Errorf("%d pauses, want %d", len(pauses), c.wantPauses)
			}
			for len(pauses) > 0 {
				if d := <-pauses; d < minBurstPause || d > maxBurstPause {
					t.Errorf("pause of %v on the only connection, want %v to %v", d, minBurstPause, maxBurstPause)
				}
			}
		})
	}
}

// serveWithPause runs an HTTP server whose connections call pause instead of pausing.
func serveWithPause(t *testing.T, pause func(time.Duration)) (address string) {
	t.Helper()
	handler := newIngress(testConfig(t, fullListResponse(1, "ready"), nil), newClock(), nil)
	handler.ready.Store(true)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newAcceptor(listener, 10)
	a.pause = pause
	server := handler.server(a)
	go func() { _ = server.Serve(a) }() // ends with the test
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// Clients that come again as soon as they are turned away keep the acceptor busy, and used to delay requests that
// were already being served by seconds. At the usual rate of new connections it must not pause.
func TestAcceptorPausesBetweenBursts(t *testing.T) {
	for name, c := range map[string]struct {
		interval time.Duration // between two connections
		want     time.Duration // pause after a burst
	}{
		"at once":              {0, minBurstPause},
		"at high rate":         {500 * time.Microsecond, (maxBurstConns - 1) * 500 * time.Microsecond},
		"at a rate with waits": {2 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var burst acceptBurst
			now := time.Unix(1000, 0)
			for n := 1; n <= 3*maxBurstConns; n++ {
				want := time.Duration(0)
				if n%maxBurstConns == 0 {
					want = c.want
				}
				if got := burst.connAccepted(now); got != want {
					t.Fatalf("pause of %v after connection %d, want %v", got, n, want)
				}
				now = now.Add(c.interval)
			}
		})
	}
}

// While the process is short of CPU time, the goroutine of a connection may not have read a request that has arrived.
// Such a connection must not be closed as an idle one.
func TestConnectionWithUnreadRequestIsNotIdle(t *testing.T) {
	a := newTestAcceptor(t, 2)
	client, unread := acceptClient(t, a)
	_, idle := acceptClient(t, a)
	write(t, client, rawRequest("unread"))
	for end := time.Now().Add(testTimeout); !unread.hasUnreadBytes(); {
		if time.Now().After(end) {
			t.Fatal("the request does not arrive")
		}
	}
	acceptClient(t, a)
	if unread.closed || !idle.closed {
		t.Errorf("connection with an unread request closed: %v, idle connection closed: %v, want false and true", unread.closed, idle.closed)
	}
}
