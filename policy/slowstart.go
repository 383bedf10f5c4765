package policy

import (
	"cmp"
	"time"
)

const (
	// slowStartUse is the fraction of the budget of an endpoint in slow start
	// that is used; the rest is left for chance.
	slowStartUse         = 0.5
	minCapacityFraction  = 0.05 // no endpoint counts for less
	minSlowStartRate     = 0.01 // requests per second that each balancer sends it at least
	minOverloadFactor    = 1.0
	minInFlightForDemand = 1 // where no quotas tell the request rate
)

// beginSlowStart takes a list entry that tells of a start later than the one
// known.
func (b *Balancer) beginSlowStart(e *endpoint, entry Endpoint) {
	*e = endpoint{
		Endpoint:        entry,
		inFlight:        e.inFlight,
		slowStartUntil:  max(e.slowStartUntil, entry.StartedAt+b.cfg.SlowStartDuration),
		relativeLatency: 1,
	}
}

// drawFirstSlowStartSends spreads the first sends to endpoints in slow start
// over an interval each: all balancers are notified at about the same time. It
// must come after the whole update and the selection of the subset, as the
// interval depends on the ready weights of both.
func (b *Balancer) drawFirstSlowStartSends(now time.Duration, started []*endpoint) {
	for _, e := range started {
		e.nextSlowStartSend = now + time.Duration(b.rng.Float64()*float64(b.slowStartInterval(now, e)))
	}
}

// slowStartBlocked says that an endpoint in slow start must not get another
// request yet.
func (b *Balancer) slowStartBlocked(now time.Duration, e *endpoint) bool {
	return now < e.slowStartUntil && now < e.nextSlowStartSend
}

// slowStartInterval spaces the sends to an endpoint in slow start so that all
// balancers together stay well within its capacity: each uses an even part of
// that, whatever traffic it has. Only some balancers have the endpoint in their
// subset, about the subset's part of all ready weight; each of those may send
// that much more.
func (b *Balancer) slowStartInterval(now time.Duration, e *endpoint) time.Duration {
	demand := float64(max(b.inFlight, minInFlightForDemand)) / b.meanLatency.Seconds()
	rate := b.endpoints.proportion(cmp.Or(b.cfg.evenPart(b.quota), demand), e)
	rate = rate * b.endpoints.readyWeight / max(b.subset.weight, e.Weight) * b.capacityFraction(now, e)
	rate = max(rate*slowStartUse*max(b.cfg.OverloadFactor, minOverloadFactor), minSlowStartRate)
	return time.Duration(float64(time.Second) / rate)
}

// capacityFraction returns the fraction of its capacity that an endpoint has
// at least: it grows linearly over the slow start.
func (b *Balancer) capacityFraction(now time.Duration, e *endpoint) float64 {
	remaining := float64(max(0, e.slowStartUntil-now)) / float64(max(1, b.cfg.SlowStartDuration))
	return max(minCapacityFraction, 1-remaining*(1-b.cfg.SlowStartFraction))
}
