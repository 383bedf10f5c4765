package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	activeTimerInterval = 10 * time.Millisecond  // between timers while requests are open
	idleTimerInterval   = 100 * time.Millisecond // and while none is

	// initialLatency is the mean latency assumed before the first response, as
	// a part of the latency objective.
	initialLatencyDivisor = 8
)

// Balancer takes the decisions of one sidecar. Its methods are the events, in
// the order in which a request meets them; each mechanism that they use has
// its own file and owns its own state.
type Balancer struct {
	cfg       Config
	host      Host
	rng       *rand.Rand
	classes   []class
	quota     float64       // requests per second of all tenants and balancers; 0: unknown
	objective meanObjective // of all classes
	timerAt   time.Duration // when the next timer is due; 0: none is set
	count     Counters

	requests      map[RequestID]*request
	open          []*request    // in order of arrival; closed ones are removed by TimerFired
	inFlight      int           // attempts
	meanLatency   time.Duration // of successful attempts of all classes
	fleetInFlight float64       // attempts of all balancers while traffic is at the quotas

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
	congestion congestion // as this balancer observes it
	unloaded   unloadedLatency
	gossip     gossip
}

// New makes a Balancer, or returns a *ConfigError.
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
		subset:      subset{turnInterval: turnInterval.Seconds()},
		bulkheads:   bulkheads{all: make([]bulkhead, len(cfg.tenants()))},
	}
	for _, t := range cfg.tenants() {
		b.quota += t.Quota
	}
	b.addClasses(cfg.Classes)
	b.admission = newAdmission(cfg.Classes, b.objective)
	b.gossip = newGossip(cfg, b.objective)
	b.sizeBulkheads()
	b.traffic.perSecond = cfg.evenPart(b.quota)
	return b, nil
}

// addClasses enters the classes and what follows from all of them.
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

// Start must be the first event.
func (b *Balancer) Start(now time.Duration) {
	if b.cfg.PollsEndpoints {
		b.poll(now)
	}
	// Balancers that start together must not act all at once.
	b.sampler.nextAt = now + time.Duration(b.rng.Int64N(int64(sampleSpread)))
	b.gossip.nextBroadcast = now + b.objective.times(broadcastInterval*b.rng.Float64())
	b.setTimer(now, idleTimerInterval)
}

// Request takes a request. It is answered once, by an Outcome with Answered
// set or through the Host, before its Timeout is over. An id that is in use is
// ignored; a request that cannot be used is rejected.
func (b *Balancer) Request(now time.Duration, q Request) {
	if _, inUse := b.requests[q.ID]; inUse {
		return
	}
	b.retryBudget.recordRequest(now)
	if !b.validRequest(&q) {
		b.count.Rejected++
		b.host.Reject(q.ID, 0)
		return
	}
	r := b.newRequest(now, q)
	b.setTimer(now, activeTimerInterval)
	b.traffic.observe(now)
	if b.subset.outgrown(b.traffic.perSecond) {
		b.selectSubset(now)
	}
	late := now > r.latestStart() // does not count against admission: see placeLate
	if !late && !b.admit(now, r) {
		b.admission.recordOffered(r.class)
		b.count.Shed++
		b.rejectOrFail(now, r)
		return
	}
	b.place(now, r)
}

// place sends an admitted request, or has it wait, or rejects it.
func (b *Balancer) place(now time.Duration, r *request) {
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

// placeLate sends a request whose response would be late, if that takes
// nothing from others: without waiting, and only without congestion.
func (b *Balancer) dispatchLate(now time.Duration, r *request) {
	r.attemptDeadline = r.deadline
	if b.congested(now) || !b.dispatch(now, r) {
		b.count.LateRejected++
		b.rejectOrFail(now, r)
	}
}

// StreamStarted is called when the response to a request has begun to reach the
// client: nothing else may answer it.
func (b *Balancer) StreamStarted(id RequestID) {
	if r := b.requests[id]; r != nil {
		r.streaming = true
	}
}

// Outcome takes the end of an attempt. One that is unknown or has ended before
// is ignored.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r, a := b.attemptInFlight(o.RequestID, o.Attempt)
	if a == nil {
		return
	}
	a.state = attemptMayHaveRun
	if o.Result.neverRan() {
		a.state = attemptNeverRan
	}
	b.attemptEnded(r, a.endpoint)
	if !r.closed && o.Result != NotSent {
		b.admission.recordOffered(r.class)
	}
	if !r.closed && o.Result == Succeeded && now <= r.objectiveDeadline {
		b.admission.recordSuccess(now, r)
	}
	b.ordering.attemptEnded(now, r, o.Result)
	if a.endpoint.State != Ready {
		b.closeIdle(now, a.endpoint)
	}
	b.recordOutcome(now, r, a, o.Result)
	switch {
	case r.closed && r.inFlight == 0:
		b.removeRequest(r)
	case !r.closed && (o.Answered || o.Result == Succeeded || r.streaming):
		b.closeRequest(r)
	case !r.closed && r.inFlight == 0:
		b.retry(now, r)
	}
	b.serveQueues(now)
}

// attemptInFlight returns a request and one of its attempts, or nil for both
// if that is not in flight.
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

// ClientDisconnected is called when a client has gone: its request needs no
// answer.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.closed {
		b.closeRequest(r)
		b.serveQueues(now)
	}
}

// TimerFired is called when a time asked for with Host.SetTimer has come.
func (b *Balancer) TimerFired(now time.Duration) {
	if now < b.timerAt {
		return // an older timer
	}
	if b.cfg.PollsEndpoints && b.watch.shouldPoll(now) {
		b.poll(now)
	}
	b.repeatCloseIdle(now)
	b.serveQueues(now)
	for _, r := range b.open {
		b.expireReport(now, r)
		b.expireRequest(now, r)
	}
	b.open = slices.DeleteFunc(b.open, func(r *request) bool { return r.closed })
	b.timerAt = 0
	b.sampleReports(now)
	b.broadcast(now)
	b.setNextTimer(now)
}

// expireRequest gives up a request at its deadline, and one that waits with no
// attempt in flight as soon as waiting is of no use.
func (b *Balancer) expireRequest(now time.Duration, r *request) {
	if r.streaming {
		return
	}
	endsSoon := now+2*max(activeTimerInterval, b.cfg.EventInterval) > r.deadline
	useless := endsSoon || now >= r.latestStart() || !r.mayRetry(now)
	if r.inFlight == 0 && useless || now >= r.deadline {
		b.rejectOrFail(now, r)
	}
}

// setNextTimer sets the timers that are due whatever happens meanwhile.
func (b *Balancer) setNextTimer(now time.Duration) {
	if len(b.open) > 0 {
		b.setTimer(now, activeTimerInterval)
	}
	b.setTimer(now, idleTimerInterval)
	if b.idleCloser.repeatAt > 0 {
		b.setTimer(now, b.idleCloser.repeatAt-now)
	}
}

// setTimer sees to it that TimerFired comes after d at the latest.
func (b *Balancer) setTimer(now, d time.Duration) {
	if b.timerAt == 0 || now+d < b.timerAt {
		b.timerAt = now + d
		b.host.SetTimer(d)
	}
}

// Counters returns what was done so far.
func (b *Balancer) Counters() Counters { return b.count }

// FreeSlots returns the free slots in a tenant's bulkhead.
func (b *Balancer) FreeSlots(tenant int) int {
	h := &b.bulkheads.all[tenant]
	return h.slots - h.used
}

// FreeQueue returns the free places in the queue of a tenant's bulkhead.
func (b *Balancer) FreeQueue(tenant int) int {
	h := &b.bulkheads.all[tenant]
	return h.queueCapacity - len(h.queue)
}
