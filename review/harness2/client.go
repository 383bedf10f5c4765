package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientRequest is a request of a usual client.
type clientRequest struct {
	id        string
	class     string
	timeout   time.Duration
	bodyBytes int
	sentAt    time.Time // when its last byte was written
}

// time returns the end of the request's time.
func (r *clientRequest) time() time.Time { return r.sentAt.Add(r.timeout) }

// newRequest returns a request with a unique ID.
func newRequest(number int, class string, timeout time.Duration) *clientRequest {
	return &clientRequest{id: fmt.Sprintf("9b1f03aa5c%06x", number), class: class, timeout: timeout}
}

// encode returns the bytes of the request, as on the protocol page.
func (r *clientRequest) encode() []byte {
	method, extra := "GET", ""
	if r.class != classMapView {
		method, extra = "POST", fmt.Sprintf("Content-Length: %d\r\n", r.bodyBytes)
	}
	if r.class == classPisteUpdate {
		extra = "Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5" + r.id + "\r\n" + extra
	}
	head := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n"+
		"X-Tenant-Id: %s\r\nX-Route-Key: 7f3a9c21e0b4d655\r\nX-Timeout: %dm\r\n%s\r\n",
		method, r.class, r.id, r.class, tenantName, r.timeout.Milliseconds(), extra)
	body := make([]byte, r.bodyBytes)
	for i := range body {
		body[i] = 'b'
	}
	return append([]byte(head), body...)
}

// client is a usual client with one connection.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	record *record
}

func (t *testbed) connect() (*client, error) {
	c, err := net.Dial("tcp", t.address)
	if err != nil {
		return nil, err
	}
	return &client{conn: c, reader: bufio.NewReader(c), record: t.record}, nil
}

// send writes requests at once.
func (c *client) send(requests ...*clientRequest) error {
	var text []byte
	for _, r := range requests {
		text = append(text, r.encode()...)
	}
	_, err := c.conn.Write(text)
	now := time.Now()
	for _, r := range requests {
		r.sentAt = now
		c.record.add("client sent %s (%s), X-Timeout %v", r.id, r.class, r.timeout)
	}
	if err != nil {
		c.record.add("client's write failed: %v", err)
	}
	return err
}

// answer is the answer to a request.
type answer struct {
	status int
	body   string
	at     time.Time // when its last byte was read
}

// receive reads the answer to a request, which must come until the given time.
func (c *client) receive(r *clientRequest, until time.Time) (answer, error) {
	_ = c.conn.SetReadDeadline(until) // fails only on a closed connection, and then the read fails too
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.record.add("client got no answer to %s: %v", r.id, err)
		return answer{}, err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		c.record.add("client got no whole answer to %s: %v", r.id, err)
		return answer{}, err
	}
	a := answer{response.StatusCode, string(body), time.Now()}
	c.record.add("client got %d for %s, %d bytes", a.status, r.id, len(body))
	return a, nil
}

func (c *client) close() { c.conn.Close() }
