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

// ServerMode determines how a server answers.
type ServerMode int32

// The modes of a server.
const (
	Healthy           ServerMode = iota // answers 200
	Hang                                // reads requests but never answers them
	ResetRequest                        // resets the connection after reading a request
	ResetConnection                     // resets each connection when it is accepted
	TruncatedHeader                     // resets the connection in the middle of the response header
	TruncatedBody                       // closes the connection in the middle of the response body
	Error500                            // answers 500
	NotProcessed                        // answers 503 with the header that states that the request did not run
	CloseIdle                           // closes the connection shortly after each response
	DuplicateResponse                   // sends each response twice
	InvalidHTTP                         // answers with bytes that are not HTTP

	// The modes of WithUnusualResponses.
	NoLength      // answers without a length and ends the connection
	NoLengthReset // resets the connection in the middle of such a response
	EndlessHead   // answers with short header lines without an end
	LongResponse  // answers with a long body
	serverModeCount
)

var modeNames = [serverModeCount]string{
	"healthy", "hangs", "resets requests", "resets connections", "truncated header", "truncated body", "500",
	"503 not processed", "closes idle connections", "duplicate response", "invalid HTTP",
	"no length", "no length, reset", "endless header", "long response",
}

func (m ServerMode) String() string { return modeNames[m] }

const (
	// How long a server works on a request before it answers.
	serviceTime    = 8 * time.Millisecond
	maxRequestBody = 1 << 20 // bytes
	// Lines of an endless header and the time after which as many follow.
	endlessHeadLines    = 1000
	endlessHeadInterval = 10 * time.Millisecond
	// Bytes that LongResponse adds to a body.
	longBodyBytes = 150_000
)

// noLengthHead is the header of a response that ends with its connection.
const noLengthHead = "HTTP/1.1 200 OK\r\n\r\n"

// server is a stand-in for one server.
type server struct {
	index         int // determines its zone and cell
	zone          string
	cell          int
	journal       *journal
	listener      net.Listener
	mode          atomic.Int32 // a ServerMode
	responseCount atomic.Int64 // number of responses, which makes each body unique
}

func newServer(index int, j *journal) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{index: index, zone: []string{"a", "b"}[index%2], cell: index % 3, journal: j, listener: listener}
	go s.acceptConnections()
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) instanceID() string { return "s-" + strconv.Itoa(s.index) }

func (s *server) setMode(m ServerMode) { s.mode.Store(int32(m)) }

func (s *server) currentMode() ServerMode { return ServerMode(s.mode.Load()) }

// acceptConnections accepts and serves connections until the listener is closed.
func (s *server) acceptConnections() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if s.currentMode() == ResetConnection {
			reset(c)
			continue
		}
		go s.serveConnection(c)
	}
}

// reset closes a connection with a TCP reset, so that the peer sees an error.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed
	}
	c.Close()
}

// serveConnection reads and answers the requests of one connection.
func (s *server) serveConnection(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		startedAt := time.Now()
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(request.Body, maxRequestBody)); err != nil {
			return
		}
		a := &attempt{
			server: s.index, id: request.Header.Get("X-Request-ID"), class: request.Header.Get("X-Priority-Class"),
			startedAt: startedAt, readAt: time.Now(), timeout: parseTimeout(request.Header.Get("X-Timeout")), mayHaveRun: true,
		}
		s.journal.addAttempt(a)
		if !s.respond(c, a) {
			return
		}
	}
}

// parseTimeout parses the value of X-Timeout in the form that the sidecar sends: whole milliseconds with the
// suffix m. It returns 0 for any other value.
func parseTimeout(text string) time.Duration {
	n, err := strconv.Atoi(strings.TrimSuffix(text, "m"))
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}

// respond answers an attempt as the current mode requires. It reports whether the connection stays open.
func (s *server) respond(c net.Conn, a *attempt) bool {
	time.Sleep(serviceTime)
	body := fmt.Sprintf("%s by %d, answer %d", a.id, s.index, s.responseCount.Add(1))
	mode := s.currentMode()
	if mode == LongResponse {
		body += strings.Repeat(".", longBodyBytes)
	}
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch mode {
	case Hang:
		_, _ = io.Copy(io.Discard, c) // until the sidecar closes the connection
		return false
	case ResetRequest, ResetConnection:
		reset(c)
		return false
	case TruncatedHeader:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
		reset(c)
		return false
	case TruncatedBody:
		_, _ = io.WriteString(c, response[:len(response)-len(body)/2])
		return false
	case InvalidHTTP:
		_, _ = io.WriteString(c, "noise and more\r\n\r\n")
		return false
	case NoLengthReset:
		_, _ = io.WriteString(c, noLengthHead+body[:len(body)/2])
		reset(c)
		return false
	case EndlessHead:
		s.writeEndlessHead(c)
		return false
	case Error500:
		return s.write(c, "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
	case NotProcessed:
		s.journal.recordNotProcessed(a)
		return s.write(c, "HTTP/1.1 503 Full\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	s.journal.recordResponse(a, body)
	switch mode {
	case DuplicateResponse:
		return s.write(c, response+response)
	case NoLength:
		s.journal.recordNoLength(a)
		_ = s.write(c, noLengthHead+body)
		return false
	case CloseIdle:
		_ = s.write(c, response)
		time.Sleep(serviceTime)
		return false
	}
	return s.write(c, response)
}

// writeEndlessHead writes a response header that does not end, until the sidecar closes the connection.
func (s *server) writeEndlessHead(c net.Conn) {
	open := s.write(c, noLengthHead[:len(noLengthHead)-len("\r\n")])
	for n := 0; open; time.Sleep(endlessHeadInterval) {
		var lines strings.Builder
		for range endlessHeadLines {
			n++
			fmt.Fprintf(&lines, "%d:\r\n", n)
		}
		open = s.write(c, lines.String())
	}
}

// write writes a response and reports whether that succeeded.
func (s *server) write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
