package policy

import (
	"time"
)

const (
	// congestedFraction is the latency, as a fraction of the latency objective, above which endpoints
	// count as congested. Its square is the congestion threshold.
	congestedFraction = 0.3

	// unloadedThresholdFactor applies where responses take a large part of the
	// latency objective even without load. The threshold is then this multiple of
	// the square of that part.
	unloadedThresholdFactor = 8.0

	// maxCongestedFraction bounds the threshold set by unloadedThresholdFactor: the threshold is at
	// most the square of this fraction.
	maxCongestedFraction = 0.42

	// uncongestedPerEndpoint is the number of concurrent requests that every
	// endpoint is assumed to serve without congestion.
	uncongestedPerEndpoint = 1.7

	// uncongestedQuotaFactor estimates, from the quotas, how many concurrent requests an endpoint
	// serves without congestion. The estimate is this multiple of the requests in flight at an
	// endpoint while traffic is at the quotas and responses take the unloaded latency.
	uncongestedQuotaFactor = 1.5

	// concurrencyLimitTolerance is how many times as much congestion it takes to reduce the limit
	// over all attempts as to reduce the limit of a single endpoint.
	concurrencyLimitTolerance = 1.7

	// unloadedSamples is the number of responses in a mean latency. With fewer, the
	// mean would reflect a single slow request.
	unloadedSamples = 4

	// unloadedDriftResponses is the number of responses in which the lowest mean
	// grows by a factor of e.
	unloadedDriftResponses = 2048

	// minCongestion is a congestion at which no endpoint counts as congested. Lower
	// values are raised to it, which avoids a division by 0.
	minCongestion = 1e-4
)

// unloadedLatency estimates the latency without load as the lowest recent mean
// over a few responses. The lowest mean drifts up, because an old one may no
// longer apply. It drifts slowly, or lasting congestion would be mistaken for
// the unloaded state.
type unloadedLatency struct {
	responses    int           // in the mean, up to unloadedSamples
	mean, min    time.Duration // mean latency, and the lowest of these means
	meanFraction float64       // mean as a fraction of the classes' latency objectives
	minFraction  float64       // the lowest meanFraction
}

// observe records the latency of a response, also as a fraction of the latency
// objective.
func (u *unloadedLatency) observe(latency time.Duration, fraction float64) {
	u.responses = min(u.responses+1, unloadedSamples)
	u.mean += (latency - u.mean) / time.Duration(u.responses)
	u.meanFraction += (fraction - u.meanFraction) / float64(u.responses)
	switch {
	case u.responses < unloadedSamples: // too few responses for an estimate
	case u.min == 0:
		u.min, u.minFraction = u.mean, u.meanFraction
	default:
		u.min = min(u.mean, u.min+u.min/unloadedDriftResponses)
		u.minFraction = min(u.meanFraction, u.minFraction+u.minFraction/unloadedDriftResponses)
	}
}

// congestion is a moving mean of the square of latency / latency objective. The
// square emphasizes the tail of the distribution: a few slow responses count.
type congestion struct {
	meanSquare float64
	observedAt time.Duration // time of the latest sample
}

// The weight of a sample in congestion.meanSquare.
const (
	minCongestionGain     = 1.0 / 16
	maxCongestionGain     = 0.5
	congestionGainSeconds = 10 // the gain is the time since the previous sample, divided by this
)

// observe records a sample. The rarer samples are, the more each of them counts.
func (c *congestion) observe(now time.Duration, square float64) {
	gain := min(maxCongestionGain, max(minCongestionGain, (now-c.observedAt).Seconds()/congestionGainSeconds))
	c.meanSquare += (square - c.meanSquare) * gain
	c.observedAt = now
}

// limitFraction returns the fraction of a concurrency limit that remains under
// congestion. If all balancers together have more slots than the endpoints can
// serve without congestion, the threshold is lower by that ratio: each balancer
// then reduces its limit so early that all have done so before endpoints are
// overloaded.
func (b *Balancer) limitFraction(meanSquare float64) float64 {
	endpoints := float64(max(1, b.endpoints.maxReady))
	uncongested := max(uncongestedPerEndpoint, uncongestedQuotaFactor*b.quota*b.unloaded.min.Seconds()/endpoints)
	excess := float64(b.bulkheads.slots*b.cfg.Balancers) / (uncongested * endpoints)
	unloaded := b.unloaded.minFraction
	threshold := max(congestedFraction*congestedFraction,
		min(unloadedThresholdFactor*unloaded*unloaded, maxCongestedFraction*maxCongestedFraction))
	return min(1, threshold/max(meanSquare*max(1, excess), minCongestion))
}

// congested reports whether the congestion of all endpoints is so high that it
// would reduce the limit of a single endpoint. The limit over all attempts is
// reduced only under more congestion: see concurrencyLimitTolerance.
func (b *Balancer) congested(now time.Duration) bool {
	return b.limitFraction(b.gossip.congestion(now, b.congestion.meanSquare)) < 1
}

// concurrencyLimit returns how many attempts this balancer may have in flight, at least 1. Without
// gossip, the limit is the number of its slots, reduced by congestion. With gossip, congestion
// reduces the slots of all balancers together, and the limit is this balancer's share of them,
// according to its share of the demand, up to its own slots.
func (b *Balancer) concurrencyLimit(now time.Duration) float64 {
	slots := float64(b.bulkheads.slots)
	fraction := b.limitFraction(b.gossip.congestion(now, b.congestion.meanSquare) / concurrencyLimitTolerance)
	if !b.gossip.received {
		return max(1, slots*fraction)
	}
	fleetSlots := float64(b.bulkheads.slots * b.cfg.Balancers)
	return max(1, min(slots, fleetSlots*fraction*b.gossip.demandFraction(now, b.traffic.current(now), b.quota)))
}

// endpointLimit returns how many attempts this balancer may have in flight at
// one endpoint, at least 1: the endpoint's share of the slots among the
// endpoints of the subset, reduced by its congestion.
func (b *Balancer) endpointLimit(e *endpoint) float64 {
	share := b.endpoints.proportion(float64(b.bulkheads.slots), e)
	return max(1, share*b.endpoints.readyWeight/b.subset.weight*b.limitFraction(e.congestion))
}
