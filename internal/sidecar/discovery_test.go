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

// testDiscoveryClient is a client whose updates and failures the test reads.
type testDiscoveryClient struct {
	*discoveryClient
	updates  chan endpointlist.List
	failures chan struct{}
}

// newTestDiscoveryClient returns a client of a discovery at an address. Its watches are all of one length.
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
	c.randomWatchTime = func() time.Duration { return generous }
	return c
}

// polled has the endpoint list polled, not pushed.
func usePolling(settings map[string]any) { settings["discovery"] = "ask" }

// runUntilTestEnds runs the client. At the test's end it must return.
func (c *testDiscoveryClient) runUntilTestEnds(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.run(ctx); close(ended) }()
	t.Cleanup(func() {
		cancel()
		wait(t, "the discovery client's end", ended)
	})
}

// expectNothingMore checks that there is no update and no failure that the test has not read.
func (c *testDiscoveryClient) expectNoMoreEvents(t *testing.T) {
	t.Helper()
	if len(c.updates)+len(c.failures) > 0 {
		t.Errorf("%d more updates, %d more failures", len(c.updates), len(c.failures))
	}
}

// discoveryStep is one call to discovery, how it responds, and what the client makes of that.
type discoveryStep struct {
	query    string // of the call
	response string // the body; empty: status 503
	version  int64  // of the update; 0: the call is a failure
	complete bool   // the update is a full list
}

// followSteps serves discovery by a list of steps, runs the client against that and checks each step.
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
			t.Fatalf("call %d: query %q, want %q", n, got, step.query)
		}
		if step.version == 0 {
			wait(t, "the failure", c.failures)
			continue
		}
		if update := wait(t, "an update", c.updates); update.Version != step.version || update.Complete != step.complete {
			t.Fatalf("call %d: version %d, full %v, want %d, %v", n, update.Version, update.Complete, step.version, step.complete)
		}
	}
	c.expectNoMoreEvents(t)
}

// serveDiscovery serves on loopback until the test ends.
func serveDiscovery(t *testing.T, handle http.HandlerFunc) (address string) {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// changes is a response of discovery that names no server.
func deltaResponse(version int64) string {
	return fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[]}`, version)
}

// The client asks for the full list, then for changes since its version. An invalid response has it begin again with
// the full list, as does a call that fails before any list is known.
func TestDiscoveryClientFollowsList(t *testing.T) {
	runDiscoverySteps(t, listed(0, "ready"), []discoveryStep{
		{query: "", response: listed(41, "ready", "127.0.0.1:80"), version: 41, complete: true},
		{query: "index=41&wait=20000", response: deltaResponse(43), version: 43},
		{query: "index=43&wait=20000", response: `{"generation":44,"instances":[{"instanceId":""}]}`},
		{query: "", response: ""},
		{query: "", response: listed(45, "ready", "127.0.0.1:80"), version: 45, complete: true},
	})
}

// An answer of discovery without a list took all servers away, with no line in the log. It is a failure: the servers
// known stay, and the full list is asked for.
func TestResponseWithoutListIsAFailure(t *testing.T) {
	runDiscoverySteps(t, listed(0, "ready"), []discoveryStep{
		{query: "", response: listed(41, "ready", "127.0.0.1:80"), version: 41, complete: true},
		{query: "index=41&wait=20000", response: `{"generation":42,"reset":true}`},
		{query: "", response: `{"generation":42,"reset":true,"instances":null}`},
		{query: "", response: listed(43, "ready", "127.0.0.1:80"), version: 43, complete: true},
		{query: "index=43&wait=20000", response: `{"generation":44,"reset":true,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:80"}]}`},
		{query: "", response: `{"generation":45,"reset":true,"instances":[]}`, version: 45, complete: true},
	})
}

// A fleet that restarts and asks for the full list at once would overload discovery. So each sidecar asks for the
// changes since its cached list, also after discovery has rejected a call. After an invalid response, or changes with
// an older version, it asks for the full list.
func TestFirstCallAsksForChangesSinceCachedList(t *testing.T) {
	runDiscoverySteps(t, listed(41, "ready", "127.0.0.1:80"), []discoveryStep{
		{query: "index=41&wait=1", response: ""},
		{query: "index=41&wait=1", response: deltaResponse(43), version: 43},
		{query: "index=43&wait=20000", response: listed(44, "ready", "127.0.0.1:81"), version: 44, complete: true},
		{query: "index=44&wait=20000", response: "noise"},
		{query: "", response: listed(45, "ready", "127.0.0.1:82"), version: 45, complete: true},
		{query: "index=45&wait=20000", response: ""},
		{query: "index=45&wait=1", response: deltaResponse(3)},
		{query: "", response: listed(3, "ready", "127.0.0.1:82"), version: 3, complete: true},
	})
}

// Discovery never answers a watch, and a server drains meanwhile. The watch times out, and the change is read at once
// over a new connection. That is no failure: after one the Balancer would let time pass.
func TestWatchTimeoutIsFollowedByImmediateCall(t *testing.T) {
	queries := make(chan string, 100)
	address := serveDiscovery(t, func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		switch r.URL.RawQuery {
		case "":
			_, _ = io.WriteString(w, listed(41, "ready", "127.0.0.1:80"))
		case "index=41&wait=1":
			_, _ = io.WriteString(w, listed(42, "draining", "127.0.0.1:80"))
		default: // a watch: no response until the client closes the connection
			<-r.Context().Done()
		}
	})
	c := newTestDiscoveryClient(t, address, listed(0, "ready"), usePolling)
	c.onFailure = func() { t.Error("reported a failure") }
	watchTimes := make(chan time.Duration, 2)
	watchTimes <- 5 * time.Millisecond
	watchTimes <- generous
	c.randomWatchTime, c.watchGrace = func() time.Duration { return <-watchTimes }, time.Millisecond
	c.poll()
	c.runUntilTestEnds(t)
	for _, want := range []string{"", "index=41&wait=5", "index=41&wait=1", "index=42&wait=20000"} {
		if got := wait(t, "a call", queries); got != want {
			t.Fatalf("query %q, want %q", got, want)
		}
	}
	if update := wait(t, "the list", c.updates); update.Endpoints[0].State != policy.Ready {
		t.Errorf("first %+v", update)
	}
	if update := wait(t, "the change", c.updates); update.Endpoints[0].State != policy.Draining {
		t.Errorf("after the timeout %+v", update)
	}
}

// unansweredWatch is a discovery, on the fake clock, that never answers a watch. While the first one is open a change
// comes, to version 42.
type unansweringDiscovery struct {
	responseTime  time.Duration // of a call that does not wait, after the change
	notifiedAfter time.Duration // from the end of a watch's wait until a change that it missed counts as notified

	notifiedAt atomic.Pointer[time.Time] // when that change counts as notified; nil: no watch has come
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
			t.Errorf("query %q", req.URL.RawQuery)
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
		if !ok(c, deltaResponse(version)) {
			return
		}
	}
}

// A change that an unanswered watch missed counts as notified 2 s after the watch's wait is over; a request sent to a
// draining server after that is a fault. The client must know the change by then, however long the watch was to take,
// also where discovery needs a second for the call that reads it. On the fake clock.
func TestMissedChangeIsReadBeforeNotified(t *testing.T) {
	for range 20 { // watches of different lengths
		synctest.Test(t, func(t *testing.T) {
			discovery := &unansweringDiscovery{responseTime: time.Second, notifiedAfter: 2 * time.Second}
			c := newTestDiscoveryClient(t, "127.0.0.1:1", listed(41, "ready", "127.0.0.1:80"), usePolling)
			c.randomWatchTime = randomWatchTime
			c.onFailure = func() { t.Error("reported a failure") }
			c.dial = func(context.Context, string, string) (net.Conn, error) {
				clientEnd, serverEnd := net.Pipe()
				go discovery.serve(t, serverEnd)
				return clientEnd, nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			c.poll()
			go func() { c.run(ctx); close(ended) }()
			for (<-c.updates).Version != 42 {
			}
			known := time.Now()
			cancel()
			<-ended
			c.closeIdle()
			if late := known.Sub(*discovery.notifiedAt.Load()); late > 0 {
				t.Errorf("known %v after it counts as notified", late)
			}
		})
	}
}

// Where lists are pushed, a change while discovery was out of reach counts as notified on its return. So the longest
// pause between two calls is well under the time in which sends must stop.
func TestBackoffFitsIntoDrainGrace(t *testing.T) {
	cfg := testConfig(t, listed(1, "ready"), func(_, settings map[string]any) {
		settings["rules"].(map[string]any)["stop_sending_within_ms"] = 400.0
	})
	if d := newDiscoveryClient(cfg, nil, nil); d.maxBackoff != 100*time.Millisecond {
		t.Errorf("pauses up to %v, want 100ms", d.maxBackoff)
	}
}

// Where lists are polled, discovery is called only when the Balancer asks.
func TestPolledDiscoveryIsCalledOnlyOnPoll(t *testing.T) {
	calls := make(chan struct{}, 100)
	address := serveDiscovery(t, func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := newTestDiscoveryClient(t, address, listed(0, "ready"), usePolling)
	c.runUntilTestEnds(t)
	for range 2 {
		if len(calls) > 0 {
			t.Fatal("called without a poll")
		}
		c.poll()
		wait(t, "the failure", c.failures)
		wait(t, "the call", calls)
	}
}

// A new configuration names another discovery, whose versions are its own: its list is read in full, and the watch at
// the old one ends. A file that can't be used changes nothing.
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
			_, _ = io.WriteString(w, listed(version, "ready", "127.0.0.1:81"))
		})
	}
	before, after := serveVersion(50), serveVersion(3)
	c := newTestDiscoveryClient(t, before, listed(1, "ready"), nil)
	c.onFailure = func() { t.Error("reported a failure") }
	c.runUntilTestEnds(t)
	expectCall := func(want string) {
		t.Helper()
		if got := wait(t, want, calls); got != want {
			t.Errorf("called %q, want %q", got, want)
		}
	}
	expectCall("50 ")
	expectCall("50 index=50&wait=20000")
	path := filepath.Join(t.TempDir(), "config.json")
	moved := testConfigText(t, listed(1, "ready"), func(file, _ map[string]any) { file["discovery"] = after })
	for _, text := range []string{"{", moved} {
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
		if update := wait(t, "an update", c.updates); !update.Complete || update.Version != version {
			t.Errorf("version %d, full %v, want the full list of version %d", update.Version, update.Complete, version)
		}
	}
}
