package sidecar

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"cranehatch/policy"
)

// The outcome of an attempt tells package policy whether its request may have run, and so whether it may be
// sent again. Getting it wrong runs a request of the class policy.NonIdempotent twice. The rules:
//
//   - ConnectFailed, NotSent and Rejected prove that the request never ran.
//     ConnectFailed: the last byte of the request was not written, so the server never had a complete one.
//     NotSent: not written to its last byte, for a reason on this side (the client has gone, the server drains, no
//     descriptor is left) or because a write deadline shorter than a usual dial passed; it says nothing about the
//     server.
//     Rejected: the server says so itself, by X-Not-Processed.
//   - ConnectionLost, TimedOut, ServerError and Cancelled do not: once the last byte is written, a request may
//     have run, whatever comes back or does not.
//
// The errors below follow the same division: errConnLimit and errAbandoned occur before the request is
// written, those of readResponse after it.

// Errors before the request is written: it has not run.
var (
	errConnLimit = errors.New("transport: as many connections to servers are in use as are allowed")
	errAbandoned = errors.New("transport: the exchange was abandoned before its request was written")
)

// Errors of readResponse, after the request was written: it may have run.
var (
	errBodyTooLong         = errors.New("transport: the response body is longer than allowed")
	errBodyUndelimited     = errors.New("transport: the response has neither a Content-Length nor chunks")
	errTooManyInterimHeads = errors.New("transport: too many interim responses")
)

// resultBeforeWrite is the result of an exchange whose request was not written to its last byte.
func (t *transport) resultBeforeWrite(x *exchange, limits deadlines, err error) policy.Result {
	if outcome, abandoned := x.abandonedAs(); abandoned {
		return outcome
	}
	if isLocalShortage(err) {
		return policy.NotSent
	}
	if limits.write < limits.response && t.clock.now() >= limits.write {
		return policy.NotSent // the server had less time than usual to accept the connection
	}
	return policy.ConnectFailed
}

// isLocalShortage reports whether an exchange failed for want of connections or file descriptors on this side.
func isLocalShortage(err error) bool {
	return errors.Is(err, errConnLimit) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// resultAfterWrite is the result of an exchange whose request was written and whose response did not arrive
// complete and well-formed. After a timeout it also closes the older idle connections to the server.
func (t *transport) resultAfterWrite(x *exchange, to *endpoint, writeBegan time.Duration, err error) policy.Result {
	if outcome, abandoned := x.abandonedAs(); abandoned {
		return outcome
	}
	if !isTimeout(err) {
		return policy.ConnectionLost
	}
	// A shorter wait than a dial may take says nothing about the server's machine.
	if t.clock.now()-writeBegan >= t.dialTimeout {
		t.closeIdleBefore(to, writeBegan)
	}
	return policy.TimedOut
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// classifyResponse is the result of an exchange with a complete response. X-Not-Processed counts only on the
// statuses of a server that is overloaded or past the request's deadline; on others it is taken for a fault.
func classifyResponse(res *serverResponse) policy.Result {
	switch res.StatusCode {
	case http.StatusOK:
		return policy.Succeeded
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if res.Header.Get(headerNotProcessed) == flagSet {
			return policy.Rejected
		}
	}
	return policy.ServerError
}
