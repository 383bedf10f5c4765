package sidecar

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A client sends two requests at once, and the second is read with the first. The connection must count as active again
// while that one is open: at the limit an idle one would be closed.
func TestPipelinedRequestKeepsItsConnection(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, echoAfter(release, "second"))
	side := start(t, func(file, _ map[string]any) { file["limits"].(map[string]any)["sockets"] = 32 }, s.address)
	address := strings.TrimPrefix(side.url, "http://")
	client := sendOnNewConn(t, address, rawRequest("first")+rawRequest("second"))
	r := bufio.NewReader(client)
	expectOK(t, r)
	wait(t, "the first request", s.seen)
	wait(t, "the second request", s.seen)
	began := time.Now()
	for range 40 { // more than there may be connections
		sendOnNewConn(t, address, "")
	}
	for time.Since(began) < 2*minClientIdle { // until then none may be closed, whatever its state
		if res, _ := do(t, side.request(t, "GET", "/up", "")); res.StatusCode != http.StatusOK {
			t.Fatalf("GET /up: %s", res.Status)
		}
	}
	close(release)
	expectOK(t, r)
}

// Clients have sent several requests at once, or one behind an open one, when the sidecar is to end. It closed the
// connection with the first response, and what it had read behind that request was lost. All are answered, and the
// connection is closed with or after the last response.
func TestPipelinedRequestsAreAnsweredWhileDraining(t *testing.T) {
	for name, sent := range map[string][]string{
		"at once":            {rawRequest("first") + rawRequest("second") + rawRequest("third")},
		"behind an open one": {rawRequest("first"), rawRequest("second") + rawRequest("third")},
		"one by one":         {rawRequest("first"), rawRequest("second"), rawRequest("third")},
		"half a request":     {rawRequest("first") + rawRequest("second")[:30], rawRequest("second")[30:] + rawRequest("third")},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			s := newStub(t, echoAfter(release, "first"))
			side := start(t, nil, s.address)
			client := sendOnNewConn(t, strings.TrimPrefix(side.url, "http://"), sent[0])
			wait(t, "the first request", s.seen)
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
				t.Errorf("read %d bytes, error %v behind the last response, want the end", n, err)
			}
			if err := wait(t, "the end", side.ended); err != nil {
				t.Errorf("ended with %v", err)
			}
		})
	}
}

// expectOK reads a response with status 200 to its end.
func expectOK(t *testing.T, r *bufio.Reader) {
	t.Helper()
	if res := readWholeResponse(t, r); res.StatusCode != http.StatusOK {
		t.Fatal(res.Status)
	}
}

// A request waits behind another one on its connection. Its time runs from when it came, not from when its turn comes:
// a server was told of more time than the client had left, and requests whose time was over were sent on.
func TestTimeoutOfPipelinedRequestRunsFromArrival(t *testing.T) {
	const waited = 100 * time.Millisecond // at least, behind the first
	withTimeout := func(id, timeout string) string {
		return strings.Replace(rawRequest(id), "20000m", timeout, 1)
	}
	for name, separately := range map[string]bool{"sent at once": false, "sent later": true} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			s := newStub(t, echoAfter(release, "first"))
			side := start(t, nil, s.address)
			behind := withTimeout("enough", "20000m") + withTimeout("too late", "90m")
			first := rawRequest("first")
			if !separately {
				first, behind = first+behind, ""
			}
			client := sendOnNewConn(t, strings.TrimPrefix(side.url, "http://"), first)
			wait(t, "the first request", s.seen)
			write(t, client, behind)
			for sent := time.Now(); time.Since(sent) < 2*waited; { // the sidecar has read it by half of that time
				if res, _ := do(t, side.request(t, "GET", "/up", "")); res.StatusCode != http.StatusOK {
					t.Fatalf("GET /up: %s", res.Status)
				}
			}
			close(release)
			r := bufio.NewReader(client)
			expectOK(t, r)
			expectOK(t, r)
			told, ok := parseTimeout(wait(t, "the second request", s.seen).Header.Get("X-Timeout"))
			if limit := 20*time.Second - waited; !ok || told > limit {
				t.Errorf("the server was told %v, want %v at most", told, limit)
			}
			res, err := http.ReadResponse(r, nil)
			if err != nil || res.StatusCode != http.StatusServiceUnavailable || len(s.seen) > 0 {
				t.Errorf("the request whose time is over: %+v, error %v, %d forwarded; want 503 and none", res, err, len(s.seen))
			}
		})
	}
}
