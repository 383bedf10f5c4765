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

// serveClients runs an HTTP server on loopback for an event loop that the test itself runs, and returns its
// handler and address.
func serveClients(t *testing.T, l *eventLoop) (handler *ingress, address string) {
	t.Helper()
	cfg := testConfig(t, fullListResponse(1, "ready"), nil)
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	handler = newIngress(cfg, l.clock, l)
	a := newAcceptor(listener, cfg.maxClientConns())
	server := handler.server(a)
	go func() { _ = server.Serve(a) }() // ends with the test
	t.Cleanup(func() { server.Close() })
	return handler, listener.Addr().String()
}

// sendOnNewConn opens a connection and sends text on it, usually a request.
func sendOnNewConn(t *testing.T, address, text string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	write(t, c, text)
	return c.(*net.TCPConn)
}

// readWholeResponse reads a response including its body.
func readWholeResponse(t *testing.T, r *bufio.Reader) *http.Response {
	t.Helper()
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	return res
}

func write(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// rawRequest returns a valid idempotent request in the form in which it is sent.
func rawRequest(id string) string {
	return fmt.Sprintf("GET /look HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: look\r\n"+
		"X-Tenant-Id: north\r\nX-Timeout: 20000m\r\n\r\n", id)
}

// disconnects are the ways in which a client may disconnect. Each function returns once the disconnect has
// been sent.
var disconnects = map[string]func(t *testing.T, c *net.TCPConn){
	"close":                                func(_ *testing.T, c *net.TCPConn) { c.Close() },
	"reset":                                reset,
	"close after a pipelined request":      afterPipelinedRequest(func(_ *testing.T, c *net.TCPConn) { c.Close() }),
	"half close after a pipelined request": afterPipelinedRequest(halfClose),
	"reset after a pipelined request":      afterPipelinedRequest(reset),
	"more bytes than may be buffered": func(t *testing.T, c *net.TCPConn) {
		write(t, c, strings.Repeat("x", maxBufferedBytes+1+monitorReadBytes))
	},
	"close after half of the bytes that may be buffered": func(t *testing.T, c *net.TCPConn) {
		write(t, c, strings.Repeat("x", maxBufferedBytes/2))
		c.Close()
	},
}

// afterPipelinedRequest makes a client send another request before it disconnects. net/http alone would not
// detect the disconnect.
func afterPipelinedRequest(disconnect func(*testing.T, *net.TCPConn)) func(*testing.T, *net.TCPConn) {
	return func(t *testing.T, c *net.TCPConn) {
		write(t, c, rawRequest("behind"))
		disconnect(t, c)
	}
}

func reset(t *testing.T, c *net.TCPConn) {
	if err := c.SetLinger(0); err != nil {
		t.Error(err)
	}
	c.Close()
}

func halfClose(t *testing.T, c *net.TCPConn) {
	if err := c.CloseWrite(); err != nil {
		t.Error(err)
	}
}
