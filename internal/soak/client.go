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

// The classes of requests. They differ in whether a request may be repeated.
const (
	// Requests may be repeated any number of times.
	classIdempotent = "look"
	// Requests carry an idempotency key. Servers drop repeats within the deduplication scope and window.
	classIdempotentByKey = "update"
	// Requests must not be repeated once they may have run.
	classNonIdempotent = "order"
)

const (
	// A client waits up to this long before each request.
	maxRequestPause = 120 * time.Millisecond
	// Occasionally a client keeps its connection idle for this long instead of sending a request.
	idlePause = 2 * time.Second
	// A client waits this long beyond a request's timeout for the response. A stalled client waits this long
	// in all.
	overdueWait = 5 * time.Second
	// The delay between the two parts of a request that is written in parts.
	partialWriteDelay = 5 * time.Millisecond
)

// clients stands in for the application. Each client has one connection at a time, sends requests on it and
// records the results.
type clients struct {
	plan    *Plan
	address string
	journal *journal
	done    <-chan struct{} // closed to stop the clients

	requestCount atomic.Int64 // number of requests, from which request IDs derive
	connCount    atomic.Int64 // number of connections
}

// client is one of the clients.
type client struct {
	*clients
	rng        *rand.Rand
	connNumber int      // number of the current connection
	conn       net.Conn // nil: not connected
	reader     *bufio.Reader
	idleSince  time.Time // since when the connection has had no open request
}

// run runs one client until the clients are stopped.
func (cs *clients) run(number int) {
	c := &client{clients: cs, rng: rand.New(rand.NewPCG(cs.plan.Seed, uint64(number)))}
	defer c.disconnect()
	for !c.isDone() {
		c.pause(time.Duration(c.rng.Int64N(int64(maxRequestPause))))
		if c.conn == nil && !c.connect() {
			continue
		}
		switch n := c.rng.IntN(100); {
		case n < 4:
			c.pause(idlePause) // keeps its connection idle
		case n < 10:
			c.disconnectEarly()
		case n < 15:
			c.pipeline()
		default:
			c.sendAndReceive(n < 25)
		}
	}
}

func (c *client) isDone() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// pause waits for a time, or until the clients are stopped.
func (c *client) pause(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.done:
	}
}

func (c *client) connect() bool {
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.connNumber, c.idleSince = conn, bufio.NewReader(conn), int(c.connCount.Add(1)), time.Now()
	return true
}

func (c *client) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// newRequest draws a request and returns it with the bytes to send.
func (c *client) newRequest() (*clientRequest, string) {
	class := []string{classIdempotent, classIdempotentByKey, classNonIdempotent}[c.rng.IntN(3)]
	timeout := c.plan.Deadline * time.Duration(40+c.rng.IntN(61)) / 100
	r := &clientRequest{id: fmt.Sprintf("r%d", c.requestCount.Add(1)), class: class, timeout: timeout, connection: c.connNumber}
	method, headers := "GET", ""
	if class != classIdempotent {
		method, headers = "POST", "Content-Length: 4\r\n"
	}
	if class == classIdempotentByKey {
		headers += "Idempotency-Key: k-" + r.id + "\r\n"
	}
	text := fmt.Sprintf("%s /%s/x HTTP/1.1\r\nHost: service\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\nX-Tenant-Id: all\r\nX-Timeout: %dm\r\n%s\r\n",
		method, class, r.id, class, timeout.Milliseconds(), headers)
	if class != classIdempotent {
		text += "body"
	}
	return r, text
}

// send writes text, which holds the given requests, at once or in two parts, and records the requests.
func (c *client) send(text string, inParts bool, requests ...*clientRequest) {
	if inParts {
		half := len(text) / 2
		if _, err := io.WriteString(c.conn, text[:half]); err != nil {
			c.disconnect()
			return
		}
		time.Sleep(partialWriteDelay)
		text = text[half:]
	}
	_, err := io.WriteString(c.conn, text)
	if err != nil {
		c.disconnect() // the sidecar did not accept the requests
		return
	}
	now := time.Now()
	for _, r := range requests {
		r.sentAt, r.idleBefore = now, now.Sub(c.idleSince)
		c.journal.addRequest(r)
	}
}

// sendAndReceive sends a request and reads its response.
func (c *client) sendAndReceive(inParts bool) {
	r, text := c.newRequest()
	c.send(text, inParts, r)
	if c.conn != nil {
		c.receive(r)
	}
}

// receive reads the response to a request and records it. It disconnects if the connection can't be reused,
// and reports whether the connection stays open.
func (c *client) receive(r *clientRequest) (open bool) {
	// Fails only if the connection is closed, and then reading fails too.
	_ = c.conn.SetReadDeadline(time.Now().Add(r.timeout + overdueWait))
	response, err := http.ReadResponse(c.reader, nil)
	var responseBody []byte
	if err == nil {
		responseBody, err = io.ReadAll(response.Body)
	}
	c.journal.update(func() {
		r.endedAt = time.Now()
		if err != nil {
			r.failure = err.Error()
			return
		}
		r.answered, r.status, r.responseBody = true, response.StatusCode, string(responseBody)
	})
	c.idleSince = time.Now()
	if err != nil || response.Close {
		c.disconnect()
		return false
	}
	return true
}

// pipeline sends several requests at once and reads their responses in order.
func (c *client) pipeline() {
	var text strings.Builder
	var requests []*clientRequest
	for n := 2 + c.rng.IntN(3); n > 0; n-- {
		r, requestText := c.newRequest()
		if len(requests) > 0 {
			r.previous = requests[len(requests)-1]
		}
		requests = append(requests, r)
		text.WriteString(requestText)
	}
	c.send(text.String(), false, requests...)
	for _, r := range requests {
		if c.conn == nil || !c.receive(r) {
			return
		}
	}
}

// disconnectEarly sends a request and closes the connection before the response is complete, or shortly
// after.
func (c *client) disconnectEarly() {
	r, text := c.newRequest()
	c.send(text, false, r)
	c.pause(time.Duration(c.rng.Int64N(int64(2 * serviceTime))))
	c.disconnect()
	c.journal.update(func() { r.disconnectedAt = time.Now() })
}

// runStalledClient repeatedly connects, sends half a request and stops sending. It records how long it takes
// until the sidecar answers or closes the connection, at most overdueWait.
func (cs *clients) runStalledClient() {
	c := &client{clients: cs, rng: rand.New(rand.NewPCG(cs.plan.Seed, 0x57a11))}
	defer c.disconnect()
	for !c.isDone() {
		if !c.connect() {
			c.pause(maxRequestPause)
			continue
		}
		r, text := c.newRequest()
		r.class = "" // never sent completely, so it counts for no class
		connectedAt := time.Now()
		if _, err := io.WriteString(c.conn, text[:len(text)/2]); err == nil {
			_ = c.conn.SetReadDeadline(connectedAt.Add(overdueWait))
			_, _ = c.reader.ReadByte()
			cs.journal.update(func() {
				cs.journal.stalledClients = append(cs.journal.stalledClients, stalledClient{connectedAt, time.Since(connectedAt)})
			})
		}
		c.disconnect()
	}
}

// startIdleFlood opens as many idle connections as the sidecar may have descriptors, which is more than it
// can accept, and replaces each connection that is closed.
func (cs *clients) startIdleFlood() {
	for range cs.plan.MaxDescriptors {
		go func() {
			for {
				c, err := net.Dial("tcp", cs.address)
				if err == nil {
					go func() {
						<-cs.done
						c.Close()
					}()
					_, _ = io.Copy(io.Discard, c)
					c.Close()
				}
				select {
				case <-cs.done:
					return
				case <-time.After(idlePause / 4):
				}
			}
		}()
	}
}
