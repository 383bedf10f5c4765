package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"cranehatch/internal/gossip"
	"cranehatch/policy"
)

const (
	countersInterval = 10 * time.Second // how often the module's counters go to the log
	eventQueueLength = 256
)

// eventLoop owns the Balancer. All of its events pass through one goroutine, in order; the other parts
// hand them over with post. Everything that must happen once a request or once an attempt, the
// final answer and the Outcome, is kept here.
type eventLoop struct {
	clock          clock
	balancer       *policy.Balancer
	transport      *transport
	watchEndpoints func()           // subscribes to the list
	peers          *gossipTransport // the other sidecars; nil: there is no way to them
	maxAttempts    int              // attempts for one request at most

	lastID         atomic.Uint64
	events         chan func(now time.Duration)
	now            time.Duration // the time of the event under way
	requests       map[policy.RequestID]*request
	endpoints      map[policy.EndpointID]*endpoint // the servers that are listed and not gone
	unsentOutcomes []policy.Outcome                // owed once the event under way is over
	timersAt       []time.Duration                 // when Wake is due, in order
	timer          *time.Timer                     // set for the first of them
}

// request is one in the table. It stays until it has its answer and all its attempts have ended.
type request struct {
	outbound         *outboundRequest
	reply            chan<- response
	deadline         time.Duration
	attempts         []*exchange // by number; nil: was not sent
	inFlight         int         // attempts with no Outcome yet
	closed           bool        // it has its final answer, or its client has gone
	deadlineExceeded bool        // its last attempt did: what a failure is called
}

// response is the final answer of a request.
type response struct {
	status     int
	header     http.Header
	body       []byte
	retryAfter time.Duration // refused: when to come back
}

func newEventLoop(cfg *Config, c clock, up *transport) (*eventLoop, error) {
	l := &eventLoop{
		clock: c, transport: up, watchEndpoints: func() {}, maxAttempts: cfg.Policy.MaxAttempts,
		events:    make(chan func(time.Duration), eventQueueLength),
		requests:  make(map[policy.RequestID]*request),
		endpoints: make(map[policy.EndpointID]*endpoint),
		timer:     time.NewTimer(time.Hour),
	}
	var err error
	if l.balancer, err = policy.New(cfg.Policy, cfg.Seed, l); err != nil {
		return nil, err
	}
	return l, nil
}

// post hands over an event. It waits where many are under way; the loop itself never waits for
// those who post.
func (l *eventLoop) post(event func(now time.Duration)) { l.events <- event }

// run gives the Balancer its life: start, the servers known so far, then event after event.
func (l *eventLoop) run(ctx context.Context, known endpointUpdate) {
	l.now = l.clock.now()
	l.balancer.Start(l.now)
	known.complete = true
	l.applyEndpoints(known, policy.CachedUpdate)
	counters := time.NewTicker(countersInterval)
	defer counters.Stop()
	for {
		l.reportUnsent()
		select {
		case event := <-l.events:
			l.now = l.clock.now()
			event(l.now)
		case <-l.timer.C:
			l.now = l.clock.now()
			l.fireTimers()
		case <-counters.C:
			slog.Info("counters", "module", fmt.Sprintf("%+v", l.balancer.Counters()), "upstream", l.transport.counters(),
				"peers", l.peers.counters())
		case <-ctx.Done():
			return
		}
	}
}

// fireTimers calls the module once for all timers that are due.
func (l *eventLoop) fireTimers() {
	due := 0
	for due < len(l.timersAt) && l.timersAt[due] <= l.now {
		due++
	}
	if l.timersAt = slices.Delete(l.timersAt, 0, due); due > 0 {
		l.balancer.TimerFired(l.now)
	}
	l.armTimer()
}

func (l *eventLoop) armTimer() {
	if len(l.timersAt) > 0 {
		l.timer.Reset(l.timersAt[0] - l.now)
	}
}

// reportUnsent tells the module of the sends that were not carried out. It waits until the module has
// returned, as Host's methods must not call back.
func (l *eventLoop) reportUnsent() {
	for len(l.unsentOutcomes) > 0 {
		o := l.unsentOutcomes[0]
		l.unsentOutcomes = l.unsentOutcomes[1:]
		l.reportOutcome(o)
	}
}

// endpointsChanged takes news from discovery.
func (l *eventLoop) endpointsChanged(news endpointUpdate) {
	kind := policy.DeltaUpdate
	if news.complete {
		kind = policy.FullUpdate
	}
	l.post(func(time.Duration) { l.applyEndpoints(news, kind) })
}

func (l *eventLoop) endpointsFailed() {
	l.post(func(now time.Duration) { l.balancer.UpdateEndpoints(now, policy.UpdateFailed, nil) })
}

func (l *eventLoop) applyEndpoints(news endpointUpdate, kind policy.UpdateKind) {
	before := maps.Clone(l.endpoints)
	if news.complete {
		clear(l.endpoints)
	}
	for _, s := range news.endpoints {
		switch h, address := before[s.ID], news.addresses[s.ID]; {
		case s.State == policy.Removed:
			delete(l.endpoints, s.ID)
		case h != nil && h.address == address:
			l.endpoints[s.ID] = h
			if s.State != policy.Ready {
				l.transport.stopUnwritten(h)
			}
		default:
			l.endpoints[s.ID] = &endpoint{address: address}
		}
	}
	for id, h := range before {
		if l.endpoints[id] != h {
			l.transport.stopUnwritten(h)
			l.transport.remove(h)
		}
	}
	l.balancer.UpdateEndpoints(l.now, kind, news.endpoints)
}

// submit takes a request on. Its final answer goes to reply, which must have room for it.
// The number that it returns names the request for gone.
func (l *eventLoop) submit(q policy.Request, m *outboundRequest, deadline time.Duration, reply chan<- response) policy.RequestID {
	q.ID = policy.RequestID(l.lastID.Add(1))
	l.post(func(now time.Duration) {
		q.Timeout = deadline - now
		l.requests[q.ID] = &request{outbound: m, deadline: deadline, reply: reply}
		l.balancer.Request(now, q)
	})
	return q.ID
}

// clientGone takes that a request's client has closed its connection.
func (l *eventLoop) clientGone(id policy.RequestID) {
	l.post(func(now time.Duration) {
		if r := l.requests[id]; r != nil {
			l.abandon(now, id, r)
		}
	})
}

func (l *eventLoop) abandon(now time.Duration, id policy.RequestID, r *request) {
	if !r.closed {
		l.respond(id, r, nil)
		l.balancer.ClientDisconnected(now, id)
	}
}

// respond ends a request with its one answer, or with none where the client has gone. Attempts of it that
// are still to be written are not: whether others may be called off is for the module and the settings.
func (l *eventLoop) respond(id policy.RequestID, r *request, a *response) {
	r.closed = true
	for _, x := range r.attempts {
		if x != nil {
			x.withhold(policy.Cancelled)
		}
	}
	if a != nil {
		r.reply <- *a
	}
	if r.inFlight == 0 {
		delete(l.requests, id)
	}
}

// reportOutcome tells the module how an attempt ended, once for each.
func (l *eventLoop) reportOutcome(o policy.Outcome) {
	r := l.requests[o.RequestID]
	r.inFlight--
	o.Answered = r.closed
	l.balancer.Outcome(l.now, o)
	if r.closed && r.inFlight == 0 {
		delete(l.requests, o.RequestID)
	}
}

// attemptEnded takes the end of an attempt. The first answer of an upstream goes to the client at once
// and settles the request.
func (l *eventLoop) attemptEnded(id policy.RequestID, number int, res attemptResult) {
	r := l.requests[id]
	r.deadlineExceeded = res.outcome == policy.TimedOut
	if res.outcome == policy.NotSent && r.outbound.abandoned() { // as was found before it was written: no further one
		l.abandon(l.now, id, r)
	}
	if res.outcome == policy.Succeeded && !r.closed {
		l.respond(id, r, &response{status: http.StatusOK, header: res.header, body: res.body})
	}
	l.reportOutcome(policy.Outcome{RequestID: id, Attempt: number, Result: res.outcome, Report: res.report})
}

// Send starts an attempt, given up after timeout or at the client's deadline. Where the request is
// over or out of attempts or time, or the server is not listed, nothing is sent, nor where it is not on its way
// within the time that there is for that.
func (l *eventLoop) Send(id policy.RequestID, to policy.EndpointID, timeout, within time.Duration) {
	r := l.requests[id]
	if r == nil {
		return // over, with all attempts ended: the module has forgotten it too
	}
	number, left := len(r.attempts), r.deadline-l.now
	r.inFlight++
	h := l.endpoints[to]
	if r.closed || number >= l.maxAttempts || left <= 0 || min(timeout, within) < 0 || h == nil {
		r.attempts = append(r.attempts, nil)
		l.unsentOutcomes = append(l.unsentOutcomes, policy.Outcome{RequestID: id, Attempt: number, Result: policy.NotSent})
		return
	}
	if timeout == 0 || timeout > left {
		timeout = left
	}
	until, by := l.now+timeout, time.Duration(0)
	if within > 0 {
		by = min(until, l.now+within)
	}
	r.attempts = append(r.attempts, l.transport.send(h, r.outbound, until, by, func(res attemptResult) {
		l.post(func(time.Duration) { l.attemptEnded(id, number, res) })
	}))
}

// Reject ends a request; trying again is harmless.
func (l *eventLoop) Reject(id policy.RequestID, pause time.Duration) {
	if r := l.requests[id]; r != nil && !r.closed {
		l.respond(id, r, &response{status: http.StatusServiceUnavailable, retryAfter: pause})
	}
}

// Fail ends a request with no promise.
func (l *eventLoop) Fail(id policy.RequestID) {
	r := l.requests[id]
	if r == nil || r.closed {
		return
	}
	status := http.StatusBadGateway
	if r.deadlineExceeded || r.inFlight > 0 {
		status = http.StatusGatewayTimeout
	}
	l.respond(id, r, &response{status: status})
}

// Cancel calls off an attempt; its Outcome still comes.
func (l *eventLoop) Cancel(id policy.RequestID, attempt int) {
	if r := l.requests[id]; r != nil && attempt >= 0 && attempt < len(r.attempts) && r.attempts[attempt] != nil {
		r.attempts[attempt].cancel()
	}
}

// SetTimer sees to a call of Balancer.TimerFired after d. Timers due at one moment share that call.
func (l *eventLoop) SetTimer(d time.Duration) {
	due := l.now + max(d, 0)
	i, found := slices.BinarySearch(l.timersAt, due)
	if found {
		return
	}
	if l.timersAt = slices.Insert(l.timersAt, i, due); i == 0 {
		l.armTimer()
	}
}

// HealthCheck asks a server for a load report.
func (l *eventLoop) HealthCheck(to policy.EndpointID) {
	told := func(ok bool, load policy.LoadReport) {
		l.post(func(now time.Duration) { l.balancer.HealthChecked(now, to, ok, load) })
	}
	h := l.endpoints[to]
	if h == nil { // no longer listed; Host's methods must not call back, so from outside
		go told(false, policy.LoadReport{})
		return
	}
	l.transport.healthCheck(h, l.now, told)
}

// CloseIdle closes the idle connections to a server.
func (l *eventLoop) CloseIdle(to policy.EndpointID) {
	if h := l.endpoints[to]; h != nil {
		l.transport.closeIdle(h)
	}
}

// gossipReceived takes news of another sidecar.
func (l *eventLoop) gossipReceived(from int, n policy.GossipMessage) {
	l.post(func(now time.Duration) { l.balancer.ReceiveGossip(now, from, n) })
}

// Broadcast sends news to the other sidecars.
func (l *eventLoop) Broadcast(n policy.GossipMessage) { l.peers.send(gossip.Encode(n)) }

// WatchEndpoints subscribes to the server list.
func (l *eventLoop) WatchEndpoints() { l.watchEndpoints() }

// Log writes a line for the people on call.
func (l *eventLoop) Log(e policy.HealthEvent) {
	slog.Info("endpoint health changed", "event", e.String())
}
