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
	livenessPath   = "/alive"        // of a health check where servers report no load
	loadReportPath = "/metrics/load" // of a health check where they do: the body is the report
)

// transport sends attempts and health checks to servers over pooled connections.
//
// It is not http.Transport because that sends a request again on its own, without a decision of package
// policy, when an idle connection turns out to be closed.
type transport struct {
	*connPool    // its lock also guards unwritten
	dial         func(ctx context.Context, network, address string) (net.Conn, error)
	dialTimeout  time.Duration
	reportFormat loadreport.Format
	healthPath   string

	unwritten map[*exchange]*endpoint // attempts of which nothing is written yet, by the server they go to
}

func newTransport(cfg *Config, c clock) *transport {
	t := &transport{
		connPool: newConnPool(cfg, c),
		// Without TCP keep-alive: a server that went silent is found by the timeouts, which are much shorter.
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
	outcome policy.Result // outcome.go says what each proves
	header  http.Header   // of the response, if Succeeded
	body    []byte
	report  policy.LoadReport // the server's, where a response brought one
}

// send starts an attempt. It is abandoned at attemptDeadline, and its request is written before writeDeadline
// or not at all; a writeDeadline of 0 sets no limit of its own.
//
// The goroutine that send starts ends at attemptDeadline at the latest, and earlier once the attempt is
// cancelled. It calls done exactly once, last; nobody waits for it otherwise.
func (t *transport) send(to *endpoint, request *outboundRequest, attemptDeadline, writeDeadline time.Duration, done func(attemptResult)) *exchange {
	limits := deadlines{response: attemptDeadline, write: writeDeadline}
	if writeDeadline == 0 {
		limits.write = attemptDeadline
	}
	x := new(exchange)
	// Registered before the goroutine runs: stopUnwritten may be called before that gets anywhere.
	t.registerUnwritten(x, to)
	go func() {
		res, outcome := t.roundTrip(x, to, request, limits)
		t.unregisterUnwritten(x) // for exchanges that ended unwritten
		if res == nil {
			done(attemptResult{outcome: outcome})
			return
		}
		done(t.resultOf(res))
	}()
	return x
}

// resultOf classifies a complete response.
func (t *transport) resultOf(res *serverResponse) attemptResult {
	result := attemptResult{
		outcome: classifyResponse(res),
		report:  t.reportFormat.DecodeText(res.Header.Get(headerServerLoad)),
	}
	if result.outcome == policy.Succeeded {
		result.header, result.body = res.Header, res.body
	}
	return result
}

// healthCheck requests a server's health or load report. It starts a goroutine, which ends within the dial
// timeout and calls done exactly once, last.
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

// unregisterUnwritten is called when an exchange begins to write its request, or ends without that.
func (t *transport) unregisterUnwritten(x *exchange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.unwritten, x)
}

// stopUnwritten is called when a server drains or is no longer listed: nothing new may be sent to it.
//
// An attempt that is still opening a connection could otherwise be written there long after the endpoint
// update. Such attempts end as NotSent, so that package policy may choose another server.
func (t *transport) stopUnwritten(to *endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for x, server := range t.unwritten {
		if server == to {
			x.abandonUnwritten(policy.NotSent)
		}
	}
}
