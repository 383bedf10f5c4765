package sidecar

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"cranehatch/policy"
)

// Checks the result of an attempt for each kind of response. The connection must go back to the pool only
// after a complete and well-formed response that no bytes follow. A wrong result could send a request again
// that has run.
func TestResponseResults(t *testing.T) {
	const succeeded = "hi" // the body of each successful response
	tooLong := strings.Repeat("x", maxBodyBytes+1)
	for name, c := range map[string]struct {
		response     string
		serverCloses bool // closes the connection in order after the response
		serverResets bool // resets the connection after the response
		want         policy.Result
		pooled       bool
	}{
		"200": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
			want:     policy.Succeeded, pooled: true,
		},
		"200 in chunks": {
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
			want:     policy.Succeeded, pooled: true,
		},
		"200 after an interim response": {
			response: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
			want:     policy.Succeeded, pooled: true,
		},
		"200 with Connection: close": {
			response: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
			want:     policy.Succeeded,
		},
		"200 with bytes behind it": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n",
			want:     policy.Succeeded,
		},
		"200 that ends with the connection": {
			response: "HTTP/1.1 200 OK\r\n\r\nhi", serverCloses: true,
			want: policy.Succeeded,
		},
		"200 that ends with the connection, announced": {
			response: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhi", serverCloses: true,
			want: policy.Succeeded,
		},
		"200 without a length, then a reset": {
			response: "HTTP/1.1 200 OK\r\n\r\nhi", serverResets: true,
			want: policy.ConnectionLost,
		},
		"200 without a length or a body, then a reset": {
			response: "HTTP/1.1 200 OK\r\n\r\n", serverResets: true,
			want: policy.ConnectionLost,
		},
		"200 without a length, too long": {
			response: "HTTP/1.1 200 OK\r\n\r\n" + tooLong, serverCloses: true,
			want: policy.ConnectionLost,
		},
		"200 in chunks, closed before the last chunk": {
			response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", serverCloses: true,
			want: policy.ConnectionLost,
		},
		"head that ends with the connection": {
			response: "HTTP/1.1 200 OK\r\nContent-Le", serverCloses: true,
			want: policy.ConnectionLost,
		},
		"503, not processed, that ends with the connection": {
			response: "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\n\r\nfull", serverCloses: true,
			want: policy.Rejected,
		},
		"500": {
			response: "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
			want:     policy.ServerError, pooled: true,
		},
		"500, not processed": {
			response: "HTTP/1.1 500 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
			want:     policy.ServerError, pooled: true,
		},
		"503": {
			response: "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
			want:     policy.ServerError, pooled: true,
		},
		"503, not processed": {
			response: "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
			want:     policy.Rejected, pooled: true,
		},
		"504, not processed": {
			response: "HTTP/1.1 504 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
			want:     policy.Rejected, pooled: true,
		},
		"not HTTP": {
			response: "SMTP ready\r\n\r\n", serverCloses: true,
			want: policy.ConnectionLost,
		},
		"body cut short": {
			response: "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhi", serverCloses: true,
			want: policy.ConnectionLost,
		},
		"body too long": {
			response: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(tooLong), tooLong), serverCloses: true,
			want: policy.ConnectionLost,
		},
		"headers without end": {
			response: "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-A: "+tooLong+"\r\n", 9),
			want:     policy.ConnectionLost,
		},
		"connection closed without a response": {
			serverCloses: true,
			want:         policy.ConnectionLost,
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStub(t, func(conn net.Conn, r receivedRequest) bool {
				if r.connNumber > 0 {
					return respondOK(conn, "retried")
				}
				_, _ = conn.Write([]byte(c.response)) // fails if the transport closes the connection first
				if c.serverResets {
					reset(t, conn.(*net.TCPConn))
				}
				return !c.serverCloses && !c.serverResets
			})
			tr := newTestTransport(t)
			got := attempt(t, tr, s.endpoint, "1", testTimeout)
			if got.result != c.want {
				t.Fatalf("result = %v, want %v", got.result, c.want)
			}
			if got.result == policy.Succeeded && string(got.body) != succeeded {
				t.Fatalf("body = %q, want %q", got.body, succeeded)
			}
			idle := len(tr.idle[s.endpoint])
			if pooled := idle != 0; pooled != c.pooled {
				t.Errorf("idle connections = %d, want the connection pooled: %v", idle, c.pooled)
			}
			expectOpenConns(t, tr, idle)
			if len(s.receivedRequests) != 1 {
				t.Errorf("server got %d requests, want 1", len(s.receivedRequests))
			}
		})
	}
}
