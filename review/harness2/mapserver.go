package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// attempt is a request as a map server has received it.
type attempt struct {
	id         string
	class      string
	server     int
	receivedAt time.Time     // when its last byte was read
	told       time.Duration // value of X-Timeout
}

// mapServer is a stand-in for a map server. It serves each connection's requests one after the other.
type mapServer struct {
	index    int
	listener net.Listener
	record   *record
	work     time.Duration // time from the last byte of a request to its answer
	// answer returns the bytes to write for an attempt; nil: a whole 200 answer with ownBody as its body.
	answer func(a attempt) string
	// observe is called for each attempt before the work; nil: it is not called.
	observe func(a attempt)
}

// ownBody returns the body of the answer that a map server makes for a request.
func ownBody(id string) string { return "map for " + id }

// wholeAnswer returns a 200 answer with a body.
func wholeAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// startServers starts map servers and a discovery that lists them.
func (t *testbed) startServers(count int, work time.Duration) error {
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		t.servers = append(t.servers, &mapServer{index: i, listener: listener, record: t.record, work: work})
	}
	var err error
	t.discovery, err = startDiscovery(t.record, t.servers)
	return err
}

// serve begins to accept connections.
func (t *testbed) serve() {
	for _, s := range t.servers {
		go s.acceptConnections()
	}
}

func (s *mapServer) acceptConnections() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serveConnection(c)
	}
}

func (s *mapServer) serveConnection(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		a := attempt{
			id: request.Header.Get("X-Request-ID"), class: request.Header.Get("X-Priority-Class"), server: s.index,
			receivedAt: time.Now(), told: parseMilliseconds(request.Header.Get("X-Timeout")),
		}
		s.record.add("server %d runs %s (%s), told %v", a.server, a.id, a.class, a.told)
		if s.observe != nil {
			s.observe(a)
		}
		time.Sleep(s.work)
		text := wholeAnswer(ownBody(a.id))
		if s.answer != nil {
			text = s.answer(a)
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// parseMilliseconds parses a duration in whole milliseconds with the unit m.
func parseMilliseconds(text string) time.Duration {
	n, err := strconv.Atoi(strings.TrimSuffix(text, "m"))
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
