package policy

import (
	"math"
	"time"
)

const (
	crossZoneTurns = 0.25 // endpoints of other zones get this fraction of turns, if crossing has a cost
	// Turns follow the relative latency to this power, within bounds: an
	// endpoint always keeps some turns, which show when it has recovered.
	latencyExponent    = 1.5
	minRelativeLatency = 0.5
)

// picker is the virtual time of smooth weighted round robin: an endpoint is
// due again one stride after its last turn, and the one due first is next.
type picker struct {
	virtualTime float64 // when the latest turn was due
}

// taken moves on to the turn that an endpoint has had.
func (p *picker) taken(e *endpoint, stride float64) {
	p.virtualTime = max(p.virtualTime, e.nextTurn)
	e.nextTurn = p.virtualTime + stride
}

// stride is the virtual time between an endpoint's turns. Other zones'
// endpoints have turns too, if fewer: a zone may have more traffic than its
// own endpoints can bear.
func (b *Balancer) stride(now time.Duration, e *endpoint) float64 {
	latency := max(minRelativeLatency, min(e.relativeLatency, outlierLatency))
	stride := math.Pow(latency, latencyExponent) / (e.Weight * b.capacityFraction(now, e))
	if b.crossesZone(e) {
		stride /= crossZoneTurns
	}
	return stride
}

// crossesZone says that an endpoint is in another zone, where crossing has a
// cost.
func (b *Balancer) crossesZone(e *endpoint) bool {
	return b.cfg.CrossZoneCost > 0 && e.Zone != b.cfg.Zone
}

// pick returns the endpoint that a request is sent to now, or nil. A retry that
// may have run is sent outside the subset if nothing in it can take it:
// duplicates may be dropped only in the first attempt's zone or cell.
func (b *Balancer) pick(now time.Duration, r *request) *endpoint {
	chosen, diverted := b.nextInTurn(now, r, b.subset.endpoints)
	if chosen == nil && r.firstEffective() != nil {
		chosen, diverted = b.nextInTurn(now, r, b.endpoints.all)
	}
	if chosen == nil {
		return nil
	}
	b.picker.taken(chosen, b.stride(now, chosen))
	switch {
	case diverted:
		b.count.DivertedSends++
	case len(r.attempts) == 0:
		b.count.RoundRobinSends++
	}
	return chosen
}

// nextInTurn returns the endpoint whose turn it is among those that the rules
// allow, or nil, and whether one that would have been earlier was passed over.
// One that is ejected or at its limit is; it keeps its turn for the next
// request. Ejection stands beside the limit because an endpoint that rejects
// everything at once is never at its limit, and would draw all requests.
func (b *Balancer) nextInTurn(
	now time.Duration, r *request, among []*endpoint,
) (next *endpoint, diverted bool) {
	earliestPassedOver := math.Inf(1)
	for _, e := range among {
		switch {
		case r.attempted(e) || !b.eligible(now, r, e):
		case now < e.ejectedUntil || b.atLimit(now, r, e):
			earliestPassedOver = min(earliestPassedOver, e.nextTurn)
		case next == nil || e.nextTurn < next.nextTurn:
			next = e
		}
	}
	return next, next != nil && earliestPassedOver < next.nextTurn
}

// atLimit says that an endpoint has as many requests as it should, of this
// balancer or, by its load report, of all.
func (b *Balancer) atLimit(now time.Duration, r *request, e *endpoint) bool {
	return float64(e.inFlight) >= b.endpointLimit(e) || b.fullByReport(now, r, e)
}
