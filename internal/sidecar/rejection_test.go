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

// serveRejections serves clients of a sidecar that waits for the rest of a rejected request for as long as a test may
// take. Only requests that are rejected before the loop hears of them get a response.
func serveRejections(t *testing.T, maxConns int) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	f := newIngress(testConfig(t, listed(1, "ready"), nil), newClock(), nil)
	f.rejectedBodyTimeout = generous
	a := newAcceptor(listener, maxConns)
	a.closeDelay = generous
	server := f.server(a)
	go func() { _ = server.Serve(a) }() // ends with the test
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String()
}

// requestHead is the head of a request that is valid but for what headers add.
func requestHead(method, class string, headers ...string) string {
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: r1\r\nX-Priority-Class: %s\r\n"+
		"X-Tenant-Id: north\r\nX-Timeout: 20000m\r\n%s\r\n\r\n", method, class, class, strings.Join(headers, "\r\n"))
}

// expectResponse reads a response to its end.
func expectRejection(t *testing.T, r *bufio.Reader, status int) {
	t.Helper()
	if res := readWholeResponse(t, r); res.StatusCode != status || !res.Close {
		t.Errorf("%s, closes: %v, want %d and a close", res.Status, res.Close, status)
	}
}

// A request is rejected by its head while its client still writes the body. The sidecar closed the connection at once
// where the request said Connection: close; that reset it, and a client whose write failed never read the response.
// The client must be able to write all of its body, and then find the connection closed, not reset.
func TestClientMayWriteTheBodyOfARejectedRequest(t *testing.T) {
	half := strings.Repeat("x", maxBodyBytes/2+1)
	length := fmt.Sprintf("Content-Length: %d", 2*len(half))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(half), half)
	for name, c := range map[string]struct {
		head   string
		first  string // of the body, before the response is read
		second string
		status int
	}{
		"body too long":     {requestHead("POST", "entry", length), half, half, http.StatusRequestEntityTooLarge},
		"body on GET":       {requestHead("GET", "look", length), half, half, http.StatusBadRequest},
		"chunks":            {requestHead("POST", "entry", "Transfer-Encoding: chunked"), chunk, chunk + "0\r\n\r\n", http.StatusLengthRequired},
		"chunks and length": {requestHead("POST", "entry", length, "Transfer-Encoding: chunked"), chunk, chunk + "0\r\n\r\n", http.StatusLengthRequired},
		"no key":            {requestHead("POST", "reading", "Content-Length: 2"), "1", "2", http.StatusBadRequest},
		"nothing sent yet":  {requestHead("POST", "reading", "Content-Length: 2"), "", "12", http.StatusBadRequest},
	} {
		for _, connection := range []string{"keep-alive", "close"} {
			t.Run(name+"/"+connection, func(t *testing.T) {
				head := strings.Replace(c.head, "\r\n", "\r\nConnection: "+connection+"\r\n", 1)
				client := sendOnNewConn(t, serveRejections(t, 10), head+c.first)
				r := bufio.NewReader(client)
				expectRejection(t, r, c.status)
				write(t, client, c.second)
				if n, err := r.Read(make([]byte, 1)); err != io.EOF {
					t.Errorf("read %d bytes, error %v behind the response, want a close", n, err)
				}
			})
		}
	}
}

// What the client has sent is too much to be read, or it is nothing that could be read to its end. A close would reset
// the connection over it; the client must read the response and the end of the connection before that.
func TestResponseIsReadableDespiteUnreadBytes(t *testing.T) {
	const size = 4 * maxDroppedBodyBytes
	for name, c := range map[string]struct {
		sent   string
		status int
	}{
		"long body":         {requestHead("POST", "entry", fmt.Sprintf("Content-Length: %d", size)), http.StatusRequestEntityTooLarge},
		"long body, close":  {requestHead("POST", "entry", "Connection: close", fmt.Sprintf("Content-Length: %d", size)), http.StatusRequestEntityTooLarge},
		"no request at all": {"noise\r\n\r\n", http.StatusBadRequest},
		"two answers": {requestHead("POST", "reading", "Content-Length: 0") + requestHead("GET", "look"),
			http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			const begin = 32 << 10 // arrives with the head, before the sidecar can close
			client := sendOnNewConn(t, serveRejections(t, 10), c.sent+strings.Repeat("x", begin))
			written := make(chan error, 1)
			go func() {
				_, err := io.WriteString(client, strings.Repeat("x", size-begin))
				written <- err
			}()
			r := bufio.NewReader(client)
			expectRejection(t, r, c.status)
			if n, err := r.Read(make([]byte, 1)); err != io.EOF {
				t.Errorf("read %d bytes, error %v behind the response, want the end of the connection", n, err)
			}
			client.Close()
			<-written
		})
	}
}

// Connections that are closed for good once their clients had time to read the last response must not keep new clients
// out.
func TestClosingConnectionsAreClosedForNewClients(t *testing.T) {
	address := serveRejections(t, 1)
	for range 3 {
		client := sendOnNewConn(t, address, requestHead("POST", "entry", fmt.Sprintf("Content-Length: %d", 4*maxDroppedBodyBytes)))
		expectRejection(t, bufio.NewReader(client), http.StatusRequestEntityTooLarge)
		written := make(chan error, 1)
		go func() {
			_, err := io.WriteString(client, strings.Repeat("x", 4*maxDroppedBodyBytes))
			written <- err
		}()
		t.Cleanup(func() { <-written })
	}
}
