package sidecar

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"cranehatch/policy"
)

// The result of an attempt determines whether its request may have run, and so whether package policy may send
// the request again. A wrong result can run a request of a policy.NonIdempotent class twice. The rules:
//
//   - ConnectFailed, NotSent and Rejected prove that the request never ran.
//     ConnectFailed: the last byte of the request was not written, so the server never had a complete one.
//     NotSent: the last byte was not written for a reason on the sidecar's side (the client has disconnected,
//     the server drains, no file descriptor is left), or because a write deadline shorter than the usual dial
//     timeout passed. This is no evidence about the server.
//     Rejected: the server reports with X-Not-Processed that the request has not run.
//   - ConnectionLost, TimedOut, ServerError and Cancelled do not prove that: once the last byte is written, the
//     request may have run, whether or not a response arrives.
//
// The errors below are divided the same way: errConnLimit and errAbandoned occur before the request is written,
// the errors of readResponse after it.

// Errors that occur before the request is written: the request has not run.
var (
	errConnLimit = errors.New("transport: connection limit reached and no idle connection to close")
	errAbandoned = errors.New("transport: exchange abandoned before its request was written")
)

// resultBeforeWrite returns the result of an exchange whose request was not written to its last byte.
func (t *transport) resultBeforeWrite(x *exchange, limits deadlines, err error) policy.Result {
	if result, abandoned := x.abandonedResult(); abandoned {
		return result
	}
	if isLocalResourceLimit(err) {
		return policy.NotSent
	}
	if limits.write < limits.response && t.clock.now() >= limits.write {
		return policy.NotSent // the server had less time than usual to accept the connection
	}
	return policy.ConnectFailed
}

// isLocalResourceLimit reports whether an exchange failed because the sidecar or its machine ran out of
// connections or file descriptors.
func isLocalResourceLimit(err error) bool {
	return errors.Is(err, errConnLimit) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// resultAfterWrite returns the result of an exchange whose request was written but got no complete and
// well-formed response. After a timeout of at least the dial timeout it also closes the older idle connections
// to the server.
func (t *transport) resultAfterWrite(x *exchange, to *endpoint, writeStart time.Duration, err error) policy.Result {
	if result, abandoned := x.abandonedResult(); abandoned {
		return result
	}
	if errors.Is(err, errBudgetExhausted) {
		return policy.Cancelled // no fault of the server
	}
	if !isTimeout(err) {
		return policy.ConnectionLost
	}
	// A timeout shorter than the dial timeout is no evidence that the server's machine is unreachable.
	if t.clock.now()-writeStart >= t.dialTimeout {
		t.closeIdleBefore(to, writeStart)
	}
	return policy.TimedOut
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// classifyResponse returns the result of an exchange with a complete response. X-Not-Processed counts only
// with the statuses of a server that is overloaded or past the request's deadline. With any other status it
// is taken for a fault of the server and ignored.
func classifyResponse(res *serverResponse) policy.Result {
	switch res.StatusCode {
	case http.StatusOK:
		return policy.Succeeded
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if res.Header.Get(headerNotProcessed) == headerFlagTrue {
			return policy.Rejected
		}
	}
	return policy.ServerError
}
