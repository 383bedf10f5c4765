package fleetsim

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"cranehatch/internal/endpointlist"
	"cranehatch/internal/gossip"
	"cranehatch/policy"
)

// What the sidecar's own reader of discovery does, with the same times.
const (
	watchMost    = 20 * time.Second
	firstWait    = time.Millisecond
	listTime     = 6 * time.Second
	callAgain    = 2 * time.Second
	silenceAfter = 500 * time.Millisecond
)

const clientTimeout = 1 * time.Second // clients give up after this

// simSidecar is a hollow one: a real Balancer, with the model's clients before it and the model around it.
type simSidecar struct {
	sim          *Simulation
	balancer     *policy.Balancer // nil while it is down
	index        int
	zone         int
	incarnation  int // counts its starts
	requestRate  float64
	busy         bool // it is one of the few whose processor time is told apart
	requests     map[policy.RequestID]*request
	drainNotices map[policy.EndpointID]time.Duration // servers that leave, by when that was written to it

	// The following of the list.
	version   int64 // of the list that is held; below 0: none
	asked     bool  // the Balancer wants the list
	following bool
	heard     bool // a call went well since
	silent    bool // the last watch was not answered
	calls     int  // counted, so that what comes late is told from what is awaited
	open      []*call
}

// clientCall is what a client wants; it may try more than once.
type clientCall struct {
	class, tenant int
	key           uint64
	startedAt     time.Duration
	runs          int // that servers began
}

// request is one try, as the sidecar holds it.
type request struct {
	call        *clientCall
	id          policy.RequestID
	sidecar     *simSidecar
	incarnation int // the sidecar's
	tries       int // that its client has left
	attempts    []*attempt
	inFlight    int // attempts that have not ended
	done        bool
}

// start gives the sidecar a new Balancer, and what it knows of the list, if anything. The Balancer's own draws go
// by its number and its life, the seed's are those of the world around it.
func (s *simSidecar) start(known *endpointlist.List) error {
	f := s.sim
	cfg := f.config.Policy
	cfg.Balancers, cfg.Index, cfg.Zone = len(f.sidecars), s.index, s.zone
	b, err := policy.New(cfg, uint64(s.index)+uint64(s.incarnation)<<40, s)
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", s.index, err)
	}
	s.balancer, s.version = b, -1
	s.asked, s.following, s.heard, s.silent = false, false, false, false
	s.requests, s.drainNotices = make(map[policy.RequestID]*request), make(map[policy.EndpointID]time.Duration)
	s.balancer.Start(f.clock.now)
	if known != nil {
		s.version = known.Version
		kind := policy.CachedUpdate
		if f.discovery == nil {
			kind = policy.FullUpdate
		}
		s.balancer.UpdateEndpoints(f.clock.now, kind, known.Servers)
	}
	s.arrive()
	return nil
}

// stop ends the sidecar and its clients with it.
func (s *simSidecar) stop() {
	s.incarnation++
	s.balancer, s.requests = nil, nil
	s.giveUp()
}

// measured begins a measure of processor time, where these are wanted.
func (s *simSidecar) measured() time.Time {
	if !s.sim.config.MeasureCPU {
		return time.Time{}
	}
	return time.Now()
}

// control ends a measure of what does not belong to one request.
func (s *simSidecar) control(from time.Time) {
	s.charge(from, &s.sim.count.ControlCPU, &s.sim.count.HighRateControlCPU)
}

// serving ends a measure of what a request takes.
func (s *simSidecar) serving(from time.Time) {
	s.charge(from, &s.sim.count.RequestCPU, &s.sim.count.HighRateRequestCPU)
}

// charge adds the processor time since from to that of all sidecars, and to that of the busy ones for one of these.
func (s *simSidecar) charge(from time.Time, all, busy *time.Duration) {
	if !s.sim.config.MeasureCPU {
		return
	}
	took := time.Since(from)
	*all += took
	if s.busy {
		*busy += took
	}
}

// arrive has the next client come.
func (s *simSidecar) arrive() {
	if s.requestRate == 0 {
		return
	}
	f, life := s.sim, s.incarnation
	f.clock.after(time.Duration(f.rng.ExpFloat64()/s.requestRate*float64(time.Second)), func() {
		if s.incarnation != life {
			return
		}
		class, at, sum := 0, f.rng.Float64(), 0.0
		for i := len(f.config.ClassMix) - 1; i > 0; i-- {
			if sum += f.config.ClassMix[i]; at < sum {
				class = i
				break
			}
		}
		f.classes[class].Requests++
		f.count.Requests++
		q := &clientCall{class: class, tenant: f.rng.IntN(max(1, len(f.config.Policy.Tenants))), startedAt: f.clock.now}
		q.key = 1 + uint64(200*f.rng.Float64()*f.rng.Float64())
		s.submit(q, 2)
		s.arrive()
	})
}

// submit hands a client's try to the Balancer.
func (s *simSidecar) submit(q *clientCall, tries int) {
	f := s.sim
	f.requests++
	f.count.BalancerRequests++
	if s.busy {
		f.count.HighRateBalancerRequests++
	}
	r := &request{call: q, id: f.requests, sidecar: s, incarnation: s.incarnation, tries: tries}
	s.requests[r.id] = r
	f.addToDigest(1, uint64(s.index), uint64(r.id))
	f.clock.after(clientTimeout+responseSlack, func() {
		if !r.done && s.incarnation == r.incarnation {
			f.recordViolation(SingleResponse, "request %d of sidecar %d has no answer", r.id, s.index)
		}
	})
	from := s.measured()
	s.balancer.Request(f.clock.now, policy.Request{ID: r.id, Class: q.class, Tenant: q.tenant, Timeout: clientTimeout,
		ClientRetry: tries < 2, Key: q.key})
	s.serving(from)
}

// finish closes a request, or finds that it has been answered before.
func (s *simSidecar) finish(r *request) bool {
	if r.done {
		s.sim.recordViolation(SingleResponse, "request %d of sidecar %d is answered again", r.id, s.index)
		return false
	}
	r.done = true
	s.forget(r)
	return true
}

// forget drops a request that is over and has no attempt out.
func (s *simSidecar) forget(r *request) {
	if r.done && r.inFlight == 0 {
		delete(s.requests, r.id)
	}
}

// lookup finds a request that the Balancer names.
func (s *simSidecar) lookup(id policy.RequestID) *request {
	r := s.requests[id]
	if r == nil {
		s.sim.recordViolation(SingleResponse, "sidecar %d names request %d, which is over", s.index, id)
	}
	return r
}

// Reject has the client of a refused request ask at once, as long as it still has tries.
func (s *simSidecar) Reject(id policy.RequestID, _ time.Duration) {
	r, f := s.lookup(id), s.sim
	if r == nil || !s.finish(r) {
		return
	}
	q := r.call
	f.addToDigest(2, uint64(s.index), uint64(id))
	if q.runs > 0 && f.config.Policy.Classes[q.class].Idempotency == policy.NonIdempotent {
		f.recordViolation(AtMostOnce, "request %d ran and was refused as harmless to repeat", id)
	}
	if r.tries == 0 || f.clock.now-q.startedAt > clientTimeout {
		f.classes[q.class].Rejected++
		f.count.Rejected++
		return
	}
	f.clock.after(time.Millisecond, func() {
		if s.incarnation == r.incarnation {
			s.submit(q, r.tries-1)
		}
	})
}

// Fail ends a request; its client does not try again.
func (s *simSidecar) Fail(id policy.RequestID) {
	r := s.lookup(id)
	if r == nil || !s.finish(r) {
		return
	}
	s.sim.addToDigest(3, uint64(s.index), uint64(id))
	s.sim.classes[r.call.class].Failed++
	s.sim.count.Failed++
}

// SetTimer is kept to the millisecond.
func (s *simSidecar) SetTimer(d time.Duration) {
	life := s.incarnation
	s.sim.clock.after(max(d, time.Millisecond), func() {
		if s.incarnation != life {
			return
		}
		from := s.measured()
		s.balancer.TimerFired(s.sim.clock.now)
		s.control(from)
	})
}

// Broadcast reaches each of the others a little later, or not.
func (s *simSidecar) Broadcast(n policy.GossipMessage) {
	f, raw := s.sim, gossip.Encode(n)
	f.count.Gossip.Sent.add(len(raw) + datagramHeaders)
	arriving := make([][]*simSidecar, f.config.Zones*datagramSteps) // by their zone and step
	for _, to := range f.sidecars {
		if to == s || to.balancer == nil {
			continue
		}
		if step, arrives := f.network.datagramArrives(s.zone, to.zone); arrives {
			at := &arriving[to.zone*datagramSteps+step]
			*at = append(*at, to)
		} else {
			f.count.DatagramsLost++
		}
	}
	for i, to := range arriving {
		if len(to) > 0 {
			d := f.network.spread(s.zone, i/datagramSteps, i%datagramSteps)
			f.clock.push(event{at: f.clock.now + d, recipients: to, sender: s.index, datagram: raw})
		}
	}
}

// receiveGossip takes a datagram.
func (s *simSidecar) receiveGossip(from int, raw []byte) {
	if s.balancer == nil {
		return
	}
	s.sim.count.Gossip.Received.add(len(raw) + datagramHeaders)
	begun := s.measured()
	if n, err := gossip.Decode(raw); err == nil {
		s.balancer.ReceiveGossip(s.sim.clock.now, from, n)
	}
	s.control(begun)
}

// Cancel calls off an attempt. The server learns of it; one that it works on is worked on to its end.
func (s *simSidecar) Cancel(id policy.RequestID, n int) {
	if r := s.lookup(id); r != nil {
		s.sim.clock.after(0, func() { s.end(r.attempts[n], policy.Cancelled) })
	}
}

// Send starts an attempt.
func (s *simSidecar) Send(id policy.RequestID, to policy.EndpointID, timeout, _ time.Duration) {
	r, f := s.lookup(id), s.sim
	if r == nil {
		return
	}
	m := f.byID[to]
	a := &attempt{to: m, request: r, number: len(r.attempts)}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	f.addToDigest(4, uint64(s.index), uint64(to))
	f.checkSend(s, m)
	f.clock.after(timeout, func() { s.end(a, policy.TimedOut) })
	f.count.Attempts.Sent.add(requestBytes)
	f.network.sendOnce(s.zone, m.zone, func() { m.take(a) })
}

// end tells the Balancer how an attempt ended, once.
func (s *simSidecar) end(a *attempt, e policy.Result) {
	f, r := s.sim, a.request
	if a.ended || s.incarnation != r.incarnation {
		return
	}
	a.ended = true
	if e == policy.Succeeded {
		f.count.Attempts.Received.add(answerBytes)
	} else {
		f.network.sendOnce(s.zone, a.to.zone, func() { a.to.drop(a) })
	}
	if e == policy.Succeeded && !r.done {
		r.done = true
		c := &f.classes[r.call.class]
		if f.clock.now-r.call.startedAt <= f.config.Policy.Classes[r.call.class].LatencyObjective {
			c.WithinObjective++
			f.count.WithinObjective++
		} else {
			c.ObjectiveMissed++
			f.count.ObjectiveMissed++
		}
	}
	r.inFlight--
	f.addToDigest(5+uint64(e), uint64(s.index), uint64(r.id))
	settled := r.done
	from := s.measured()
	s.balancer.Outcome(f.clock.now, policy.Outcome{RequestID: r.id, Attempt: a.number, Result: e, Answered: settled})
	s.serving(from)
	s.forget(r)
}

// Close, Probe and Log have nothing to do in the model: servers keep no connections and send no reports.
func (s *simSidecar) CloseIdle(policy.EndpointID) {}

// HealthCheck is never allowed by the model's settings.
func (s *simSidecar) HealthCheck(policy.EndpointID) {}

// Log is for people.
func (s *simSidecar) Log(string) {}

// WatchEndpoints has the list followed.
func (s *simSidecar) WatchEndpoints() {
	if s.sim.discovery != nil {
		s.asked = true
		s.sim.clock.after(0, s.follow)
	}
}

// follow begins to call discovery, until a call fails.
func (s *simSidecar) follow() {
	if s.balancer == nil || s.following || !s.asked {
		return
	}
	s.asked, s.following, s.heard, s.silent = false, true, false, false
	s.next()
}

// next calls discovery: for the whole list, for what changed since the one that is held, or to be told when it
// changes.
func (s *simSidecar) next() {
	f := s.sim
	index, hold, limit, watching := int64(-1), time.Duration(0), listTime, false
	switch {
	case s.version >= 0 && s.heard && !s.silent:
		hold = watchMost/2 + time.Duration(f.rng.Int64N(int64(watchMost/2)))
		index, limit, watching = s.version, hold+silenceAfter, true
	case s.version >= 0:
		index, hold = s.version, firstWait
	}
	s.calls++
	number := s.calls
	var begin func()
	begin = func() {
		c := &call{zone: s.zone, index: index, wait: hold}
		s.open = append(s.open, c)
		c.answer = func(a answer, err string) {
			if s.calls != number || c.ended {
				return
			}
			if s.drop(c); err != "" && len(s.open) > 0 {
				return // another may do better
			}
			s.giveUp()
			s.answered(index, a, err)
		}
		f.count.EndpointLists.Sent.add(onWire(callBytes))
		f.network.sendReliable(s.zone, 0, func() { f.discovery.take(c) })
		f.clock.after(limit, func() {
			if s.calls != number || c.ended {
				return
			}
			if s.drop(c); len(s.open) > 0 {
				return
			}
			s.giveUp()
			if watching {
				s.silent = true
				s.next()
				return
			}
			s.failed()
		})
		if !watching {
			f.clock.after(callAgain, func() {
				if s.calls == number {
					begin()
				}
			})
		}
	}
	begin()
}

// drop takes that one call has come to nothing.
func (s *simSidecar) drop(c *call) {
	c.ended = true
	s.open = slices.DeleteFunc(s.open, func(o *call) bool { return o == c })
}

// giveUp ends the calls that are under way.
func (s *simSidecar) giveUp() {
	s.calls++
	for _, c := range s.open {
		c.ended = true
	}
	s.open = nil
}

// answered takes the answer to a call.
func (s *simSidecar) answered(index int64, a answer, failure string) {
	f := s.sim
	f.count.EndpointLists.Received.add(onWire(listHead + len(a.body)))
	from := s.measured()
	l, err := endpointlist.Parse(a.body, f.zones)
	s.control(from)
	switch {
	case failure != "":
		err = errors.New(failure)
	case err != nil || !l.Whole && index >= 0 && l.Version < s.version:
		s.version = -1
		err = fmt.Errorf("the list is unusable: %w", err)
	}
	if err != nil {
		s.failed()
		return
	}
	f.count.EntriesRead += int64(len(l.Servers))
	f.addToDigest(20, uint64(s.index), uint64(l.Version))
	kind := policy.DeltaUpdate
	if l.Whole || index < 0 {
		kind = policy.FullUpdate
	}
	s.written(&l, kind)
	s.heard, s.silent, s.version = true, false, l.Version
	from = s.measured()
	s.balancer.UpdateEndpoints(f.clock.now, kind, l.Servers)
	s.control(from)
	s.next()
}

// written notes which servers the sidecar has now been told of that leave.
func (s *simSidecar) written(l *endpointlist.List, kind policy.UpdateKind) {
	named := make(map[policy.EndpointID]bool)
	for _, e := range l.Servers {
		named[e.ID] = true
		if e.State == policy.Ready {
			delete(s.drainNotices, e.ID)
		} else if _, told := s.drainNotices[e.ID]; !told {
			s.drainNotices[e.ID] = s.sim.clock.now
		}
	}
	if kind != policy.FullUpdate {
		return
	}
	for _, m := range s.sim.servers {
		if _, told := s.drainNotices[m.id]; !named[m.id] && !told {
			s.drainNotices[m.id] = s.sim.clock.now
		}
	}
}

// failed tells the Balancer that a call failed; it says when to call again.
func (s *simSidecar) failed() {
	s.following = false
	from := s.measured()
	s.balancer.UpdateEndpoints(s.sim.clock.now, policy.UpdateFailed, nil)
	s.control(from)
	s.follow()
}

// demand is a rate drawn for a sidecar: some have many times the traffic of others.
func (f *Simulation) demand() float64 { return math.Exp(f.rng.NormFloat64()) }
