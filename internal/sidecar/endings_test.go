package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

// entrance serves clients on loopback for a loop whose goroutine is the test itself.
func entrance(t *testing.T, l *eventLoop) (f *ingress, address string) {
	t.Helper()
	cfg := testConfig(t, listed(1, "ready"), nil)
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	f = newIngress(cfg, l.clock, l)
	a := newAcceptor(listener, cfg.maxClientConns())
	server := f.server(a)
	go func() { _ = server.Serve(a) }() // ends with the test
	t.Cleanup(func() { server.Close() })
	return f, listener.Addr().String()
}

// client opens a connection and sends a request on it.
func client(t *testing.T, address, head string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetReadDeadline(time.Now().Add(generous)); err != nil {
		t.Fatal(err)
	}
	write(t, c, head)
	return c.(*net.TCPConn)
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// look is a usable request that has no effect.
func look(id string) string {
	return fmt.Sprintf("GET /look HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: look\r\n"+
		"X-Tenant-Id: north\r\nX-Timeout: 20000m\r\n\r\n", id)
}

// list has the loop take news of servers in one state, at addresses, named by their number from 0.
func (l *eventLoop) listAll(t *testing.T, lifecycle string, addresses ...string) {
	t.Helper()
	news, err := endpointlist.Parse([]byte(listed(2, lifecycle, addresses...)), nil)
	if err != nil {
		t.Fatal(err)
	}
	l.applyEndpoints(news, policy.FullUpdate)
	l.reportUnsent()
}

// ways are how a client leaves. Each returns once the close is on its way.
var ways = map[string]func(t *testing.T, c *net.TCPConn){
	"FIN": func(t *testing.T, c *net.TCPConn) { c.Close() },
	"reset": func(t *testing.T, c *net.TCPConn) {
		if err := c.SetLinger(0); err != nil {
			t.Error(err)
		}
		c.Close()
	},
	"FIN behind more": func(t *testing.T, c *net.TCPConn) {
		write(t, c, look("behind"))
		c.Close()
	},
	"half a close behind more": func(t *testing.T, c *net.TCPConn) {
		write(t, c, look("behind"))
		if err := c.CloseWrite(); err != nil {
			t.Error(err)
		}
	},
	"reset behind more": func(t *testing.T, c *net.TCPConn) {
		write(t, c, look("behind"))
		if err := c.SetLinger(0); err != nil {
			t.Error(err)
		}
		c.Close()
	},
	"more than may be read ahead": func(t *testing.T, c *net.TCPConn) {
		write(t, c, strings.Repeat("x", maxBufferedBytes+1+4<<10))
	},
}

// A request whose client leaves while it waits for a server is not sent on, though one comes up right after.
func TestClientLeavesWhileQueued(t *testing.T) {
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, echo)
			l := idleLoop(t, s.address)
			l.listAll(t, "draining", s.address)
			_, address := entrance(t, l)
			c := client(t, address, look("left"))
			l.next(t) // it waits
			leave(t, c)
			l.next(t) // its client has gone
			l.listAll(t, "ready", s.address)
			c = client(t, address, look("stays"))
			for range 2 {
				l.next(t)
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

// So it is with one that waits to be sent again, after an attempt that was turned away.
func TestClientLeavesBetweenAttempts(t *testing.T) {
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			full := newStub(t, turnAway)
			s := newStub(t, echo)
			l := idleLoop(t, full.address)
			_, address := entrance(t, l)
			c := client(t, address, look("left"))
			l.next(t) // it is sent
			wait(t, "the first attempt", full.seen)
			l.next(t) // and turned away: it waits for another server
			if len(l.requests) != 1 {
				t.Fatalf("%d requests wait, want 1", len(l.requests))
			}
			leave(t, c)
			l.next(t)
			l.listAll(t, "ready", full.address, s.address)
			if len(l.requests) != 0 || len(s.seen)+len(full.seen) > 0 {
				t.Errorf("%d requests held, %d sent after the client left", len(l.requests), len(s.seen)+len(full.seen))
			}
		})
	}
}

// heldDial has connections come up when the test says so: each item lets one through.
func heldDial(u *transport) (dialling chan string, come chan bool) {
	dialling, come = make(chan string, 100), make(chan bool, 100)
	dial := u.dial
	u.dial = func(_ context.Context, network, address string) (net.Conn, error) { // late, whatever the context says
		dialling <- address
		<-come
		return dial(context.Background(), network, address)
	}
	return dialling, come
}

// Nothing is written for a request whose client has left while its connection was coming up, also where the
// settings don't let attempts be called off.
func TestClientLeavesWhileItsConnectionComesUp(t *testing.T) {
	for name, leave := range ways {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, echo)
			cfg := testConfig(t, listed(1, "ready", s.address), func(_, settings map[string]any) {
				settings["caps"].(map[string]any)["may_cancel"] = false
			})
			l := loopFor(t, cfg)
			dialling, come := heldDial(l.transport)
			_, address := entrance(t, l)
			c := client(t, address, look("left"))
			l.next(t)
			wait(t, "the call", dialling)
			leave(t, c)
			l.next(t) // its client has gone
			come <- true
			l.next(t) // the end of its attempt
			if len(l.requests) != 0 || len(s.seen) > 0 {
				t.Errorf("%d requests held, %d sent after the client left", len(l.requests), len(s.seen))
			}
		})
	}
}

// held takes an event that is not to run yet: the loop is short of CPU.
func (l *eventLoop) held(t *testing.T, what string) func(now time.Duration) {
	t.Helper()
	return wait(t, what, l.events)
}

// The word that a client has left may wait behind much else, where CPU is short. What would be sent for it meanwhile
// is not: a first attempt, one from the queue, a further one, or one whose connection has just come up.
func TestClientLeavesWhileTheLoopIsBehind(t *testing.T) {
	for name, leave := range ways {
		for _, at := range []string{"first", "queued", "between attempts", "dialling"} {
			t.Run(at+"/"+name, func(t *testing.T) {
				s, turnsAway := newStub(t, echo), newStub(t, turnAway)
				l := idleLoop(t, s.address)
				dialling, come := heldDial(l.transport)
				come <- true
				_, address := entrance(t, l)
				var ask, gone func(now time.Duration)
				switch at {
				case "first":
					c := client(t, address, look("left"))
					ask = l.held(t, "the request")
					leave(t, c)
					gone = l.held(t, "the client's leaving")
					ask(l.clock.now())
				case "queued":
					l.listAll(t, "draining", s.address)
					c := client(t, address, look("left"))
					l.next(t)
					leave(t, c)
					gone = l.held(t, "the client's leaving")
					l.listAll(t, "ready", s.address)
				case "between attempts":
					l.listAll(t, "ready", turnsAway.address)
					c := client(t, address, look("left"))
					l.next(t)
					wait(t, "the first attempt", turnsAway.seen)
					wait(t, "the first call", dialling)
					l.next(t) // turned away: it waits for another server
					come <- true
					leave(t, c)
					gone = l.held(t, "the client's leaving")
					l.listAll(t, "ready", turnsAway.address, s.address)
				case "dialling":
					<-come
					c := client(t, address, look("left"))
					l.next(t)
					wait(t, "the call", dialling)
					leave(t, c)
					gone = l.held(t, "the client's leaving")
					come <- true
				}
				l.next(t) // the end of the attempt that was not to be
				if len(l.requests) != 0 {
					t.Errorf("%d requests held, want none", len(l.requests))
				}
				gone(l.clock.now())
				l.reportUnsent()
				if len(s.seen)+len(turnsAway.seen) > 0 || at != "dialling" && len(dialling) > 0 {
					t.Errorf("%d sent and %d connections opened for a client that has gone",
						len(s.seen)+len(turnsAway.seen), len(dialling))
				}
			})
		}
	}
}

// So it is where many leave at once, each with an attempt whose connection comes up before the loop has heard of it.
func TestManyClientsLeaveAtOnce(t *testing.T) {
	const many = 60
	s := newStub(t, echo)
	l := idleLoop(t, s.address)
	dialling, come := heldDial(l.transport)
	_, address := entrance(t, l)
	var clients []*net.TCPConn
	for i := range many {
		clients = append(clients, client(t, address, look(fmt.Sprintf("left%d", i))))
		l.next(t)
		wait(t, "the call", dialling)
	}
	var gone []func(now time.Duration)
	for _, c := range clients {
		c.Close()
		gone = append(gone, l.held(t, "the client's leaving"))
	}
	for range many {
		come <- true
	}
	for range many {
		l.next(t)
	}
	for _, event := range gone {
		event(l.clock.now())
	}
	if len(l.requests) != 0 || len(s.seen) > 0 {
		t.Errorf("%d requests held, %d sent after their clients left", len(l.requests), len(s.seen))
	}
}

// An attempt whose connection comes up after the news that its server drains or has gone is not written there.
// It has not run, so it goes to another server.
func TestServerLeavesWhileAConnectionComesUp(t *testing.T) {
	for _, lifecycle := range []string{"draining", "gone"} {
		t.Run(lifecycle, func(t *testing.T) {
			s, other := newStub(t, echo), newStub(t, echo)
			l := idleLoop(t, s.address)
			dialling, come := heldDial(l.transport)
			_, address := entrance(t, l)
			c := client(t, address, strings.NewReplacer("GET /look", "POST /entry", "Class: look", "Class: entry",
				"X-Timeout", "Content-Length: 0\r\nX-Timeout").Replace(look("one")))
			l.next(t)
			wait(t, "the first call", dialling)
			news, err := endpointlist.Parse([]byte(fmt.Sprintf(`{"generation":2,"reset":false,"instances":[
				{"instanceId":"s-0","hostPort":%q,"lifecycle":%q},{"instanceId":"s-1","hostPort":%q,"lifecycle":"ready"}]}`,
				s.address, lifecycle, other.address)), nil)
			if err != nil {
				t.Fatal(err)
			}
			l.applyEndpoints(news, policy.DeltaUpdate)
			come <- true
			l.next(t) // the attempt has ended as not sent, and the next begins
			if to := wait(t, "the second call", dialling); to != other.address {
				t.Errorf("called %s, want the other server", to)
			}
			come <- true
			l.next(t)
			if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("the client: %+v, error %v", res, err)
			}
			if len(s.seen) > 0 || len(other.seen) != 1 {
				t.Errorf("%d requests to the server that leaves, %d to the other, want 0 and 1", len(s.seen), len(other.seen))
			}
		})
	}
}

// A repeat whose connection comes up when the time is over in which repeats are dropped is not written: it would run
// twice. Nor is it where the connection is not up by then.
func TestRepeatWhoseConnectionComesUpTooLate(t *testing.T) {
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprintf("late %v", late), func(t *testing.T) {
			s := newStub(t, echo)
			l := idleLoop(t, s.address)
			r, _ := l.hold(7)
			var dialling chan string
			var come chan bool
			if late {
				dialling, come = heldDial(l.transport)
			} else {
				l.transport.dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				}
			}
			const within = time.Millisecond
			l.now = l.clock.now()
			l.Send(7, serverID("s-0"), generous, within)
			if late {
				wait(t, "the call", dialling)
				for l.clock.now() < l.now+within {
					runtime.Gosched()
				}
				come <- true
			}
			l.next(t)
			if len(s.seen) > 0 || r.closed || r.inFlight != 0 {
				t.Errorf("%d repeats written, answered %v, %d attempts out", len(s.seen), r.closed, r.inFlight)
			}
		})
	}
}

// Nor does a queued request, or one that waits to be sent again, go to a server once the news is in.
func TestNothingNewAfterTheNews(t *testing.T) {
	for _, lifecycle := range []string{"draining", "gone"} {
		t.Run(lifecycle, func(t *testing.T) {
			s := newStub(t, echo)
			full := newStub(t, turnAway)
			l := idleLoop(t, full.address)
			_, address := entrance(t, l)
			client(t, address, look("again"))
			l.next(t)
			l.next(t) // turned away: it waits to be sent again
			l.listAll(t, lifecycle, full.address, s.address)
			client(t, address, look("queued"))
			l.next(t)
			l.now += idleFor
			l.balancer.TimerFired(l.now)
			l.reportUnsent()
			if len(l.requests) != 2 || len(s.seen) > 0 || len(full.seen) != 1 {
				t.Errorf("%d requests wait, %d sent to one server, %d to the other, want 2, 0 and 1 before the news",
					len(l.requests), len(s.seen), len(full.seen))
			}
		})
	}
}

// idleFor is longer than the module waits between looks at what it holds, and much shorter than any deadline.
const idleFor = 200 * time.Millisecond

// What a client has sent behind a request is served in turn, byte by byte in the order that it came, when the
// answer before it is out: the watch on the client keeps what it has read.
func TestRequestsBehindARequest(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, func(c net.Conn, r received) bool {
		<-release
		return echo(c, r)
	})
	side := start(t, nil, s.address)
	c := client(t, strings.TrimPrefix(side.url, "http://"), look("r0"))
	const more = 12
	var behind strings.Builder
	for i := range more {
		behind.WriteString(look(fmt.Sprintf("r%d", i+1)))
	}
	wait(t, "the first request", s.seen)
	for text := behind.String(); len(text) > 0; { // in pieces that cut heads anywhere
		n := min(len(text), 97)
		write(t, c, text[:n])
		text = text[n:]
	}
	close(release)
	r := bufio.NewReader(c)
	for i := range more + 1 {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		if want := fmt.Sprintf("done r%d", i); err != nil || string(body) != want {
			t.Fatalf("answer %d: %s %q, error %v, want %q", i, res.Status, body, err, want)
		}
	}
}

// stopping is a sidecar that has been told to end.
func stopping(t *testing.T, side *running) {
	t.Helper()
	side.stop()
	for {
		if res, _ := do(t, side.request(t, "GET", "/up", "")); res.StatusCode == http.StatusServiceUnavailable {
			return
		}
	}
}

// Clients send on every connection that stays open after SIGTERM. None is closed under them: each is answered
// and closes then, and the sidecar ends with the last.
func TestRequestOnAnIdleConnectionAfterStop(t *testing.T) {
	s := newStub(t, echo)
	side := start(t, nil, s.address)
	address := strings.TrimPrefix(side.url, "http://")
	used := client(t, address, look("before"))
	r := bufio.NewReader(used)
	if res, err := http.ReadResponse(r, nil); err != nil || res.Close {
		t.Fatalf("before the stop: %+v, error %v", res, err)
	} else if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	half := look("half")
	begun := client(t, address, half[:40])
	wait(t, "the first request", s.seen)
	stopping(t, side)
	select {
	case err := <-side.ended:
		t.Fatalf("ended (%v) with connections open", err)
	default:
	}
	write(t, used, look("after"))
	write(t, begun, half[40:])
	for name, r := range map[string]*bufio.Reader{"idle": r, "begun": bufio.NewReader(begun)} {
		if res, err := http.ReadResponse(r, nil); err != nil || res.StatusCode != http.StatusOK || !res.Close {
			t.Errorf("on the %s connection: %+v, error %v, want 200 and the connection closed", name, res, err)
		}
	}
	if err := wait(t, "the end", side.ended); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// A request that comes after SIGTERM has its answer before the process may be killed, though servers hang; one
// that comes when that is about to be is refused at once and never sent.
func TestAnswerBeforeTheKill(t *testing.T) {
	s := newStub(t, silent)
	l := idleLoop(t, s.address)
	f, address := entrance(t, l)
	f.killAt.Store(int64(l.clock.now() + generous/2))
	client(t, address, look("in time"))
	l.next(t)
	for _, r := range l.requests {
		if r.deadline != time.Duration(f.killAt.Load()) {
			t.Errorf("it is answered by %v, want by %v", r.deadline, time.Duration(f.killAt.Load()))
		}
	}
	f.killAt.Store(1)
	c := client(t, address, look("late"))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.StatusCode != http.StatusServiceUnavailable || !res.Close || res.Header.Get("Retry-After") == "" {
		t.Errorf("the late one: %+v, error %v, want 503, when to come back, and the connection closed", res, err)
	}
	if len(l.events) > 0 || len(l.requests) != 1 {
		t.Errorf("%d events, %d requests: the late one was taken on", len(l.events), len(l.requests))
	}
}
