package sidecar

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

// Guards against a request that is sent to a draining or removed server because the endpoint update arrives
// while the connection for the attempt is being opened. The attempt must end as NotSent, and the next
// attempt must go to another server.
func TestServerDrainsWhileDialing(t *testing.T) {
	for _, lifecycle := range []string{"draining", "gone"} {
		t.Run(lifecycle, func(t *testing.T) {
			s, other := newStub(t, echo), newStub(t, echo)
			l := newTestLoop(t, s.address)
			gate := gateDials(l.transport)
			_, address := serveClients(t, l)
			nonIdempotent := strings.NewReplacer("GET /look", "POST /entry", "Class: look", "Class: entry",
				"X-Timeout", "Content-Length: 0\r\nX-Timeout").Replace(rawRequest("one"))
			c := sendOnNewConn(t, address, nonIdempotent)
			l.runNextEvent(t)
			wait(t, "the first dial", gate.dials)
			update, err := endpointlist.Parse([]byte(fmt.Sprintf(`{"generation":2,"reset":false,"instances":[
				{"instanceId":"s-0","hostPort":%q,"lifecycle":%q},{"instanceId":"s-1","hostPort":%q,"lifecycle":"ready"}]}`,
				s.address, lifecycle, other.address)), nil)
			if err != nil {
				t.Fatal(err)
			}
			l.applyEndpoints(update, policy.DeltaUpdate)
			gate.proceed <- true
			l.runNextEvent(t) // the attempt has ended as NotSent, and the next one starts
			if dialed := wait(t, "the second dial", gate.dials); dialed != other.address {
				t.Errorf("dialed address = %s, want that of the other server", dialed)
			}
			gate.proceed <- true
			l.runNextEvent(t)
			if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("response = %+v, error = %v, want status 200", res, err)
			}
			if len(s.receivedRequests) > 0 || len(other.receivedRequests) != 1 {
				t.Errorf("requests = %d at the %s server, %d at the other, want 0 and 1", len(s.receivedRequests), lifecycle, len(other.receivedRequests))
			}
		})
	}
}

// longerThanRetryPause is longer than any pause of the policy before a retry, and much shorter than any
// deadline.
const longerThanRetryPause = 200 * time.Millisecond

// After an update that a server is draining or removed, the sidecar must send it neither a queued request nor
// one that waits for its retry.
func TestNothingIsSentToDrainingServer(t *testing.T) {
	for _, lifecycle := range []string{"draining", "gone"} {
		t.Run(lifecycle, func(t *testing.T) {
			s := newStub(t, echo)
			rejecting := newStub(t, respondNotProcessed)
			l := newTestLoop(t, rejecting.address)
			_, address := serveClients(t, l)
			sendOnNewConn(t, address, rawRequest("rejected once"))
			l.runNextEvent(t)
			l.runNextEvent(t) // the server has rejected the request, which now waits for its retry
			l.updateEndpoints(t, lifecycle, rejecting.address, s.address)
			sendOnNewConn(t, address, rawRequest("queued"))
			l.runNextEvent(t)
			l.now += longerThanRetryPause
			l.balancer.TimerFired(l.now)
			l.reportDeniedSends()
			if len(l.requests) != 2 || len(s.receivedRequests) > 0 || len(rejecting.receivedRequests) != 1 {
				t.Errorf("open requests = %d, sent to the second server = %d, sent to the rejecting one = %d, want 2, 0 and 1",
					len(l.requests), len(s.receivedRequests), len(rejecting.receivedRequests))
			}
		})
	}
}

// Guards against a request to a new server on a connection of a removed server that had the same address.
// Such a request would end in a connection reset, which does not prove that it has not been executed.
func TestNewServerAtOldAddressInheritsNoConnection(t *testing.T) {
	s := newStub(t, echo)
	l := newTestLoop(t, s.address)
	l.transport.minIdle = 0
	removed := l.endpoints[serverID("s-0")]
	attempt(t, l.transport, removed, "1", testTimeout)
	l.applyEndpoints(endpointlist.List{
		Endpoints: []policy.Endpoint{{ID: 7, State: policy.Ready}},
		Addresses: map[policy.EndpointID]string{7: s.address},
	}, policy.DeltaUpdate)
	attempt(t, l.transport, l.endpoints[7], "2", testTimeout)
	if first, second := wait(t, "request 1", s.receivedRequests), wait(t, "request 2", s.receivedRequests); first.connNumber == second.connNumber {
		t.Error("the request to the new server was sent on a connection of the removed one")
	}
}

// A server starts again under its ID and at its address. Its old process may have vanished without ending its
// connections, and a request on one of them used to be sent to nobody and to count as one that may have run.
func TestRestartedServerInheritsNoConnection(t *testing.T) {
	s := newStub(t, echo)
	l := newTestLoop(t, s.address)
	l.transport.minIdle = 0
	list := func(startedAtMS int) endpointlist.List {
		list, err := endpointlist.Parse([]byte(fmt.Sprintf(`{"generation":2,"reset":false,"instances":[
			{"instanceId":"s-0","hostPort":%q,"lifecycle":"ready","startedAtMs":%d}]}`, s.address, startedAtMS)), nil)
		if err != nil {
			t.Fatal(err)
		}
		return list
	}
	connNumber := func() int {
		attempt(t, l.transport, l.endpoints[serverID("s-0")], "1", testTimeout)
		return wait(t, "the request", s.receivedRequests).connNumber
	}
	old := connNumber()
	l.applyEndpoints(list(0), policy.DeltaUpdate)
	if n := connNumber(); n != old {
		t.Errorf("request to the same process was sent on connection %d, want %d", n, old)
	}
	l.applyEndpoints(list(1000), policy.DeltaUpdate)
	restarted := connNumber()
	if restarted == old {
		t.Error("request to the restarted server was sent on a connection of its old process")
	}
	if closed := wait(t, "a connection to close", s.closedConns); closed != old {
		t.Errorf("connection %d was closed, want %d", closed, old)
	}
	l.applyEndpoints(list(0), policy.DeltaUpdate) // a list from before the restart
	if n := connNumber(); n != restarted {
		t.Errorf("request after an old entry was sent on connection %d, want %d", n, restarted)
	}
}

// A new server is listed at the address of one that is still listed, as lists may be late. Requests to the old one
// used to be sent to the new process, as to a warm server of the old one's cell.
func TestServerReplacesOthersAtItsAddress(t *testing.T) {
	const entry = `{"instanceId":%q,"hostPort":%q,"lifecycle":"ready","startedAtMs":%d}`
	for name, c := range map[string]struct {
		second   string // entry that is listed beside s-0, which has started at 1000 ms
		reset    bool   // both are in one full list
		want     []string
		selected string // that gets the requests
	}{
		"started later, in a delta":     {fmt.Sprintf(entry, "new", "ADDRESS", 2000), false, []string{"new"}, "new"},
		"started later, in a full list": {fmt.Sprintf(entry, "new", "ADDRESS", 2000), true, []string{"new"}, "new"},
		"started before":                {fmt.Sprintf(entry, "older", "ADDRESS", 500), false, []string{"s-0"}, "s-0"},
		"at another address":            {fmt.Sprintf(entry, "other", "127.0.0.1:1", 2000), false, []string{"other", "s-0"}, ""},
		"started at the same time":      {fmt.Sprintf(entry, "twin", "ADDRESS", 1000), false, []string{"s-0", "twin"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, echo)
			l := newTestLoop(t, s.address)
			apply := func(kind policy.UpdateKind, reset bool, entries ...string) {
				text := fmt.Sprintf(`{"generation":2,"reset":%v,"instances":[%s]}`, reset, strings.Join(entries, ","))
				list, err := endpointlist.Parse([]byte(strings.ReplaceAll(text, "ADDRESS", s.address)), nil)
				if err != nil {
					t.Fatal(err)
				}
				l.applyEndpoints(list, kind)
			}
			first := fmt.Sprintf(entry, "s-0", "ADDRESS", 1000)
			apply(policy.FullUpdate, true, first)
			if c.reset {
				apply(policy.FullUpdate, true, first, c.second)
			} else {
				apply(policy.DeltaUpdate, false, c.second)
			}
			for _, instance := range []string{"s-0", "new", "older", "other", "twin"} {
				if _, listed := l.endpoints[serverID(instance)]; listed != slices.Contains(c.want, instance) {
					t.Errorf("%s is in the endpoint table: %v, want %v", instance, listed, !listed)
				}
			}
			if c.selected == "" {
				return
			}
			r, _ := l.addRequest(1)
			l.balancer.Request(l.now, policy.Request{ID: 1, Class: 2, Timeout: testTimeout})
			if r.inFlight != 1 || len(l.deniedSends) > 0 {
				t.Errorf("%d attempts in flight, %d denied, want one at %s: the Balancer does not know who is listed",
					r.inFlight, len(l.deniedSends), c.selected)
			}
		})
	}
}

// After a server's address changes, the endpoint table must hold the new address. A removed server must leave
// the table, and a delta update must keep endpoints that it does not contain.
func TestEndpointUpdatesMoveServers(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:81")
	id := serverID("s-0")
	moved, err := endpointlist.Parse([]byte(`{"generation":2,"reset":false,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:82","lifecycle":"ready"}]}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	l.applyEndpoints(moved, policy.DeltaUpdate)
	if l.endpoints[id].address != "127.0.0.1:82" {
		t.Errorf("address after the move = %q, want 127.0.0.1:82", l.endpoints[id].address)
	}
	l.applyEndpoints(endpointlist.List{}, policy.DeltaUpdate)
	if len(l.endpoints) != 1 {
		t.Errorf("endpoints after an empty delta update = %v, want one", l.endpoints)
	}
	l.applyEndpoints(endpointlist.List{Endpoints: []policy.Endpoint{{ID: id, State: policy.Removed}}}, policy.DeltaUpdate)
	if len(l.endpoints) != 0 {
		t.Errorf("endpoints after the removal = %v, want none", l.endpoints)
	}
	l.applyEndpoints(moved, policy.DeltaUpdate)
	l.applyEndpoints(endpointlist.List{Full: true}, policy.FullUpdate)
	if len(l.endpoints) != 0 {
		t.Errorf("endpoints after an empty full list = %v, want none", l.endpoints)
	}
}
