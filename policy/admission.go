package policy

import (
	"math"
	"time"
)

const (
	admissionHeadroom = 1.5  // admits this multiple of the recent goodput
	minAdmitted       = 1.5  // and this many requests, or a balancer of little traffic rejects after one failure
	admissionHorizon  = 1.25 // latency objectives that "recent" covers: most responses that meet theirs
)

// classDemand counts recent requests of a class. The counts decay.
type classDemand struct {
	priority float64
	offered  float64 // requests shed and attempts that ended
	goodput  float64 // responses within the latency objective, those near its end in part
}

// admission sheds load. Bulkheads bound each balancer alone; where thousands
// of them with little traffic each meet a lack of capacity, the slots of all
// exceed what endpoints can serve in time, and their work goes into responses
// that come late. So each balancer admits little more than was recently
// answered in time: higher priorities first, and what remains for the next
// ones. Whatever is admitted and answered in time raises the amount, and
// classes that were shut out return by themselves once there is capacity,
// however often their clients retry meanwhile.
type admission struct {
	objective meanObjective
	demand    []classDemand // by class
	decayedAt time.Duration
}

func newAdmission(classes []Class, objective meanObjective) admission {
	a := admission{objective: objective, demand: make([]classDemand, len(classes))}
	for i, c := range classes {
		a.demand[i].priority = c.PriorityWeight
	}
	return a
}

// offered counts a request of a class that was shed, or an attempt that ended.
func (a *admission) recordOffered(c *class) { a.demand[c.index].offered++ }

// succeeded counts a response that came before the request's objective. One
// that took more than half of it counts in part: it warns of the next.
func (a *admission) recordSuccess(now time.Duration, r *request) {
	remaining := float64(r.objectiveDeadline - now)
	a.demand[r.class.index].goodput += min(1, 2*remaining/float64(r.class.LatencyObjective))
}

// fraction returns the fraction of a class's requests to admit; 1 or more: all.
func (a *admission) admitFraction(now time.Duration, c *class) float64 {
	a.decay(now)
	capacity, samePriority := minAdmitted, 0.0
	for i := range a.demand {
		d := &a.demand[i]
		capacity += admissionHeadroom * d.goodput
		switch {
		case d.priority > c.PriorityWeight:
			capacity -= d.offered
		case d.priority == c.PriorityWeight:
			samePriority += d.offered
		}
	}
	return capacity / (samePriority + 1) // with this one
}

func (a *admission) decay(now time.Duration) {
	factor := math.Exp(-(now - a.decayedAt).Seconds() / (admissionHorizon * float64(a.objective)))
	a.decayedAt = now
	for i := range a.demand {
		a.demand[i].offered *= factor
		a.demand[i].goodput *= factor
	}
}

// admit says whether a request may compete for a slot.
func (b *Balancer) admit(now time.Duration, r *request) bool {
	fraction := b.admission.admitFraction(now, r.class)
	return fraction >= 1 || b.rng.Float64() < fraction
}
