package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A client sends two requests at once, and both are read in the same read of the socket. While the second
// request is in flight its connection must count as active: at the limit an idle one would be closed.
func TestPipelinedRequestKeepsItsConnection(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, echoAfter(release, "second"))
	side := startSidecar(t, setProcessLimit("sockets", 32), s.address)
	address := strings.TrimPrefix(side.url, "http://")
	client := sendOnNewConn(t, address, rawRequest("first")+rawRequest("second"))
	r := bufio.NewReader(client)
	expectOK(t, r)
	wait(t, "the first request", s.receivedRequests)
	wait(t, "the second request", s.receivedRequests)
	began := time.Now()
	for range 40 { // more than the limit on client connections
		sendOnNewConn(t, address, "")
	}
	for time.Since(began) < 2*minClientIdle { // no connection may be closed earlier
		if res, _ := doRequest(t, side.newRequest(t, "GET", "/up", "")); res.StatusCode != http.StatusOK {
			t.Fatalf("GET /up: status %s, want 200", res.Status)
		}
	}
	close(release)
	expectOK(t, r)
}

// Clients have sent several requests at once, or more while a request is in flight, when the sidecar starts
// to drain. It used to close the connection with the first response, which lost the requests that it had read
// after the first one. All must be answered, and the connection closed with or after the last response.
func TestPipelinedRequestsAreAnsweredWhileDraining(t *testing.T) {
	for name, sent := range map[string][]string{
		"all in one write":                    {rawRequest("first") + rawRequest("second") + rawRequest("third")},
		"two while one is in flight":          {rawRequest("first"), rawRequest("second") + rawRequest("third")},
		"each in its own write":               {rawRequest("first"), rawRequest("second"), rawRequest("third")},
		"second request split between writes": {rawRequest("first") + rawRequest("second")[:30], rawRequest("second")[30:] + rawRequest("third")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			s := newStub(t, echoAfter(release, "first"))
			side := startSidecar(t, nil, s.address)
			client := sendOnNewConn(t, strings.TrimPrefix(side.url, "http://"), sent[0])
			wait(t, "the first request", s.receivedRequests)
			for _, text := range sent[1:] {
				write(t, client, text)
			}
			stopAndAwaitDrain(t, side)
			close(release)
			r := bufio.NewReader(client)
			for range 3 {
				expectOK(t, r)
			}
			if n, err := r.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("read %d bytes, error %v after the last response, want 0 bytes and io.EOF", n, err)
			}
			if err := wait(t, "serve to return", side.serveErr); err != nil {
				t.Errorf("serve() = %v, want nil", err)
			}
		})
	}
}

// expectOK reads a response including its body and requires status 200.
func expectOK(t *testing.T, r *bufio.Reader) {
	t.Helper()
	if res := readWholeResponse(t, r); res.StatusCode != http.StatusOK {
		t.Fatal(res.Status)
	}
}

// A request waits for the response to the previous one on its connection. Its timeout must run from its
// arrival. It used to run from the end of the wait: X-Timeout promised the server more time than the client
// had left, and requests whose timeout had passed were forwarded.
// The timeout of a request that waits behind another one runs from its own arrival. It used to begin anew with bytes
// that arrived behind it: servers were told more time than the client had, and answers came after it.
func TestTimeoutOfPipelinedRequestRunsFromArrival(t *testing.T) {
	const minWait = 100 * time.Millisecond // minimum wait for the response to the first request
	withTimeout := func(id, timeout string) string {
		return strings.Replace(rawRequest(id), "20000m", timeout, 1)
	}
	for name, sent := range map[string]struct{ separately, followed bool }{
		"in one write":                                         {false, false},
		"while the first is in flight":                         {true, false},
		"in one write, with another behind it":                 {false, true},
		"while the first is in flight, with another behind it": {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			s := newStub(t, echoAfter(release, "first"))
			side := startSidecar(t, nil, s.address)
			pipelined := withTimeout("enough", "8000m") + withTimeout("too late", "90m")
			first := rawRequest("first")
			if !sent.separately {
				first, pipelined = first+pipelined, ""
			}
			client := sendOnNewConn(t, strings.TrimPrefix(side.url, "http://"), first)
			wait(t, "the first request", s.receivedRequests)
			write(t, client, pipelined)
			side.serveFor(t, 3*minWait) // the sidecar reads the request in the first third
			if sent.followed {
				write(t, client, rawRequest("behind"))
				side.serveFor(t, minWait)
			}
			close(release)
			r := bufio.NewReader(client)
			expectOK(t, r)
			expectOK(t, r)
			forwarded, ok := parseTimeout(wait(t, "the second request", s.receivedRequests).Header.Get("X-Timeout"))
			if limit := 8*time.Second - 2*minWait; !ok || forwarded > limit {
				t.Errorf("server received X-Timeout of %v, want at most %v", forwarded, limit)
			}
			if res := readWholeResponse(t, r); res.StatusCode != http.StatusServiceUnavailable {
				t.Errorf("request whose timeout has passed: status %s, want 503", res.Status)
			}
			if sent.followed {
				expectOK(t, r)
				if id := wait(t, "the last request", s.receivedRequests).Header.Get("X-Request-ID"); id != "behind" {
					t.Errorf("request %s was forwarded after its timeout", id)
				}
			}
			if n := len(s.receivedRequests); n > 0 {
				t.Errorf("%d more requests were forwarded, want none", n)
			}
		})
	}
}

// serveFor makes readiness checks for a time, each on a new connection.
func (s *runningSidecar) serveFor(t *testing.T, length time.Duration) {
	t.Helper()
	for began := time.Now(); time.Since(began) < length; {
		if res, _ := doRequest(t, s.newRequest(t, "GET", "/up", "")); res.StatusCode != http.StatusOK {
			t.Fatalf("GET /up: status %s, want 200", res.Status)
		}
	}
}

// A client sends many requests at once, more than the sidecar reads in one go. It used to be disconnected without a
// single response once more than 20 KiB stood behind its request in flight.
func TestManyPipelinedRequestsAreAnswered(t *testing.T) {
	const requests = 400
	for name, budget := range map[string]bool{"within the memory budget": true, "while the budget is exhausted": false} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			s := newStub(t, echoAfter(release, "r0"))
			cfg, clk := testConfig(t, fullListResponse(1, "ready", s.address), nil), newClock()
			l, err := newEventLoop(cfg, clk, newTransport(cfg, clk))
			if err != nil {
				t.Fatal(err)
			}
			go l.run(t.Context(), cfg.CachedEndpoints)
			handler, address := serveClients(t, l)
			if !budget {
				handler.longRequests.used.Store(handler.longRequests.limit)
			}
			client := sendOnNewConn(t, address, rawRequest("r0"))
			wait(t, "the first request", s.receivedRequests)
			var text strings.Builder
			for n := 1; n < requests; n++ {
				text.WriteString(rawRequest(fmt.Sprint("r", n)))
			}
			if text.Len() <= 10*shortRequestBytes {
				t.Fatalf("%d bytes behind the first request, want more than %d", text.Len(), 10*shortRequestBytes)
			}
			write(t, client, text.String())
			close(release)
			r := bufio.NewReader(client)
			for range requests {
				expectOK(t, r)
			}
			if budget {
				if used := handler.longRequests.used.Load(); used != 0 {
					t.Errorf("%d bytes are taken after the requests, want 0", used)
				}
			}
		})
	}
}
