package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	activeTimerInterval = 10 * time.Millisecond  // timer interval while requests are open
	idleTimerInterval   = 100 * time.Millisecond // timer interval while no request is open

	// Until the first response, the mean latency is assumed to be the latency objective divided by
	// initialLatencyDivisor.
	initialLatencyDivisor = 8
)

// Balancer makes the decisions of one sidecar. Its host reports events by calling the exported
// methods, which are declared in the order in which a request passes through them. Each mechanism
// has its own file and keeps its own state.
type Balancer struct {
	cfg       Config
	host      Host
	rng       *rand.Rand
	classes   []class
	quota     float64       // requests per second over all tenants and balancers; 0: unknown
	objective meanObjective // mean over all classes
	timerAt   time.Duration // time of the next pending timer; 0: none
	counters  Counters

	requests      map[RequestID]*request // open requests, and closed ones with attempts in flight
	openRequests  []*request             // requests in order of arrival; TimerFired removes closed ones
	inFlight      int                    // attempts of this balancer in flight
	meanLatency   time.Duration          // of successful attempts over all classes
	fleetInFlight float64                // attempts in flight expected over all balancers: see sizeBulkheads

	admission     admission
	bulkheads     bulkheads
	retryBudget   retryBudget
	ordering      keyOrdering
	clientRetries clientRetries

	endpoints  endpointSet
	watch      endpointWatch
	idleCloser idleCloser
	subset     subset
	picker     picker
	sampler    reportSampler

	traffic    requestRate
	congestion congestion // as observed by this balancer alone
	unloaded   unloadedLatency
	gossip     gossip
}

// New returns a Balancer, or a *ConfigError if the configuration is invalid.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg:         cfg,
		host:        host,
		rng:         rand.New(rand.NewPCG(seed, 0)),
		requests:    make(map[RequestID]*request),
		ordering:    keyOrdering{delay: cfg.OrderingDelay, queues: make(map[uint64]*keyQueue)},
		retryBudget: retryBudget{RetryBudget: cfg.RetryBudget},
		subset:      subset{pickInterval: pickInterval.Seconds()},
		bulkheads:   bulkheads{byTenant: make([]bulkhead, len(cfg.tenants()))},
	}
	for _, t := range cfg.tenants() {
		b.quota += t.Quota
	}
	b.addClasses(cfg.Classes)
	b.admission = newAdmission(cfg.Classes, b.objective)
	b.gossip = newGossip(cfg, b.objective)
	b.sizeBulkheads()
	b.traffic.perSecond = cfg.equalShare(b.quota)
	return b, nil
}

// addClasses adds the classes and derives the values that depend on all of them.
func (b *Balancer) addClasses(classes []Class) {
	b.meanLatency = classes[0].LatencyObjective / initialLatencyDivisor
	for i, c := range classes {
		latency := c.LatencyObjective / initialLatencyDivisor
		b.classes = append(b.classes, class{Class: c, index: i, meanLatency: latency})
		b.objective += meanObjective(c.LatencyObjective.Seconds() / float64(len(classes)))
		b.meanLatency = min(b.meanLatency, latency)
		b.clientRetries.maxDeadline = max(b.clientRetries.maxDeadline, c.Deadline)
	}
}

// Start sets the first timer and, if configured, polls the endpoint list. It must be the first
// event.
func (b *Balancer) Start(now time.Duration) {
	if b.cfg.PollsEndpoints {
		b.poll(now)
	}
	// Random delays keep balancers that start together from acting at the same time.
	b.sampler.nextAt = now + time.Duration(b.rng.Int64N(int64(sampleSpread)))
	b.gossip.nextBroadcast = now + b.objective.times(broadcastInterval*b.rng.Float64())
	b.setTimer(now, idleTimerInterval)
}

// Request handles a new client request. Unless its client disconnects, it is answered exactly once:
// by an Outcome with Answered set, or by Host.Reject or Host.Fail, which are called no later than at
// the first timer after its Timeout. A request with an ID that is in use is ignored; an invalid
// request is rejected.
func (b *Balancer) Request(now time.Duration, req Request) {
	if _, inUse := b.requests[req.ID]; inUse {
		return
	}
	b.retryBudget.recordRequest(now)
	if !b.validRequest(&req) {
		b.counters.Rejected++
		b.host.Reject(req.ID, 0)
		return
	}
	r := b.newRequest(now, req)
	b.setTimer(now, activeTimerInterval)
	b.traffic.observe(now)
	if b.subset.needsResize(b.traffic.perSecond) {
		b.selectSubset(now)
	}
	late := now > r.latestStart() // late requests bypass admission: see dispatchLate
	if !late && !b.admit(now, r) {
		b.admission.recordOffered(r.class)
		b.counters.Shed++
		b.rejectOrFail(now, r)
		return
	}
	b.dispatchOrQueue(now, r)
}

// dispatchOrQueue dispatches an admitted request, has it wait for a load report or in its queue, or
// rejects it.
func (b *Balancer) dispatchOrQueue(now time.Duration, r *request) {
	if b.awaitReport(now, r) {
		return
	}
	if now > r.latestStart() {
		b.dispatchLate(now, r)
		return
	}
	if !b.dispatch(now, r) {
		b.enqueue(now, r)
	}
}

// dispatchLate dispatches a request whose response is expected after its attempt deadline. Such a
// request must not take capacity from others: it is rejected under congestion, or if it cannot be
// sent at once. Its attempt may last until the client gives up.
func (b *Balancer) dispatchLate(now time.Duration, r *request) {
	r.attemptDeadline = r.deadline
	if b.congested(now) || !b.dispatch(now, r) {
		b.counters.LateRejected++
		b.rejectOrFail(now, r)
	}
}

// StreamStarted is called when the response to a request has started to reach the client. The
// Balancer then neither answers the request nor sends it again.
func (b *Balancer) StreamStarted(id RequestID) {
	if r := b.requests[id]; r != nil {
		r.streaming = true
	}
}

// Outcome handles the end of an attempt. The outcome of an attempt that is unknown or has already
// ended is ignored.
func (b *Balancer) Outcome(now time.Duration, outcome Outcome) {
	r, a := b.attemptInFlight(outcome.RequestID, outcome.Attempt)
	if a == nil {
		return
	}
	a.state = attemptMayHaveRun
	if outcome.Result.neverRan() {
		a.state = attemptNeverRan
	}
	b.attemptEnded(r, a.endpoint)
	if !r.closed && outcome.Result != NotSent {
		b.admission.recordOffered(r.class)
	}
	if !r.closed && outcome.Result == Succeeded && now <= r.objectiveDeadline {
		b.admission.recordSuccess(now, r)
	}
	b.ordering.attemptEnded(now, r, outcome.Result)
	if a.endpoint.State != Ready {
		b.closeIdle(now, a.endpoint)
	}
	b.recordOutcome(now, r, a, outcome.Result)
	switch {
	case r.closed && r.inFlight == 0:
		b.removeRequest(r)
	case !r.closed && (outcome.Answered || outcome.Result == Succeeded || r.streaming):
		b.closeRequest(r)
	case !r.closed && r.inFlight == 0:
		b.retry(now, r)
	}
	b.serveQueues(now)
}

// attemptInFlight returns a request and its attempt of the given number, or nil for both if that
// attempt is not in flight.
func (b *Balancer) attemptInFlight(id RequestID, number int) (*request, *attempt) {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil, nil
	}
	a := &r.attempts[number]
	if a.state != attemptInFlight {
		return nil, nil
	}
	return r, a
}

// ClientDisconnected is called when a client has disconnected. Its request needs no answer.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.closed {
		b.closeRequest(r)
		b.serveQueues(now)
	}
}

// TimerFired is called when the delay passed to Host.SetTimer has elapsed.
func (b *Balancer) TimerFired(now time.Duration) {
	if now < b.timerAt {
		return // stale timer: the pending one is due later
	}
	if b.cfg.PollsEndpoints && b.watch.shouldPoll(now) {
		b.poll(now)
	}
	b.repeatCloseIdle(now)
	b.serveQueues(now)
	for _, r := range b.openRequests {
		b.expireReport(now, r)
		b.expireRequest(now, r)
	}
	b.openRequests = slices.DeleteFunc(b.openRequests, func(r *request) bool { return r.closed })
	b.timerAt = 0
	b.sampleReports(now)
	b.broadcast(now)
	b.setNextTimer(now)
}

// expireRequest rejects or fails a request at its deadline. A request without an attempt in flight
// is ended earlier, as soon as its deadline is near, another attempt is not allowed or the response
// would be late.
func (b *Balancer) expireRequest(now time.Duration, r *request) {
	if r.streaming {
		return
	}
	deadlineNear := now+2*max(activeTimerInterval, b.cfg.EventInterval) > r.deadline
	attemptFutile := deadlineNear || now >= r.latestStart() || !r.mayRetry(now)
	if r.inFlight == 0 && attemptFutile || now >= r.deadline {
		b.rejectOrFail(now, r)
	}
}

// setNextTimer sets the next timer: after a short interval while requests are open, a longer one
// otherwise, and earlier if idle connections have to be closed again before then.
func (b *Balancer) setNextTimer(now time.Duration) {
	if len(b.openRequests) > 0 {
		b.setTimer(now, activeTimerInterval)
	}
	b.setTimer(now, idleTimerInterval)
	if b.idleCloser.repeatAt > 0 {
		b.setTimer(now, b.idleCloser.repeatAt-now)
	}
}

// setTimer has TimerFired called after d, unless a timer is due earlier.
func (b *Balancer) setTimer(now, d time.Duration) {
	if b.timerAt == 0 || now+d < b.timerAt {
		b.timerAt = now + d
		b.host.SetTimer(d)
	}
}

// Counters returns the counters since the Balancer was made.
func (b *Balancer) Counters() Counters { return b.counters }

// FreeSlots returns the number of free slots in a tenant's bulkhead.
func (b *Balancer) FreeSlots(tenant int) int {
	h := &b.bulkheads.byTenant[tenant]
	return h.slots - h.slotsInUse
}

// FreeQueue returns the number of free places in the queue of a tenant's bulkhead.
func (b *Balancer) FreeQueue(tenant int) int {
	h := &b.bulkheads.byTenant[tenant]
	return h.queueCapacity - len(h.queue)
}
