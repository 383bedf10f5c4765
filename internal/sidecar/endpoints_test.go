package sidecar

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/policy"
)

// The connection of an attempt is being opened when the update comes that its server drains or is gone. Once up, it
// would carry a request to a server that must get nothing new. The attempt ends as not sent and goes to another.
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
			wait(t, "the first dial", gate.started)
			update, err := endpointlist.Parse([]byte(fmt.Sprintf(`{"generation":2,"reset":false,"instances":[
				{"instanceId":"s-0","hostPort":%q,"lifecycle":%q},{"instanceId":"s-1","hostPort":%q,"lifecycle":"ready"}]}`,
				s.address, lifecycle, other.address)), nil)
			if err != nil {
				t.Fatal(err)
			}
			l.applyEndpoints(update, policy.DeltaUpdate)
			gate.admit <- true
			l.runNextEvent(t) // the attempt has ended as not sent, and the next begins
			if to := wait(t, "the second dial", gate.started); to != other.address {
				t.Errorf("dialed %s, want the other server", to)
			}
			gate.admit <- true
			l.runNextEvent(t)
			if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != http.StatusOK {
				t.Fatalf("the client: %+v, error %v", res, err)
			}
			if len(s.seen) > 0 || len(other.seen) != 1 {
				t.Errorf("%d requests to the %s server, %d to the other, want 0 and 1", len(s.seen), lifecycle, len(other.seen))
			}
		})
	}
}

// longerThanRetryPause is longer than the policy's pauses, and much shorter than any deadline.
const longerThanRetryPause = 200 * time.Millisecond

// Neither a queued request nor one that waits for a retry is sent to a server after the update that it drains or is
// gone.
func TestNothingIsSentToDrainingServer(t *testing.T) {
	for _, lifecycle := range []string{"draining", "gone"} {
		t.Run(lifecycle, func(t *testing.T) {
			s := newStub(t, echo)
			rejecting := newStub(t, rejectUnprocessed)
			l := newTestLoop(t, rejecting.address)
			_, address := serveClients(t, l)
			sendOnNewConn(t, address, rawRequest("rejected once"))
			l.runNextEvent(t)
			l.runNextEvent(t) // rejected: it waits for a retry
			l.updateEndpoints(t, lifecycle, rejecting.address, s.address)
			sendOnNewConn(t, address, rawRequest("queued"))
			l.runNextEvent(t)
			l.now += longerThanRetryPause
			l.balancer.TimerFired(l.now)
			l.reportDeniedSends()
			if len(l.requests) != 2 || len(s.seen) > 0 || len(rejecting.seen) != 1 {
				t.Errorf("%d requests wait, %d sent to one server, %d to the other, want 2, 0 and 1 before the update",
					len(l.requests), len(s.seen), len(rejecting.seen))
			}
		})
	}
}

// A new server that comes up at the address of a removed one is another program: a request on a connection of the old
// one would end as a reset, and might have run.
func TestNewServerAtOldAddressInheritsNoConnection(t *testing.T) {
	s := newStub(t, echo)
	l := newTestLoop(t, s.address)
	l.transport.minIdle = 0
	old := l.endpoints[serverID("s-0")]
	attempt(t, l.transport, old, "1", generous)
	l.applyEndpoints(endpointlist.List{
		Endpoints: []policy.Endpoint{{ID: 7, State: policy.Ready}},
		Addresses: map[policy.EndpointID]string{7: s.address},
	}, policy.DeltaUpdate)
	attempt(t, l.transport, l.endpoints[7], "2", generous)
	if first, second := wait(t, "1", s.seen), wait(t, "2", s.seen); first.conn == second.conn {
		t.Error("the new server's request went over the old one's connection")
	}
}

// A server that moves is reached at its new address, one that is gone is not reached at all, and changes leave the
// endpoints that they don't name as they are.
func TestEndpointUpdatesMoveServers(t *testing.T) {
	l := newTestLoop(t, "127.0.0.1:81")
	id := serverID("s-0")
	moved, err := endpointlist.Parse([]byte(`{"generation":2,"reset":false,"instances":[{"instanceId":"s-0","hostPort":"127.0.0.1:82","lifecycle":"ready"}]}`), nil)
	if err != nil {
		t.Fatal(err)
	}
	l.applyEndpoints(moved, policy.DeltaUpdate)
	if l.endpoints[id].address != "127.0.0.1:82" {
		t.Errorf("address %q after the move", l.endpoints[id].address)
	}
	l.applyEndpoints(endpointlist.List{}, policy.DeltaUpdate)
	if len(l.endpoints) != 1 {
		t.Errorf("endpoints %v after no change", l.endpoints)
	}
	l.applyEndpoints(endpointlist.List{Endpoints: []policy.Endpoint{{ID: id, State: policy.Removed}}}, policy.DeltaUpdate)
	if len(l.endpoints) != 0 {
		t.Errorf("endpoints %v, the server is gone", l.endpoints)
	}
	l.applyEndpoints(moved, policy.DeltaUpdate)
	l.applyEndpoints(endpointlist.List{Complete: true}, policy.FullUpdate)
	if len(l.endpoints) != 0 {
		t.Errorf("endpoints %v after a full list of none", l.endpoints)
	}
}
