package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"cranehatch/internal/endpointlist"
)

// statusError is a response of discovery with another status than 200.
type statusError struct{ status string }

func (e *statusError) Error() string { return "discovery answered " + e.status }

// call makes one call, over the idle connection of an earlier one or over a new one. When ctx ends it closes the
// connection, which ends the call.
//
// It does not use net/http's client, because that repeats a call by itself when an idle connection breaks: a watch
// that was reset would begin again unseen, and a change in between be read only when that watch ends.
func (d *discoveryClient) call(ctx context.Context, address string, query listQuery) (endpointlist.List, error) {
	c, err := d.connect(ctx, address)
	if err != nil {
		return endpointlist.List{}, fmt.Errorf("connect: %w", err)
	}
	stillOpen := context.AfterFunc(ctx, func() { c.Close() })
	update, reusable, err := d.roundTrip(c, address, query)
	if stillOpen() && reusable {
		d.storeIdleConn(c, address)
	} else {
		c.Close()
	}
	if err != nil && ctx.Err() != nil {
		err = ctx.Err() // the reason for the connection's end
	}
	return update, err
}

// roundTrip writes a call and reads its response. It tells whether the connection can be used again.
func (d *discoveryClient) roundTrip(c net.Conn, address string, query listQuery) (update endpointlist.List, reusable bool, err error) {
	if _, err := fmt.Fprintf(c, "GET /discovery/hosts%s HTTP/1.1\r\nHost: %s\r\n\r\n", query, address); err != nil {
		return endpointlist.List{}, false, fmt.Errorf("write the call: %w", err)
	}
	r := bufio.NewReader(io.LimitReader(c, maxHeaderBytes+maxListBytes+1))
	res, err := readFinalResponse(r)
	if err != nil {
		return endpointlist.List{}, false, fmt.Errorf("read the response: %w", err)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes+1))
	if err != nil {
		return endpointlist.List{}, false, fmt.Errorf("read the response's body: %w", err)
	}
	reusable = !res.Close && r.Buffered() == 0
	switch {
	case res.StatusCode != http.StatusOK:
		return endpointlist.List{}, reusable, &statusError{res.Status}
	case len(body) > maxListBytes:
		return endpointlist.List{}, false, fmt.Errorf("%w: its body has more than %d bytes", errInvalidResponse, maxListBytes)
	}
	parse := endpointlist.Parse
	if query.wantsFullList() {
		parse = endpointlist.ParseComplete
	}
	update, err = parse(body, d.zones)
	if err != nil {
		return endpointlist.List{}, reusable, fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	return update, reusable, nil
}

// readFinalResponse reads past interim (1xx) responses.
func readFinalResponse(r *bufio.Reader) (*http.Response, error) {
	res, err := http.ReadResponse(r, nil)
	for n := 0; err == nil && res.StatusCode/100 == 1 && n < maxInterimResponses; n++ {
		res, err = http.ReadResponse(r, nil)
	}
	return res, err
}

// connect returns the idle connection, if it is to that address and alive, or opens one.
func (d *discoveryClient) connect(ctx context.Context, address string) (net.Conn, error) {
	d.mu.Lock()
	c, connectedTo := d.idleConn, d.idleConnAddress
	d.idleConn = nil
	d.mu.Unlock()
	if c != nil {
		if connectedTo == address && connAlive(c) {
			return c, nil
		}
		c.Close()
	}
	return d.dial(ctx, "tcp", address)
}

// putIdle stores a connection for the next call. One is enough, as calls are seldom made at the same time.
func (d *discoveryClient) storeIdleConn(c net.Conn, address string) {
	d.mu.Lock()
	before := d.idleConn
	d.idleConn, d.idleConnAddress = c, address
	d.mu.Unlock()
	if before != nil {
		before.Close()
	}
}

// closeIdle closes the idle connection, if there is one.
func (d *discoveryClient) closeIdle() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idleConn != nil {
		d.idleConn.Close()
		d.idleConn = nil
	}
}
