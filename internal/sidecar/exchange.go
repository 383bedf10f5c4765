package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cranehatch/policy"
)

// deadlines are the time limits of one exchange, measured by the sidecar's clock.
type deadlines struct {
	response time.Duration // if the response is not complete by then, the exchange fails
	write    time.Duration // writing must not begin at this time or later; never later than response
}

// exchange is the state of one attempt or health check, which connects, writes its request and reads the
// response. The goroutine that carries it out enters each step with beginDial, beginWrite or finish. Any
// goroutine may abandon it before it is finished.
type exchange struct {
	mu            sync.Mutex
	abandoned     bool
	abandonResult policy.Result // set when the exchange is abandoned
	written       bool          // part of its request may have been sent
	interrupt     func()        // cancels the dial or closes the connection in use; nil if there is neither
}

// cancel abandons the exchange. A request that is not yet being written is never written.
func (x *exchange) cancel() { x.abandon(policy.Cancelled, false) }

// abandonUnwritten abandons the exchange with a result, unless its request is already being written.
func (x *exchange) abandonUnwritten(result policy.Result) { x.abandon(result, true) }

func (x *exchange) abandon(result policy.Result, onlyUnwritten bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if onlyUnwritten && x.written {
		return
	}
	if !x.abandoned {
		x.abandoned, x.abandonResult = true, result
	}
	if x.interrupt != nil {
		x.interrupt()
	}
}

// beginDial records how to interrupt the dial. It returns false if the exchange is abandoned.
func (x *exchange) beginDial(cancel func()) bool { return x.advance(false, cancel) }

// beginWrite marks the request as written and records how to interrupt the write and the read of the
// response. It returns false if the exchange is abandoned; the request must not be written then.
func (x *exchange) beginWrite(closeConn func()) bool { return x.advance(true, closeConn) }

// finish ends the exchange once its response has been read. It returns false if the exchange was abandoned,
// which closed its connection.
func (x *exchange) finish() bool { return x.advance(true, nil) }

// advance enters the next step and returns true, or returns false and changes nothing if the exchange is
// abandoned.
//
// It replaces interrupt under the lock. A late cancel must not close a connection that is back in the pool
// and may carry another exchange: after finish there is nothing left to interrupt, and no connection is
// recorded once the exchange is abandoned.
func (x *exchange) advance(written bool, interrupt func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.abandoned {
		return false
	}
	x.written = x.written || written
	x.interrupt = interrupt
	return true
}

// abandonedResult returns the result with which the exchange was abandoned, if it was.
func (x *exchange) abandonedResult() (result policy.Result, abandoned bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.abandonResult, x.abandoned
}

// roundTrip carries out an exchange: it sends a request once and reads the response. Without a complete
// response it returns nil and a result that shows whether the request may have run.
func (t *transport) roundTrip(x *exchange, to *endpoint, request *outboundRequest, limits deadlines) (*serverResponse, policy.Result) {
	c, err := t.connectToWrite(x, to, request, limits.write)
	if err != nil {
		return nil, t.resultBeforeWrite(x, limits, err)
	}
	t.unregisterUnwritten(x)
	writeStart := t.clock.now()
	if err := t.writeRequest(c, request, writeStart, limits.response); err != nil {
		t.discard(c)
		return nil, t.resultBeforeWrite(x, limits, err)
	}
	res, err := c.readResponse(request.method, request.memory)
	if err == nil && c.reusable(res) && x.finish() {
		t.putIdle(to, c)
	} else {
		t.discard(c)
	}
	if err != nil {
		return nil, t.resultAfterWrite(x, to, writeStart, err)
	}
	return res, policy.Succeeded
}

// connectToWrite returns a connection on which the request must be written immediately, or an error if it
// must not be written.
//
// The event loop may be late to process a client's disconnect when CPU time is short and many requests are in
// flight. Nothing must be sent for that client meanwhile, so connectToWrite checks the client's connection
// itself, before it dials and again right before the request is written.
func (t *transport) connectToWrite(x *exchange, to *endpoint, request *outboundRequest, writeDeadline time.Duration) (*conn, error) {
	if request.clientDisconnected() {
		x.abandonUnwritten(policy.NotSent)
		return nil, errAbandoned
	}
	c, err := t.connect(x, to, writeDeadline)
	if err != nil {
		return nil, err
	}
	// The dial may complete after the write deadline. A retry that is written then may run a second time, as
	// servers no longer recognise it as a duplicate: see policy.Host.Send.
	if request.clientDisconnected() || t.clock.now() >= writeDeadline {
		x.abandonUnwritten(policy.NotSent)
	}
	if !x.beginWrite(func() { c.Conn.Close() }) {
		t.putIdle(to, c) // nothing was written on it
		return nil, errAbandoned
	}
	return c, nil
}

// connect returns an idle connection that is alive, or dials a new one within the dial timeout and before the
// write deadline.
func (t *transport) connect(x *exchange, to *endpoint, writeDeadline time.Duration) (*conn, error) {
	for {
		c, err := t.acquire(to)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return t.dialReserved(x, to, writeDeadline)
		}
		state := idleConnState(c.Conn)
		if state == connUsable {
			return c, nil
		}
		t.discardStale(c, state)
	}
}

// dialReserved dials a connection that acquire has reserved.
func (t *transport) dialReserved(x *exchange, to *endpoint, writeDeadline time.Duration) (*conn, error) {
	limit := min(t.dialTimeout, writeDeadline-t.clock.now())
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if !x.beginDial(cancel) {
		cancel()
	}
	raw, err := t.dial(ctx, "tcp", to.address)
	if err != nil {
		t.unreserve()
		return nil, fmt.Errorf("transport: dial %s: %w", to.address, err)
	}
	return newConn(raw), nil
}

// writeRequest writes a request in a single call of Write, so that an error means that its last byte was not
// sent.
func (t *transport) writeRequest(c *conn, request *outboundRequest, now, deadline time.Duration) error {
	_ = c.SetDeadline(t.clock.toTime(deadline)) // fails only on a closed connection, as the write then does
	if _, err := c.Write(request.encode(deadline - now)); err != nil {
		return fmt.Errorf("transport: write request: %w", err)
	}
	return nil
}
