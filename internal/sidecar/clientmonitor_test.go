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

// A client disconnects while its request waits for a server. Sent on when one comes up, the request would take
// capacity that other clients wait for.
func TestClientDisconnectsWhileQueued(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, echo)
			l := newTestLoop(t, s.address)
			l.updateEndpoints(t, "draining", s.address)
			_, address := serveClients(t, l)
			c := sendOnNewConn(t, address, rawRequest("gone"))
			l.runNextEvent(t) // it is queued
			disconnect(t, c)
			l.runNextEvent(t) // its client has disconnected
			l.updateEndpoints(t, "ready", s.address)
			c = sendOnNewConn(t, address, rawRequest("stays"))
			for range 2 {
				l.runNextEvent(t)
			}
			if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("the client that stays: %+v, error %v", res, err)
			}
			if r := wait(t, "a request", s.seen); r.Header.Get("X-Request-ID") != "stays" || len(s.seen) > 0 {
				t.Errorf("the server had %s and %d more", r.Header.Get("X-Request-ID"), len(s.seen))
			}
		})
	}
}

// A client disconnects after a server has rejected its request, which waits for another server: there must be no
// retry.
func TestClientDisconnectsBetweenAttempts(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			rejecting := newStub(t, rejectUnprocessed)
			s := newStub(t, echo)
			l := newTestLoop(t, rejecting.address)
			_, address := serveClients(t, l)
			c := sendOnNewConn(t, address, rawRequest("gone"))
			l.runNextEvent(t) // it is sent
			wait(t, "the first attempt", rejecting.seen)
			l.runNextEvent(t) // and rejected: it waits for another server
			if len(l.requests) != 1 {
				t.Fatalf("%d requests wait, want 1", len(l.requests))
			}
			disconnect(t, c)
			l.runNextEvent(t)
			l.updateEndpoints(t, "ready", rejecting.address, s.address)
			if len(l.requests) != 0 || len(s.seen)+len(rejecting.seen) > 0 {
				t.Errorf("%d requests in the table, %d sent after the client disconnected", len(l.requests), len(s.seen)+len(rejecting.seen))
			}
		})
	}
}

// A client disconnects while the connection for its request is being opened: nothing may be written there, also
// where the settings don't allow attempts to be cancelled.
func TestClientDisconnectsWhileDialing(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, echo)
			cfg := testConfig(t, listed(1, "ready", s.address), func(_, settings map[string]any) {
				settings["caps"].(map[string]any)["may_cancel"] = false
			})
			l := newTestLoopFor(t, cfg)
			gate := gateDials(l.transport)
			_, address := serveClients(t, l)
			c := sendOnNewConn(t, address, rawRequest("gone"))
			l.runNextEvent(t)
			wait(t, "the dial", gate.started)
			disconnect(t, c)
			l.runNextEvent(t) // its client has disconnected
			gate.admit <- true
			l.runNextEvent(t) // the end of its attempt
			if len(l.requests) != 0 || len(s.seen) > 0 {
				t.Errorf("%d requests in the table, %d sent after the client disconnected", len(l.requests), len(s.seen))
			}
		})
	}
}

// lateNotice is a loop that is short of CPU: the event that a client has disconnected waits while others run.
type delayedDisconnect struct {
	loop      *eventLoop
	gate      *dialGate
	server    *stub
	rejecting *stub
	address   string // where clients connect
}

func newDelayedDisconnect(t *testing.T) *delayedDisconnect {
	t.Helper()
	n := &delayedDisconnect{server: newStub(t, echo), rejecting: newStub(t, rejectUnprocessed)}
	n.loop = newTestLoop(t, n.server.address)
	n.gate = gateDials(n.loop.transport)
	_, n.address = serveClients(t, n.loop)
	return n
}

// disconnect has a client disconnect and returns the event of it, which has not run.
func (n *delayedDisconnect) disconnect(t *testing.T, c *net.TCPConn, how func(*testing.T, *net.TCPConn)) (clientGone func(now time.Duration)) {
	t.Helper()
	how(t, c)
	return n.loop.takeEvent(t, "the client's disconnect")
}

// lateNoticeStages are the stages in which a request may be when its client disconnects. Each brings one there, has
// its client disconnect, and then does what makes the loop or the transport send it on.
var delayedDisconnectStages = map[string]func(t *testing.T, n *delayedDisconnect, how func(*testing.T, *net.TCPConn)) (clientGone func(now time.Duration)){
	"submitted": func(t *testing.T, n *delayedDisconnect, how func(*testing.T, *net.TCPConn)) func(time.Duration) {
		n.gate.admit <- true
		c := sendOnNewConn(t, n.address, rawRequest("gone"))
		submit := n.loop.takeEvent(t, "the request")
		clientGone := n.disconnect(t, c, how)
		submit(n.loop.clock.now())
		return clientGone
	},
	"queued": func(t *testing.T, n *delayedDisconnect, how func(*testing.T, *net.TCPConn)) func(time.Duration) {
		n.gate.admit <- true
		n.loop.updateEndpoints(t, "draining", n.server.address)
		c := sendOnNewConn(t, n.address, rawRequest("gone"))
		n.loop.runNextEvent(t)
		clientGone := n.disconnect(t, c, how)
		n.loop.updateEndpoints(t, "ready", n.server.address)
		return clientGone
	},
	"between attempts": func(t *testing.T, n *delayedDisconnect, how func(*testing.T, *net.TCPConn)) func(time.Duration) {
		n.gate.admit <- true
		n.loop.updateEndpoints(t, "ready", n.rejecting.address)
		c := sendOnNewConn(t, n.address, rawRequest("gone"))
		n.loop.runNextEvent(t)
		wait(t, "the first attempt", n.rejecting.seen)
		wait(t, "the first dial", n.gate.started)
		n.loop.runNextEvent(t) // rejected: it waits for another server
		n.gate.admit <- true
		clientGone := n.disconnect(t, c, how)
		n.loop.updateEndpoints(t, "ready", n.rejecting.address, n.server.address)
		return clientGone
	},
	"dialing": func(t *testing.T, n *delayedDisconnect, how func(*testing.T, *net.TCPConn)) func(time.Duration) {
		c := sendOnNewConn(t, n.address, rawRequest("gone"))
		n.loop.runNextEvent(t)
		wait(t, "the dial", n.gate.started)
		clientGone := n.disconnect(t, c, how)
		n.gate.admit <- true
		return clientGone
	},
}

// Where CPU is short, the event that a client has disconnected may wait behind many others. Meanwhile its request was
// sent on, once per client that had left. The transport asks the client's socket itself before it dials or writes.
func TestClientDisconnectsWhileLoopIsBehind(t *testing.T) {
	for name, how := range disconnects {
		for stage, reach := range delayedDisconnectStages {
			t.Run(stage+"/"+name, func(t *testing.T) {
				n := newDelayedDisconnect(t)
				clientGone := reach(t, n, how)
				n.loop.runNextEvent(t) // the end of the attempt, as not sent
				if len(n.loop.requests) != 0 {
					t.Errorf("%d requests in the table, want none", len(n.loop.requests))
				}
				clientGone(n.loop.clock.now())
				n.loop.reportDeniedSends()
				sent := len(n.server.seen) + len(n.rejecting.seen)
				if sent > 0 || stage != "dialing" && len(n.gate.started) > 0 {
					t.Errorf("%d sent and %d dials for a client that has disconnected", sent, len(n.gate.started))
				}
			})
		}
	}
}

// As above, with many clients at once, each with an attempt whose connection is up before the loop has run the event
// that the client has disconnected.
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
		wait(t, "the dial", gate.started)
	}
	var clientGone []func(now time.Duration)
	for _, c := range conns {
		c.Close()
		clientGone = append(clientGone, l.takeEvent(t, "the client's disconnect"))
	}
	for range clients {
		gate.admit <- true
	}
	for range clients {
		l.runNextEvent(t)
	}
	for _, event := range clientGone {
		event(l.clock.now())
	}
	if len(l.requests) != 0 || len(s.seen) > 0 {
		t.Errorf("%d requests in the table, %d sent after their clients disconnected", len(l.requests), len(s.seen))
	}
}

// The monitor reads what a client sends behind its open request. If a byte of that were lost or out of order, the
// next requests on the connection would be garbled: they must be served one after another, in order.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	const (
		pipelined  = 12
		pieceBytes = 97 // so that pieces end anywhere in a request
	)
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r received) bool {
		<-release
		return echo(c, r)
	})
	side := start(t, nil, s.address)
	c := sendOnNewConn(t, strings.TrimPrefix(side.url, "http://"), rawRequest("r0"))
	var behind strings.Builder
	for i := range pipelined {
		behind.WriteString(rawRequest(fmt.Sprintf("r%d", i+1)))
	}
	wait(t, "the first request", s.seen)
	for text := behind.String(); len(text) > 0; {
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
			t.Fatalf("response %d: %s %q, error %v, want %q", i, res.Status, body, err, want)
		}
	}
}
