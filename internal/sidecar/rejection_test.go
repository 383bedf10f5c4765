package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// serveRejections runs an HTTP server that waits for the rest of a rejected request for as long as a test may
// take. Only requests that are rejected before they are submitted to the event loop get a response.
func serveRejections(t *testing.T, maxConns int) (address string) {
	t.Helper()
	return serveRejectionsOf(t, newIngress(testConfig(t, fullListResponse(1, "ready"), nil), newClock(), nil), maxConns)
}

// serveRejectionsOf is serveRejections with a handler that the test has prepared.
func serveRejectionsOf(t *testing.T, handler *ingress, maxConns int) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	handler.rejectedBodyTimeout = testTimeout
	a := newAcceptor(listener, maxConns)
	a.closeDelay = testTimeout
	server := handler.server(a)
	go func() { _ = server.Serve(a) }() // ends with the test
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// requestHead returns the head of a request that is valid except for the given headers.
func requestHead(method, class string, headers ...string) string {
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: r1\r\nX-Priority-Class: %s\r\n"+
		"X-Tenant-Id: north\r\nX-Timeout: 20000m\r\n%s\r\n\r\n", method, class, class, strings.Join(headers, "\r\n"))
}

// expectRejection reads a response including its body and checks its status and that it closes the
// connection.
func expectRejection(t *testing.T, r *bufio.Reader, status int) {
	t.Helper()
	if res := readWholeResponse(t, r); res.StatusCode != status || !res.Close {
		t.Errorf("status %s, Connection: close: %v, want %d and true", res.Status, res.Close, status)
	}
}

// A request is rejected because of its head while the client is still writing the body. If the request said
// Connection: close, the sidecar used to close the connection at once. That reset it, and a client whose
// write failed never read the response. The client must be able to write its whole body, and then find the
// connection closed, not reset.
func TestClientMayWriteTheBodyOfARejectedRequest(t *testing.T) {
	half := strings.Repeat("x", maxBodyBytes/2+1)
	length := fmt.Sprintf("Content-Length: %d", 2*len(half))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(half), half)
	for name, c := range map[string]struct {
		head   string
		first  string // part of the body, sent before the response is read
		second string
		status int
	}{
		"body too long":                   {requestHead("POST", "entry", length), half, half, http.StatusRequestEntityTooLarge},
		"body on GET":                     {requestHead("GET", "look", length), half, half, http.StatusBadRequest},
		"chunked body":                    {requestHead("POST", "entry", "Transfer-Encoding: chunked"), chunk, chunk + "0\r\n\r\n", http.StatusLengthRequired},
		"chunked body and Content-Length": {requestHead("POST", "entry", length, "Transfer-Encoding: chunked"), chunk, chunk + "0\r\n\r\n", http.StatusLengthRequired},
		"no idempotency key":              {requestHead("POST", "reading", "Content-Length: 2"), "1", "2", http.StatusBadRequest},
		"body not sent yet":               {requestHead("POST", "reading", "Content-Length: 2"), "", "12", http.StatusBadRequest},
	} {
		for _, connection := range []string{"keep-alive", "close"} {
			t.Run(name+"/"+connection, func(t *testing.T) {
				head := strings.Replace(c.head, "\r\n", "\r\nConnection: "+connection+"\r\n", 1)
				client := sendOnNewConn(t, serveRejections(t, 10), head+c.first)
				r := bufio.NewReader(client)
				expectRejection(t, r, c.status)
				write(t, client, c.second)
				if n, err := r.Read(make([]byte, 1)); err != io.EOF {
					t.Errorf("read %d bytes, error %v after the response, want 0 bytes and io.EOF", n, err)
				}
			})
		}
	}
}

// The client sends more than the sidecar reads, or bytes in which the sidecar cannot find the end of a request.
// Closing the socket with these bytes unread would reset the connection. The client must be able to read the
// response and the end of the connection first.
func TestResponseIsReadableDespiteUnreadBytes(t *testing.T) {
	const size = 4 * maxDiscardedBodyBytes
	for name, c := range map[string]struct {
		sent   string
		status int
	}{
		"long body":                   {requestHead("POST", "entry", fmt.Sprintf("Content-Length: %d", size)), http.StatusRequestEntityTooLarge},
		"long body, Connection close": {requestHead("POST", "entry", "Connection: close", fmt.Sprintf("Content-Length: %d", size)), http.StatusRequestEntityTooLarge},
		"not HTTP":                    {"noise\r\n\r\n", http.StatusBadRequest},
		"another request after a rejected one": {requestHead("POST", "reading", "Content-Length: 0") + requestHead("GET", "look"),
			http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			const sentWithHead = 32 << 10 // arrives with the head, before the sidecar can close the connection
			client := sendOnNewConn(t, serveRejections(t, 10), c.sent+strings.Repeat("x", sentWithHead))
			written := make(chan error, 1)
			go func() {
				_, err := io.WriteString(client, strings.Repeat("x", size-sentWithHead))
				written <- err
			}()
			r := bufio.NewReader(client)
			expectRejection(t, r, c.status)
			if n, err := r.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("read %d bytes, error %v after the response, want 0 bytes and io.EOF", n, err)
			}
			client.Close()
			<-written
		})
	}
}

// Connections that are kept half-closed so that their clients can read the last response must not prevent new
// clients from connecting at the limit.
func TestClosingConnectionsAreClosedForNewClients(t *testing.T) {
	address := serveRejections(t, 1)
	for range 3 {
		client := sendOnNewConn(t, address, requestHead("POST", "entry", fmt.Sprintf("Content-Length: %d", 4*maxDiscardedBodyBytes)))
		expectRejection(t, bufio.NewReader(client), http.StatusRequestEntityTooLarge)
		written := make(chan error, 1)
		go func() {
			_, err := io.WriteString(client, strings.Repeat("x", 4*maxDiscardedBodyBytes))
			written <- err
		}()
		t.Cleanup(func() { <-written })
	}
}

// A long request arrives while others have exhausted the memory for long bodies. It was not forwarded, so the
// client must be told that it may retry, and when.
func TestLongRequestWithoutMemoryIsRejected(t *testing.T) {
	handler := newIngress(testConfig(t, fullListResponse(1, "ready"), nil), newClock(), nil)
	handler.longRequests.used.Store(handler.longRequests.limit)
	body := strings.Repeat("x", shortRequestBytes+1)
	head := requestHead("POST", "entry", fmt.Sprintf("Content-Length: %d", len(body)))
	res := readWholeResponse(t, bufio.NewReader(sendOnNewConn(t, serveRejectionsOf(t, handler, 10), head+body)))
	if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("Retry-After") == "" || !res.Close {
		t.Errorf("status %s, headers %v, want 503 with Retry-After and Connection: close", res.Status, res.Header)
	}
	if used := handler.longRequests.used.Load(); used != handler.longRequests.limit {
		t.Errorf("%d bytes are taken after the rejection, want %d as before", used, handler.longRequests.limit)
	}
}
