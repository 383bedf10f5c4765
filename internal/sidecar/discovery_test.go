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

// The whole list, then a watch from its version on; a malformed answer or a failure is passed
// over, and after a pause it begins again with the whole list.
func TestDiscoveryIsFollowed(t *testing.T) {
	queries := make(chan string, 100)
	answers := make(chan func(http.ResponseWriter), 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		select {
		case answer := <-answers:
			answer(w)
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	say := func(body string) func(http.ResponseWriter) {
		return func(w http.ResponseWriter) { _, _ = io.WriteString(w, body) }
	}
	cfg := testConfig(t, listed(0, "ready"), func(file, _ map[string]any) {
		file["discovery"] = server.Listener.Addr().String()
	})
	heard, failed := make(chan endpointlist.List, 100), make(chan struct{}, 100)
	d := newDiscoveryClient(cfg, func(l endpointlist.List) { heard <- l }, func() { failed <- struct{}{} })
	d.drawWatchTime = func() time.Duration { return generous } // drawn anew for each watch, and here all of one length
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.run(ctx); close(ended) }()

	step := func(query string, answer func(http.ResponseWriter)) {
		t.Helper()
		answers <- answer
		if got := wait(t, "a call", queries); got != query {
			t.Fatalf("query %q, want %q", got, query)
		}
	}
	news := func(version int64, whole bool) {
		t.Helper()
		if l := wait(t, "a list", heard); l.Version != version || l.Complete != whole {
			t.Fatalf("version %d, whole %v, want %d, %v", l.Version, l.Complete, version, whole)
		}
	}
	step("", say(listed(41, "ready", "127.0.0.1:80")))
	news(41, true)
	step("index=41&wait=20000", say(`{"generation":43,"reset":false,"instances":[]}`))
	news(43, false)
	step("index=43&wait=20000", say(`{"generation":44,"instances":[{"instanceId":""}]}`))
	wait(t, "the failure", failed)
	step("", func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) })
	wait(t, "the failure", failed)
	step("", say(listed(45, "ready", "127.0.0.1:80")))
	news(45, true)
	if len(heard)+len(failed) > 0 {
		t.Errorf("%d more lists, %d more failures", len(heard), len(failed))
	}
	cancel()
	wait(t, "the end", ended)
}

// Guards against a fleet that restarts and asks for the whole list at once: each begins with the changes since
// the list that it was given, also after discovery turned it away. What can't be read, or a version that goes
// back, has it ask for the whole.
func TestDiscoveryBeginsWithChangesSinceTheListHeld(t *testing.T) {
	queries := make(chan string, 100)
	answers := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		select {
		case answer := <-answers:
			if answer == "" {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = io.WriteString(w, answer)
		case <-r.Context().Done():
		}
	}))
	defer server.Close()
	cfg := testConfig(t, listed(41, "ready", "127.0.0.1:80"), func(file, _ map[string]any) {
		file["discovery"] = server.Listener.Addr().String()
	})
	heard := make(chan endpointlist.List, 100)
	d := newDiscoveryClient(cfg, func(l endpointlist.List) { heard <- l }, func() {})
	d.drawWatchTime = func() time.Duration { return generous }
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.run(ctx); close(ended) }()
	const changes = `{"generation":%d,"reset":false,"instances":[]}`
	for n, step := range []struct {
		query, answer string
		whole, told   bool
	}{
		{"index=41&wait=1", "", false, false},
		{"index=41&wait=1", fmt.Sprintf(changes, 43), false, true},
		{"index=43&wait=20000", listed(44, "ready", "127.0.0.1:81"), true, true},
		{"index=44&wait=20000", "noise", false, false},
		{"", listed(45, "ready", "127.0.0.1:82"), true, true},
		{"index=45&wait=20000", "", false, false},
		{"index=45&wait=1", fmt.Sprintf(changes, 3), false, false},
		{"", listed(3, "ready", "127.0.0.1:82"), true, true},
	} {
		answers <- step.answer
		if got := wait(t, "a call", queries); got != step.query {
			t.Fatalf("call %d: %q, want %q", n, got, step.query)
		}
		if step.told {
			if l := wait(t, "a list", heard); l.Complete != step.whole {
				t.Fatalf("call %d: whole %v, want %v", n, l.Complete, step.whole)
			}
		}
	}
	if len(heard) > 0 {
		t.Errorf("%d more lists were taken", len(heard))
	}
	cancel()
	wait(t, "the end", ended)
}

// A watch that discovery never answers is given up, and what changed meanwhile read at once on a new connection:
// it is no failure, after which the module would let time pass.
func TestSilentWatchIsReadAgain(t *testing.T) {
	queries := make(chan string, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		queries <- r.URL.RawQuery
		switch r.URL.RawQuery {
		case "":
			_, _ = io.WriteString(w, listed(41, "ready", "127.0.0.1:80"))
		case "index=41&wait=1":
			_, _ = io.WriteString(w, listed(42, "draining", "127.0.0.1:80"))
		default: // a watch: silent until the other side ends it
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	cfg := testConfig(t, listed(0, "ready"), func(file, settings map[string]any) {
		file["discovery"] = server.Listener.Addr().String()
		settings["discovery"] = "ask"
	})
	heard := make(chan endpointlist.List, 100)
	d := newDiscoveryClient(cfg, func(l endpointlist.List) { heard <- l }, func() { t.Error("told the module of a failure") })
	waits := make(chan time.Duration, 2)
	waits <- 5 * time.Millisecond
	waits <- generous
	d.drawWatchTime, d.watchGrace = func() time.Duration { return <-waits }, time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	d.poll()
	go func() { d.run(ctx); close(ended) }()
	for _, want := range []string{"", "index=41&wait=5", "index=41&wait=1", "index=42&wait=20000"} {
		if got := wait(t, "a call", queries); got != want {
			t.Fatalf("called %q, want %q", got, want)
		}
	}
	if l := wait(t, "the list", heard); l.Endpoints[0].State != policy.Ready {
		t.Errorf("first %+v", l)
	}
	if l := wait(t, "the news", heard); l.Endpoints[0].State != policy.Draining {
		t.Errorf("after the silence %+v", l)
	}
	cancel()
	wait(t, "the end", ended)
}

// What a silent watch misses counts as told 2 s after its wait is over. On the page's clock it is known before
// that, however long the watch may be held, also where discovery takes a second over the call that reads it.
func TestSilentWatchIsReadInTime(t *testing.T) {
	const counts, turn = 2 * time.Second, time.Second
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			cfg := testConfig(t, listed(41, "ready", "127.0.0.1:80"), func(_, settings map[string]any) { settings["discovery"] = "ask" })
			heard := make(chan endpointlist.List, 1)
			d := newDiscoveryClient(cfg, func(l endpointlist.List) {
				if l.Version == 42 {
					heard <- l
				}
			}, func() { t.Error("told the module of a failure") })
			var told atomic.Pointer[time.Time] // when what the silent watch missed counts as told
			answer := func(c net.Conn) {
				defer c.Close()
				r := bufio.NewReader(c)
				for calls := 0; ; calls++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					wait, err := strconv.Atoi(req.FormValue("wait"))
					version := 41
					switch {
					case err != nil:
						t.Errorf("query %q", req.URL.RawQuery)
						return
					case wait > 1 && told.Load() == nil:
						at := time.Now().Add(time.Duration(wait)*time.Millisecond + counts)
						told.Store(&at)
						continue // falls silent
					case wait > 1:
						continue
					case told.Load() != nil:
						time.Sleep(turn)
						version = 42
					}
					if !ok(c, fmt.Sprintf(`{"generation":%d,"reset":false,"instances":[]}`, version)) {
						return
					}
				}
			}
			d.dial = func(context.Context, string, string) (net.Conn, error) {
				ours, theirs := net.Pipe()
				go answer(theirs)
				return ours, nil
			}
			ctx, cancel := context.WithCancel(t.Context())
			d.poll()
			ended := make(chan struct{})
			go func() { d.run(ctx); close(ended) }()
			<-heard
			if late := time.Since(*told.Load()); late > 0 {
				t.Errorf("known %v after it counts as told", late)
			}
			cancel()
			<-ended
			d.closeIdle()
		})
	}
}

// Where lists are pushed, what has changed while discovery was away counts as told at its return, so the longest
// pause between calls is well under the time in which sends must stop.
func TestPushedListIsCalledWithinTheGrace(t *testing.T) {
	cfg := testConfig(t, listed(1, "ready"), func(_, settings map[string]any) {
		settings["rules"].(map[string]any)["stop_sending_within_ms"] = 400.0
	})
	if d := newDiscoveryClient(cfg, nil, nil); d.maxBackoff != 100*time.Millisecond {
		t.Errorf("pauses up to %v, want 100ms", d.maxBackoff)
	}
}

// Where the list must be asked for, nothing is called before the module asks.
func TestDiscoveryIsAsked(t *testing.T) {
	calls := make(chan struct{}, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	cfg := testConfig(t, listed(0, "ready"), func(file, settings map[string]any) {
		file["discovery"] = server.Listener.Addr().String()
		settings["discovery"] = "ask"
	})
	failed := make(chan struct{}, 100)
	d := newDiscoveryClient(cfg, func(endpointlist.List) {}, func() { failed <- struct{}{} })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.run(ctx)
	for range 2 {
		if len(calls) > 0 {
			t.Fatal("called unasked")
		}
		d.poll()
		wait(t, "the failure", failed)
		wait(t, "the call", calls)
	}
}

// A new configuration names another discovery: its list is taken whole, the watch at the old one ends.
// A file that can't be used changes nothing.
func TestReloadMovesDiscovery(t *testing.T) {
	calls, left := make(chan string, 100), make(chan struct{}, 100)
	serve := func(generation int) string {
		d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			calls <- fmt.Sprintf("%d %s", generation, r.URL.RawQuery)
			if r.URL.RawQuery != "" {
				<-r.Context().Done()
				left <- struct{}{}
				return
			}
			_, _ = io.WriteString(w, listed(generation, "ready", "127.0.0.1:81"))
		}))
		t.Cleanup(d.Close)
		return d.Listener.Addr().String()
	}
	before, after := serve(50), serve(3)
	cfg := testConfig(t, listed(1, "ready"), func(file, _ map[string]any) { file["discovery"] = before })
	heard := make(chan endpointlist.List, 100)
	d := newDiscoveryClient(cfg, func(l endpointlist.List) { heard <- l }, func() { t.Error("failed") })
	d.drawWatchTime = func() time.Duration { return generous }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go d.run(ctx)
	expect := func(want string) {
		t.Helper()
		if got := wait(t, want, calls); got != want {
			t.Errorf("called %q, want %q", got, want)
		}
	}
	expect("50 ")
	expect("50 index=50&wait=20000")
	path := filepath.Join(t.TempDir(), "config.json")
	for _, text := range []string{"{", testConfigText(t, listed(1, "ready"), func(file, _ map[string]any) { file["discovery"] = after })} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		d.reload(path)
		d.reload(path)
	}
	wait(t, "the old watch to end", left)
	expect("3 ")
	expect("3 index=3&wait=20000")
	for _, version := range []int64{50, 3} {
		if l := wait(t, "a list", heard); !l.Complete || l.Version != version {
			t.Errorf("version %d, whole %v, want %d as a whole", l.Version, l.Complete, version)
		}
	}
}
