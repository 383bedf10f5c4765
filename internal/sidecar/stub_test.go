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
const generous = 20 * time.Second

// receivedRequest is a request as a stub server read it.
type received struct {
	*http.Request
	uri  string
	body string
	conn int // number of its connection, counted from 0
}

// stub is a server whose responses are written by the test.
type stub struct {
	address  string
	endpoint *endpoint
	seen     chan received // requests, except health checks
	closed   chan int      // numbers of the connections that the sidecar closed or that broke
}

// newStub starts a server on loopback that passes each request to respond, with the connection for the
// response. It closes the connection if respond returns false.
func newStub(t *testing.T, respond func(c net.Conn, r received) bool) *stub {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	address := l.Addr().String()
	s := &stub{
		address:  address,
		endpoint: &endpoint{address: address},
		seen:     make(chan received, 1000),
		closed:   make(chan int, 1000),
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
func (s *stub) serve(c net.Conn, number int, respond func(net.Conn, received) bool) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			s.closed <- number
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			s.closed <- number
			return
		}
		got := received{req, req.RequestURI, string(body), number}
		if req.Header.Get("X-Request-ID") != "" {
			s.seen <- got
		}
		if !respond(c, got) {
			return
		}
	}
}

// respondOK responds with 200 and a body.
func ok(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// echo responds with 200 and the id of the request.
func echo(c net.Conn, r received) bool { return ok(c, "done "+r.Header.Get("X-Request-ID")) }

// respondNotProcessed responds with 503 and X-Not-Processed: the request has not run.
func rejectUnprocessed(c net.Conn, _ received) bool {
	_, err := io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	return err == nil
}

// neverRespond keeps the connection open without a response.
func silent(net.Conn, received) bool { return true }

// wait receives a value from a channel and fails the test after testTimeout. what names the value in the
// failure message.
func wait[T any](t *testing.T, what string, c <-chan T) T {
	t.Helper()
	select {
	case v := <-c:
		return v
	case <-time.After(generous):
		t.Fatalf("timed out waiting for %s", what)
		panic("not reached")
	}
}
