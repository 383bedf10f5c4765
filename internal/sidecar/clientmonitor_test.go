package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A client disconnects while its request waits for a server. If the request were sent once a server is ready,
// it would use capacity that other clients are waiting for.
func TestClientDisconnectsWhileQueued(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, echo)
			l := newTestLoop(t, s.address)
			l.updateEndpoints(t, "draining", s.address)
			_, address := serveClients(t, l)
			c := sendOnNewConn(t, address, rawRequest("gone"))
			l.runNextEvent(t) // the request is queued
			disconnect(t, c)
			l.runNextEvent(t) // the client's disconnect
			l.updateEndpoints(t, "ready", s.address)
			c = sendOnNewConn(t, address, rawRequest("stays"))
			for range 2 {
				l.runNextEvent(t)
			}
			if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("request of the connected client: response %+v, error %v, want 200", res, err)
			}
			if r := wait(t, "a request", s.receivedRequests); r.Header.Get("X-Request-ID") != "stays" || len(s.receivedRequests) > 0 {
				t.Errorf("server received request %s and %d more, want only \"stays\"", r.Header.Get("X-Request-ID"), len(s.receivedRequests))
			}
		})
	}
}

// A client has sent more behind its request than the memory budget allows to buffer, and disconnects. The bytes that
// are left in the socket must not hide that.
func TestClientDisconnectsBehindUnreadBytes(t *testing.T) {
	s := newStub(t, echo)
	l := newTestLoop(t, s.address)
	l.updateEndpoints(t, "draining", s.address)
	handler, address := serveClients(t, l)
	handler.longRequests.used.Store(handler.longRequests.limit)
	c := sendOnNewConn(t, address, rawRequest("gone")+strings.Repeat(rawRequest("behind"), 100))
	l.runNextEvent(t) // the request is queued
	c.Close()
	l.runNextEvent(t) // the client's disconnect
	l.updateEndpoints(t, "ready", s.address)
	if len(l.requests) != 0 || len(s.receivedRequests) > 0 {
		t.Errorf("%d requests in the table, server received %d, want none", len(l.requests), len(s.receivedRequests))
	}
}

// A server rejects a request, and the client disconnects while the request waits for another server. There
// must be no retry.
func TestClientDisconnectsBetweenAttempts(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			rejecting := newStub(t, respondNotProcessed)
			s := newStub(t, echo)
			l := newTestLoop(t, rejecting.address)
			_, address := serveClients(t, l)
			c := sendOnNewConn(t, address, rawRequest("gone"))
			l.runNextEvent(t) // the request is sent
			wait(t, "the first attempt", rejecting.receivedRequests)
			l.runNextEvent(t) // the server rejects the request, which then waits for another server
			if len(l.requests) != 1 {
				t.Fatalf("%d requests in the table, want 1", len(l.requests))
			}
			disconnect(t, c)
			l.runNextEvent(t)
			l.updateEndpoints(t, "ready", rejecting.address, s.address)
			if len(l.requests) != 0 || len(s.receivedRequests)+len(rejecting.receivedRequests) > 0 {
				t.Errorf("%d requests in the table, %d sent after the client disconnected, want none", len(l.requests), len(s.receivedRequests)+len(rejecting.receivedRequests))
			}
		})
	}
}

// A client disconnects while the connection to the server for its request is being opened. Nothing may be
// written on that connection, even if the settings do not allow attempts to be cancelled.
func TestClientDisconnectsWhileDialing(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, echo)
			cfg := testConfig(t, fullListResponse(1, "ready", s.address), func(_, settings map[string]any) {
				settings["caps"].(map[string]any)["may_cancel"] = false
			})
			l := newTestLoopWithConfig(t, cfg)
			gate := gateDials(l.transport)
			_, address := serveClients(t, l)
			c := sendOnNewConn(t, address, rawRequest("gone"))
			l.runNextEvent(t)
			wait(t, "the dial", gate.dials)
			disconnect(t, c)
			l.runNextEvent(t) // the client's disconnect
			gate.proceed <- true
			l.runNextEvent(t) // the end of the attempt
			if len(l.requests) != 0 || len(s.receivedRequests) > 0 {
				t.Errorf("%d requests in the table, %d sent after the client disconnected, want none", len(l.requests), len(s.receivedRequests))
			}
		})
	}
}

// delayedDisconnect is an event loop that is short of CPU: the event that a client has disconnected waits
// while other events run.
type delayedDisconnect struct {
	loop      *eventLoop
	gate      *dialGate
	server    *stub
	rejecting *stub
	address   string // address that clients connect to
}

func newDelayedDisconnect(t *testing.T) *delayedDisconnect {
	t.Helper()
	d := &delayedDisconnect{server: newStub(t, echo), rejecting: newStub(t, respondNotProcessed)}
	d.loop = newTestLoop(t, d.server.address)
	d.gate = gateDials(d.loop.transport)
	_, d.address = serveClients(t, d.loop)
	return d
}

// disconnect makes a client disconnect and returns the event that reports it, which has not run yet.
func (d *delayedDisconnect) disconnect(t *testing.T, c *net.TCPConn, disconnectClient func(*testing.T, *net.TCPConn)) (disconnectEvent func(now time.Duration)) {
	t.Helper()
	disconnectClient(t, c)
	return d.loop.takeEvent(t, "the client's disconnect")
}

// delayedDisconnectStages are the stages in which a request may be when its client disconnects. Each function
// brings a request to that stage, makes its client disconnect, and then does what makes the loop or the
// transport send the request.
var delayedDisconnectStages = map[string]func(t *testing.T, d *delayedDisconnect, disconnectClient func(*testing.T, *net.TCPConn)) (disconnectEvent func(now time.Duration)){
	"submitted": func(t *testing.T, d *delayedDisconnect, disconnectClient func(*testing.T, *net.TCPConn)) func(time.Duration) {
		d.gate.proceed <- true
		c := sendOnNewConn(t, d.address, rawRequest("gone"))
		submit := d.loop.takeEvent(t, "the request")
		disconnectEvent := d.disconnect(t, c, disconnectClient)
		submit(d.loop.clock.now())
		return disconnectEvent
	},
	"queued": func(t *testing.T, d *delayedDisconnect, disconnectClient func(*testing.T, *net.TCPConn)) func(time.Duration) {
		d.gate.proceed <- true
		d.loop.updateEndpoints(t, "draining", d.server.address)
		c := sendOnNewConn(t, d.address, rawRequest("gone"))
		d.loop.runNextEvent(t)
		disconnectEvent := d.disconnect(t, c, disconnectClient)
		d.loop.updateEndpoints(t, "ready", d.server.address)
		return disconnectEvent
	},
	"between attempts": func(t *testing.T, d *delayedDisconnect, disconnectClient func(*testing.T, *net.TCPConn)) func(time.Duration) {
		d.gate.proceed <- true
		d.loop.updateEndpoints(t, "ready", d.rejecting.address)
		c := sendOnNewConn(t, d.address, rawRequest("gone"))
		d.loop.runNextEvent(t)
		wait(t, "the first attempt", d.rejecting.receivedRequests)
		wait(t, "the first dial", d.gate.dials)
		d.loop.runNextEvent(t) // the server rejects the request, which then waits for another server
		d.gate.proceed <- true
		disconnectEvent := d.disconnect(t, c, disconnectClient)
		d.loop.updateEndpoints(t, "ready", d.rejecting.address, d.server.address)
		return disconnectEvent
	},
	"dialing": func(t *testing.T, d *delayedDisconnect, disconnectClient func(*testing.T, *net.TCPConn)) func(time.Duration) {
		c := sendOnNewConn(t, d.address, rawRequest("gone"))
		d.loop.runNextEvent(t)
		wait(t, "the dial", d.gate.dials)
		disconnectEvent := d.disconnect(t, c, disconnectClient)
		d.gate.proceed <- true
		return disconnectEvent
	},
}

// When CPU is short, the event that a client has disconnected may wait behind many others. Meanwhile the
// request of each such client used to be sent to a server. To prevent that, the transport checks the client's
// socket itself before it dials or writes.
func TestClientDisconnectsWhileLoopIsBehind(t *testing.T) {
	for name, disconnect := range disconnects {
		for stage, runStage := range delayedDisconnectStages {
			t.Run(stage+"/"+name, func(t *testing.T) {
				d := newDelayedDisconnect(t)
				disconnectEvent := runStage(t, d, disconnect)
				d.loop.runNextEvent(t) // the end of the attempt, as NotSent
				if len(d.loop.requests) != 0 {
					t.Errorf("%d requests in the table, want none", len(d.loop.requests))
				}
				disconnectEvent(d.loop.clock.now())
				d.loop.reportDeniedSends()
				sent := len(d.server.receivedRequests) + len(d.rejecting.receivedRequests)
				if sent > 0 || stage != "dialing" && len(d.gate.dials) > 0 {
					t.Errorf("%d requests sent and %d dials for a disconnected client, want none", sent, len(d.gate.dials))
				}
			})
		}
	}
}

// Like TestClientDisconnectsWhileLoopIsBehind, with many clients at once. The connection to the server for
// each request comes up before the loop has run the event that the client has disconnected.
func TestManyClientsDisconnectAtOnce(t *testing.T) {
	const clients = 60
	s := newStub(t, echo)
	l := newTestLoop(t, s.address)
	gate := gateDials(l.transport)
	_, address := serveClients(t, l)
	var conns []*net.TCPConn
	for i := range clients {
		conns = append(conns, sendOnNewConn(t, address, rawRequest(fmt.Sprintf("gone%d", i))))
		l.runNextEvent(t)
		wait(t, "the dial", gate.dials)
	}
	var disconnectEvents []func(now time.Duration)
	for _, c := range conns {
		c.Close()
		disconnectEvents = append(disconnectEvents, l.takeEvent(t, "the client's disconnect"))
	}
	for range clients {
		gate.proceed <- true
	}
	for range clients {
		l.runNextEvent(t)
	}
	for _, event := range disconnectEvents {
		event(l.clock.now())
	}
	if len(l.requests) != 0 || len(s.receivedRequests) > 0 {
		t.Errorf("%d requests in the table, %d sent after their clients disconnected, want none", len(l.requests), len(s.receivedRequests))
	}
}

// The monitor reads what a client sends after its request in flight. If a byte of that were lost or out of
// order, the next requests on the connection would be corrupted. All requests must be served, in order.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	const (
		pipelined  = 12
		pieceBytes = 97 // pieces end at various places in a request
	)
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r receivedRequest) bool {
		<-release
		return echo(c, r)
	})
	side := startSidecar(t, nil, s.address)
	c := sendOnNewConn(t, strings.TrimPrefix(side.url, "http://"), rawRequest("r0"))
	var pipelinedText strings.Builder
	for i := range pipelined {
		pipelinedText.WriteString(rawRequest(fmt.Sprintf("r%d", i+1)))
	}
	wait(t, "the first request", s.receivedRequests)
	for text := pipelinedText.String(); len(text) > 0; {
		n := min(len(text), pieceBytes)
		write(t, c, text[:n])
		text = text[n:]
	}
	close(release)
	r := bufio.NewReader(c)
	for i := range pipelined + 1 {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		if want := fmt.Sprintf("done r%d", i); err != nil || string(body) != want {
			t.Fatalf("response %d: status %s, body %q, error %v, want body %q", i, res.Status, body, err, want)
		}
	}
}
