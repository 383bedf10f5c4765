package policy

import (
	"cmp"
	"time"
)

const (
	// slowStartUtilization is the fraction that balancers use of the request rate above which an
	// endpoint in slow start fails. The rest is a margin for random peaks.
	slowStartUtilization = 0.5

	minCapacityFraction  = 0.05 // lowest fraction of its capacity that an endpoint is assumed to have
	minSlowStartRate     = 0.01 // requests per second that each balancer may send an endpoint at least
	minOverloadFactor    = 1.0  // lowest Config.OverloadFactor that is used
	minInFlightForDemand = 1    // lowest number of attempts in flight from which the request rate is derived
)

// beginSlowStart resets an endpoint whose list entry gives a later start than
// the one known, and begins its slow start.
func (b *Balancer) beginSlowStart(e *endpoint, entry Endpoint) {
	*e = endpoint{
		Endpoint:        entry,
		inFlight:        e.inFlight,
		slowStartUntil:  max(e.slowStartUntil, entry.StartedAt+b.cfg.SlowStartDuration),
		relativeLatency: 1,
	}
}

// scheduleFirstSlowStartSends delays the first send to each endpoint in started
// by a random part of its slow-start interval, because all balancers are
// notified at about the same time. It must be called after the whole update has
// been applied and the subset has been selected, because the interval depends on
// the ready weights of both.
func (b *Balancer) scheduleFirstSlowStartSends(now time.Duration, started []*endpoint) {
	for _, e := range started {
		e.nextSlowStartSend = now + time.Duration(b.rng.Float64()*float64(b.slowStartInterval(now, e)))
	}
}

// slowStartBlocked reports whether an endpoint is in slow start and must not get
// another request yet.
func (b *Balancer) slowStartBlocked(now time.Duration, e *endpoint) bool {
	return now < e.slowStartUntil && now < e.nextSlowStartSend
}

// slowStartInterval returns the time between this balancer's sends to an endpoint in slow start. It
// keeps all balancers together well below the request rate above which the endpoint fails: each uses
// an equal share of that rate, whatever its traffic. Only some balancers have the endpoint in their
// subsets; their fraction is about the subset's fraction of the total ready weight. Each of them may
// send more by the inverse of that fraction. If quotas are unknown, the balancer's own request rate,
// derived from its attempts in flight, replaces its share of the quotas.
func (b *Balancer) slowStartInterval(now time.Duration, e *endpoint) time.Duration {
	demand := float64(max(b.inFlight, minInFlightForDemand)) / b.meanLatency.Seconds()
	rate := b.endpoints.proportion(cmp.Or(b.cfg.equalShare(b.quota), demand), e)
	rate = rate * b.endpoints.readyWeight / max(b.subset.weight, e.Weight) * b.capacityFraction(now, e)
	rate = max(rate*slowStartUtilization*max(b.cfg.OverloadFactor, minOverloadFactor), minSlowStartRate)
	return time.Duration(float64(time.Second) / rate)
}

// capacityFraction returns the fraction of its full capacity that an endpoint is
// assumed to have at least. The fraction grows linearly over the slow start.
func (b *Balancer) capacityFraction(now time.Duration, e *endpoint) float64 {
	remaining := float64(max(0, e.slowStartUntil-now)) / float64(max(1, b.cfg.SlowStartDuration))
	return max(minCapacityFraction, 1-remaining*(1-b.cfg.SlowStartFraction))
}
