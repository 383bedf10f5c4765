package sidecar

import (
	"context"
	"net"
	"net/http"
	"time"

	"cranehatch/internal/loadreport"
	"cranehatch/policy"
)

const (
	livenessPath   = "/alive"        // path of health checks if servers provide no load reports
	loadReportPath = "/metrics/load" // path of health checks if they do; the response body is the report
)

// transport sends attempts and health checks to servers over pooled connections.
//
// It does not use http.Transport, which sends a request again, without a decision of package policy, when an
// idle connection turns out to be closed.
type transport struct {
	*connPool    // its mu also guards unwritten
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
	dialTimeout  time.Duration
	reportFormat loadreport.Format
	healthPath   string

	unwritten map[*exchange]*endpoint // servers of the attempts whose request has not been written yet
}

func newTransport(cfg *Config, clk clock) *transport {
	t := &transport{
		connPool: newConnPool(cfg, clk),
		// TCP keep-alive is off: the much shorter timeouts detect an unresponsive server.
		dial:        (&net.Dialer{KeepAlive: -1}).DialContext,
		dialTimeout: cfg.DialTimeout, reportFormat: cfg.ReportFormat,
		healthPath: livenessPath,
		unwritten:  make(map[*exchange]*endpoint),
	}
	if cfg.Policy.ReportFields != 0 {
		t.healthPath = loadReportPath
	}
	return t
}

// attemptResult is how an attempt ended.
type attemptResult struct {
	result policy.Result // see result.go for what each value proves
	header http.Header   // headers of the response if Succeeded, else nil
	body   []byte        // body of the response if Succeeded, else nil
}

// send starts an attempt. The request is written before writeDeadline or not at all; a writeDeadline of 0 sets
// no separate limit.
//
// The attempt runs on a goroutine of its own, which ends at attemptDeadline at the latest, or once the
// attempt is cancelled. It calls done exactly once, as its last step; nothing else waits for it.
func (t *transport) send(to *endpoint, request *outboundRequest, attemptDeadline, writeDeadline time.Duration, done func(attemptResult)) *exchange {
	limits := deadlines{response: attemptDeadline, write: writeDeadline}
	if writeDeadline == 0 {
		limits.write = attemptDeadline
	}
	x := new(exchange)
	// Registered before the goroutine starts, as abandonUnwrittenTo may be called before it runs.
	t.registerUnwritten(x, to)
	go func() {
		res, failure := t.roundTrip(x, to, request, limits)
		t.unregisterUnwritten(x) // for exchanges that ended before the write
		if res == nil {
			done(attemptResult{result: failure})
			return
		}
		done(t.resultOf(res))
	}()
	return x
}

// resultOf classifies a complete response.
func (t *transport) resultOf(res *serverResponse) attemptResult {
	attempt := attemptResult{result: classifyResponse(res)}
	if attempt.result == policy.Succeeded {
		attempt.header, attempt.body = res.Header, res.body
	}
	return attempt
}

// healthCheck requests a server's health or load report. It starts a goroutine that ends within the dial
// timeout and calls done exactly once, as its last step.
func (t *transport) healthCheck(to *endpoint, now time.Duration, done func(ok bool, load policy.LoadReport)) {
	go func() {
		request := &outboundRequest{method: http.MethodGet, uri: t.healthPath, host: to.address}
		deadline := now + t.dialTimeout
		res, _ := t.roundTrip(new(exchange), to, request, deadlines{response: deadline, write: deadline})
		if res == nil {
			done(false, policy.LoadReport{})
			return
		}
		done(res.StatusCode == http.StatusOK, t.reportFormat.DecodeText(string(res.body)))
	}()
}

func (t *transport) registerUnwritten(x *exchange, to *endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unwritten[x] = to
}

// unregisterUnwritten is called when an exchange begins to write its request, or ends before that.
func (t *transport) unregisterUnwritten(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.unwritten, x)
}

// abandonUnwrittenTo is called when a server drains or is no longer listed, after which no new request may be
// sent to it.
//
// An attempt that is still dialing could otherwise be written long after the endpoint update. Such attempts
// end as NotSent, so that package policy may choose another server.
func (t *transport) abandonUnwrittenTo(to *endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for x, server := range t.unwritten {
		if server == to {
			x.abandonUnwritten(policy.NotSent)
		}
	}
}
