package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// The classes of requests, each with another effect of a repeat.
const (
	classSafe   = "look"   // may be repeated
	classKeyed  = "update" // carries an idempotency key
	classUnsafe = "order"  // must not run twice
)

const (
	maxPause     = 120 * time.Millisecond // of a client between two requests
	restTime     = 2 * time.Second        // of a client that rests on its connection
	longPatience = 5 * time.Second        // of a client for a response that is overdue
	pieceDelay   = 5 * time.Millisecond   // of a client that writes in pieces
)

// clients stand in for the application: each client has a connection, sends requests on it and enters what becomes of them.
type clients struct {
	plan    *Plan
	address string
	journal *journal
	end     <-chan struct{} // closed when they are to stop

	requests atomic.Int64
	conns    atomic.Int64
}

// client is one of them.
type client struct {
	*clients
	rng    *rand.Rand
	number int // of its connection
	conn   net.Conn
	reader *bufio.Reader
	idleAt time.Time // since when no request is open on it
}

// run sends requests until the end.
func (s *clients) run(number int) {
	c := &client{clients: s, rng: rand.New(rand.NewPCG(s.plan.Seed, uint64(number)))}
	defer c.disconnect()
	for !c.ended() {
		c.pause(time.Duration(c.rng.Int64N(int64(maxPause))))
		if c.conn == nil && !c.connect() {
			continue
		}
		switch n := c.rng.IntN(100); {
		case n < 4:
			c.pause(restTime) // rests on its connection
		case n < 10:
			c.disconnectEarly()
		case n < 15:
			c.pipeline()
		default:
			c.request(n < 25)
		}
	}
}

func (c *client) ended() bool {
	select {
	case <-c.end:
		return true
	default:
		return false
	}
}

// pause waits, at most until the end.
func (c *client) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.end:
	}
}

func (c *client) connect() bool {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.number, c.idleAt = conn, bufio.NewReader(conn), int(c.conns.Add(1)), time.Now()
	return true
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// newRequest draws a request, and returns it with its text.
func (c *client) newRequest() (*clientRequest, string) {
	class := []string{classSafe, classKeyed, classUnsafe}[c.rng.IntN(3)]
	timeout := c.plan.Deadline * time.Duration(40+c.rng.IntN(61)) / 100
	r := &clientRequest{id: fmt.Sprintf("r%d", c.requests.Add(1)), class: class, timeout: timeout, conn: c.number}
	method, more := "GET", ""
	if class != classSafe {
		method, more = "POST", "Content-Length: 4\r\n"
	}
	if class == classKeyed {
		more += "Idempotency-Key: k-" + r.id + "\r\n"
	}
	text := fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: service\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: all\r\nX-Timeout: %dm\r\n%s\r\n",
		method, class, r.id, class, timeout.Milliseconds(), more)
	if class != classSafe {
		text += "body"
	}
	return r, text
}

// send writes requests at once, or in pieces, and enters them.
func (c *client) send(text string, inPieces bool, requests ...*clientRequest) {
	if inPieces {
		half := len(text) / 2
		if _, err := io.WriteString(c.conn, text[:half]); err != nil {
			c.disconnect()
			return
		}
		time.Sleep(pieceDelay)
		text = text[half:]
	}
	_, err := io.WriteString(c.conn, text)
	if err != nil {
		c.disconnect() // nothing was taken
		return
	}
	now := time.Now()
	for _, r := range requests {
		r.sent, r.idle = now, now.Sub(c.idleAt)
		c.journal.addRequest(r)
	}
}

// request sends a request and reads its response.
func (c *client) request(inPieces bool) {
	r, text := c.newRequest()
	c.send(text, inPieces, r)
	if c.conn != nil {
		c.receive(r)
	}
}

// receive reads the response to a request. It disconnects where the connection does not go on.
func (c *client) receive(r *clientRequest) (goesOn bool) {
	_ = c.conn.SetReadDeadline(time.Now().Add(r.timeout + longPatience)) // fails only on a closed connection, as the read does
	response, err := http.ReadResponse(c.reader, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(response.Body)
	}
	c.journal.update(func() {
		r.ended = time.Now()
		if err != nil {
			r.failure = err.Error()
			return
		}
		r.answered, r.status, r.body = true, response.StatusCode, string(body)
	})
	c.idleAt = time.Now()
	if err != nil || response.Close {
		c.disconnect()
		return false
	}
	return true
}

// pipeline sends some requests at once and reads their responses in turn.
func (c *client) pipeline() {
	var text strings.Builder
	var requests []*clientRequest
	for n := 2 + c.rng.IntN(3); n > 0; n-- {
		r, one := c.newRequest()
		if len(requests) > 0 {
			r.behind = requests[len(requests)-1]
		}
		requests = append(requests, r)
		text.WriteString(one)
	}
	c.send(text.String(), false, requests...)
	for _, r := range requests {
		if c.conn == nil || !c.receive(r) {
			return
		}
	}
}

// disconnectEarly sends a request and closes the connection before its response can be expected, or in the midst of it.
func (c *client) disconnectEarly() {
	r, text := c.newRequest()
	c.send(text, false, r)
	c.pause(time.Duration(c.rng.Int64N(int64(2 * serviceTime))))
	c.disconnect()
	c.journal.update(func() { r.disconnected = time.Now() })
}

// stall connects, sends half a request and stays, again and again. It enters a failure where the sidecar neither answers
// nor closes in time.
func (s *clients) stall() {
	c := &client{clients: s, rng: rand.New(rand.NewPCG(s.plan.Seed, 0x57a11))}
	defer c.disconnect()
	for !c.ended() {
		if !c.connect() {
			c.pause(maxPause)
			continue
		}
		r, text := c.newRequest()
		r.class = "" // of no class: it is never sent whole
		opened := time.Now()
		if _, err := io.WriteString(c.conn, text[:len(text)/2]); err == nil {
			_ = c.conn.SetReadDeadline(opened.Add(longPatience))
			_, _ = c.reader.ReadByte()
			s.journal.update(func() {
				s.journal.stalls = append(s.journal.stalls, stalledClient{opened, time.Since(opened)})
			})
		}
		c.disconnect()
	}
}

// idleFlood opens idle connections, more than the sidecar may hold, and opens each anew that is closed.
func (s *clients) idleFlood() {
	for range s.plan.Sockets {
		go func() {
			for {
				c, err := net.Dial("tcp", s.address)
				if err == nil {
					go func() {
						<-s.end
						c.Close()
					}()
					_, _ = io.Copy(io.Discard, c)
					c.Close()
				}
				select {
				case <-s.end:
					return
				case <-time.After(restTime / 4):
				}
			}
		}()
	}
}
