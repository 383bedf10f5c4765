package sidecar

import (
	"io"
	"net"
	"net/http"
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
