package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"cranehatch/internal/endpointlist"
)

// statusError reports a response of discovery with a status other than 200.
type statusError struct{ status string }

func (e *statusError) Error() string { return "discovery responded with status " + e.status }

// call makes one call, on the idle connection of an earlier call or on a new one. If ctx is cancelled or
// times out, it closes the connection, which aborts the call.
//
// It does not use net/http's client, because that client retries a call when an idle connection breaks. The
// retry of a watch that was reset would go unnoticed, and a change in between would be read only after that
// second watch ends.
func (d *discoveryClient) call(ctx context.Context, address string, query listQuery) (endpointlist.List, error) {
	c, err := d.connect(ctx, address)
	if err != nil {
		return endpointlist.List{}, fmt.Errorf("connect: %w", err)
	}
	stopCloseOnCancel := context.AfterFunc(ctx, func() { c.Close() })
	update, reusable, err := d.roundTrip(c, address, query)
	if stopCloseOnCancel() && reusable {
		d.storeIdleConn(c, address)
	} else {
		c.Close()
	}
	if err != nil && ctx.Err() != nil {
		err = ctx.Err() // the call failed because ctx ended and closed its connection
	}
	return update, err
}

// roundTrip writes a call's request and reads the response. It reports whether the connection can be reused.
func (d *discoveryClient) roundTrip(c net.Conn, address string, query listQuery) (update endpointlist.List, reusable bool, err error) {
	if _, err := fmt.Fprintf(c, "GET /discovery/hosts%s HTTP/1.1\r\nHost: %s\r\n\r\n", query, address); err != nil {
		return endpointlist.List{}, false, fmt.Errorf("write request: %w", err)
	}
	r := newResponseReader(c, maxFramedListBytes)
	res, err := r.readHead(nil)
	if err != nil {
		return endpointlist.List{}, false, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxListBytes+1))
	if err != nil {
		return endpointlist.List{}, false, fmt.Errorf("read response body: %w", err)
	}
	reusable = !res.Close && r.Buffered() == 0
	switch {
	case res.StatusCode != http.StatusOK:
		return endpointlist.List{}, reusable, &statusError{res.Status}
	case len(body) > maxListBytes:
		return endpointlist.List{}, false, fmt.Errorf("%w: body exceeds %d bytes", errInvalidResponse, maxListBytes)
	}
	parse := endpointlist.Parse
	if query.wantsFullList() {
		parse = endpointlist.ParseFull
	}
	update, err = parse(body, d.zones)
	if err != nil {
		return endpointlist.List{}, reusable, fmt.Errorf("%w: %w", errInvalidResponse, err)
	}
	return update, reusable, nil
}

// connect returns the idle connection if it is alive and connected to address, and a new connection otherwise.
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

// storeIdleConn keeps a connection for the next call and closes the one kept before. One idle connection is
// enough, because calls are rarely made at the same time.
func (d *discoveryClient) storeIdleConn(c net.Conn, address string) {
	d.mu.Lock()
	previous := d.idleConn
	d.idleConn, d.idleConnAddress = c, address
	d.mu.Unlock()
	if previous != nil {
		previous.Close()
	}
}

// closeIdleConn closes the idle connection, if there is one.
func (d *discoveryClient) closeIdleConn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.idleConn != nil {
		d.idleConn.Close()
		d.idleConn = nil
	}
}
