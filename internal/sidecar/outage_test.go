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
	connRefused     outageKind = "refused"
	status503       outageKind = "503"
	slowStatus503   outageKind = "503 after 3 s"
	connReset       outageKind = "reset"
	noResponse      outageKind = "silent"
	neverConnects   outageKind = "never connects"
	watchesStayOpen outageKind = "silent, watches too" // connections of watches are not reset when the outage begins
)

const slow503Delay = 3 * time.Second

var outageKinds = []outageKind{connRefused, status503, slowStatus503, connReset, noResponse, neverConnects, watchesStayOpen}

var errConnRefused = errors.New("connection refused")

// outage is a stand-in for discovery, on synctest's fake clock, that is unreachable for a while. It recovers
// at the worst moment: right after a call that came too early and failed. At that moment one of its two
// servers starts draining.
type outage struct {
	kind           outageKind
	start          time.Time
	minLength      time.Duration
	responseTime   time.Duration // for calls that are not watches, after the recovery
	drainingServer string        // address of the server that starts draining
	otherServer    string        // address of the other server

	mu          sync.Mutex
	recoveredAt time.Time     // zero: not recovered yet
	recovered   chan struct{} // closed on recovery
	conns       []net.Conn    // discovery's ends of its connections
}

// callFails reports whether a call that begins now fails. The first call after minLength is the last one that
// fails: discovery recovers right after it.
func (o *outage) callFails() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if now.Before(o.start) || !o.recoveredAt.IsZero() {
		return false
	}
	if !now.Before(o.start.Add(o.minLength)) {
		o.recoveredAt = now
		close(o.recovered)
	}
	return true
}

// sinceRecovery returns the time since discovery recovered, or a negative value if it has not.
func (o *outage) sinceRecovery() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.recoveredAt.IsZero() {
		return -1
	}
	return time.Since(o.recoveredAt)
}

// dial connects a client to discovery.
func (o *outage) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	switch {
	case o.kind == connRefused && o.callFails():
		return nil, errConnRefused
	case o.kind == neverConnects && o.callFails():
		<-ctx.Done() // does not connect after the recovery either
		return nil, ctx.Err()
	}
	clientEnd, serverEnd := net.Pipe()
	o.mu.Lock()
	o.conns = append(o.conns, serverEnd)
	o.mu.Unlock()
	go o.serve(serverEnd)
	return clientEnd, nil
}

// resetWatches closes the open connections when the outage begins.
func (o *outage) resetWatches() {
	if o.kind != watchesStayOpen {
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
			if !o.failCall(c, r) {
				return
			}
			continue
		}
		o.waitToRespond(req)
		if began.Before(o.start) && !time.Now().Before(o.start) {
			readUntilClosed(r) // a watch that was open when the outage began is never answered
			return
		}
		if !respondOK(c, o.endpointList()) {
			return
		}
	}
}

// failCall fails a call on its connection, and reports whether the connection can be used again.
func (o *outage) failCall(c net.Conn, r *bufio.Reader) bool {
	switch o.kind {
	case slowStatus503:
		time.Sleep(slow503Delay)
		return respond503(c)
	case status503:
		return respond503(c)
	case connReset:
		return false
	default: // no response, not even after the recovery
		readUntilClosed(r)
		return false
	}
}

func respond503(c net.Conn) bool {
	_, err := io.WriteString(c, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// readUntilClosed reads and discards until the client closes the connection.
func readUntilClosed(r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) }

// waitToRespond waits for as long as discovery takes to answer a call. A watch is answered on a change or
// when its wait has passed. After the recovery, other calls wait in a queue for responseTime.
func (o *outage) waitToRespond(req *http.Request) {
	watchWait, _ := strconv.Atoi(req.FormValue("wait"))
	switch {
	case watchWait > 1 && req.FormValue("index") == "41":
		select {
		case <-o.recovered: // the drain is a change
		case <-time.After(time.Duration(watchWait) * time.Millisecond):
		}
	case watchWait > 1:
		time.Sleep(time.Duration(watchWait) * time.Millisecond)
	case o.sinceRecovery() >= 0:
		time.Sleep(o.responseTime)
	}
}

// endpointList returns the current endpoint list as a response body. Version 42 includes the drain.
func (o *outage) endpointList() string {
	lifecycle, version := "ready", 41
	if o.sinceRecovery() >= 0 {
		lifecycle, version = "draining", 42
	}
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[
		{"instanceId":"s-0","hostPort":%q,"lifecycle":%q},{"instanceId":"s-1","hostPort":%q,"lifecycle":"ready"}]}`,
		version, o.drainingServer, lifecycle, o.otherServer)
}

// attemptCounts counts the attempts at each server after the time at which the drain counts as notified.
type attemptCounts struct {
	outage        *outage
	notifiedAfter time.Duration // from the recovery until the drain counts as notified

	mu             sync.Mutex
	drainingServer int // attempts at the draining server
	otherServer    int // attempts at the other server
}

// dialServer connects a sidecar to a server that counts the attempt and answers it.
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
	if a.outage.sinceRecovery() <= a.notifiedAfter {
		return
	}
	switch address {
	case a.outage.drainingServer:
		a.drainingServer++
	case a.outage.otherServer:
		a.otherServer++
	}
}

// Discovery is unreachable for a while, and a server starts draining when it recovers. A sidecar whose call
// to discovery still hangs, or that backs off for too long, would go on sending to that server. The drain
// counts as notified 6 s after the recovery, however calls fail during the outage, and no attempt may begin
// at that server after that. The 6 s include the backoff, the call and a response time of 2 s, which
// discovery needs when many sidecars reconnect at once.
func TestDrainIsNotifiedInTimeAfterOutage(t *testing.T) {
	for _, mode := range []string{"ask", "push"} {
		for _, kind := range outageKinds {
			for _, seconds := range []int{1, 2, 3, 5, 8, 9, 13, 21, 40} {
				t.Run(fmt.Sprintf("%s/%s/%ds", mode, kind, seconds), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						counts := runThroughOutage(t, mode, kind, time.Duration(seconds)*time.Second)
						if counts.drainingServer > 0 || counts.otherServer == 0 {
							t.Errorf("attempts once the drain counts as notified = %d at the draining server, %d at the other, want none and some",
								counts.drainingServer, counts.otherServer)
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
		countedFor      = 4 * time.Second // how long attempts are counted before the run ends
		requestInterval = 50 * time.Millisecond
	)
	o := newOutage(kind, length)
	counts := &attemptCounts{outage: o, notifiedAfter: notifiedAfter}
	cfg := outageConfig(t, mode, o)
	l, d := newSidecarInOutage(t, cfg, counts)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { l.run(ctx, cfg.CachedEndpoints) })
	running.Go(func() { d.run(ctx) })
	time.AfterFunc(time.Until(o.start), o.resetWatches)
	for o.sinceRecovery() < notifiedAfter+countedFor { // discovery recovers, as the sidecar goes on calling it
		time.Sleep(requestInterval)
		reply := make(chan response, 1)
		l.submit(policy.Request{Class: cfg.Classes["look"]}, newTestOutboundRequest("1"), l.clock.now()+testTimeout, reply)
		<-reply
	}
	cancel()
	running.Wait()
	d.closeIdleConn()
	o.closeAll()
	time.Sleep(maxWatchTime) // lets discovery's goroutines notice the closed connections and end
	return counts
}

func newOutage(kind outageKind, minLength time.Duration) *outage {
	return &outage{
		kind:           kind,
		start:          time.Now().Add(1500 * time.Millisecond),
		minLength:      minLength,
		responseTime:   2 * time.Second,
		drainingServer: "127.0.0.1:81",
		otherServer:    "127.0.0.1:82",
		recovered:      make(chan struct{}),
	}
}

// outageConfig returns the configuration of a sidecar that starts before the outage.
func outageConfig(t *testing.T, mode string, o *outage) *Config {
	t.Helper()
	cfg := testConfig(t, fullListResponse(41, "ready", o.drainingServer, o.otherServer), func(_, settings map[string]any) {
		settings["discovery"] = mode
		settings["rules"].(map[string]any)["stop_sending_within_ms"] = 1000.0
		settings["rules"].(map[string]any)["ask_within_ms"] = 10000.0
	})
	cfg.Seed = uint64(o.minLength) // a different seed for each length of outage
	return cfg
}

// newSidecarInOutage returns a loop and a discovery client that are connected to the outage's discovery and
// servers.
func newSidecarInOutage(t *testing.T, cfg *Config, counts *attemptCounts) (*eventLoop, *discoveryClient) {
	t.Helper()
	clk := newClock()
	servers := newTransport(cfg, clk)
	servers.dial = counts.dialServer
	l, err := newEventLoop(cfg, clk, servers)
	if err != nil {
		t.Fatal(err)
	}
	d := newDiscoveryClient(cfg, l.handleEndpointUpdate, l.handleDiscoveryFailure)
	l.watchEndpoints = d.requestPoll
	d.dial = counts.outage.dial
	return l, d
}
