package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// address returns the address that the sidecar listens on.
func (s *runningSidecar) address() string { return strings.TrimPrefix(s.url, "http://") }

// dial opens a connection to the sidecar and closes it at the end of the test.
func (s *runningSidecar) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// setLimit returns an edit of one of the limits in the settings of a sidecar.
func setLimit(name string, value any) func(file, settings map[string]any) {
	return func(_, settings map[string]any) { settings["caps"].(map[string]any)[name] = value }
}

// setProcessLimit returns an edit of the configuration that sets a limit of the process.
func setProcessLimit(name string, value any) func(file, settings map[string]any) {
	return func(file, _ map[string]any) { file["limits"].(map[string]any)[name] = value }
}

// echoAfter responds like echo, but to the request with the given ID only after release is closed.
func echoAfter(release <-chan struct{}, id string) func(net.Conn, receivedRequest) bool {
	return func(c net.Conn, r receivedRequest) bool {
		if r.Header.Get("X-Request-ID") == id {
			<-release
		}
		return echo(c, r)
	}
}

// respond500 responds that the request has failed and may have run.
func respond500(c net.Conn, _ receivedRequest) bool {
	_, err := fmt.Fprint(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

func TestReadinessCheck(t *testing.T) {
	side := startSidecar(t, nil)
	if res, _ := doRequest(t, side.newRequest(t, "GET", "/up", "")); res.StatusCode != http.StatusOK {
		t.Errorf("GET /up: status %s, want 200", res.Status)
	}
}

// A request and its response are forwarded unchanged, except for the headers that concern one connection only
// and the server's load report.
func TestRequestIsForwardedAndAnswered(t *testing.T) {
	s := newStub(t, func(c net.Conn, r receivedRequest) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/hive\r\nX-Server-Load: TEXT inflight=1\r\n"+
			"Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
		return err == nil
	})
	side := startSidecar(t, nil, s.address)
	const uri, body = "/reading/hive%2F7?scale=a%20b&x", "41.5 kg"
	res, resBody := doRequest(t, side.newRequest(t, "POST", uri, body, "Idempotency-Key", "k1", "Connection", "X-Hop", "X-Hop", "1"))
	if res.StatusCode != http.StatusOK || resBody != body || res.Header.Get("Content-Type") != "text/hive" {
		t.Fatalf("response: status %s, body %q, headers %v", res.Status, resBody, res.Header)
	}
	got := wait(t, "the request", s.receivedRequests)
	if got.Method != "POST" || got.uri != uri || got.body != body {
		t.Errorf("server received %s %s with body %q", got.Method, got.uri, got.body)
	}
	if got.Header.Get("X-Request-ID") != "r1" || got.Header.Get("Idempotency-Key") != "k1" {
		t.Errorf("server received headers %v", got.Header)
	}
	if got.Header.Get("X-Hop") != "" || res.Header.Get("X-Server-Load") != "" {
		t.Errorf("X-Hop or X-Server-Load was forwarded: request headers %v, response headers %v", got.Header, res.Header)
	}
}

// Requests of more than 64 KiB were refused with 413. They must be forwarded, and return the memory that they
// take: all of them together exceed the budget.
func TestLongRequestsAreForwarded(t *testing.T) {
	const memoryMB, requests = 8, 12
	sent := strings.Repeat("0123456789", 20_000)
	s := newStub(t, echo)
	side := startSidecar(t, setProcessLimit("memory_mb", memoryMB), s.address)
	for n := range requests {
		res, _ := doRequest(t, side.newRequest(t, "POST", "/entry", sent, "X-Request-ID", strconv.Itoa(n)))
		if res.StatusCode != http.StatusOK {
			t.Fatalf("request %d: status %s, want 200", n, res.Status)
		}
		if got := wait(t, "the request", s.receivedRequests); got.body != sent {
			t.Fatalf("request %d: server received %d bytes, want the %d bytes of the client", n, len(got.body), len(sent))
		}
	}
}

// A non-idempotent request fails at a server, where it may have run. The client must get an error, and the
// sidecar must not send the request again, as it could run twice.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	s := newStub(t, respond500)
	side := startSidecar(t, nil, s.address)
	if res, _ := doRequest(t, side.newRequest(t, "POST", "/entry", "1")); res.StatusCode != http.StatusBadGateway {
		t.Errorf("status %s, want 502", res.Status)
	}
	if len(s.receivedRequests) != 1 {
		t.Errorf("server received %d attempts, want 1", len(s.receivedRequests))
	}
}

// No server is known. Requests wait for one as long as their timeout and the queue allow, and are then
// rejected. The response must state when to retry, in decimal seconds.
func TestRejectedRequestsGetRetryAfter(t *testing.T) {
	side := startSidecar(t, nil)
	const requests = 50
	type result struct {
		res *http.Response
		err error
	}
	results := make(chan result, requests)
	for i := range requests {
		req := side.newRequest(t, "GET", "/look", "", "X-Timeout", "500m", "X-Request-ID", "r"+strconv.Itoa(i))
		go func() {
			res, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
			results <- result{res, err}
		}()
	}
	for range requests {
		got := wait(t, "a rejection", results)
		if got.err != nil {
			t.Fatal(got.err)
		}
		got.res.Body.Close()
		after := got.res.Header.Get("Retry-After")
		pause, err := strconv.ParseFloat(after, 64)
		if err != nil || pause <= 0 || pause > 1.2 || got.res.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("status %s, Retry-After %q, want 503 and a value above 0 and at most 1.2 s", got.res.Status, after)
		}
	}
}

// Servers would take a request with the ID of a request in flight for a duplicate and drop it, so the sidecar
// must reject it. Once the first request has its response, a request with its ID would run a second time.
func TestDuplicateRequestIDIsRejected(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, echoAfter(release, "r1"))
	side := startSidecar(t, nil, s.address)
	first := side.newRequest(t, "POST", "/entry", "1")
	answered := make(chan int, 1)
	go func() {
		res, _ := doRequest(t, first)
		answered <- res.StatusCode
	}()
	wait(t, "the first request", s.receivedRequests)
	if res, _ := doRequest(t, side.newRequest(t, "POST", "/entry", "1")); res.StatusCode != http.StatusConflict || !res.Close {
		t.Errorf("request with an ID in flight: status %s, want 409 and Connection: close", res.Status)
	}
	close(release)
	if status := wait(t, "the first response", answered); status != http.StatusOK {
		t.Errorf("first request: status %d, want 200", status)
	}
	if res, _ := doRequest(t, side.newRequest(t, "POST", "/entry", "1")); res.StatusCode != http.StatusConflict || !res.Close {
		t.Errorf("request with the ID of a request that ran: status %s, want 409 and Connection: close", res.Status)
	}
	if n := len(s.receivedRequests); n > 0 {
		t.Errorf("server received %d requests more than the first, want none", n)
	}
}

// More clients connect than the limit allows, and send nothing. To admit a new connection, the one that has
// been idle longest must be closed, and never one with a request in flight.
func TestIdleClientConnectionsAreClosedAtTheLimit(t *testing.T) {
	const idleClients = 40
	release := make(chan struct{})
	s := newStub(t, echoAfter(release, "slow"))
	side := startSidecar(t, setProcessLimit("sockets", 32), s.address)
	active := side.dial(t)
	if err := side.newRequest(t, "GET", "/look", "", "X-Request-ID", "slow").Write(active); err != nil {
		t.Fatal(err)
	}
	wait(t, "the slow request", s.receivedRequests)

	closed := make(chan error, idleClients)
	for range idleClients {
		c := side.dial(t)
		go func() {
			_, err := c.Read(make([]byte, 1))
			closed <- err
		}()
	}
	if res, body := doRequest(t, side.newRequest(t, "GET", "/look", "")); res.StatusCode != http.StatusOK || body != "done r1" {
		t.Errorf("request beside idle connections: status %s, body %q, want 200 and its own response", res.Status, body)
	}
	wait(t, "an idle connection to close", closed)

	close(release)
	if res, err := http.ReadResponse(bufio.NewReader(active), nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("slow request: response %v, error %v, want 200", res, err)
	}
}

// newTestAcceptor returns an acceptor on loopback that is closed at the end of the test.
func newTestAcceptor(t *testing.T, maxConns int) *acceptor {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newAcceptor(l, maxConns)
	t.Cleanup(func() { a.Close() })
	return a
}

// acceptClient connects a client and returns both ends of the connection, as the client and the acceptor see
// it.
func acceptClient(t *testing.T, a *acceptor) (client net.Conn, accepted *clientConn) {
	t.Helper()
	client, err := net.Dial("tcp", a.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	c, err := a.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return client, c.(*clientConn)
}

// A client connects at the limit. The acceptor must close an idle connection to admit it, not one whose
// request has just been read.
func TestAcceptorClosesOnlyIdleConnections(t *testing.T) {
	a := newTestAcceptor(t, 2)
	client, active := acceptClient(t, a)
	_, idle := acceptClient(t, a)
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	if _, err := active.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	acceptClient(t, a)
	if active.closed || !idle.closed || a.openConns != 2 {
		t.Errorf("active connection closed: %v, idle connection closed: %v, %d open; want false, true, 2",
			active.closed, idle.closed, a.openConns)
	}
}

// failingServer returns a server that fails in a different way for each remainder of the request ID modulo 5:
// for 0 it rejects the request on every other connection, for 4 it always responds. It calls runs with the ID
// of each request that it has not rejected.
func failingServer(runs func(id string)) func(net.Conn, receivedRequest) bool {
	return func(c net.Conn, r receivedRequest) bool {
		id := r.Header.Get("X-Request-ID")
		n, _ := strconv.Atoi(id)
		if n%5 == 0 && r.connNumber%2 == 0 {
			return respondNotProcessed(c, r)
		}
		runs(id)
		switch n % 5 {
		case 1:
			return false
		case 2:
			_, _ = fmt.Fprint(c, "nonsense\r\n\r\n")
			return false
		case 3:
			return respond500(c, r)
		}
		return echo(c, r)
	}
}

// Servers fail in several ways. Each request must get one response, and no non-idempotent request may reach a
// server twice, unless the first server responded that it has not run.
func TestNonIdempotentRequestsRunOnceAmongFailingServers(t *testing.T) {
	const workers, requestsPerWorker = 8, 25
	var mu sync.Mutex
	ran := make(map[string]int)
	failing := failingServer(func(id string) {
		mu.Lock()
		defer mu.Unlock()
		ran[id]++
	})
	side := startSidecar(t, nil, newStub(t, failing).address, newStub(t, failing).address, newStub(t, failing).address)
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}, Timeout: testTimeout}
	var clients sync.WaitGroup
	for worker := range workers {
		clients.Go(func() {
			for i := range requestsPerWorker {
				id := strconv.Itoa(worker*requestsPerWorker + i)
				if err := postEntry(t, &client, side, id); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	clients.Wait()
	client.CloseIdleConnections()
	mu.Lock()
	defer mu.Unlock()
	for id, n := range ran {
		if n > 1 {
			t.Errorf("request %s ran %d times, want at most once", id, n)
		}
	}
	if len(ran) == 0 {
		t.Error("no request ran")
	}
}

// postEntry sends a non-idempotent request and checks that the response is the one to this request, or reports
// a failure. The returned error is that of the connection to the sidecar.
func postEntry(t *testing.T, client *http.Client, side *runningSidecar, id string) error {
	t.Helper()
	res, err := client.Do(side.newRequest(t, "POST", "/entry", "1", "X-Request-ID", id))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	switch {
	case err != nil:
		t.Error(err)
	case res.StatusCode == http.StatusOK && string(body) == "done "+id:
	case res.StatusCode == http.StatusServiceUnavailable, res.StatusCode == http.StatusBadGateway:
	default:
		t.Errorf("request %s: status %s, body %q, want its own response, 502 or 503", id, res.Status, body)
	}
	return nil
}

// The number of requests in flight is at its limit. One more request must be rejected without an attempt.
func TestRequestsOverTheLimitAreRejected(t *testing.T) {
	s := newStub(t, neverRespond)
	side := startSidecar(t, setLimit("max_open", 1), s.address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := side.newRequest(t, "GET", "/look", "").WithContext(ctx)
	go func() { _, _ = http.DefaultClient.Do(first) }()
	wait(t, "the first request", s.receivedRequests)
	res, _ := doRequest(t, side.newRequest(t, "GET", "/look", "", "X-Request-ID", "r2"))
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("second request: status %s, headers %v, want 503 with Retry-After", res.Status, res.Header)
	}
	if len(s.receivedRequests) > 0 {
		t.Error("second request was sent to the server, want no attempt")
	}
}

// Clients announce a body and do not send it. If these requests counted as in flight, a few such clients
// would use up the limit for all others.
func TestUnsentBodiesAreNotCounted(t *testing.T) {
	s := newStub(t, echo)
	side := startSidecar(t, setLimit("max_open", 1), s.address)
	for i := range 3 {
		c := side.dial(t)
		if _, err := fmt.Fprintf(c, rawHead+"Expect: 100-continue\r\nContent-Length: 60000\r\n\r\n", "u"+strconv.Itoa(i)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil { // 100 Continue: the sidecar is reading the body
			t.Fatal(err)
		}
	}
	if res, _ := doRequest(t, side.newRequest(t, "GET", "/look", "")); res.StatusCode != http.StatusOK {
		t.Errorf("GET /look: status %s, want 200", res.Status)
	}
}

// A client closes its connection while its request is at a server. The attempt must be cancelled, which
// closes the connection to the server. The timeouts are long, so that none of them ends the attempt first.
func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	s := newStub(t, neverRespond)
	side := startSidecar(t, func(_, settings map[string]any) {
		look := settings["classes"].([]any)[2].(map[string]any)
		look["aim_ms"], look["hard_limit_ms"] = 10*testTimeout.Milliseconds(), 20*testTimeout.Milliseconds()
	}, s.address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := side.newRequest(t, "GET", "/look", "", "X-Timeout", "400000m").WithContext(ctx)
	go func() { _, _ = http.DefaultClient.Do(req) }()
	wait(t, "the request", s.receivedRequests)
	cancel()
	wait(t, "the attempt's connection to close", s.closedConns)
}

// The sidecar gets SIGTERM with a request in flight. It must respond to that request, serve new connections
// for a while, close each connection with its response, and then exit. http.Server.Shutdown alone would
// refuse the new connections.
func TestDrainAnswersAllRequests(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, echoAfter(release, "slow"))
	side := startSidecar(t, nil, s.address)
	conn := side.dial(t)
	if err := side.newRequest(t, "GET", "/look", "", "X-Request-ID", "slow").Write(conn); err != nil {
		t.Fatal(err)
	}
	wait(t, "the slow request", s.receivedRequests)
	side.stop()
	for { // until the sidecar is draining
		if res, _ := doRequest(t, side.newRequest(t, "GET", "/up", "")); res.StatusCode == http.StatusServiceUnavailable {
			break
		}
	}
	if res, body := doRequest(t, side.newRequest(t, "GET", "/look", "", "X-Request-ID", "new")); res.StatusCode != 200 || body != "done new" {
		t.Errorf("request on a new connection: status %s, body %q, want 200 and its own response", res.Status, body)
	}
	close(release)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || res.StatusCode != http.StatusOK || !res.Close {
		t.Fatalf("slow request: response %+v, error %v, want 200 and Connection: close", res, err)
	}
	res.Body.Close()
	if err := wait(t, "serve to return", side.serveErr); err != nil {
		t.Errorf("serve() = %v, want nil", err)
	}
}
