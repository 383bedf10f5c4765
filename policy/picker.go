package policy

import (
	"math"
	"time"
)

const (
	// crossZonePickFraction is how often an endpoint in another zone is picked,
	// relative to one in the same zone, if crossing zones has a cost.
	crossZonePickFraction = 0.25

	// latencyExponent is the power of the relative latency to which the time
	// between two picks of an endpoint is proportional.
	latencyExponent = 1.5

	// minRelativeLatency is the lowest relative latency that the picker uses. The
	// highest is outlierLatency: even a failing endpoint is picked from time to time,
	// which shows when it has recovered.
	minRelativeLatency = 0.5
)

// picker implements smooth weighted round robin by virtual time: an endpoint is
// due one stride after its last pick, and the endpoint due first is picked next.
type picker struct {
	virtualTime float64 // when the last picked endpoint was due
}

// advance moves the virtual time to the pick of an endpoint and makes the
// endpoint due again one stride later. An endpoint that was picked later than
// it was due does not catch up.
func (p *picker) advance(e *endpoint, stride float64) {
	p.virtualTime = max(p.virtualTime, e.nextPick)
	e.nextPick = p.virtualTime + stride
}

// stride returns the virtual time between two picks of an endpoint. Endpoints
// of other zones are picked too, but less often: a zone may have more traffic
// than its own endpoints can serve.
func (b *Balancer) stride(now time.Duration, e *endpoint) float64 {
	latency := max(minRelativeLatency, min(e.relativeLatency, outlierLatency))
	stride := math.Pow(latency, latencyExponent) / (e.Weight * b.capacityFraction(now, e))
	if b.crossesZone(e) {
		stride /= crossZonePickFraction
	}
	return stride
}

// crossesZone reports whether an endpoint is in another zone and crossing zones
// has a cost.
func (b *Balancer) crossesZone(e *endpoint) bool {
	return b.cfg.CrossZoneCost > 0 && e.Zone != b.cfg.Zone
}

// pick returns the endpoint to which a request is sent now, or nil. Requests go to the subset. If no
// endpoint there is available, a retry of a request that may have run is sent outside the subset:
// duplicates may be dropped only in the zone or cell of the first attempt, and the subset may have
// no other endpoint there.
func (b *Balancer) pick(now time.Duration, r *request) *endpoint {
	chosen, diverted := b.nextAvailable(now, r, b.subset.endpoints)
	if chosen == nil && r.firstThatMayHaveRun() != nil {
		chosen, diverted = b.nextAvailable(now, r, b.endpoints.all)
	}
	if chosen == nil {
		return nil
	}
	b.picker.advance(chosen, b.stride(now, chosen))
	switch {
	case diverted:
		b.counters.DivertedSends++
	case len(r.attempts) == 0:
		b.counters.RoundRobinSends++
	}
	return chosen
}

// nextAvailable returns the endpoint due first among the candidates to which
// the request may be sent, or nil. diverted reports whether another one, due
// earlier, was skipped because it is ejected or at its limit; that endpoint
// stays due and may get the next request. Ejection is needed beside the limit
// because an endpoint that rejects everything at once is never at its limit and
// would attract all requests.
func (b *Balancer) nextAvailable(
	now time.Duration, r *request, candidates []*endpoint,
) (next *endpoint, diverted bool) {
	earliestSkipped := math.Inf(1)
	for _, e := range candidates {
		switch {
		case r.attempted(e) || !b.eligible(now, r, e):
		case now < e.ejectedUntil || b.atLimit(now, r, e):
			earliestSkipped = min(earliestSkipped, e.nextPick)
		case next == nil || e.nextPick < next.nextPick:
			next = e
		}
	}
	return next, next != nil && earliestSkipped < next.nextPick
}

// atLimit reports whether an endpoint has as many requests as it may have, from
// this balancer or, according to its load report, from all balancers.
func (b *Balancer) atLimit(now time.Duration, r *request, e *endpoint) bool {
	return float64(e.inFlight) >= b.endpointLimit(e) || b.fullByReport(now, r, e)
}
