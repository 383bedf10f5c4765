package policy

import (
	"math"
	"time"
)

const (
	// admissionHeadroom is the multiple of the recent goodput that is admitted.
	admissionHeadroom = 1.5
	// minAdmitted is the number of requests admitted beyond that multiple. With fewer, a balancer
	// with little traffic would reject requests after a single failure.
	minAdmitted = 1.5
	// admissionHorizon is the time constant of the decay of the counts, in mean latency objectives.
	// It covers most responses that meet their objective.
	admissionHorizon = 1.25
)

// classDemand counts the recent requests of a class. The counts decay exponentially.
type classDemand struct {
	priority float64
	offered  float64 // shed requests and ended attempts
	goodput  float64 // responses within the latency objective; one in its second half counts as a fraction
}

// admission sheds load. Bulkheads bound each balancer alone: when endpoints lack capacity, the
// slots of thousands of balancers with little traffic add up to more than the endpoints can serve in
// time, and the endpoints spend their work on late responses. So each balancer admits little more
// than was recently answered in time: requests of the highest priority first, and those of lower
// priorities from the remainder. Every admitted request that is answered in time raises this
// amount, so classes that were shed are admitted again once there is capacity, however often their
// clients retry in the meantime.
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

// recordOffered counts a shed request or an ended attempt of a class.
func (a *admission) recordOffered(c *class) { a.demand[c.index].offered++ }

// recordSuccess counts a response within the request's latency objective. A response that took more
// than half of the objective counts as a fraction, as the next ones may be late.
func (a *admission) recordSuccess(now time.Duration, r *request) {
	remaining := float64(r.objectiveDeadline - now)
	a.demand[r.class.index].goodput += min(1, 2*remaining/float64(r.class.LatencyObjective))
}

// admitFraction returns the fraction of a class's requests to admit. At 1 or above, all are
// admitted.
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
	return capacity / (samePriority + 1) // 1: the request to be admitted
}

// decay reduces the counts by the time that has passed since the last call.
func (a *admission) decay(now time.Duration) {
	factor := math.Exp(-(now - a.decayedAt).Seconds() / (admissionHorizon * float64(a.objective)))
	a.decayedAt = now
	for i := range a.demand {
		a.demand[i].offered *= factor
		a.demand[i].goodput *= factor
	}
}

// admit reports whether a request may compete for a slot.
func (b *Balancer) admit(now time.Duration, r *request) bool {
	admitFraction := b.admission.admitFraction(now, r.class)
	return admitFraction >= 1 || b.rng.Float64() < admitFraction
}
