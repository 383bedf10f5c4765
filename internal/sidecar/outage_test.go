package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cranehatch/policy"
)

// outageKind is how calls to discovery fail during an outage.
type outageKind string

const (
	connRefused   outageKind = "refused"
	status503     outageKind = "503"
	slowStatus503 outageKind = "503 after 3 s"
	connReset     outageKind = "reset"
	noResponse    outageKind = "silent"
	neverConnects outageKind = "never connects"
	watchesRemain outageKind = "silent, watches too" // their connections are not reset when the outage begins
)

const slow503Delay = 3 * time.Second

var outageKinds = []outageKind{connRefused, status503, slowStatus503, connReset, noResponse, neverConnects, watchesRemain}

var errConnRefused = errors.New("connection refused")

// outage is a discovery, on the fake clock, that can't be reached for a while. It returns at the worst moment, right
// after a call that came too early, and in that moment one of its two servers drains.
type outage struct {
	kind         outageKind
	begins       time.Time
	minLength    time.Duration
	responseTime time.Duration // of a call that does not wait, after the return
	draining     string        // the address of the server that drains
	other        string        // that of the other one

	mu       sync.Mutex
	returned time.Time     // zero: not yet
	back     chan struct{} // closed on the return
	conns    []net.Conn    // discovery's ends
}

// callFails tells whether a call that begins now fails. The first after minLength fails too, and is followed by the
// return.
func (o *outage) callFails() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if now.Before(o.begins) || !o.returned.IsZero() {
		return false
	}
	if !now.Before(o.begins.Add(o.minLength)) {
		o.returned = now
		close(o.back)
	}
	return true
}

// sinceReturn is how long discovery has been back; below 0: it is not.
func (o *outage) sinceReturn() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.returned.IsZero() {
		return -1
	}
	return time.Since(o.returned)
}

// dial connects a client to discovery.
func (o *outage) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	switch {
	case o.kind == connRefused && o.callFails():
		return nil, errConnRefused
	case o.kind == neverConnects && o.callFails():
		<-ctx.Done() // also after the return
		return nil, ctx.Err()
	}
	clientEnd, serverEnd := net.Pipe()
	o.mu.Lock()
	o.conns = append(o.conns, serverEnd)
	o.mu.Unlock()
	go o.serve(serverEnd)
	return clientEnd, nil
}

// resetWatches closes the open connections, as the outage begins.
func (o *outage) resetWatches() {
	if o.kind != watchesRemain {
		o.closeAll()
	}
}

func (o *outage) closeAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, c := range o.conns {
		c.Close()
	}
}

// serve serves one connection.
func (o *outage) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		began := time.Now()
		if o.callFails() {
			if !o.fail(c, r) {
				return
			}
			continue
		}
		o.waitToRespond(req)
		if began.Before(o.begins) && !time.Now().Before(o.begins) {
			discardAll(r) // a watch over which the outage began: it is never answered
			return
		}
		if !ok(c, o.list()) {
			return
		}
	}
}

// fail has a call fail on its connection, and tells whether that can be used again.
func (o *outage) fail(c net.Conn, r *bufio.Reader) bool {
	switch o.kind {
	case slowStatus503:
		time.Sleep(slow503Delay)
		return respond503(c)
	case status503:
		return respond503(c)
	case connReset:
		return false
	default: // no response, also after the return
		discardAll(r)
		return false
	}
}

func respond503(c net.Conn) bool {
	_, err := io.WriteString(c, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// discardAll reads until the client closes the connection.
func discardAll(r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) }

// waitToRespond waits for as long as discovery needs for a call: for a change, or for the end of the query's wait. A
// call that does not wait is in a queue with others after the return.
func (o *outage) waitToRespond(req *http.Request) {
	watchWait, _ := strconv.Atoi(req.FormValue("wait"))
	switch {
	case watchWait > 1 && req.FormValue("index") == "41":
		select {
		case <-o.back: // the drain is a change
		case <-time.After(time.Duration(watchWait) * time.Millisecond):
		}
	case watchWait > 1:
		time.Sleep(time.Duration(watchWait) * time.Millisecond)
	case o.sinceReturn() >= 0:
		time.Sleep(o.responseTime)
	}
}

// list is the current endpoint list as a response: version 42 has the drain.
func (o *outage) list() string {
	lifecycle, version := "ready", 41
	if o.sinceReturn() >= 0 {
		lifecycle, version = "draining", 42
	}
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[
		{"instanceId":"s-0","hostPort":%q,"lifecycle":%q},{"instanceId":"s-1","hostPort":%q,"lifecycle":"ready"}]}`,
		version, o.draining, lifecycle, o.other)
}

// attemptCounts are the attempts at each server that began when the drain counted as notified.
type attemptCounts struct {
	outage        *outage
	notifiedAfter time.Duration // from the return

	mu       sync.Mutex
	draining int
	other    int
}

// dialServer connects a sidecar to a server, which counts the attempt and answers it.
func (a *attemptCounts) dialServer(_ context.Context, _, address string) (net.Conn, error) {
	clientEnd, serverEnd := net.Pipe()
	go func() {
		defer serverEnd.Close()
		if _, err := http.ReadRequest(bufio.NewReader(serverEnd)); err != nil {
			return
		}
		a.count(address)
		_, _ = io.WriteString(serverEnd, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok")
	}()
	return clientEnd, nil
}

func (a *attemptCounts) count(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.outage.sinceReturn() <= a.notifiedAfter {
		return
	}
	switch address {
	case a.outage.draining:
		a.draining++
	case a.outage.other:
		a.other++
	}
}

// Discovery can't be reached for a while, and when it returns a server drains. A sidecar whose call still hangs, or
// that pauses for too long, would go on sending there. Whichever way calls fail, the drain counts as notified 6 s
// after the return: no attempt may begin there after that. Backoff, call and a response time of 2 s are within it,
// which is what discovery needs when many sidecars return at once.
func TestChangeIsKnownInTimeAfterAnOutage(t *testing.T) {
	for _, mode := range []string{"ask", "push"} {
		for _, kind := range outageKinds {
			for _, seconds := range []int{1, 2, 3, 5, 8, 9, 13, 21, 40} {
				t.Run(fmt.Sprintf("%s/%s/%ds", mode, kind, seconds), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						counts := runThroughOutage(t, mode, kind, time.Duration(seconds)*time.Second)
						if counts.draining > 0 || counts.other == 0 {
							t.Errorf("%d attempts at the draining server after the drain counts as notified; %d at the other",
								counts.draining, counts.other)
						}
					})
				})
			}
		}
	}
}

// runThroughOutage runs a sidecar's loop and discovery client through an outage, with a request every 50 ms.
func runThroughOutage(t *testing.T, mode string, kind outageKind, length time.Duration) *attemptCounts {
	t.Helper()
	const (
		notifiedAfter   = 6 * time.Second
		countedFor      = 4 * time.Second // then the run ends
		requestInterval = 50 * time.Millisecond
	)
	o := newOutage(kind, length)
	counts := &attemptCounts{outage: o, notifiedAfter: notifiedAfter}
	cfg := outageConfig(t, mode, o)
	l, d := connectOutage(t, cfg, counts)
	ctx, cancel := context.WithCancel(t.Context())
	var parts sync.WaitGroup
	parts.Go(func() { l.run(ctx, cfg.CachedEndpoints) })
	parts.Go(func() { d.run(ctx) })
	time.AfterFunc(time.Until(o.begins), o.resetWatches)
	for o.sinceReturn() < notifiedAfter+countedFor { // it returns, as calls go on being made
		time.Sleep(requestInterval)
		reply := make(chan response, 1)
		l.submit(policy.Request{Class: cfg.Classes["look"]}, newTestOutboundRequest("1"), l.clock.now()+generous, reply)
		<-reply
	}
	cancel()
	parts.Wait()
	d.closeIdle()
	o.closeAll()
	time.Sleep(maxWatchTime) // until discovery's goroutines have noticed
	return counts
}

func newOutage(kind outageKind, minLength time.Duration) *outage {
	return &outage{
		kind:         kind,
		begins:       time.Now().Add(1500 * time.Millisecond),
		minLength:    minLength,
		responseTime: 2 * time.Second,
		draining:     "127.0.0.1:81",
		other:        "127.0.0.1:82",
		back:         make(chan struct{}),
	}
}

// outageConfig is the configuration of a sidecar that was started before the outage.
func outageConfig(t *testing.T, mode string, o *outage) *Config {
	t.Helper()
	cfg := testConfig(t, listed(41, "ready", o.draining, o.other), func(_, settings map[string]any) {
		settings["discovery"] = mode
		settings["rules"].(map[string]any)["stop_sending_within_ms"] = 1000.0
		settings["rules"].(map[string]any)["ask_within_ms"] = 10000.0
	})
	cfg.Seed = uint64(o.minLength) // other random pauses for each
	return cfg
}

// connectOutage makes a loop and a discovery client whose connections lead to the model of the outage.
func connectOutage(t *testing.T, cfg *Config, counts *attemptCounts) (*eventLoop, *discoveryClient) {
	t.Helper()
	c := newClock()
	servers := newTransport(cfg, c)
	servers.dial = counts.dialServer
	l, err := newEventLoop(cfg, c, servers)
	if err != nil {
		t.Fatal(err)
	}
	d := newDiscoveryClient(cfg, l.endpointsChanged, l.endpointsFailed)
	l.watchEndpoints = d.poll
	d.dial = counts.outage.dial
	return l, d
}
