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
	"time"
)

// address is where the sidecar listens.
func (s *running) address() string { return strings.TrimPrefix(s.url, "http://") }

// dial opens a connection to the sidecar, which closes with the test.
func (s *running) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// setLimit edits one of the limits in the settings of a sidecar.
func setLimit(name string, value any) func(file, settings map[string]any) {
	return func(_, settings map[string]any) { settings["caps"].(map[string]any)[name] = value }
}

// echoAfter answers as echo does; the request with an id only once release is closed.
func echoAfter(release <-chan struct{}, id string) func(net.Conn, received) bool {
	return func(c net.Conn, r received) bool {
		if r.Header.Get("X-Request-ID") == id {
			<-release
		}
		return echo(c, r)
	}
}

// respond500 answers that the request has failed, and may have run.
func respond500(c net.Conn, _ received) bool {
	_, err := fmt.Fprint(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

func TestReadinessCheck(t *testing.T) {
	side := start(t, nil)
	if res, _ := do(t, side.request(t, "GET", "/up", "")); res.StatusCode != http.StatusOK {
		t.Errorf("%s, want 200", res.Status)
	}
}

// A request and its response pass through unchanged, but for the headers that concern one connection only.
func TestRequestIsForwardedAndAnswered(t *testing.T) {
	s := newStub(t, func(c net.Conn, r received) bool {
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/hive\r\nX-Server-Load: TEXT inflight=1\r\n"+
			"Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
		return err == nil
	})
	side := start(t, nil, s.address)
	const uri, body = "/reading/hive%2F7?scale=a%20b&x", "41.5 kg"
	res, resBody := do(t, side.request(t, "POST", uri, body, "Idempotency-Key", "k1", "Connection", "X-Hop", "X-Hop", "1"))
	if res.StatusCode != http.StatusOK || resBody != body || res.Header.Get("Content-Type") != "text/hive" {
		t.Fatalf("%s, body %q, headers %v", res.Status, resBody, res.Header)
	}
	got := wait(t, "the request", s.seen)
	if got.Method != "POST" || got.uri != uri || got.body != body {
		t.Errorf("the server got %s %s %q", got.Method, got.uri, got.body)
	}
	if got.Header.Get("X-Request-ID") != "r1" || got.Header.Get("Idempotency-Key") != "k1" {
		t.Errorf("the server got headers %v", got.Header)
	}
	if got.Header.Get("X-Hop") != "" || res.Header.Get("X-Server-Load") != "" {
		t.Errorf("hop-by-hop headers were forwarded: %v, %v", got.Header, res.Header)
	}
}

// A non-idempotent request has failed at a server, where it may have run. The client gets an error, and nobody
// sends the request again.
func TestNonIdempotentRequestIsNotRetried(t *testing.T) {
	s := newStub(t, respond500)
	side := start(t, nil, s.address)
	if res, _ := do(t, side.request(t, "POST", "/entry", "1")); res.StatusCode != http.StatusBadGateway {
		t.Errorf("%s, want 502", res.Status)
	}
	if len(s.seen) != 1 {
		t.Errorf("%d attempts, want 1", len(s.seen))
	}
}

// No server is known. Requests wait for one as long as their timeout and the queue allow, and are rejected
// then. The response says when to retry, in decimal seconds.
func TestRejectedRequestsGetRetryAfter(t *testing.T) {
	side := start(t, nil)
	const requests = 50
	type result struct {
		res *http.Response
		err error
	}
	results := make(chan result, requests)
	for i := range requests {
		req := side.request(t, "GET", "/look", "", "X-Timeout", "500m", "X-Request-ID", "r"+strconv.Itoa(i))
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
			t.Errorf("%s, Retry-After %q, want 503 and at most 1.2 s", got.res.Status, after)
		}
	}
}

// A client uses the id of a request that is in flight: servers would take its request for a repeat of the
// first and drop it. It is rejected. Once the first has its response the id may be used again.
func TestDuplicateRequestIDIsRejectedWhileInFlight(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, echoAfter(release, "r1"))
	side := start(t, nil, s.address)
	first := side.request(t, "POST", "/entry", "1")
	answered := make(chan int, 1)
	go func() {
		res, _ := do(t, first)
		answered <- res.StatusCode
	}()
	wait(t, "the first request", s.seen)
	if res, _ := do(t, side.request(t, "POST", "/entry", "1")); res.StatusCode != http.StatusConflict || !res.Close {
		t.Errorf("%s, want 409 and a close", res.Status)
	}
	close(release)
	if status := wait(t, "the first response", answered); status != http.StatusOK {
		t.Errorf("the first request: %d", status)
	}
	for end := time.Now().Add(generous); ; time.Sleep(time.Millisecond) { // the id is released just after the response
		if res, _ := do(t, side.request(t, "POST", "/entry", "1")); res.StatusCode == http.StatusOK {
			return
		} else if time.Now().After(end) {
			t.Fatalf("%s after the end of the first", res.Status)
		}
	}
}

// Clients connect and send nothing, more of them than there may be connections. The connection that has been
// without a request for longest is closed for a new one, and one with a request never is.
func TestIdleClientConnectionsAreClosedAtTheLimit(t *testing.T) {
	const idleClients = 40
	release := make(chan struct{})
	s := newStub(t, echoAfter(release, "slow"))
	side := start(t, func(file, _ map[string]any) { file["limits"].(map[string]any)["sockets"] = 32 }, s.address)
	active := side.dial(t)
	if err := side.request(t, "GET", "/look", "", "X-Request-ID", "slow").Write(active); err != nil {
		t.Fatal(err)
	}
	wait(t, "the slow request", s.seen)

	closed := make(chan error, idleClients)
	for range idleClients {
		c := side.dial(t)
		go func() {
			_, err := c.Read(make([]byte, 1))
			closed <- err
		}()
	}
	if res, body := do(t, side.request(t, "GET", "/look", "")); res.StatusCode != http.StatusOK || body != "done r1" {
		t.Errorf("%s %q among idle connections, want 200", res.Status, body)
	}
	wait(t, "an idle connection to close", closed)

	close(release)
	if res, err := http.ReadResponse(bufio.NewReader(active), nil); err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("the slow request: %v, error %v, want 200", res, err)
	}
}

// acceptClient connects a client and has the acceptor accept it.
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

// A client connects at the limit. An idle connection is closed for it, and not one whose request has just
// been read.
func TestAcceptorClosesOnlyIdleConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := newAcceptor(l, 2)
	defer a.Close()
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

// failingServer fails in another way for each remainder of a request's id by 5, and answers for 4; for 0 it
// rejects on every other connection. It counts in runs the requests that it has not rejected.
func failingServer(runs func(id string)) func(net.Conn, received) bool {
	return func(c net.Conn, r received) bool {
		id := r.Header.Get("X-Request-ID")
		n, _ := strconv.Atoi(id)
		if n%5 == 0 && r.conn%2 == 0 {
			return rejectUnprocessed(c, r)
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

// Servers fail in every way. Each request has one response, and no non-idempotent request reaches a server
// twice, unless the first one said that it has not run.
func TestNonIdempotentRequestsRunOnceAmongFailingServers(t *testing.T) {
	const workers, requestsPerWorker = 8, 25
	var mu sync.Mutex
	ran := make(map[string]int)
	failing := failingServer(func(id string) {
		mu.Lock()
		defer mu.Unlock()
		ran[id]++
	})
	side := start(t, nil, newStub(t, failing).address, newStub(t, failing).address, newStub(t, failing).address)
	client := http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}, Timeout: generous}
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
			t.Errorf("request %s ran %d times", id, n)
		}
	}
	if len(ran) == 0 {
		t.Error("nothing ran")
	}
}

// postEntry sends a non-idempotent request. Its response must be its own, or say that it has failed. The error
// is of the connection to the sidecar.
func postEntry(t *testing.T, client *http.Client, side *running, id string) error {
	t.Helper()
	res, err := client.Do(side.request(t, "POST", "/entry", "1", "X-Request-ID", id))
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
		t.Errorf("request %s: %s %q", id, res.Status, body)
	}
	return nil
}

// As many requests as are allowed are in flight. One more is rejected without an attempt.
func TestRequestsOverTheLimitAreRejected(t *testing.T) {
	s := newStub(t, silent)
	side := start(t, setLimit("max_open", 1), s.address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := side.request(t, "GET", "/look", "").WithContext(ctx)
	go func() { _, _ = http.DefaultClient.Do(first) }()
	wait(t, "the first request", s.seen)
	res, _ := do(t, side.request(t, "GET", "/look", "", "X-Request-ID", "r2"))
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" {
		t.Errorf("%s, headers %v, want 503 with Retry-After", res.Status, res.Header)
	}
	if len(s.seen) > 0 {
		t.Error("the second request had an attempt")
	}
}

// Clients announce a body and don't send it. They use up none of the limit on requests in flight.
func TestUnsentBodiesAreNotCounted(t *testing.T) {
	s := newStub(t, echo)
	side := start(t, setLimit("max_open", 1), s.address)
	for i := range 3 {
		c := side.dial(t)
		if _, err := fmt.Fprintf(c, rawHead+"Expect: 100-continue\r\nContent-Length: 60000\r\n\r\n", "u"+strconv.Itoa(i)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1)); err != nil { // the 100 Continue: the body is being read
			t.Fatal(err)
		}
	}
	if res, _ := do(t, side.request(t, "GET", "/look", "")); res.StatusCode != http.StatusOK {
		t.Errorf("%s, want 200", res.Status)
	}
}

// A client closes its connection while its request is at a server. The attempt is cancelled, and the server
// sees its connection close. No timeout may end the attempt before that.
func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	s := newStub(t, silent)
	side := start(t, func(_, settings map[string]any) {
		look := settings["classes"].([]any)[2].(map[string]any)
		look["aim_ms"], look["hard_limit_ms"] = 10*generous.Milliseconds(), 20*generous.Milliseconds()
	}, s.address)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := side.request(t, "GET", "/look", "", "X-Timeout", "400000m").WithContext(ctx)
	go func() { _, _ = http.DefaultClient.Do(req) }()
	wait(t, "the request", s.seen)
	cancel()
	wait(t, "the attempt's connection to close", s.closed)
}

// The sidecar gets SIGTERM with a request in flight. That request is answered, new connections are served for
// a while, each connection closes with its response, and the sidecar ends by itself. http.Server.Shutdown alone
// would refuse the new connections.
func TestDrainAnswersAllRequests(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, echoAfter(release, "slow"))
	side := start(t, nil, s.address)
	conn := side.dial(t)
	if err := side.request(t, "GET", "/look", "", "X-Request-ID", "slow").Write(conn); err != nil {
		t.Fatal(err)
	}
	wait(t, "the slow request", s.seen)
	side.stop()
	for { // until the drain has begun
		if res, _ := do(t, side.request(t, "GET", "/up", "")); res.StatusCode == http.StatusServiceUnavailable {
			break
		}
	}
	if res, body := do(t, side.request(t, "GET", "/look", "", "X-Request-ID", "new")); res.StatusCode != 200 || body != "done new" {
		t.Errorf("a new connection: %s %q", res.Status, body)
	}
	close(release)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil || res.StatusCode != http.StatusOK || !res.Close {
		t.Fatalf("the slow request: %+v, error %v, want 200 and the connection closed", res, err)
	}
	res.Body.Close()
	if err := wait(t, "the end", side.ended); err != nil {
		t.Errorf("ended with %v", err)
	}
}
