package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// exchange is a request that a server has read in full, and its connection.
type exchange struct {
	server *server
	conn   *serverConn
	id     string // X-Request-ID
	number int64  // of the request at its server, from 1
	body   string // the body of the answer that the server has made for this request
}

// serverConn is a connection of the sidecar to a server.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
}

// server is a stand-in for a map server. answer writes the answer to an exchange and reports whether the
// connection stays open.
type server struct {
	index    int
	listener net.Listener
	answer   func(x *exchange) (open bool)
	record   *record
	requests atomic.Int64 // read in full
}

func startServers(count int, r *record, answer func(x *exchange) bool) ([]*server, error) {
	var servers []*server
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		s := &server{index: i, listener: listener, answer: answer, record: r}
		servers = append(servers, s)
		go s.accept()
	}
	return servers, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// addressesOf returns the addresses of servers, in their order.
func addressesOf(servers []*server) (addresses []string) {
	for _, s := range servers {
		addresses = append(addresses, s.address())
	}
	return addresses
}

func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(&serverConn{Conn: c, reader: bufio.NewReader(c)})
	}
}

// serve reads and answers the requests of one connection, one at a time.
func (s *server) serve(c *serverConn) {
	defer c.Close()
	for {
		request, err := http.ReadRequest(c.reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-ID")
		x := &exchange{server: s, conn: c, id: id, number: s.requests.Add(1)}
		x.body = fmt.Sprintf("answer %d of server %d to request %s", x.number, s.index, id)
		s.record.printf("server %d runs %s, X-Timeout %s", s.index, id, request.Header.Get("X-Timeout"))
		if !s.answer(x) {
			return
		}
	}
}

// text returns the answer to an exchange with Content-Length.
func (x *exchange) text() string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(x.body), x.body)
}

// write writes text to the connection and reports whether that succeeded.
func (x *exchange) write(text string) bool {
	_, err := io.WriteString(x.conn, text)
	return err == nil
}
