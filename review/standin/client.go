package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// overdueWait is how long a client waits for an answer beyond the time of its request: longer than the half
// second that the pages allow, so that a late answer is told from a missing one.
const overdueWait = 3 * time.Second

// clientRequest is a request of a client and what became of it.
type clientRequest struct {
	id      string
	class   string
	timeout time.Duration

	sentAt time.Time
	took   time.Duration
	status int // 0: no whole answer
	body   string
	err    error
}

// text returns the request as it is sent.
func (r *clientRequest) text(body string) string {
	var b strings.Builder
	method := http.MethodPost
	if r.class == classMapView {
		method = http.MethodGet
	}
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: %s\r\nX-Priority-Class: %s\r\n", method, r.class, r.id, r.class)
	fmt.Fprintf(&b, "X-Tenant-Id: %s\r\nX-Timeout: %dm\r\n", tenantName, r.timeout.Milliseconds())
	if r.class == classPisteUpdate {
		fmt.Fprintf(&b, "Idempotency-Key: key-%s\r\n", r.id)
	}
	if method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	} else {
		body = ""
	}
	return b.String() + "\r\n" + body
}

// client sends one request at a time on a connection that it keeps.
type client struct {
	address string
	record  *record
	conn    net.Conn
	reader  *bufio.Reader
}

// do sends a request and reads its answer.
func (c *client) do(r *clientRequest, body string) {
	r.sentAt = time.Now()
	r.err = c.exchange(r, body)
	r.took = time.Since(r.sentAt)
	if r.err != nil {
		c.close()
	}
	c.record.printf("client: %s %s after %.1f ms: status %d %q %v", r.class, r.id, float64(r.took)/float64(time.Millisecond), r.status, r.body, r.err)
}

func (c *client) exchange(r *clientRequest, body string) error {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.address)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if _, err := io.WriteString(c.conn, r.text(body)); err != nil {
		return err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(r.timeout + overdueWait)) // fails only on a closed connection
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	r.status, r.body = res.StatusCode, string(text)
	if res.Close {
		c.close()
	}
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
