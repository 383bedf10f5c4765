package sidecar

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serveStalledClients runs an HTTP server with few places for clients, on which no time limit of a request ends
// within a test. It answers readiness checks with 200.
func serveStalledClients(t *testing.T, maxConns int) (a *acceptor) {
	t.Helper()
	handler := newIngress(testConfig(t, fullListResponse(1, "ready"), nil), newClock(), nil)
	handler.ready.Store(true)
	handler.bodyTimeout = testTimeout
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a = newAcceptor(listener, maxConns)
	a.receiveLimits = receiveLimits{head: testTimeout, request: testTimeout}
	server := handler.server(a)
	server.ReadHeaderTimeout = testTimeout
	go func() { _ = server.Serve(a) }() // ends with the test
	t.Cleanup(func() { server.Close() })
	return a
}

const readinessCheck = "GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n"

// checkReadiness makes a readiness check on a connection.
func checkReadiness(t *testing.T, c net.Conn, r *bufio.Reader) {
	t.Helper()
	write(t, c, readinessCheck)
	if res := readWholeResponse(t, r); res.StatusCode != http.StatusOK {
		t.Fatalf("GET /up: status %s, want 200", res.Status)
	}
}

// partialRequests are the parts of a request after which a client may stop.
var partialRequests = map[string]string{
	"first bytes":  "GET",
	"half a head":  rawRequest("stalled")[:60],
	"whole head":   requestHead("POST", "entry", "Content-Length: 10"),
	"half a body":  requestHead("POST", "entry", "Content-Length: 10") + "12345",
	"rejected one": requestHead("POST", "reading", "Content-Length: 10") + "12345",
}

// Clients stop in the middle of a request and stay, on all connections that the limit allows. They used to keep
// every other client from being accepted until they were disconnected, which took up to two minutes.
func TestStalledRequestsMakeRoomForNewClients(t *testing.T) {
	const maxConns = 3
	for name, partial := range partialRequests {
		for _, used := range []bool{false, true} {
			t.Run(name+map[bool]string{false: "", true: " on a connection that was used"}[used], func(t *testing.T) {
				address := serveStalledClients(t, maxConns).Addr().String()
				var stalled []*bufio.Reader
				for i := range maxConns {
					c := sendOnNewConn(t, address, "")
					r := bufio.NewReader(c)
					if used {
						checkReadiness(t, c, r)
					}
					write(t, c, strings.Replace(partial, "ID: r1", fmt.Sprintf("ID: s%d", i), 1))
					stalled = append(stalled, r)
				}
				for range 2 * maxConns {
					c := sendOnNewConn(t, address, "")
					checkReadiness(t, c, bufio.NewReader(c))
				}
				if name == "rejected one" {
					return // its response does not depend on the limit
				}
				res := readWholeResponse(t, stalled[0])
				if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || !res.Close {
					t.Errorf("stalled client: status %s, header %v, want 503 with Retry-After and Connection: close", res.Status, res.Header)
				}
			})
		}
	}
}

// A client stops after the first bytes of a request on a connection that it has used before. net/http counts
// those under the timeout of idle connections, so it used to keep its connection for two minutes.
func TestStalledClientIsDisconnectedWithinTheHeadTimeout(t *testing.T) {
	side := startSidecar(t, nil)
	for name, partial := range partialRequests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := sendOnNewConn(t, side.address(), "")
			r := bufio.NewReader(c)
			checkReadiness(t, c, r)
			write(t, c, partial)
			if _, err := io.Copy(io.Discard, r); err != nil {
				t.Errorf("stalled client: %v, want the end of the connection", err)
			}
		})
	}
}

// The time to receive a request must not begin anew with its body, nor with each of its bytes.
func TestReceiveTimeoutCountsFromTheFirstByte(t *testing.T) {
	a := newTestAcceptor(t, 2)
	client, accepted := acceptClient(t, a)
	head := requestHead("POST", "entry", "Content-Length: 10")
	deadlineAfter := func(part string) time.Time {
		write(t, client, part)
		if _, err := io.ReadFull(accepted, make([]byte, len(part))); err != nil {
			t.Fatal(err)
		}
		return accepted.receiving.deadline(a.receiveLimits)
	}
	first := deadlineAfter(head[:1])
	if began := accepted.receiving.startedAt; !first.Equal(began.Add(receiveHeadTimeout)) {
		t.Errorf("deadline after the first byte is %v later than that, want %v", first.Sub(began), receiveHeadTimeout)
	}
	if second := deadlineAfter(head[1:3]); !second.Equal(first) {
		t.Errorf("deadline moved by %v with further bytes of the head", second.Sub(first))
	}
	deadlineAfter(head[3:])
	accepted.headRead(10)
	for _, part := range []string{"1", "2345"} {
		if body := deadlineAfter(part); body.Sub(first) != receiveTimeout-receiveHeadTimeout {
			t.Errorf("deadline of the body is %v after that of the head, want %v", body.Sub(first), receiveTimeout-receiveHeadTimeout)
		}
	}
	deadlineAfter("67890")
	if a.receivingConns.Len() != 0 {
		t.Error("the request is complete, but its connection counts as receiving")
	}
}

// The rest of a request arrives as its connection is evicted. The request must not be processed, as the client
// is told that it was not.
func TestEvictedRequestIsNotProcessed(t *testing.T) {
	a := newTestAcceptor(t, 2)
	client, accepted := acceptClient(t, a)
	request := rawRequest("late")
	write(t, client, request[:20])
	if _, err := io.ReadFull(accepted, make([]byte, 20)); err != nil {
		t.Fatal(err)
	}
	a.mu.Lock()
	accepted.evict()
	a.mu.Unlock()
	rest := []byte(request[20:]) // read from the socket just before
	if n, err := accepted.finishRead(rest, len(rest), time.Now(), nil); n != 0 || !errors.Is(err, errEvicted) {
		t.Fatalf("read %d bytes, error %v as the connection is evicted, want none and errEvicted", n, err)
	}
	write(t, client, request[20:])
	for range 2 { // net/http's later reads must not get the rest either
		if n, err := accepted.Read(make([]byte, len(request))); n != 0 || err == nil {
			t.Fatalf("read %d bytes, error %v on an evicted connection, want none and an error", n, err)
		}
	}
}

// A client has sent the first byte of its next request behind the one in flight. Its connection must not be
// evicted while a response is owed on it.
func TestConnectionWithRequestInFlightIsNotEvicted(t *testing.T) {
	release := make(chan struct{})
	s := newStub(t, echoAfter(release, "slow"))
	side := startSidecar(t, setProcessLimit("sockets", 32), s.address)
	active := sendOnNewConn(t, side.address(), rawRequest("slow")+rawRequest("next")[:20])
	wait(t, "the slow request", s.receivedRequests)
	for range 40 { // more than the limit on client connections
		sendOnNewConn(t, side.address(), "GET")
	}
	c := side.dial(t)
	checkReadiness(t, c, bufio.NewReader(c)) // stalled clients have been evicted
	close(release)
	r := bufio.NewReader(active)
	expectOK(t, r)
	write(t, active, rawRequest("next")[20:])
	expectOK(t, r)
}

// net/http's background read returns the first byte of the next request before the handler of the current one is
// called. It used to count as the first byte of the current one, whose arrival time and memory were forgotten.
func TestBackgroundReadBelongsToTheNextRequest(t *testing.T) {
	a := newTestAcceptor(t, 2)
	client, accepted := acceptClient(t, a)
	head := strings.Replace(rawRequest("current"), "\r\n\r\n", "\r\n"+manyFields(90, 100)+"\r\n", 1)
	write(t, client, head+rawRequest("next"))
	if _, err := io.ReadFull(accepted, make([]byte, len(head))); err != nil {
		t.Fatal(err)
	}
	arrivedAt, used := accepted.requestArrivalTime(), a.longRequests.used.Load()
	if arrivedAt.IsZero() || used == 0 {
		t.Fatalf("the head arrived at %v and takes %d bytes from the budget, want a time and more than 0", arrivedAt, used)
	}
	if _, err := accepted.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if got := accepted.requestArrivalTime(); !got.Equal(arrivedAt) {
		t.Errorf("after the background read the request arrived at %v, want %v", got, arrivedAt)
	}
	if got := a.longRequests.used.Load(); got != used || a.receivingConns.Len() != 0 {
		t.Errorf("after the background read %d bytes are taken, %d requests are received; want %d and 0", got, a.receivingConns.Len(), used)
	}
	accepted.headRead(0).release()
	if got := a.longRequests.used.Load(); got != 0 {
		t.Errorf("%d bytes are taken after the request, want 0", got)
	}
}

// net/http reads on after an eviction, and responds with 400 to a head that was cut off. An evicted client must
// get one response, and a complete one.
func TestEvictedClientGetsOneResponse(t *testing.T) {
	for name, partial := range map[string]string{
		"first bytes": "GET",
		"half a line": rawRequest("stalled")[:60],
		"whole lines": rawRequest("stalled")[:len("GET /look HTTP/1.1\r\nHost: service.internal\r\n")],
		"half a body": partialRequests["half a body"],
	} {
		t.Run(name, func(t *testing.T) {
			a := serveStalledClients(t, 1)
			stalled := sendOnNewConn(t, a.Addr().String(), partial)
			c := sendOnNewConn(t, a.Addr().String(), "")
			checkReadiness(t, c, bufio.NewReader(c))
			r := bufio.NewReader(stalled)
			if res := readWholeResponse(t, r); res.StatusCode != http.StatusServiceUnavailable || res.ContentLength < 0 {
				t.Errorf("status %s, length %d, want 503 with a length", res.Status, res.ContentLength)
			}
			if rest, err := io.ReadAll(r); err != nil || len(rest) > 0 {
				t.Errorf("%q, error %v after the response, want the end of the connection", rest, err)
			}
		})
	}
}
