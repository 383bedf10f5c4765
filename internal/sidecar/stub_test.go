package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// testTimeout limits every wait of a test. Tests wait for events, so only a faulty program reaches it.
const testTimeout = 20 * time.Second

// receivedRequest is a request as a stub server read it.
type receivedRequest struct {
	*http.Request
	uri        string
	body       string
	connNumber int // number of its connection, counted from 0
}

// stub is a server whose responses are written by the test.
type stub struct {
	address          string
	endpoint         *endpoint
	receivedRequests chan receivedRequest // requests, except health checks
	closedConns      chan int             // numbers of the connections that the sidecar closed or that broke
}

// newStub starts a server on loopback that passes each request to respond, with the connection for the
// response. It closes the connection if respond returns false.
func newStub(t *testing.T, respond func(c net.Conn, r receivedRequest) bool) *stub {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	address := l.Addr().String()
	s := &stub{
		address:          address,
		endpoint:         &endpoint{address: address},
		receivedRequests: make(chan receivedRequest, 1000),
		closedConns:      make(chan int, 1000),
	}
	go func() {
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, n, respond)
		}
	}()
	return s
}

// serve handles the requests of one connection until it ends or respond returns false.
func (s *stub) serve(c net.Conn, number int, respond func(net.Conn, receivedRequest) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			s.closedConns <- number
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			s.closedConns <- number
			return
		}
		got := receivedRequest{req, req.RequestURI, string(body), number}
		if req.Header.Get("X-Request-ID") != "" {
			s.receivedRequests <- got
		}
		if !respond(c, got) {
			return
		}
	}
}

// respondOK responds with 200 and a body.
func respondOK(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// echo responds with 200 and the id of the request.
func echo(c net.Conn, r receivedRequest) bool {
	return respondOK(c, "done "+r.Header.Get("X-Request-ID"))
}

// respondNotProcessed responds with 503 and X-Not-Processed: the request has not run.
func respondNotProcessed(c net.Conn, _ receivedRequest) bool {
	_, err := io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// neverRespond keeps the connection open without a response.
func neverRespond(net.Conn, receivedRequest) bool { return true }

// wait receives a value from a channel and fails the test after testTimeout. what names the value in the
// failure message.
func wait[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(testTimeout):
		t.Fatalf("timed out waiting for %s", what)
		panic("not reached")
	}
}
