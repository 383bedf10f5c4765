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

const clientsWait = 1 * time.Second // clients give up after this

// sidecar is a hollow one: a real Balancer, with the model's clients before it and the model around it.
type sidecar struct {
	f       *Service
	b       *policy.Balancer // nil while it is down
	index   int
	zone    int
	life    int // counts its starts
	rate    float64
	busy    bool // it is one of the few whose processor time is told apart
	held    map[policy.RequestID]*request
	leaving map[policy.EndpointID]time.Duration // servers that leave, by when that was written to it

	// The following of the list.
	version   int64 // of the list that is held; below 0: none
	asked     bool  // the Balancer wants the list
	following bool
	heard     bool // a call went well since
	silent    bool // the last watch was not answered
	calls     int  // counted, so that what comes late is told from what is awaited
	open      []*call
}

// ask is what a client wants; it may try more than once.
type ask struct {
	class, tenant int
	key           uint64
	begun         time.Duration
	runs          int // that servers began
}

// request is one try, as the sidecar holds it.
type request struct {
	ask      *ask
	id       policy.RequestID
	from     *sidecar
	life     int // the sidecar's
	tries    int // that its client has left
	attempts []*attempt
	out      int // attempts that have not ended
	over     bool
}

// start gives the sidecar a new Balancer, and what it knows of the list, if anything. The Balancer's own draws go
// by its number and its life, the seed's are those of the world around it.
func (s *sidecar) start(known *endpointlist.List) error {
	f := s.f
	cfg := f.cfg.Policy
	cfg.Balancers, cfg.Index, cfg.Zone = len(f.sidecars), s.index, s.zone
	b, err := policy.New(cfg, uint64(s.index)+uint64(s.life)<<40, s)
	if err != nil {
		return fmt.Errorf("sidecar %d: %w", s.index, err)
	}
	s.b, s.version = b, -1
	s.asked, s.following, s.heard, s.silent = false, false, false, false
	s.held, s.leaving = make(map[policy.RequestID]*request), make(map[policy.EndpointID]time.Duration)
	s.b.Start(f.clock.now)
	if known != nil {
		s.version = known.Version
		kind := policy.CachedUpdate
		if f.discovery == nil {
			kind = policy.FullUpdate
		}
		s.b.UpdateEndpoints(f.clock.now, kind, known.Endpoints)
	}
	s.arrive()
	return nil
}

// stop ends the sidecar and its clients with it.
func (s *sidecar) stop() {
	s.life++
	s.b, s.held = nil, nil
	s.giveUp()
}

// measured begins a measure of processor time, where these are wanted.
func (s *sidecar) measured() time.Time {
	if !s.f.cfg.Measure {
		return time.Time{}
	}
	return time.Now()
}

// control ends a measure of what does not belong to one request.
func (s *sidecar) control(from time.Time) {
	s.charge(from, &s.f.count.ControlTime, &s.f.count.BusyControlTime)
}

// serving ends a measure of what a request takes.
func (s *sidecar) serving(from time.Time) {
	s.charge(from, &s.f.count.RequestTime, &s.f.count.BusyRequestTime)
}

// charge adds the processor time since from to that of all sidecars, and to that of the busy ones for one of these.
func (s *sidecar) charge(from time.Time, all, busy *time.Duration) {
	if !s.f.cfg.Measure {
		return
	}
	took := time.Since(from)
	*all += took
	if s.busy {
		*busy += took
	}
}

// arrive has the next client come.
func (s *sidecar) arrive() {
	if s.rate == 0 {
		return
	}
	f, life := s.f, s.life
	f.clock.after(time.Duration(f.rng.ExpFloat64()/s.rate*float64(time.Second)), func() {
		if s.life != life {
			return
		}
		class, at, sum := 0, f.rng.Float64(), 0.0
		for i := len(f.cfg.Mix) - 1; i > 0; i-- {
			if sum += f.cfg.Mix[i]; at < sum {
				class = i
				break
			}
		}
		f.classes[class].Asked++
		f.count.Asked++
		q := &ask{class: class, tenant: f.rng.IntN(max(1, len(f.cfg.Policy.Tenants))), begun: f.clock.now}
		q.key = 1 + uint64(200*f.rng.Float64()*f.rng.Float64())
		s.try(q, 2)
		s.arrive()
	})
}

// try hands a client's try to the Balancer.
func (s *sidecar) try(q *ask, tries int) {
	f := s.f
	f.requests++
	f.count.Taken++
	if s.busy {
		f.count.BusyTaken++
	}
	r := &request{ask: q, id: f.requests, from: s, life: s.life, tries: tries}
	s.held[r.id] = r
	f.mark(1, uint64(s.index), uint64(r.id))
	f.clock.after(clientsWait+answerTick, func() {
		if !r.over && s.life == r.life {
			f.broke(OneAnswer, "request %d of sidecar %d has no answer", r.id, s.index)
		}
	})
	from := s.measured()
	s.b.Request(f.clock.now, policy.Request{ID: r.id, Class: q.class, Tenant: q.tenant, Timeout: clientsWait,
		ClientRetry: tries < 2, Key: q.key})
	s.serving(from)
}

// answer closes a request, or finds that it has been answered before.
func (s *sidecar) answer(r *request) bool {
	if r.over {
		s.f.broke(OneAnswer, "request %d of sidecar %d is answered again", r.id, s.index)
		return false
	}
	r.over = true
	s.forget(r)
	return true
}

// forget drops a request that is over and has no attempt out.
func (s *sidecar) forget(r *request) {
	if r.over && r.out == 0 {
		delete(s.held, r.id)
	}
}

// lookup finds a request that the Balancer names.
func (s *sidecar) lookup(id policy.RequestID) *request {
	r := s.held[id]
	if r == nil {
		s.f.broke(OneAnswer, "sidecar %d names request %d, which is over", s.index, id)
	}
	return r
}

// Reject has the client of a refused request ask at once, as long as it still has tries.
func (s *sidecar) Reject(id policy.RequestID, _ time.Duration) {
	r, f := s.lookup(id), s.f
	if r == nil || !s.answer(r) {
		return
	}
	q := r.ask
	f.mark(2, uint64(s.index), uint64(id))
	if q.runs > 0 && f.cfg.Policy.Classes[q.class].Idempotency == policy.NonIdempotent {
		f.broke(RunsOnce, "request %d ran and was refused as harmless to repeat", id)
	}
	if r.tries == 0 || f.clock.now-q.begun > clientsWait {
		f.classes[q.class].Refused++
		f.count.Refused++
		return
	}
	f.clock.after(time.Millisecond, func() {
		if s.life == r.life {
			s.try(q, r.tries-1)
		}
	})
}

// Fail ends a request; its client does not try again.
func (s *sidecar) Fail(id policy.RequestID) {
	r := s.lookup(id)
	if r == nil || !s.answer(r) {
		return
	}
	s.f.mark(3, uint64(s.index), uint64(id))
	s.f.classes[r.ask.class].Failed++
	s.f.count.Failed++
}

// SetTimer is kept to the millisecond.
func (s *sidecar) SetTimer(d time.Duration) {
	life := s.life
	s.f.clock.after(max(d, time.Millisecond), func() {
		if s.life != life {
			return
		}
		from := s.measured()
		s.b.TimerFired(s.f.clock.now)
		s.control(from)
	})
}

// Broadcast reaches each of the others a little later, or not.
func (s *sidecar) Broadcast(n policy.GossipMessage) {
	f, raw := s.f, gossip.Encode(n)
	f.count.Gossip.Out.add(len(raw) + datagramHeaders)
	arriving := make([][]*sidecar, f.cfg.Zones*datagramSteps) // by their zone and step
	for _, to := range f.sidecars {
		if to == s || to.b == nil {
			continue
		}
		if step, arrives := f.network.datagram(s.zone, to.zone); arrives {
			at := &arriving[to.zone*datagramSteps+step]
			*at = append(*at, to)
		} else {
			f.count.Lost++
		}
	}
	for i, to := range arriving {
		if len(to) > 0 {
			d := f.network.spread(s.zone, i/datagramSteps, i%datagramSteps)
			f.clock.push(event{at: f.clock.now + d, to: to, from: s.index, raw: raw})
		}
	}
}

// hear takes a datagram.
func (s *sidecar) hear(from int, raw []byte) {
	if s.b == nil {
		return
	}
	s.f.count.Gossip.In.add(len(raw) + datagramHeaders)
	begun := s.measured()
	if n, err := gossip.Decode(raw); err == nil {
		s.b.ReceiveGossip(s.f.clock.now, from, n)
	}
	s.control(begun)
}

// Cancel calls off an attempt. The server learns of it; one that it works on is worked on to its end.
func (s *sidecar) Cancel(id policy.RequestID, n int) {
	if r := s.lookup(id); r != nil {
		s.f.clock.after(0, func() { s.end(r.attempts[n], policy.Cancelled) })
	}
}

// Send starts an attempt.
func (s *sidecar) Send(id policy.RequestID, to policy.EndpointID, timeout, _ time.Duration) {
	r, f := s.lookup(id), s.f
	if r == nil {
		return
	}
	m := f.byID[to]
	a := &attempt{to: m, owner: r, number: len(r.attempts)}
	r.attempts = append(r.attempts, a)
	r.out++
	f.mark(4, uint64(s.index), uint64(to))
	f.checkSend(s, m)
	f.clock.after(timeout, func() { s.end(a, policy.TimedOut) })
	f.count.Requests.Out.add(requestBytes)
	f.network.request(s.zone, m.zone, func() { m.take(a) })
}

// end tells the Balancer how an attempt ended, once.
func (s *sidecar) end(a *attempt, e policy.Result) {
	f, r := s.f, a.owner
	if a.ended || s.life != r.life {
		return
	}
	a.ended = true
	if e == policy.Succeeded {
		f.count.Requests.In.add(answerBytes)
	} else {
		f.network.request(s.zone, a.to.zone, func() { a.to.drop(a) })
	}
	if e == policy.Succeeded && !r.over {
		r.over = true
		c := &f.classes[r.ask.class]
		if f.clock.now-r.ask.begun <= f.cfg.Policy.Classes[r.ask.class].LatencyObjective {
			c.InTime++
			f.count.InTime++
		} else {
			c.Late++
			f.count.Late++
		}
	}
	r.out--
	f.mark(5+uint64(e), uint64(s.index), uint64(r.id))
	settled := r.over
	from := s.measured()
	s.b.Outcome(f.clock.now, policy.Outcome{RequestID: r.id, Attempt: a.number, Result: e, Answered: settled})
	s.serving(from)
	s.forget(r)
}

// Close, Probe and Log have nothing to do in the model: servers keep no connections and send no reports.
func (s *sidecar) CloseIdle(policy.EndpointID) {}

// HealthCheck is never allowed by the model's settings.
func (s *sidecar) HealthCheck(policy.EndpointID) {}

// Log is for people.
func (s *sidecar) Log(string) {}

// WatchEndpoints has the list followed.
func (s *sidecar) WatchEndpoints() {
	if s.f.discovery != nil {
		s.asked = true
		s.f.clock.after(0, s.follow)
	}
}

// follow begins to call discovery, until a call fails.
func (s *sidecar) follow() {
	if s.b == nil || s.following || !s.asked {
		return
	}
	s.asked, s.following, s.heard, s.silent = false, true, false, false
	s.next()
}

// next calls discovery: for the whole list, for what changed since the one that is held, or to be told when it
// changes.
func (s *sidecar) next() {
	f := s.f
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
		f.count.Lists.Out.add(onWire(callBytes))
		f.network.stream(s.zone, 0, func() { f.discovery.take(c) })
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
func (s *sidecar) drop(c *call) {
	c.ended = true
	s.open = slices.DeleteFunc(s.open, func(o *call) bool { return o == c })
}

// giveUp ends the calls that are under way.
func (s *sidecar) giveUp() {
	s.calls++
	for _, c := range s.open {
		c.ended = true
	}
	s.open = nil
}

// answered takes the answer to a call.
func (s *sidecar) answered(index int64, a answer, failure string) {
	f := s.f
	f.count.Lists.In.add(onWire(listHead + len(a.body)))
	from := s.measured()
	l, err := endpointlist.Parse(a.body, f.zones)
	s.control(from)
	switch {
	case failure != "":
		err = errors.New(failure)
	case err != nil || !l.Complete && index >= 0 && l.Version < s.version:
		s.version = -1
		err = fmt.Errorf("the list is unusable: %w", err)
	}
	if err != nil {
		s.failed()
		return
	}
	f.count.Lines += int64(len(l.Endpoints))
	f.mark(20, uint64(s.index), uint64(l.Version))
	kind := policy.DeltaUpdate
	if l.Complete || index < 0 {
		kind = policy.FullUpdate
	}
	s.written(&l, kind)
	s.heard, s.silent, s.version = true, false, l.Version
	from = s.measured()
	s.b.UpdateEndpoints(f.clock.now, kind, l.Endpoints)
	s.control(from)
	s.next()
}

// written notes which servers the sidecar has now been told of that leave.
func (s *sidecar) written(l *endpointlist.List, kind policy.UpdateKind) {
	named := make(map[policy.EndpointID]bool)
	for _, e := range l.Endpoints {
		named[e.ID] = true
		if e.State == policy.Ready {
			delete(s.leaving, e.ID)
		} else if _, told := s.leaving[e.ID]; !told {
			s.leaving[e.ID] = s.f.clock.now
		}
	}
	if kind != policy.FullUpdate {
		return
	}
	for _, m := range s.f.servers {
		if _, told := s.leaving[m.id]; !named[m.id] && !told {
			s.leaving[m.id] = s.f.clock.now
		}
	}
}

// failed tells the Balancer that a call failed; it says when to call again.
func (s *sidecar) failed() {
	s.following = false
	from := s.measured()
	s.b.UpdateEndpoints(s.f.clock.now, policy.UpdateFailed, nil)
	s.control(from)
	s.follow()
}

// demand is a rate drawn for a sidecar: some have many times the traffic of others.
func (f *Service) demand() float64 { return math.Exp(f.rng.NormFloat64()) }
