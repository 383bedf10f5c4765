package policy

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

type endpoint struct {
	Endpoint
	inFlight            int           // this balancer's attempts there
	inSubset            bool          // in our arc
	nextTurn            float64       // smooth weighted round robin: when its next turn is, in turns' own time
	relativeLatency     float64       // time that its answers take, against the usual; failures count too
	congestion          float64       // mean square of the share of the aim that its answers take, lately
	reportedAt          time.Duration // it last reported its load; 0: never
	report              LoadReport    // what it told then
	othersInFlight      float64       // and then held this many requests that are not ours
	unresponsiveSince   time.Duration // it has not answered since; 0: it has
	consecutiveFailures int           // failures in a row
	ejectedUntil        time.Duration // after them: no turns before this
	slowStartUntil      time.Duration // cold until then, by the list or by our own guess
	nextSlowStartSend   time.Duration // while cold: nothing more before this
}

type attemptState int

const (
	attemptInFlight attemptState = iota
	attemptMayHaveRun
	attemptNeverRan
)

type attempt struct {
	endpoint *endpoint
	zone     int // of that server, as listed when it was sent there: lines of its leaving may not tell
	cell     int
	sentAt   time.Duration
	state    attemptState
}

type request struct {
	id              RequestID
	class           *class
	bulkhead        *bulkhead
	key             uint64        // what it is about
	clientStartedAt time.Duration // when its client's first try began, as far as is known
	deadline        time.Duration // the client's
	usefulUntil     time.Duration // an answer after this earns nothing
	objectiveAt     time.Duration // and one before this earns most
	attempts        []attempt
	inFlight        int
	awaitedReport   *endpoint // it waits for this one to report its load
	reportDeadline  time.Duration
	healthChecks    int       // so many times
	keyQueue        *keyQueue // its key's, where it must go in turn
	streaming       bool      // its answer streams: it is the client's now
	closed          bool      // ended; kept until its attempts have ended too
}

// keyQueue is the requests of one key that go in turn: in order of arrival, each until it has ended
// and none of its attempts is out.
type keyQueue struct {
	waiting      []*request
	blockedUntil time.Duration // an attempt may still be running until then
}

// slidingWindow counts what happened lately.
type slidingWindow []time.Duration

// countSince drops what happened before t and counts the rest.
func (w *slidingWindow) countSince(t time.Duration) int {
	n := 0
	for n < len(*w) && (*w)[n] < t {
		n++
	}
	*w = (*w)[n:]
	return len(*w)
}

// bulkhead holds one tenant's slots and queue, walled off from the others'.
type bulkhead struct {
	slots, used, queueCapacity int
	queue                      []*request
}

// recentRequests counts requests of a class that tried for a slot, and those answered in time; both fade.
type recentRequests struct{ offered, goodput float64 }

type class struct {
	Class
	meanLatency time.Duration // usual time of an answer
	maxTimeout  time.Duration // the time left that first tries come with: the most seen, followed down
	recent      recentRequests
}

// unloadedLatency is what answers take while servers are least crowded: the least of a mean over the latest ones.
type unloadedLatency struct {
	responses int // that the mean is over
	mean, min time.Duration
	// the same as shares of the classes' aims
	meanFraction, minFraction float64
}

// Balancer makes the decisions of one sidecar.
type Balancer struct {
	cfg                Config
	host               Host
	rng                *rand.Rand
	classes            []class
	bulkheads          []bulkhead
	requests           map[RequestID]*request
	openRequests       []*request  // in order of arrival; ended ones are swept out by Wake
	endpoints          []*endpoint // in order of their ids
	slots              int         // of all compartments
	fleetConcurrency   float64     // what the slots of all balancers hold while traffic is at the quotas
	quota              float64     // of all tenants together
	readyWeight        float64     // of all ready servers
	maxReadyWeight     float64     // the most of it that there was
	maxReady           int         // ready servers, the most that there were
	inFlight           int
	virtualTime        float64       // due time of the latest turn
	subset             []*endpoint   // whom turns are taken among
	congestion         float64       // mean square of the share of the aim that answers take, lately
	congestionAt       time.Duration // when it was taken
	unloaded           unloadedLatency
	subsetWeight       float64       // the weight in it
	requestRate        float64       // requests a second, lately
	requestRateAt      time.Duration // when it was taken
	subsetSize         float64       // servers that it can feed
	turnInterval       float64       // seconds in which each of them gets a turn
	meanLatency        time.Duration // usual time of an answer, over all classes
	meanObjective      float64       // mean aim, in seconds
	admissionDecayedAt time.Duration // when the classes' counts were last faded
	timerAt            time.Duration
	pollAt             time.Duration // when to ask for the list next; 0: no need
	polledAt           time.Duration // when it was asked for last
	pollFailures       int
	firstBulkhead      int
	keyQueues          map[uint64]*keyQueue // by key
	budgetRequests     slidingWindow        // requests
	budgetRetries      slidingWindow        // attempts after a request's first
	sampled            *endpoint            // whose reports are compared
	nextSampleAt       time.Duration        // when it is asked again
	comparisons        int                  // pairs of reports compared
	changedReports     int                  // and those that differed
	closeIdleAt        time.Duration        // when connections to draining servers are closed once more; 0: not due
	gossip             gossipState
	abandoned          []abandonedRequest // in order of time
	maxDeadline        time.Duration      // deadline of any class
	count              Counters
}

// Counters returns what was done so far.
func (b *Balancer) Counters() Counters { return b.count }

// FreeSlots returns the free slots in a tenant's compartment.
func (b *Balancer) FreeSlots(tenant int) int {
	return b.bulkheads[tenant].slots - b.bulkheads[tenant].used
}

// FreeQueue returns the free queue places in a tenant's compartment.
func (b *Balancer) FreeQueue(tenant int) int {
	return b.bulkheads[tenant].queueCapacity - len(b.bulkheads[tenant].queue)
}

// firstEffective returns the first attempt that may have run or still may, or nil.
func (r *request) firstEffective() *attempt {
	for i := range r.attempts {
		if r.attempts[i].state != attemptNeverRan {
			return &r.attempts[i]
		}
	}
	return nil
}

// dedupRemaining is how long the latest attempt is dropped yet, as a repeat of one that may have run; 0: it is none, or does
// no harm.
func (r *request) dedupRemaining() time.Duration {
	first, latest := r.firstEffective(), &r.attempts[len(r.attempts)-1]
	if first == latest || r.class.Idempotency != IdempotentByKey {
		return 0
	}
	return first.sentAt + r.class.DedupWindow - latest.sentAt
}

// attempted says whether a server has had this request already.
func (r *request) attempted(s *endpoint) bool {
	for i := range r.attempts {
		if r.attempts[i].endpoint == s {
			return true
		}
	}
	return false
}

// find returns where in the list a server of that name is, or would be.
func (b *Balancer) find(id EndpointID) (int, bool) {
	return slices.BinarySearchFunc(b.endpoints, id, func(s *endpoint, id EndpointID) int { return cmp.Compare(s.ID, id) })
}

// endpoint returns the listed server of that name, or nil.
func (b *Balancer) endpoint(id EndpointID) *endpoint {
	if i, ok := b.find(id); ok {
		return b.endpoints[i]
	}
	return nil
}

// readyChanged adds up the weights of the ready servers.
func (b *Balancer) readyChanged() {
	b.readyWeight = 0
	for _, s := range b.endpoints {
		if s.State == Ready {
			b.readyWeight += s.Weight
		}
	}
	b.maxReadyWeight, b.maxReady = max(b.maxReadyWeight, b.readyWeight), max(b.maxReady, len(b.ready()))
	b.selectSubset()
}

// proportion is a server's part of a total by its weight in the fullest list there was.
func (b *Balancer) proportion(total float64, s *endpoint) float64 {
	return total * s.Weight / max(b.maxReadyWeight, s.Weight)
}

// setTimer sees to it that Wake comes after d at the latest.
func (b *Balancer) setTimer(now, d time.Duration) {
	if b.timerAt == 0 || now+d < b.timerAt {
		b.timerAt = now + d
		b.host.SetTimer(d)
	}
}

// ready returns the ready servers, in order of their ids.
func (b *Balancer) ready() (all []*endpoint) {
	for _, s := range b.endpoints {
		if s.State == Ready {
			all = append(all, s)
		}
	}
	return all
}

// countRequest counts a request taken, for the budget.
func (b *Balancer) countRequest(now time.Duration) {
	b.budgetRequests.countSince(now - b.cfg.RetryBudget.Interval)
	b.budgetRetries.countSince(now - b.cfg.RetryBudget.Interval)
	b.budgetRequests = append(b.budgetRequests, now)
}

// countAttempt counts an attempt that begins (1) or ends (-1) wherever it counts.
func (b *Balancer) countAttempt(r *request, s *endpoint, n int) {
	r.inFlight += n
	s.inFlight += n
	r.bulkhead.used += n
	b.inFlight += n
}

// crossesZone says that a server is in another zone, where crossing has a price.
func (b *Balancer) crossesZone(s *endpoint) bool {
	return b.cfg.CrossZoneCost > 0 && s.Zone != b.cfg.Zone
}

// StreamStarted takes that a request's answer has begun to stream: the client owns it now.
func (b *Balancer) StreamStarted(id RequestID) {
	if r := b.requests[id]; r != nil {
		r.streaming = true
	}
}

// forget drops a request that is over and has no attempt out; the next in its line may go.
func (b *Balancer) forget(r *request) {
	delete(b.requests, r.id)
	if r.keyQueue != nil {
		i := slices.Index(r.keyQueue.waiting, r)
		r.keyQueue.waiting = slices.Delete(r.keyQueue.waiting, i, i+1)
	}
}

// enqueueForKey puts a request at the end of its key's line. Lines that nobody waits in go now and then.
func (b *Balancer) enqueueForKey(now time.Duration, r *request, key uint64) {
	if len(b.keyQueues) > 64+2*len(b.requests) {
		maps.DeleteFunc(b.keyQueues, func(_ uint64, l *keyQueue) bool { return len(l.waiting) == 0 && now >= l.blockedUntil })
	}
	l := b.keyQueues[key]
	if l == nil {
		l = new(keyQueue)
		b.keyQueues[key] = l
	}
	l.waiting = append(l.waiting, r)
	r.keyQueue = l
}

// findOrAdd returns the server of that name, entered where it was not listed yet.
func (b *Balancer) findOrAdd(id EndpointID) *endpoint {
	i, ok := b.find(id)
	if !ok {
		b.endpoints = slices.Insert(b.endpoints, i, &endpoint{relativeLatency: 1})
	}
	return b.endpoints[i]
}

// markAllRemoved marks all servers as gone.
func (b *Balancer) markAllRemoved() {
	for _, s := range b.endpoints {
		s.State = Removed
	}
}

// ClientDisconnected takes that a client quit: nothing more is owed for the request.
func (b *Balancer) ClientDisconnected(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.closed {
		b.closeRequest(r)
		b.serveQueues(now)
	}
}

// mayRetry says whether the class allows an attempt now, on a server or (nil)
// on some server: what may have run must be dropped there if it comes again.
func (r *request) mayRetry(now time.Duration, s *endpoint) bool {
	first := r.firstEffective()
	switch {
	case first == nil || r.class.Idempotency == Idempotent:
		return true
	case r.class.Idempotency == NonIdempotent || now >= first.sentAt+r.class.DedupWindow:
		return false
	case s == nil || r.class.DedupScope == DedupEverywhere:
		return true
	}
	return s.Zone == first.zone && (r.class.DedupScope == DedupInZone || s.Cell == first.cell)
}

// firstOfKey says whether a request is the first of its key, and no earlier attempt may still run.
func (r *request) firstOfKey(now time.Duration) bool {
	return r.keyQueue == nil || r.keyQueue.waiting[0] == r && (len(r.attempts) > 0 ||
		now >= r.keyQueue.blockedUntil)
}

// observe takes the time of an answer and the share of its aim that it is. The least drifts up, as what it
// was may hold no more; slowly, or a crowd that stays would pass for what answers take.
func (u *unloadedLatency) observe(took time.Duration, share float64) {
	u.responses = min(u.responses+1, leastOver)
	u.mean += (took - u.mean) / time.Duration(u.responses)
	u.meanFraction += (share - u.meanFraction) / float64(u.responses)
	switch {
	case u.responses < leastOver: // too few to tell
	case u.min == 0:
		u.min, u.minFraction = u.mean, u.meanFraction
	default:
		u.min = min(u.mean, u.min+u.min/leastDrift)
		u.minFraction = min(u.meanFraction, u.minFraction+u.minFraction/leastDrift)
	}
}
