package sidecar

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cranehatch/policy"
)

// A server answers a non-idempotent request without a length. If the connection ends in order, the response is
// whole and must be forwarded: the request has run and can't be repeated. If the connection is reset, part of
// the response may be missing: the client must get an error, and the request must not be sent again.
func TestResponseWithoutLengthIsForwardedUnlessReset(t *testing.T) {
	for name, c := range map[string]struct {
		end    func(net.Conn)
		status int
		body   string
	}{
		"ended in order": {func(net.Conn) {}, http.StatusOK, "order 7 is printed"},
		"reset":          {func(c net.Conn) { reset(t, c.(*net.TCPConn)) }, http.StatusBadGateway, ""},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, func(conn net.Conn, _ receivedRequest) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\norder 7 ")
				_, _ = io.WriteString(conn, "is printed")
				c.end(conn)
				return false
			})
			side := startSidecar(t, nil, s.address)
			res, body := doRequest(t, side.newRequest(t, "POST", "/entry", "1"))
			if res.StatusCode != c.status || body != c.body {
				t.Errorf("status %s, body %q, want %d and %q", res.Status, body, c.status, c.body)
			}
			if len(s.receivedRequests) != 1 {
				t.Errorf("server received %d attempts, want 1", len(s.receivedRequests))
			}
		})
	}
}

// A server answers without a length and then neither sends more nor ends the connection. The response is not
// whole at the attempt's deadline, so the attempt must time out.
func TestResponseWithoutLengthOrEndTimesOut(t *testing.T) {
	s := newStub(t, func(conn net.Conn, _ receivedRequest) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhi")
		return err == nil
	})
	tr := newTestTransport(t)
	expectResult(t, attempt(t, tr, s.endpoint, "1", 50*time.Millisecond), policy.TimedOut)
	expectOpenConns(t, tr, 0)
}

// Responses of more than 64 KiB were discarded after their requests had run. They must be forwarded, whatever
// marks their end, and return the memory that they take: all of them together exceed the budget.
func TestLongResponsesAreForwarded(t *testing.T) {
	const memoryMB, requests = 8, 12
	body := strings.Repeat("0123456789", 20_000)
	chunked := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", 1000, body[:1000], len(body)-1000, body[1000:])
	for name, response := range map[string]string{
		"Content-Length":        fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body),
		"chunked encoding":      "Transfer-Encoding: chunked\r\n\r\n" + chunked,
		"end of the connection": "Connection: close\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, func(c net.Conn, _ receivedRequest) bool {
				_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+response)
				return err == nil && !strings.HasPrefix(response, "Connection: close")
			})
			side := startSidecar(t, setProcessLimit("memory_mb", memoryMB), s.address)
			for n := range requests {
				res, got := doRequest(t, side.newRequest(t, "POST", "/entry", "1", "X-Request-ID", fmt.Sprintf("r%d", n)))
				if res.StatusCode != http.StatusOK || got != body {
					t.Fatalf("response %d: status %s, %d bytes, want 200 and the %d bytes of the server", n, res.Status, len(got), len(body))
				}
			}
		})
	}
}

// Several long bodies arrive at the same time. Once they exhaust their budget, further ones must fail instead of
// taking the process over its memory limit, until another request has returned its memory. Short bodies need no
// budget.
func TestLongBodiesStayWithinTheirBudget(t *testing.T) {
	const long, short = 3 * shortResponseBytes, shortResponseBytes
	budget := &memoryBudget{limit: 2*(long-short) + 1}
	read := func(size int, charge *memoryCharge) error {
		_, err := io.ReadAll(&bodyReader{source: strings.NewReader(strings.Repeat("x", size)), maxBytes: long, charge: charge})
		return err
	}
	expect := func(what string, got, want error) {
		t.Helper()
		if !errors.Is(got, want) {
			t.Errorf("%s: error %v, want %v", what, got, want)
		}
	}
	first, second, third := &memoryCharge{budget: budget}, &memoryCharge{budget: budget}, &memoryCharge{budget: budget}
	expect("first long body", read(long, first), nil)
	expect("second long body", read(long, second), nil)
	expect("long body beyond the budget", read(long, third), errBudgetExhausted)
	expect("short body beyond the budget", read(short, third), nil)
	expect("long body without a budget", read(long, nil), errBudgetExhausted)
	first.release()
	third.release()
	expect("long body of a request that has ended", read(long, first), errBudgetExhausted)
	expect("long body after a release", read(long, &memoryCharge{budget: budget}), nil)
	second.release()
	expect("body over the size limit", read(long+1, &memoryCharge{budget: budget}), errBodyTooLarge)
}

// A long response comes when its request has no memory left for it: others have exhausted the budget, or the
// request has been answered. That is no fault of the server, which must not be ejected for it. The request may
// have run.
func TestResponseWithoutMemoryIsNoFaultOfItsServer(t *testing.T) {
	for name, use := range map[string]func(*memoryCharge){
		"budget exhausted": func(c *memoryCharge) { c.budget.limit = 0 },
		"request answered": (*memoryCharge).release,
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, func(c net.Conn, _ receivedRequest) bool {
				return respondOK(c, strings.Repeat("x", shortResponseBytes+1))
			})
			tr, request, done := newTestTransport(t), newTestOutboundRequest("1"), make(chan attemptResult, 1)
			use(request.memory)
			tr.send(s.endpoint, request, tr.clock.now()+testTimeout, 0, func(r attemptResult) { done <- r })
			expectResult(t, wait(t, "the result", done), policy.Cancelled)
			expectOpenConns(t, tr, 0)
		})
	}
}
