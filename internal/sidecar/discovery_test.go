package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

// testDiscoveryClient is a discovery client whose updates and failures the test reads from channels.
type testDiscoveryClient struct {
	*discoveryClient
	updates  chan endpointlist.List
	failures chan struct{}
}

// newTestDiscoveryClient returns a client of discovery at an address. All of its watches have the same wait.
func newTestDiscoveryClient(t *testing.T, address, cached string, edit func(settings map[string]any)) *testDiscoveryClient {
	t.Helper()
	cfg := testConfig(t, cached, func(file, settings map[string]any) {
		file["discovery"] = address
		if edit != nil {
			edit(settings)
		}
	})
	c := &testDiscoveryClient{updates: make(chan endpointlist.List, 100), failures: make(chan struct{}, 100)}
	c.discoveryClient = newDiscoveryClient(cfg,
		func(update endpointlist.List) { c.updates <- update },
		func() { c.failures <- struct{}{} })
	c.randomWatchTime = func() time.Duration { return testTimeout }
	return c
}

// usePolling edits the settings so that the endpoint list is polled instead of pushed.
func usePolling(settings map[string]any) { settings["discovery"] = "ask" }

// runUntilTestEnds runs the client until the test ends, and checks that run then returns.
func (c *testDiscoveryClient) runUntilTestEnds(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() { c.run(ctx); close(stopped) }()
	t.Cleanup(func() {
		cancel()
		wait(t, "the discovery client to stop", stopped)
	})
}

// expectNoMoreEvents checks that no update and no failure remain unread.
func (c *testDiscoveryClient) expectNoMoreEvents(t *testing.T) {
	t.Helper()
	if len(c.updates)+len(c.failures) > 0 {
		t.Errorf("unread updates = %d, unread failures = %d, want none", len(c.updates), len(c.failures))
	}
}

// discoveryStep is one call to discovery with the expected query, the response, and the expected result.
type discoveryStep struct {
	query    string // expected query of the call
	response string // body of the response; if empty, the status is 503
	version  int64  // expected version of the update; 0 if the client should report a failure
	full     bool   // whether the update should be a full list
}

// runDiscoverySteps runs a client against a discovery stand-in that responds as the steps say, and checks
// each step.
func runDiscoverySteps(t *testing.T, cached string, steps []discoveryStep) {
	t.Helper()
	queries, responses := make(chan string, 100), make(chan string, 100)
	address := serveDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		select {
		case response := <-responses:
			if response == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = io.WriteString(w, response)
		case <-r.Context().Done():
		}
	})
	c := newTestDiscoveryClient(t, address, cached, nil)
	c.runUntilTestEnds(t)
	for n, step := range steps {
		responses <- step.response
		if got := wait(t, "a call", queries); got != step.query {
			t.Fatalf("call %d: query = %q, want %q", n, got, step.query)
		}
		if step.version == 0 {
			wait(t, "the failure", c.failures)
			continue
		}
		if update := wait(t, "an update", c.updates); update.Version != step.version || update.Full != step.full {
			t.Fatalf("call %d: version, full = %d, %v, want %d, %v", n, update.Version, update.Full, step.version, step.full)
		}
	}
	c.expectNoMoreEvents(t)
}

// serveDiscovery runs an HTTP server on loopback until the test ends and returns its address.
func serveDiscovery(t *testing.T, handle http.HandlerFunc) (address string) {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// deltaResponse returns a response of discovery with a delta update that contains no endpoints.
func deltaResponse(version int64) string {
	return fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[]}`, version)
}

// The client requests the full list, then the changes since its version. After an invalid response, and after
// a call that fails before any list is known, it must request the full list again.
func TestDiscoveryClientFollowsList(t *testing.T) {
	runDiscoverySteps(t, fullListResponse(0, "ready"), []discoveryStep{
		{query: "", response: fullListResponse(41, "ready", "127.0.0.1:80"), version: 41, full: true},
		{query: "index=41&wait=20000", response: deltaResponse(43), version: 43},
		{query: "index=43&wait=20000", response: `{"generation":44,"instances":[{"instanceId":""}]}`},
		{query: "", response: ""},
		{query: "", response: fullListResponse(45, "ready", "127.0.0.1:80"), version: 45, full: true},
	})
}

// Guards against a response without a list of instances that is taken for an empty list, which removes all
// servers without a log line. Such a response is a failure: the known servers stay, and the next call requests
// the full list.
func TestResponseWithoutListIsAFailure(t *testing.T) {
	runDiscoverySteps(t, fullListResponse(0, "ready"), []discoveryStep{
		{query: "", response: fullListResponse(41, "ready", "127.0.0.1:80"), version: 41, full: true},
		{query: "index=41&wait=20000", response: `{"generation":42,"reset":true}`},
		{query: "", response: `{"generation":42,"reset":true,"instances":null}`},
		{query: "", response: fullListResponse(43, "ready", "127.0.0.1:80"), version: 43, full: true},
		{query: "index=43&wait=20000", response: `{"generation":44,"reset":true,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:80"}]}`},
		{query: "", response: `{"generation":45,"reset":true,"instances":[]}`, version: 45, full: true},
	})
}

// Guards against overload of discovery when many sidecars restart at the same time and all request the full
// list. Each sidecar must request the changes since its cached list, even after discovery has rejected a
// call. After an invalid response, or a delta update with a lower version, it must request the full list.
func TestFirstCallAsksForChangesSinceCachedList(t *testing.T) {
	runDiscoverySteps(t, fullListResponse(41, "ready", "127.0.0.1:80"), []discoveryStep{
		{query: "index=41&wait=1", response: ""},
		{query: "index=41&wait=1", response: deltaResponse(43), version: 43},
		{query: "index=43&wait=20000", response: fullListResponse(44, "ready", "127.0.0.1:81"), version: 44, full: true},
		{query: "index=44&wait=20000", response: "noise"},
		{query: "", response: fullListResponse(45, "ready", "127.0.0.1:82"), version: 45, full: true},
		{query: "index=45&wait=20000", response: ""},
		{query: "index=45&wait=1", response: deltaResponse(3)},
		{query: "", response: fullListResponse(3, "ready", "127.0.0.1:82"), version: 3, full: true},
	})
}

// Guards against a change that is read late because discovery never answered the watch. When the watch times
// out, the client must request the changes immediately, on a new connection, and must not report a failure,
// after which the Balancer would wait before the next poll.
func TestWatchTimeoutIsFollowedByImmediateCall(t *testing.T) {
	queries := make(chan string, 100)
	address := serveDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		switch r.URL.RawQuery {
		case "":
			_, _ = io.WriteString(w, fullListResponse(41, "ready", "127.0.0.1:80"))
		case "index=41&wait=1":
			_, _ = io.WriteString(w, fullListResponse(42, "draining", "127.0.0.1:80"))
		default: // a watch: no response until the client closes the connection
			<-r.Context().Done()
		}
	})
	c := newTestDiscoveryClient(t, address, fullListResponse(0, "ready"), usePolling)
	c.onFailure = func() { t.Error("onFailure called after a watch timeout") }
	watchTimes := make(chan time.Duration, 2)
	watchTimes <- 5 * time.Millisecond
	watchTimes <- testTimeout
	c.randomWatchTime, c.watchGrace = func() time.Duration { return <-watchTimes }, time.Millisecond
	c.requestPoll()
	c.runUntilTestEnds(t)
	for _, want := range []string{"", "index=41&wait=5", "index=41&wait=1", "index=42&wait=20000"} {
		if got := wait(t, "a call", queries); got != want {
			t.Fatalf("query = %q, want %q", got, want)
		}
	}
	if update := wait(t, "the list", c.updates); update.Endpoints[0].State != policy.Ready {
		t.Errorf("first update = %+v, want a ready endpoint", update)
	}
	if update := wait(t, "the change", c.updates); update.Endpoints[0].State != policy.Draining {
		t.Errorf("update after the watch timeout = %+v, want a draining endpoint", update)
	}
}

// unansweringDiscovery is a discovery stand-in on the fake clock that never answers a watch. During the first
// watch the endpoint list changes to version 42.
type unansweringDiscovery struct {
	responseTime  time.Duration // time to answer a call without a wait, after the change
	notifiedAfter time.Duration // time from the end of a watch's wait until the sidecar counts as notified

	notifiedAt atomic.Pointer[time.Time] // when the sidecar counts as notified; nil before the first watch
}

func (u *unansweringDiscovery) serve(t *testing.T, c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		watchWait, err := strconv.Atoi(req.FormValue("wait"))
		if err != nil {
			t.Errorf("query = %q, want a numeric wait", req.URL.RawQuery)
			return
		}
		if watchWait > 1 {
			notifiedAt := time.Now().Add(time.Duration(watchWait)*time.Millisecond + u.notifiedAfter)
			u.notifiedAt.CompareAndSwap(nil, &notifiedAt)
			continue
		}
		version := int64(41)
		if u.notifiedAt.Load() != nil {
			time.Sleep(u.responseTime)
			version = 42
		}
		if !respondOK(c, deltaResponse(version)) {
			return
		}
	}
}

// Guards against requests to a draining server after the sidecar counts as notified of the drain. If discovery
// never answers a watch, that is 2 s after the end of the watch's wait. The client must read the change before
// then, for any wait of the watch, even if discovery needs a second to answer the call that reads the change.
func TestMissedChangeIsReadBeforeNotified(t *testing.T) {
	for range 20 { // watches with different waits
		synctest.Test(t, func(t *testing.T) {
			discovery := &unansweringDiscovery{responseTime: time.Second, notifiedAfter: 2 * time.Second}
			c := newTestDiscoveryClient(t, "127.0.0.1:1", fullListResponse(41, "ready", "127.0.0.1:80"), usePolling)
			c.randomWatchTime = randomWatchTime
			c.onFailure = func() { t.Error("onFailure called after a watch timeout") }
			c.dial = func(context.Context, string, string) (net.Conn, error) {
				clientEnd, serverEnd := net.Pipe()
				go discovery.serve(t, serverEnd)
				return clientEnd, nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			stopped := make(chan struct{})
			c.requestPoll()
			go func() { c.run(ctx); close(stopped) }()
			for (<-c.updates).Version != 42 {
			}
			readAt := time.Now()
			cancel()
			<-stopped
			c.closeIdleConn()
			if late := readAt.Sub(*discovery.notifiedAt.Load()); late > 0 {
				t.Errorf("change read %v after the sidecar counts as notified, want before", late)
			}
		})
	}
}

// With a pushed list, the sidecar counts as notified of a change during an outage of discovery as soon as
// discovery is reachable again. The longest backoff must therefore be well below the drain grace.
func TestBackoffFitsIntoDrainGrace(t *testing.T) {
	cfg := testConfig(t, fullListResponse(1, "ready"), func(_, settings map[string]any) {
		settings["rules"].(map[string]any)["stop_sending_within_ms"] = 400.0
	})
	if d := newDiscoveryClient(cfg, nil, nil); d.maxBackoff != 100*time.Millisecond {
		t.Errorf("maxBackoff = %v, want 100ms", d.maxBackoff)
	}
}

// With a polled list, the client must call discovery only after the Balancer has requested a poll.
func TestPolledDiscoveryIsCalledOnlyOnPoll(t *testing.T) {
	calls := make(chan struct{}, 100)
	address := serveDiscovery(t, func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := newTestDiscoveryClient(t, address, fullListResponse(0, "ready"), usePolling)
	c.runUntilTestEnds(t)
	for range 2 {
		if len(calls) > 0 {
			t.Fatal("discovery called without a poll request")
		}
		c.requestPoll()
		wait(t, "the failure", c.failures)
		wait(t, "the call", calls)
	}
}

// A reload changes the address to that of another discovery, which has version numbers of its own. The client
// must abort its watch at the old address and request the full list at the new one. An invalid file must
// change nothing.
func TestReloadChangesDiscoveryAddress(t *testing.T) {
	calls, watchEnded := make(chan string, 100), make(chan struct{}, 100)
	serveVersion := func(version int) string {
		return serveDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
			calls <- fmt.Sprintf("%d %s", version, r.URL.RawQuery)
			if r.URL.RawQuery != "" {
				<-r.Context().Done()
				watchEnded <- struct{}{}
				return
			}
			_, _ = io.WriteString(w, fullListResponse(version, "ready", "127.0.0.1:81"))
		})
	}
	oldAddress, newAddress := serveVersion(50), serveVersion(3)
	c := newTestDiscoveryClient(t, oldAddress, fullListResponse(1, "ready"), nil)
	c.onFailure = func() { t.Error("onFailure called after a change of address") }
	c.runUntilTestEnds(t)
	expectCall := func(want string) {
		t.Helper()
		if got := wait(t, want, calls); got != want {
			t.Errorf("version and query of the call = %q, want %q", got, want)
		}
	}
	expectCall("50 ")
	expectCall("50 index=50&wait=20000")
	path := filepath.Join(t.TempDir(), "config.json")
	valid := testConfigText(t, fullListResponse(1, "ready"), func(file, _ map[string]any) { file["discovery"] = newAddress })
	for _, text := range []string{"{", valid} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		c.reload(path)
		c.reload(path)
	}
	wait(t, "the old watch to end", watchEnded)
	expectCall("3 ")
	expectCall("3 index=3&wait=20000")
	for _, version := range []int64{50, 3} {
		if update := wait(t, "an update", c.updates); !update.Full || update.Version != version {
			t.Errorf("version, full = %d, %v, want %d, true", update.Version, update.Full, version)
		}
	}
}
