package sidecar

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cranehatch/policy"
)

// deadlines limit one exchange, in the clock's time.
type deadlines struct {
	response time.Duration // the exchange is abandoned unless its response is complete by then
	write    time.Duration // nothing is written from then on; not after response
}

// exchange is the state of one attempt or health check: it dials, writes its request, reads the response and
// is finished. Any goroutine may abandon it before it is finished; the goroutine that carries it out moves it
// on with beginDial, beginWrite and finish.
type exchange struct {
	mu        sync.Mutex
	abandoned bool
	outcome   policy.Result // of an abandoned exchange
	written   bool          // some of its request may have been sent
	stop      func()        // interrupts the current step: cancels the dial or closes the connection
}

// cancel abandons the exchange. If its request is not yet being written, it will not be.
func (x *exchange) cancel() { x.abandon(policy.Cancelled, false) }

// abandonUnwritten abandons the exchange with an outcome, unless its request is being written already.
func (x *exchange) abandonUnwritten(outcome policy.Result) { x.abandon(outcome, true) }

func (x *exchange) abandon(outcome policy.Result, onlyUnwritten bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if onlyUnwritten && x.written {
		return
	}
	if !x.abandoned {
		x.abandoned, x.outcome = true, outcome
	}
	if x.stop != nil {
		x.stop()
	}
}

// beginDial enters how to interrupt the dial. It returns false if the exchange is abandoned.
func (x *exchange) beginDial(cancel func()) bool { return x.advance(false, cancel) }

// beginWrite marks the request as written and enters how to interrupt the write and the read behind it. It
// returns false if the exchange is abandoned: nothing may be written then.
func (x *exchange) beginWrite(closeConn func()) bool { return x.advance(true, closeConn) }

// finish ends the exchange after its response. It returns false if the exchange is abandoned, and its
// connection closed with that.
func (x *exchange) finish() bool { return x.advance(true, nil) }

// advance moves to the next step, unless the exchange is abandoned: then it changes nothing.
//
// It replaces stop under the lock. A late cancel must not close a connection that is back in the pool and
// may carry another exchange by then: after finish there is nothing to stop, and once abandoned, no
// connection gets entered.
func (x *exchange) advance(written bool, stop func()) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.abandoned {
		return false
	}
	x.written = x.written || written
	x.stop = stop
	return true
}

// abandonedAs returns the outcome of the exchange, if it is abandoned.
func (x *exchange) abandonedAs() (outcome policy.Result, abandoned bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.outcome, x.abandoned
}

// roundTrip carries out an exchange: it sends a request once and reads the response. Without a complete
// response it returns nil and an outcome that says whether the request may have run.
func (t *transport) roundTrip(x *exchange, to *endpoint, request *outboundRequest, limits deadlines) (*serverResponse, policy.Result) {
	c, err := t.connectToWrite(x, to, request, limits.write)
	if err != nil {
		return nil, t.unsentOutcome(x, limits, err)
	}
	t.unregisterUnwritten(x)
	writeBegan := t.clock.now()
	if err := t.writeRequest(c, request, writeBegan, limits.response); err != nil {
		t.discard(c)
		return nil, t.unsentOutcome(x, limits, err)
	}
	res, err := c.readResponse(request.method)
	if err == nil && c.reusable(res) && x.finish() {
		t.putIdle(to, c)
	} else {
		t.discard(c)
	}
	if err != nil {
		return nil, t.lostOutcome(x, to, writeBegan, err)
	}
	return res, policy.Succeeded
}

// connectToWrite returns a connection on which the request must be written now, or an error if it must not be.
//
// The event loop may learn late that a client has gone, where CPU is short and much is under way. Nothing
// must be sent for that client meanwhile: so this looks at the client's connection itself, right before it
// dials and right before the request is written.
func (t *transport) connectToWrite(x *exchange, to *endpoint, request *outboundRequest, writeDeadline time.Duration) (*conn, error) {
	if request.abandoned() {
		x.abandonUnwritten(policy.NotSent)
		return nil, errAbandoned
	}
	c, err := t.connect(x, to, writeDeadline)
	if err != nil {
		return nil, err
	}
	// A connection may come up after the write deadline. A repeat that is written then may run a second
	// time, as servers no longer drop it: see policy.Host.Send.
	if request.abandoned() || t.clock.now() >= writeDeadline {
		x.abandonUnwritten(policy.NotSent)
	}
	if !x.beginWrite(func() { c.Conn.Close() }) {
		t.putIdle(to, c) // unused
		return nil, errAbandoned
	}
	return c, nil
}

// connect returns an idle connection that is alive, or dials one that must be up before the write deadline.
func (t *transport) connect(x *exchange, to *endpoint, writeDeadline time.Duration) (*conn, error) {
	for {
		c, err := t.acquire(to)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return t.dialReserved(x, to, writeDeadline)
		}
		if connAlive(c.Conn) {
			return c, nil
		}
		t.discardStale(c)
	}
}

// dialReserved opens a connection that acquire has reserved.
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

// writeRequest writes a request in a single call, so that an error means that its last byte was not sent.
func (t *transport) writeRequest(c *conn, request *outboundRequest, now, deadline time.Duration) error {
	_ = c.SetDeadline(t.clock.at(deadline)) // fails only on a closed connection, as the write then does
	if _, err := c.Write(request.encode(deadline - now)); err != nil {
		return fmt.Errorf("transport: write the request: %w", err)
	}
	return nil
}
