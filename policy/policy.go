// The interface (types, events, actions) is api.go; what balancers tell one another is peers.go, what
// clients' repeats are is repeat.go; every other decision is here: start, events, compartments, the gate
// that all sends pass, server choice and health, list, reports, endings.

package policy

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	busyTick = 10 * time.Millisecond  // how often open requests are looked at
	idleTick = 100 * time.Millisecond // and the rest when none is open

	slotAim     = 0.12 // slots hold a quota's traffic for this share of the aim (deriveSlots)
	spread      = 2.0  // and this many standard deviations of such a count more
	serverSlots = 3.0  // slots for each server first listed, where no quota is known
	placesShare = 0.15 // queue places for each slot: short, just enough to keep slots fed

	rateOver   = 10 * time.Second      // our traffic is measured over about this long
	turnEvery  = 1 * time.Second       // turns are taken among so few servers that each gets one this often
	fewest     = 4.0                   // but at least this many
	toldFor    = 50 * time.Millisecond // a load report is good for this long
	askWait    = 30 * time.Millisecond // a request waits this long for one
	askMost    = 3                     // and asks so many servers at most
	pairsMost  = 4                     // pairs of reports that far apart tell whether they are fresh enough
	crowdedAt  = 0.3                   // a server that takes this share of the aim to answer is crowded
	partRoom   = 2.0                   // it is full at its part of all balancers' requests and so many more
	admitMost  = 1.5                   // lets in this multiple of what was lately answered in time
	admitFree  = 1.5                   // and this many requests, or a light balancer refuses after one failure
	admitOver  = 1.25                  // aims that lately lasts: nearly all that is answered in time falls in it
	bearable   = 1.7                   // requests for each server that slots may come to, before all ease
	bearFor    = 1.5                   // and at least so many times what quotas hold in an answer's least time
	crowdFor   = 8.0                   // or its share's mean square, so many squares of its least mean,
	crowdLimit = 0.42                  // which never counts for more than this share
	leastOver  = 4                     // answers that such a mean is over: fewer tell of one slow request
	leastDrift = 2048                  // answers in which its least grows by e
	wholeLater = 1.7                   // the wall over all attempts begins at this multiple of a server's
	farTurns   = 0.25                  // other zones' servers have this share of turns, if crossing is priced
	failStrain = 8.0                   // a failure counts as an answer that took so many times the usual
	failPause  = 20 * time.Millisecond // no turns for this after a second failure in a row, then doubled
	failDouble = 5                     // up to so many times
	coldPart   = 0.5                   // this much of a cold server's budget is used, the rest left to chance

	firstPause = 250 * time.Millisecond // before the list is asked for again after a failed call,
	lastPause  = 1 * time.Second        // doubled after each up to this: see List
)

// New makes a Balancer, or returns an error that names the unusable field.
func New(cfg Config, seed uint64, host Host) (*Balancer, error) {
	if err := validate(cfg); err != nil {
		return nil, err
	}
	b := &Balancer{cfg: cfg, host: host, requests: make(map[RequestID]*request),
		keyQueues: make(map[uint64]*keyQueue)}
	b.bulkheads = make([]bulkhead, len(cfg.tenants()))
	b.gossip.peers = make([]peer, cfg.Balancers)
	b.rng = rand.New(rand.NewPCG(seed, 0))
	b.meanLatency, b.turnInterval = cfg.Classes[0].LatencyObjective/8, turnEvery.Seconds()
	for _, c := range cfg.Classes {
		b.classes = append(b.classes, class{Class: c, meanLatency: c.LatencyObjective / 8})
		b.meanObjective += c.LatencyObjective.Seconds() / float64(len(cfg.Classes))
		b.meanLatency, b.maxDeadline = min(b.meanLatency, c.LatencyObjective/8), max(b.maxDeadline, c.Deadline)
	}
	b.sizeBulkheads()
	return b, nil
}

// sizeBulkheads sizes the walls, once. By Little's law a rate holds rate x time slots: the quotas
// times a small share of the aim, to leave most of it for what goes wrong. Each balancer gets
// what the largest of n random parts of the traffic comes to, ln n + 0.58 even ones, and two
// standard deviations of such a count, so as not to refuse on chance.
func (b *Balancer) sizeBulkheads() {
	tenants, shares := b.cfg.tenants(), 0.0
	for _, t := range tenants {
		shares += t.Weight
		b.quota += t.Quota
	}
	b.fleetConcurrency = cmp.Or(b.quota*b.meanObjective*slotAim, serverSlots*float64(len(b.endpoints)))
	b.requestRate = cmp.Or(b.quota/float64(b.cfg.Balancers), float64(len(b.endpoints))/b.turnInterval)
	n := float64(b.cfg.Balancers)
	total, room := b.fleetConcurrency*min(1, (math.Log(n)+0.58)/n), spread
	if b.cfg.Slots > 0 {
		total, room = float64(b.cfg.Slots), 0
	}
	b.slots = 0
	for i, t := range tenants {
		c, mean := &b.bulkheads[i], total*t.Weight/shares
		c.slots = max(1, int(math.Ceil(mean+room*math.Sqrt(mean))))
		c.queueCapacity = int(math.Ceil(float64(c.slots) * placesShare))
		b.slots += c.slots
	}
}

// Start begins the Balancer's life; it must be the first event.
func (b *Balancer) Start(now time.Duration) {
	if b.cfg.PollsEndpoints {
		b.poll(now)
	}
	b.nextSampleAt = now + time.Duration(b.rng.Int64N(int64(4*toldFor))) // not all balancers at once
	b.gossip.nextBroadcast = now + b.objectives(tellAims*b.rng.Float64())
	b.setTimer(now, idleTick)
}

// Request takes a request on. It is answered once, by an Outcome that settles it or through the
// Host, before its time left is up. An id still held is passed over; one unusable is refused.
func (b *Balancer) Request(now time.Duration, q Request) {
	if _, held := b.requests[q.ID]; held {
		return
	}
	b.countRequest(now)
	if !b.usable(&q) {
		b.count.Rejected++
		b.host.Reject(q.ID, 0)
		return
	}
	r := &request{id: q.ID, class: &b.classes[q.Class], bulkhead: &b.bulkheads[q.Tenant]}
	r.deadline = now + min(q.Timeout, time.Hour)
	r.usefulUntil, r.objectiveAt = r.deadline, min(r.deadline, now+r.class.LatencyObjective)
	if r.clientStartedAt, r.key = now, q.Key; q.ClientRetry && q.Key != 0 {
		r.clientStartedAt = b.clientStart(now, r)
	}
	if stretch := r.class.ObjectivePerWork; r.class.LateValue == 0 && (stretch == 0 || q.ExpectedWork > 0) {
		// a later try has less time left, or waits less for good
		r.class.maxTimeout = max(q.Timeout, r.class.maxTimeout-(r.class.maxTimeout-q.Timeout)/64)
		if (q.ClientRetry || !b.cfg.ClientsMarkRetries) && q.Timeout < r.class.maxTimeout-2*busyTick {
			r.clientStartedAt = min(r.clientStartedAt, r.deadline-r.class.Deadline)
		}
		r.usefulUntil = min(r.deadline,
			r.clientStartedAt+r.class.LatencyObjective+time.Duration(stretch*float64(q.ExpectedWork)))
	}
	if r.class.OrderedByKey && q.Key != 0 {
		b.enqueueForKey(now, r, q.Key)
	}
	b.requests[r.id] = r
	b.openRequests = append(b.openRequests, r)
	b.setTimer(now, busyTick)
	b.requestRate = b.requestRate*math.Exp(-float64(now-b.requestRateAt)/float64(rateOver)) +
		1/rateOver.Seconds()
	b.requestRateAt = now
	if want := max(fewest, b.requestRate*b.turnInterval); want > 1.25*b.subsetSize || want < 0.75*b.subsetSize {
		b.selectSubset()
	}
	if now <= r.latestStart() && !b.admit(now, r) { // a late one asks for nothing that was earned by others
		r.class.recent.offered++
		b.count.Shed++
		b.giveUp(now, r)
		return
	}
	b.place(now, r)
}

// admit says whether a request may try for a slot. Walls bound each balancer alone; where a thousand
// of few requests each find the fleet short of what they ask, the slots of all are more than it can
// serve in time, and its work goes into answers that come late (i47e131, i50e019). Each then lets in
// little more than what was lately answered in time: the worthiest classes first, and what is left of
// that for the next. So whatever is let in and answered widens the room, and classes that were shut
// out come back by themselves once servers can bear them, however often their clients ask meanwhile.
func (b *Balancer) admit(now time.Duration, r *request) bool {
	fade := math.Exp(-(now - b.admissionDecayedAt).Seconds() / (admitOver * b.meanObjective))
	b.admissionDecayedAt = now
	left, same := admitFree, 0.0
	for i := range b.classes {
		c := &b.classes[i]
		c.recent.offered, c.recent.goodput = c.recent.offered*fade, c.recent.goodput*fade
		left += admitMost * c.recent.goodput
		switch {
		case c.PriorityWeight > r.class.PriorityWeight:
			left -= c.recent.offered
		case c.PriorityWeight == r.class.PriorityWeight:
			same += c.recent.offered
		}
	}
	share := left / (same + 1) // with this one
	return share >= 1 || b.rng.Float64() < share
}

// place sends a request, or lets it wait, or refuses it.
func (b *Balancer) place(now time.Duration, r *request) {
	if b.awaitReport(now, r) {
		return
	}
	if now > r.latestStart() { // late, or as good as: it takes nothing from others
		r.usefulUntil = r.deadline
		if b.limitFraction(b.fleetCongestion(now)) < 1 || !b.dispatch(now, r) {
			b.count.ExpiredRetries++
			b.giveUp(now, r)
		}
		return
	}
	if b.dispatch(now, r) {
		return
	}
	b.enqueue(now, r)
}

// enqueue has a request wait in its compartment, behind those at least as worthy. In a full queue the least
// worthy one gives up its place: someone is refused promptly either way.
func (b *Balancer) enqueue(now time.Duration, r *request) {
	c := r.bulkhead
	if len(c.queue) >= c.queueCapacity {
		if last := c.queue[len(c.queue)-1]; last.class.PriorityWeight < r.class.PriorityWeight {
			b.giveUp(now, last) // which takes it out of the queue
		} else {
			b.giveUp(now, r)
			return
		}
	}
	b.count.Queued++
	at := len(c.queue)
	for at > 0 && c.queue[at-1].class.PriorityWeight < r.class.PriorityWeight {
		at--
	}
	c.queue = slices.Insert(c.queue, at, r)
}

// Outcome takes the end of an attempt. What is unknown or came before is passed over.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.requests[o.RequestID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) ||
		r.attempts[o.Attempt].state != attemptInFlight {
		return
	}
	a := &r.attempts[o.Attempt]
	a.state = attemptMayHaveRun
	if o.Result == Rejected || o.Result == ConnectFailed || o.Result == NotSent {
		a.state = attemptNeverRan
	}
	b.countAttempt(r, a.endpoint, -1)
	if !r.closed && o.Result != NotSent {
		r.class.recent.offered++
	}
	if !r.closed && o.Result == Succeeded && now <= r.objectiveAt {
		r.class.recent.goodput += min(1, 2*float64(r.objectiveAt-now)/float64(r.class.LatencyObjective))
	}
	if r.keyQueue != nil && (o.Result == TimedOut || o.Result == ConnectionLost || o.Result == Cancelled) {
		r.keyQueue.blockedUntil = max(r.keyQueue.blockedUntil, now+b.cfg.OrderingDelay)
	}
	if a.endpoint.State != Ready {
		b.closeIdle(now, a.endpoint)
	}
	b.recordOutcome(now, r, a, o.Result)
	switch {
	case r.closed && r.inFlight == 0:
		b.forget(r)
	case !r.closed && (o.Answered || o.Result == Succeeded || r.streaming):
		b.closeRequest(r)
	case !r.closed && r.inFlight == 0:
		b.retry(now, r)
	}
	b.serveQueues(now)
}

// TimerFired takes that a time asked for with Host.SetTimer has come.
func (b *Balancer) TimerFired(now time.Duration) {
	if now < b.timerAt {
		return // an older timer
	}
	if b.cfg.PollsEndpoints && b.pollAt > 0 && now >= b.pollAt {
		b.poll(now)
	}
	if b.closeIdleAt > 0 && now >= b.closeIdleAt {
		b.closeIdleAt = 0
		for _, s := range b.endpoints {
			if s.State == Draining {
				b.host.CloseIdle(s.ID)
			}
		}
	}
	b.serveQueues(now)
	for _, r := range b.openRequests {
		if r.awaitedReport != nil && !r.closed && now >= r.reportDeadline {
			r.awaitedReport.reportedAt, r.awaitedReport.othersInFlight = now, math.Inf(1) // it cannot even tell
			r.awaitedReport = nil
			b.place(now, r)
		}
		ends := now+2*max(busyTick, b.cfg.EventInterval) > r.deadline || now >= r.latestStart()
		waited := r.inFlight == 0 && (ends || !r.mayRetry(now, nil))
		if !r.streaming && (waited || now >= r.deadline) {
			b.giveUp(now, r)
		}
	}
	b.openRequests = slices.DeleteFunc(b.openRequests, func(r *request) bool { return r.closed })
	b.timerAt = 0
	b.sampleReports(now)
	b.broadcast(now)
	if len(b.openRequests) > 0 {
		b.setTimer(now, busyTick)
	}
	b.setTimer(now, idleTick)
	if b.closeIdleAt > 0 {
		b.setTimer(now, b.closeIdleAt-now)
	}
}

// latestStart is when a wait stops being worth it: servers would work for answers that come late.
func (r *request) latestStart() time.Duration {
	return r.usefulUntil - min(2*r.class.meanLatency, r.class.LatencyObjective/2)
}

// dispatch sends a request if a slot of its compartment and a server are free.
func (b *Balancer) dispatch(now time.Duration, r *request) bool {
	if r.bulkhead.used >= r.bulkhead.slots {
		return false
	}
	// The wall over all attempts: one each from many balancers is a crowd too. It comes later than servers' own.
	if float64(b.inFlight) >= b.concurrencyLimit(now) {
		b.count.ConcurrencyLimited++
		return false
	}
	s := b.pick(now, r)
	return s != nil && b.send(now, r, s)
}

// retry gives a request whose attempts have all failed another one, or ends it.
func (b *Balancer) retry(now time.Duration, r *request) {
	if len(r.attempts) >= b.cfg.MaxAttempts || !r.mayRetry(now, nil) || now >= r.latestStart() ||
		b.retryBudgetExhausted(now) {
		b.giveUp(now, r)
		return
	}
	if !b.dispatch(now, r) {
		r.bulkhead.queue = slices.Insert(r.bulkhead.queue, 0, r) // it has waited already: to the front
	}
}

// serveQueues gives free slots to what waits: the worthiest first, one compartment after the other.
func (b *Balancer) serveQueues(now time.Duration) {
	b.firstBulkhead = (b.firstBulkhead + 1) % len(b.bulkheads)
	for worth := math.Inf(1); worth >= 0; {
		next := -1.0
		for i := range b.bulkheads {
			c := &b.bulkheads[(b.firstBulkhead+i)%len(b.bulkheads)]
			for n := 0; n < len(c.queue) && c.used < c.slots; {
				switch r := c.queue[n]; {
				case r.class.PriorityWeight > worth:
					n++ // it was looked at
				case r.class.PriorityWeight < worth:
					next = max(next, r.class.PriorityWeight)
					n = len(c.queue)
				case now >= r.latestStart():
					b.giveUp(now, r) // which takes it out of the queue
				case b.dispatch(now, r):
					c.queue = slices.Delete(c.queue, n, n+1)
				case len(r.attempts) == 0 && r.firstOfKey(now):
					n = len(c.queue) // it could go anywhere, so nothing behind it can go
				default:
					n++ // bound to where it has been, or behind its key: others may go
				}
			}
		}
		worth = next
	}
}

// eligible is the gate: whether the rules let a request go to a server now.
func (b *Balancer) eligible(now time.Duration, r *request, s *endpoint) bool {
	switch {
	case r.closed || r.streaming || now >= r.deadline || len(r.attempts) >= b.cfg.MaxAttempts:
		return false // rule 1, and the limit on attempts
	case s.State != Ready:
		return false // rule 3: at once, long before the grace is over
	case now < s.slowStartUntil && now < s.nextSlowStartSend:
		return false // rule 4
	case r.inFlight > 0 || !r.mayRetry(now, s):
		return false // rule 2: one attempt at a time (no second copies), and only where it may be repeated
	case !r.firstOfKey(now):
		return false // rule 5
	case len(r.attempts) > 0 && b.retryBudgetExhausted(now):
		return false // rule 6
	}
	return true
}

// retryBudgetExhausted says whether the budget has no further attempt left. A request taken just a
// span ago no
// longer counts, an attempt made just then still does.
func (b *Balancer) retryBudgetExhausted(now time.Duration) bool {
	if b.cfg.RetryBudget.Interval == 0 {
		return false
	}
	from := now - b.cfg.RetryBudget.Interval
	allowed := b.cfg.RetryBudget.MinRetries +
		b.cfg.RetryBudget.RetryRatio*float64(b.budgetRequests.countSince(from+1))
	return float64(b.budgetRetries.countSince(from)+1) > allowed
}

// closeIdle closes idle connections to a server that drains (rule 7): now and, as one may be
// opening, once more.
func (b *Balancer) closeIdle(now time.Duration, s *endpoint) {
	if b.cfg.DrainCloseTimeout > 0 {
		b.host.CloseIdle(s.ID)
		b.closeIdleAt = cmp.Or(b.closeIdleAt, now+b.cfg.DrainCloseTimeout/2)
		b.setTimer(now, b.closeIdleAt-now)
	}
}

// send is the one place that sends.
func (b *Balancer) send(now time.Duration, r *request, s *endpoint) bool {
	if !b.eligible(now, r, s) {
		return false
	}
	s.nextSlowStartSend = now + b.slowStartInterval(now, s)
	r.attempts = append(r.attempts, attempt{endpoint: s, zone: s.Zone, cell: s.Cell, sentAt: now})
	b.countAttempt(r, s, 1)
	if len(r.attempts) > 1 {
		b.count.Retries++
		b.budgetRetries = append(b.budgetRetries, now)
	}
	if b.crossesZone(s) {
		b.count.CrossZoneSends++
	}
	b.host.Send(r.id, s.ID, r.usefulUntil-now, r.dedupRemaining())
	return true
}

// slowStartInterval spaces sends to a cold server so that all balancers together stay
// well within its budget: each keeps an even part, whatever traffic it has.
func (b *Balancer) slowStartInterval(now time.Duration, s *endpoint) time.Duration {
	rate := cmp.Or(b.quota/float64(b.cfg.Balancers), float64(max(b.inFlight, 1))/b.meanLatency.Seconds())
	rate = b.proportion(rate, s) * b.readyWeight / max(b.subsetWeight, s.Weight) * b.capacityFraction(now, s)
	return time.Duration(float64(time.Second) / max(rate*coldPart*max(b.cfg.OverloadFactor, 1), 0.01))
}

// capacityFraction is the share of its capacity that a server has at least.
func (b *Balancer) capacityFraction(now time.Duration, s *endpoint) float64 {
	left := float64(max(0, s.slowStartUntil-now)) / float64(max(1, b.cfg.SlowStartDuration))
	return max(0.05, 1-left*(1-b.cfg.SlowStartFraction))
}

// pick is smooth weighted round robin over the ready servers: each is due again one over its
// weight after its last turn, and the one due first has its turn. It loses it while it holds its
// portion of our attempts, or if the request has been there already.
func (b *Balancer) pick(now time.Duration, r *request) *endpoint {
	best, walled := b.nextInTurn(now, r, b.subset)
	if best == nil && r.firstEffective() != nil { // bound to where it has been
		best, walled = b.nextInTurn(now, r, b.endpoints)
	}
	if best == nil {
		return nil
	}
	b.virtualTime = max(b.virtualTime, best.nextTurn)
	best.nextTurn = b.virtualTime + b.turnGap(now, best)
	switch {
	case walled:
		b.count.DivertedSends++
	case len(r.attempts) == 0:
		b.count.RoundRobinSends++
	}
	return best
}

// endpointLimit is how many of our attempts a server may hold: its part of our slots, less the more of
// the aim its answers take (mean square: a long tail counts). It does not grow when others leave
// or fail: the last would be overrun.
func (b *Balancer) endpointLimit(s *endpoint) float64 {
	return max(1, b.proportion(float64(b.slots), s)*b.readyWeight/b.subsetWeight*b.limitFraction(s.congestion))
}

// limitFraction is the share of its portion that crowding leaves. Where the slots of all balancers
// together are
// more than servers can bear, each gives way so many times sooner: then they all do before servers choke.
//
// Answers that take a large share of the aim when nobody crowds are no crowd: the limit is then some times
// what they take at the least, and servers bear what the quotas hold in that time (Little's law).
func (b *Balancer) limitFraction(used float64) float64 {
	servers, share := float64(max(1, b.maxReady)), b.unloaded.minFraction
	bears := max(bearable, bearFor*b.quota*b.unloaded.min.Seconds()/servers)
	over := float64(b.slots*b.cfg.Balancers) / (bears * servers)
	limit := max(crowdedAt*crowdedAt, min(crowdFor*share*share, crowdLimit*crowdLimit))
	return min(1, limit/max(used*max(1, over), 1e-4))
}

// selectSubset picks the servers to take turns among. A thousand balancers of few requests each would hold
// connections to all servers and never learn how any of them fares, so each keeps to an arc of the
// list that its own traffic can feed. Arcs begin evenly spread, by the balancers' numbers.
func (b *Balancer) selectSubset() {
	b.subsetSize = max(fewest, b.requestRate*b.turnInterval)
	_, start := math.Modf(float64(b.cfg.Index) * math.Phi)
	all, left := b.ready(), b.subsetSize
	b.subsetWeight, b.subset = 0, nil
	for i := range all {
		s := all[(int(start*float64(len(all)))+i)%len(all)]
		if left <= 0 {
			s.inSubset = false
			continue
		}
		if !s.inSubset { // at a random point of its round: balancers must not begin in step
			s.inSubset, s.nextTurn = true, b.virtualTime+b.rng.Float64()*b.turnGap(b.requestRateAt, s)
		}
		left--
		b.subsetWeight += s.Weight
		b.subset = append(b.subset, s)
	}
}

// turnGap is the time between a server's turns, in turns' own time. It is bounded, so that turns
// show recovery.
// Other zones' have turns too, if fewer: a zone may have more traffic than its own servers can bear.
func (b *Balancer) turnGap(now time.Duration, s *endpoint) float64 {
	gap := math.Pow(max(0.5, min(s.relativeLatency, failStrain/2)),
		1.5) / (s.Weight * b.capacityFraction(now, s))
	if b.crossesZone(s) {
		gap /= farTurns
	}
	return gap
}

// nextInTurn finds whose turn it is, and whether a server that holds its portion lost it.
func (b *Balancer) nextInTurn(now time.Duration, r *request, among []*endpoint) (best *endpoint,
	walled bool) {
	lost := math.Inf(1)
	for _, s := range among {
		switch {
		case r.attempted(s) || !b.eligible(now, r, s):
		case now < s.ejectedUntil: // one that turns all away at once is never full, and would draw them all
			lost = min(lost, s.nextTurn)
		case float64(s.inFlight) >= b.endpointLimit(s) || b.reportedFull(now, r, s):
			lost = min(lost, s.nextTurn)
		case best == nil || s.nextTurn < best.nextTurn:
			best = s
		}
	}
	return best, best != nil && lost < best.nextTurn
}

// backoff is the pause after n failures, spread so that balancers do not act as one.
func (b *Balancer) backoff(n int) time.Duration {
	d := min(firstPause<<min(n, 16), lastPause, cmp.Or(b.cfg.PollInterval, lastPause))
	return time.Duration(float64(d) * (0.5 + b.rng.Float64()))
}

// recordOutcome learns how a server fares: strain stretches the gap between its turns. It guards
// against any cause,
// slowness, errors, silence, refusals, a limit shared with others. The turns left show when it is well again.
func (b *Balancer) recordOutcome(now time.Duration, r *request, a *attempt, end Result) {
	s, took := a.endpoint, now-a.sentAt
	// a strained one alone is no crowd
	if end == Succeeded || end == TimedOut && s.relativeLatency < failStrain/2 {
		x := float64(took) / float64(r.class.LatencyObjective)
		s.congestion += (x*x - s.congestion) / 8
		// if rare, each tells more
		b.congestion += (x*x - b.congestion) * min(0.5, max(1.0/16, (now-b.congestionAt).Seconds()/10))
		b.congestionAt = now
		b.recordSample(now, x*x)
	}
	x := failStrain
	switch end {
	case Cancelled, NotSent:
		return
	case Succeeded:
		x = min(x, float64(took)/float64(r.class.meanLatency))
		r.class.meanLatency += (took - r.class.meanLatency) / 16
		b.unloaded.observe(took, float64(took)/float64(r.class.LatencyObjective))
		b.meanLatency += (took - b.meanLatency) / 32
		// restarted, maybe
		if s.unresponsiveSince > 0 && s.relativeLatency > failStrain/2 &&
			now-s.unresponsiveSince > time.Second {
			s.slowStartUntil = max(s.slowStartUntil, now+b.cfg.SlowStartDuration)
			b.host.Log(fmt.Sprintf("server %x answers again after %v", s.ID, now-s.unresponsiveSince))
		}
		s.unresponsiveSince, s.consecutiveFailures, s.ejectedUntil = 0, 0, 0
	case TimedOut, ConnectFailed:
		if s.unresponsiveSince == 0 {
			s.unresponsiveSince = now
		}
	}
	if end != Succeeded {
		if s.consecutiveFailures++; s.consecutiveFailures > 1 {
			s.ejectedUntil = max(s.ejectedUntil, now+failPause<<min(s.consecutiveFailures-2, failDouble))
		}
	}
	if before := s.relativeLatency; before < failStrain/2 && before+(x-before)/4 >= failStrain/2 {
		b.host.Log(fmt.Sprintf("server %x strained, %d attempts out", s.ID, s.inFlight))
	}
	s.relativeLatency += (x - s.relativeLatency) / 4
}

// UpdateEndpoints takes news of the server list. After a failed call it is asked for again soon:
// what changed counts
// as told 6 s after it can be reached, most of it for a turn. Pauses are from one call's start to the next.
func (b *Balancer) UpdateEndpoints(now time.Duration, kind UpdateKind, entries []Endpoint) {
	if kind == UpdateFailed {
		b.pollAt = max(now+b.backoff(0), b.polledAt+b.backoff(b.pollFailures))
		b.pollFailures++
		return
	}
	if kind != CachedUpdate && b.cfg.PollsEndpoints {
		b.pollAt, b.pollFailures = 0, 0
	}
	if kind != DeltaUpdate {
		b.markAllRemoved() // until the list names them
	}
	for _, e := range entries {
		b.applyEntry(now, e)
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, func(s *endpoint) bool { return s.State == Removed })
	if b.fleetConcurrency == 0 {
		b.sizeBulkheads() // no quotas: the first list is all there is to go by
	}
	b.readyChanged()
	b.serveQueues(now)
}

// applyEntry takes over one line of the list.
func (b *Balancer) applyEntry(now time.Duration, e Endpoint) {
	if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
		e.Weight = 1 // no weights, even turns
	}
	s := b.findOrAdd(e.ID)
	if e.StartedAt > 0 && e.StartedAt > s.StartedAt { // cold, and nothing known of it holds any more
		*s = endpoint{Endpoint: e, inFlight: s.inFlight, slowStartUntil: max(s.slowStartUntil,
			e.StartedAt+b.cfg.SlowStartDuration), relativeLatency: 1}
		// All balancers are told at about the same time: their first sends are spread too.
		s.nextSlowStartSend = now + time.Duration(b.rng.Float64()*float64(b.slowStartInterval(now, s)))
	}
	s.Endpoint = e
	if s.State == Draining {
		b.closeIdle(now, s)
	}
}

// poll subscribes to the list. Without any word it asks again before its silence counts as being told.
func (b *Balancer) poll(now time.Duration) {
	b.polledAt, b.pollAt = now, now+cmp.Or(b.cfg.PollInterval*3/4, 4*lastPause)
	b.host.WatchEndpoints()
}

// sampleReports probes one server a few times in a row: reports that do not change as fast as they are used
// must not steer single sends. All balancers would crowd to where it was empty (i50e019).
func (b *Balancer) sampleReports(now time.Duration) {
	due := b.comparisons < pairsMost && now >= b.nextSampleAt && len(b.subset) > 0
	if !due || !b.cfg.CanHealthCheck || b.cfg.ReportFields&HasInFlight == 0 {
		return
	}
	if b.sampled == nil || b.sampled.State != Ready {
		b.sampled = b.subset[b.rng.IntN(len(b.subset))]
	}
	b.nextSampleAt = now + toldFor
	b.host.HealthCheck(b.sampled.ID)
	b.setTimer(now, toldFor)
}

// awaitReport asks the server whose turn it is what it holds, where its last word is old: among many
// balancers, what one has out there itself tells next to nothing.
func (b *Balancer) awaitReport(now time.Duration, r *request) bool {
	if !b.cfg.CanHealthCheck || b.cfg.ReportFields&HasInFlight == 0 ||
		b.changedReports < pairsMost-1 || r.healthChecks >= askMost {
		return false
	}
	s, _ := b.nextInTurn(now, r, b.subset)
	if s == nil || (s.reportedAt > 0 && now-s.reportedAt < toldFor) {
		return false
	}
	r.awaitedReport, r.reportDeadline = s, now+askWait
	r.healthChecks++
	b.host.HealthCheck(s.ID)
	return true
}

// HealthChecked takes the result of a probe.
func (b *Balancer) HealthChecked(now time.Duration, id EndpointID, ok bool, l LoadReport) {
	s := b.endpoint(id)
	told := s != nil && ok && l.Fields&HasInFlight != 0
	if s != nil && s == b.sampled && b.comparisons < pairsMost && (!told || s.reportedAt > 0 &&
		now-s.reportedAt >= toldFor) {
		b.comparisons++ // one that does not tell is no fresh one
		if told && l != s.report {
			if b.changedReports++; b.changedReports == pairsMost-1 { // asking finds room best among many
				b.turnInterval *= 3
			}
		}
	}
	if told {
		s.reportedAt, s.report, s.othersInFlight = now, l, max(0, l.InFlight-float64(s.inFlight))
	} else if s != nil && b.changedReports >= pairsMost-1 { // it can't tell: the turn is the next one's
		s.reportedAt, s.othersInFlight = now, math.Inf(1)
	}
	for _, r := range b.openRequests {
		if s != nil && r.awaitedReport == s && !r.closed {
			r.awaitedReport = nil
			b.place(now, r)
		}
	}
}

// reportedFull says that a server reports to hold its part of all balancers' requests, or that
// it has not reported and the request met only such ones.
func (b *Balancer) reportedFull(now time.Duration, r *request, s *endpoint) bool {
	if s.reportedAt == 0 || now-s.reportedAt >= 5*toldFor {
		return r.healthChecks >= askMost
	}
	return s.othersInFlight+float64(s.inFlight) >= partRoom+b.proportion(b.fleetConcurrency, s)
}

// giveUp is the one place that answers: refused where that is true, failed where it is not.
func (b *Balancer) giveUp(now time.Duration, r *request) {
	switch {
	case r.closed:
		return
	case r.firstEffective() == nil || r.class.Idempotency == Idempotent ||
		(r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupEverywhere):
		b.count.Rejected++
		pause := time.Duration((1 + b.rng.Float64()) * float64(b.meanLatency)) // spread: not all at once
		b.host.Reject(r.id, min(b.cfg.MaxRetryAfter, pause))
	default:
		b.count.Failed++
		b.host.Fail(r.id)
	}
	b.rememberAbandoned(now, r)
	b.closeRequest(r)
}

// closeRequest closes a request that has its answer: out of the queue, attempts called off.
func (b *Balancer) closeRequest(r *request) {
	r.closed = true
	if i := slices.Index(r.bulkhead.queue, r); i >= 0 {
		r.bulkhead.queue = slices.Delete(r.bulkhead.queue, i, i+1)
	}
	for i := range r.attempts {
		if r.attempts[i].state == attemptInFlight && b.cfg.CanCancel {
			b.host.Cancel(r.id, i)
		}
	}
	if r.inFlight == 0 {
		b.forget(r)
	}
}
