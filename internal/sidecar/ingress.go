package sidecar

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// Clients run on the same machine and send each request in one go. readHeadTimeout and readBodyTimeout leave
	// enough time for a client that is short of CPU. A client that connects and sends nothing, or at once sends
	// only part of its first request, is disconnected within 3 s of connecting, whether it stalls in the head or
	// in the body.

	// readHeadTimeout limits reading a request's head. It also limits the wait for the first byte on a new
	// connection.
	readHeadTimeout = 2200 * time.Millisecond
	// clientIdleTimeout is how long a client's connection may be idle before it is closed.
	clientIdleTimeout = 2 * time.Minute

	readinessPath = "/up"

	// minRetryAfterSeconds is the shortest Retry-After of a request that is rejected because a limit is
	// exceeded or its deadline has passed, unless the configured maximum is shorter.
	minRetryAfterSeconds = 0.5
	// retryAfterJitterSeconds is the range of the random time that is added to minRetryAfterSeconds, so that
	// clients rejected at the same moment don't all retry at the same moment.
	retryAfterJitterSeconds = 1.0
)

// ingress is the HTTP handler for the application: it validates requests, limits the number and size of those
// in flight, submits accepted requests to the event loop and writes their responses. The limits protect this
// process; all other decisions are made by package policy.
type ingress struct {
	cfg               *Config
	clock             clock
	loop              *eventLoop
	inFlight          atomic.Int64 // requests that were read in full and have no response yet
	inFlightBodyBytes atomic.Int64 // total size of the bodies of these requests
	ready             atomic.Bool  // whether readiness checks are answered with 200
	drainDeadline     atomic.Int64 // time of the clock by which responses must be written; 0: not draining

	longRequests        *memoryBudget // of the requests that are received or in flight
	longResponses       *memoryBudget // of the responses to the requests in flight
	bodyTimeout         time.Duration // how long to read a request's body
	rejectedBodyTimeout time.Duration // how long to read the rest of a rejected request
	requestIDs          *requestIDs
}

// acceptedRequest is a valid request that was read in full.
type acceptedRequest struct {
	parsedRequest
	id   *reservedID
	body requestBody
}

func newIngress(cfg *Config, c clock, l *eventLoop) *ingress {
	return &ingress{
		cfg: cfg, clock: c, loop: l,
		longRequests:        &memoryBudget{limit: cfg.maxLongRequestBytes()},
		longResponses:       &memoryBudget{limit: cfg.maxTotalBodyBytes()},
		bodyTimeout:         readBodyTimeout,
		rejectedBodyTimeout: rejectedBodyTimeout,
		requestIDs:          newRequestIDs(),
	}
}

// server returns the HTTP server for the application on an acceptor. The caller starts it and shuts it down.
func (in *ingress) server(a *acceptor) *http.Server {
	a.randomRetryAfter, a.longRequests = in.randomRetryAfter, in.longRequests
	return &http.Server{
		Handler:           in,
		ReadHeaderTimeout: readHeadTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         a.connStateChanged,
		ConnContext:       connContext,

		DisableGeneralOptionsHandler: true, // every request passes the ingress
	}
}

// ServeHTTP handles a request of the application or a readiness check.
func (in *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The client's timeout starts when the client sends the request. The arrival time is therefore taken before
	// the body is read. For a pipelined request it is the time at which its head was read from the socket,
	// before the request waited for the response to the previous one.
	arrived := in.clock.now()
	var memory *memoryCharge // of the request
	if c := clientConnFromContext(r.Context()); c != nil {
		memory = c.headRead(r.ContentLength)
		if t := c.requestArrivalTime(); !t.IsZero() {
			arrived = min(arrived, in.clock.fromTime(t))
		}
	}
	if memory == nil {
		memory = &memoryCharge{budget: in.longRequests}
	}
	defer memory.release()
	if isReadinessCheck(r) {
		in.writeReadiness(w, r)
		return
	}
	parsed, rejection := in.parseRequest(r)
	if rejection != nil {
		in.reject(w, r, rejection)
		return
	}
	id := in.requestIDs.reserve(r.Header.Get(headerRequestID), arrived)
	if id == nil {
		in.reject(w, r, reject(http.StatusConflict, "the X-Request-ID belongs to another request"))
		return
	}
	defer func() { id.release(in.clock.now()) }()
	body, rejection := in.readBody(w, r, memory)
	if rejection != nil {
		in.reject(w, r, rejection)
		return
	}
	responseMemory := &memoryCharge{budget: in.longResponses}
	defer responseMemory.release()
	in.forwardWithinLimits(w, r, acceptedRequest{parsed, id, requestBody{body, responseMemory}}, arrived+parsed.timeout)
}

func isReadinessCheck(r *http.Request) bool {
	hasBody := len(r.TransferEncoding) != 0 || r.ContentLength != 0
	return r.URL.Path == readinessPath && r.Method == http.MethodGet && !hasBody
}

// writeReadiness responds 200 while the sidecar is serving, and 503 before that and while it is draining.
func (in *ingress) writeReadiness(w http.ResponseWriter, r *http.Request) {
	in.closeIfDraining(w, r)
	if !in.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// forwardWithinLimits forwards a request that was read in full, or rejects it if a limit is exceeded or its
// deadline has passed.
//
// A request is counted only once it has been read in full. If it were counted from its head on, a few clients
// that announce a body and never send it could use up the limits for all others. Until a request is counted,
// only the limit on client connections applies to it.
func (in *ingress) forwardWithinLimits(w http.ResponseWriter, r *http.Request, accepted acceptedRequest, deadline time.Duration) {
	size := int64(len(accepted.body.bytes))
	inFlight, inFlightBodyBytes := in.inFlight.Add(1), in.inFlightBodyBytes.Add(size)
	defer in.inFlight.Add(-1)
	defer in.inFlightBodyBytes.Add(-size)
	deadline = in.capDeadline(deadline)
	if in.overLimit(inFlight, inFlightBodyBytes) || deadline <= in.clock.now() {
		in.closeIfDraining(w, r)
		writeUnavailable(w, in.randomRetryAfter())
		return
	}
	in.forward(w, r, accepted, deadline)
}

// forward submits a request to the event loop and writes the response. If the client disconnects before there
// is a response, forward makes net/http close the connection without one.
func (in *ingress) forward(w http.ResponseWriter, r *http.Request, accepted acceptedRequest, deadline time.Duration) {
	final := in.awaitResponse(r, accepted, deadline)
	accepted.id.mayHaveRun = final == nil || final.status != http.StatusServiceUnavailable
	if final == nil {
		panic(http.ErrAbortHandler) // net/http then closes the connection without a response
	}
	in.closeIfDraining(w, r)
	final.write(w)
}

// awaitResponse submits a request to the event loop and returns the response, or nil if the client
// disconnects before there is one.
func (in *ingress) awaitResponse(r *http.Request, accepted acceptedRequest, deadline time.Duration) *response {
	client := monitorClient(r.Context())
	defer client.stop()
	outbound := newOutboundRequest(r, accepted.body, client.clientClosed)
	reply := make(chan response, 1) // buffered, so that the event loop never blocks on a handler
	id := in.loop.submit(accepted.policy, outbound, deadline, reply)
	select {
	case final := <-reply:
		return &final
	case <-r.Context().Done(): // net/http has detected that the client disconnected
	case <-client.disconnected: // the monitor has detected it, after bytes that net/http does not read
	}
	in.loop.clientDisconnected(id)
	return nil
}

// capDeadline returns the deadline of a request. While the sidecar is draining it is at most drainDeadline,
// as the process may be killed soon after that.
func (in *ingress) capDeadline(deadline time.Duration) time.Duration {
	if drainDeadline := time.Duration(in.drainDeadline.Load()); drainDeadline != 0 {
		return min(deadline, drainDeadline)
	}
	return deadline
}

// overLimit reports whether the requests in flight, including the current one, or their bodies exceed a
// limit.
func (in *ingress) overLimit(inFlight, inFlightBodyBytes int64) bool {
	if in.cfg.MaxInFlight > 0 && inFlight > int64(in.cfg.MaxInFlight) {
		return true
	}
	return inFlightBodyBytes > in.cfg.maxTotalBodyBytes()
}

// randomRetryAfter returns a random Retry-After, at most the configured maximum.
func (in *ingress) randomRetryAfter() time.Duration {
	seconds := minRetryAfterSeconds + retryAfterJitterSeconds*rand.Float64()
	return min(time.Duration(float64(time.Second)*seconds), in.cfg.Policy.MaxRetryAfter)
}

// closeIfDraining makes net/http close the connection after the response that is about to be written, if the
// sidecar is draining. If the client has already sent more after this request, the connection stays open
// until the last response: closing it now would lose the part of the next request that has been read.
func (in *ingress) closeIfDraining(w http.ResponseWriter, r *http.Request) {
	if in.drainDeadline.Load() == 0 {
		return
	}
	if c := clientConnFromContext(r.Context()); c != nil && c.hasNextRequest() {
		return
	}
	w.Header().Set(headerConnection, "close")
}
