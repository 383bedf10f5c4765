package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// ServerMode is how a server answers.
type ServerMode int32

// The modes of a server.
const (
	Healthy       ServerMode = iota
	Hang                     // reads requests and answers none
	ResetEarly               // resets the connection once a request has come
	ResetAccepted            // resets each connection as it is accepted
	HalfHead                 // resets the connection within the head of the response
	HalfBody                 // closes the connection within the body
	Error500                 // answers 500
	NotProcessed             // answers that the request has not run
	CloseIdle                // closes the connection a moment after each response
	SecondAnswer             // sends each response twice
	Noise                    // answers what is no HTTP
	serverModes
)

var modeNames = [serverModes]string{
	"healthy", "hangs", "resets requests", "resets connections", "half a head", "half a body", "500", "503 not processed",
	"closes idle connections", "answers twice", "noise",
}

func (m ServerMode) String() string { return modeNames[m] }

const (
	serviceTime     = 8 * time.Millisecond
	maxBodyReadable = 1 << 20
)

// server stands in for one server.
type server struct {
	number   int
	zone     string
	cell     int
	journal  *journal
	listener net.Listener
	mode     atomic.Int32
	answers  atomic.Int64 // responses made, for bodies that differ
}

func newServer(number int, j *journal) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{number: number, zone: []string{"a", "b"}[number%2], cell: number % 3, journal: j, listener: listener}
	go s.accept()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) instanceID() string { return "s-" + strconv.Itoa(s.number) }

func (s *server) setMode(m ServerMode) { s.mode.Store(int32(m)) }

func (s *server) currentMode() ServerMode { return ServerMode(s.mode.Load()) }

// accept serves connections until the listener closes.
func (s *server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.currentMode() == ResetAccepted {
			reset(c)
			continue
		}
		go s.serve(c)
	}
}

// reset closes a connection so that the other side is told of a failure.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	c.Close()
}

// serve answers the requests of one connection.
func (s *server) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		begun := time.Now()
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(request.Body, maxBodyReadable)); err != nil {
			return
		}
		a := &attempt{
			server: s.number, id: request.Header.Get("X-Request-ID"), class: request.Header.Get("X-Priority-Class"),
			begun: begun, complete: time.Now(), timeout: parseTimeout(request.Header.Get("X-Timeout")), mayRun: true,
		}
		s.journal.addAttempt(a)
		if !s.respond(c, a) {
			return
		}
	}
}

// parseTimeout reads whole milliseconds, as the sidecar writes them.
func parseTimeout(text string) time.Duration {
	n, err := strconv.Atoi(strings.TrimSuffix(text, "m"))
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// respond answers an attempt in the present mode, and tells whether the connection goes on.
func (s *server) respond(c net.Conn, a *attempt) bool {
	time.Sleep(serviceTime)
	body := fmt.Sprintf("%s by %d, answer %d", a.id, s.number, s.answers.Add(1))
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch s.currentMode() {
	case Hang:
		_, _ = io.Copy(io.Discard, c) // until the sidecar closes the connection
		return false
	case ResetEarly, ResetAccepted:
		reset(c)
		return false
	case HalfHead:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
		reset(c)
		return false
	case HalfBody:
		_, _ = io.WriteString(c, response[:len(response)-len(body)/2])
		return false
	case Noise:
		_, _ = io.WriteString(c, "noise and more\r\n\r\n")
		return false
	case Error500:
		return s.write(c, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
	case NotProcessed:
		s.journal.neverRan(a)
		return s.write(c, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	s.journal.answer(a, body)
	switch s.currentMode() {
	case SecondAnswer:
		return s.write(c, response+response)
	case CloseIdle:
		_ = s.write(c, response)
		time.Sleep(serviceTime)
		return false
	}
	return s.write(c, response)
}

func (s *server) write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
