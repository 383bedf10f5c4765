package sidecar

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Clients run on the same machine and send a request at once. These timeouts leave enough for a client
	// that is short of CPU, and end one that never finishes its request within 3 s of connecting.
	readHeadTimeout   = 2200 * time.Millisecond // for the head; also for the first byte on a new connection
	readBodyTimeout   = 2 * time.Second         // for the body, after the head
	clientIdleTimeout = 2 * time.Minute         // idle connections of clients are closed after this
	maxHeaderBytes    = 16 << 10

	readinessPath = "/up"

	// The Retry-After of a request over a limit is drawn from this range, so that clients which were rejected
	// together don't all retry together.
	minRetryAfterSeconds    = 0.5
	retryAfterJitterSeconds = 1.0
)

// ingress is the HTTP handler for the application: it validates requests, enforces the limits on what is in
// flight, hands accepted requests to the event loop and writes their responses. The limits protect this
// process; package policy decides on everything else.
type ingress struct {
	cfg       *Config
	clock     clock
	loop      *eventLoop
	inFlight  atomic.Int64 // requests read in full that have no response yet
	bodyBytes atomic.Int64 // size of their bodies
	ready     atomic.Bool  // the answer to a readiness check
	answerBy  atomic.Int64 // while draining: when responses must be out, in the clock's time; 0 before

	rejectedBodyTimeout time.Duration // how long the rest of a rejected request is read

	mu      sync.Mutex
	openIDs map[string]bool // ids of the requests that have no response yet
}

func newIngress(cfg *Config, c clock, l *eventLoop) *ingress {
	return &ingress{cfg: cfg, clock: c, loop: l, openIDs: make(map[string]bool), rejectedBodyTimeout: rejectedBodyTimeout}
}

// server returns the HTTP server for the application. Its caller starts it and shuts it down.
func (f *ingress) server(a *acceptor) *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: readHeadTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         a.connStateChanged,
		ConnContext:       connContext,
	}
}

// ServeHTTP handles one request of the application, or a readiness check.
func (f *ingress) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The client's timeout runs from when it sent the request, so the arrival is taken before the body is read, and
	// of a request that waited behind another one before its turn came.
	arrived := f.clock.now()
	if c := clientConnOf(r.Context()); c != nil {
		c.expectBody(r.ContentLength)
		arrived = min(arrived, f.clock.of(c.requestArrived()))
	}
	if isReadinessCheck(r) {
		f.writeReadiness(w, r)
		return
	}
	parsed, rejected := f.parseRequest(r)
	if rejected != nil {
		f.reject(w, r, rejected)
		return
	}
	id := r.Header.Get(headerRequestID)
	if !f.reserveID(id) {
		f.reject(w, r, reject(http.StatusConflict, "a request of this X-Request-ID is open"))
		return
	}
	defer f.releaseID(id)
	body, rejected := readBody(w, r)
	if rejected != nil {
		f.reject(w, r, rejected)
		return
	}
	f.enforceLimits(w, r, parsed, body, arrived+parsed.timeout)
}

func isReadinessCheck(r *http.Request) bool {
	hasBody := len(r.TransferEncoding) != 0 || r.ContentLength != 0
	return r.URL.Path == readinessPath && r.Method == http.MethodGet && !hasBody
}

// writeReadiness answers 200 while the sidecar serves, and 503 before that and while it drains.
func (f *ingress) writeReadiness(w http.ResponseWriter, r *http.Request) {
	f.closeIfDraining(w, r)
	if !f.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// enforceLimits forwards a request that was read in full, unless it is over a limit.
//
// Requests are counted only from here on. If they counted from their head on, a few clients that announce a
// body and never send it could use up the limits for all others. Until here the limit on client connections
// bounds them.
func (f *ingress) enforceLimits(w http.ResponseWriter, r *http.Request, parsed parsedRequest, body []byte, deadline time.Duration) {
	size := int64(len(body))
	inFlight, bodyBytes := f.inFlight.Add(1), f.bodyBytes.Add(size)
	defer f.inFlight.Add(-1)
	defer f.bodyBytes.Add(-size)
	deadline = f.capDeadline(deadline)
	if f.overLimit(inFlight, bodyBytes) || deadline <= f.clock.now() {
		f.closeIfDraining(w, r)
		writeUnavailable(w, f.drawRetryAfter())
		return
	}
	f.forward(w, r, parsed, body, deadline)
}

// forward hands a request to the event loop and writes the final response, or none if the client has gone
// before it is there.
func (f *ingress) forward(w http.ResponseWriter, r *http.Request, parsed parsedRequest, body []byte, deadline time.Duration) {
	final := f.awaitResponse(r, parsed, body, deadline)
	if final == nil {
		panic(http.ErrAbortHandler) // how a handler has net/http close the connection without a response
	}
	f.closeIfDraining(w, r)
	final.write(w)
}

// awaitResponse hands a request to the event loop and returns its response, or nil if the client has gone before.
func (f *ingress) awaitResponse(r *http.Request, parsed parsedRequest, body []byte, deadline time.Duration) *response {
	client := monitorClient(r.Context())
	defer client.stop()
	outbound := newOutboundRequest(r, body, client.clientClosed)
	reply := make(chan response, 1) // buffered: the event loop never waits for a handler
	number := f.loop.submit(parsed.policy, outbound, deadline, reply)
	select {
	case final := <-reply:
		return &final
	case <-r.Context().Done(): // net/http has seen the client close its connection
	case <-client.gone: // the monitor has, behind further bytes, where net/http does not look
	}
	f.loop.clientGone(number)
	return nil
}

// capDeadline returns the deadline of a request, earlier if the process may be killed before it: a
// request that arrives while the sidecar drains must have its response by then.
func (f *ingress) capDeadline(deadline time.Duration) time.Duration {
	if answerBy := time.Duration(f.answerBy.Load()); answerBy != 0 {
		return min(deadline, answerBy)
	}
	return deadline
}

// overLimit reports whether the requests in flight, with the one at hand, or their bodies are too many.
func (f *ingress) overLimit(inFlight, bodyBytes int64) bool {
	if f.cfg.MaxInFlight > 0 && inFlight > int64(f.cfg.MaxInFlight) {
		return true
	}
	return bodyBytes > f.cfg.maxBodyBytes()
}

func (f *ingress) drawRetryAfter() time.Duration {
	seconds := minRetryAfterSeconds + retryAfterJitterSeconds*rand.Float64()
	return min(time.Duration(float64(time.Second)*seconds), f.cfg.Policy.MaxRetryAfter)
}

// closeIfDraining has a connection close after the response that is about to be written, while draining. Where the
// client has sent more behind that request, the connection closes after the last response instead: what has been read
// of it would be lost.
func (f *ingress) closeIfDraining(w http.ResponseWriter, r *http.Request) {
	if f.answerBy.Load() == 0 {
		return
	}
	if c := clientConnOf(r.Context()); c != nil && c.hasNextRequest() {
		return
	}
	w.Header().Set(headerConnection, "close")
}

// reserveID enters a request's id, or returns false if a request with this id is in flight: servers would
// take the second for a repeat of the first and drop it.
func (f *ingress) reserveID(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.openIDs[id] {
		return false
	}
	f.openIDs[id] = true
	return true
}

func (f *ingress) releaseID(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.openIDs, id)
}

// readBody reads a body of the announced length within readBodyTimeout: a client that announces more than it
// sends must not occupy memory and a connection indefinitely. io.ReadAll allocates only for what arrives.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *rejectionError) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(readBodyTimeout)) // fails only on a closed connection, as the read does
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, reject(http.StatusRequestTimeout, "the body is shorter than Content-Length")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}
