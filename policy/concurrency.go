package policy

import (
	"time"
)

const (
	// congestedFraction of the latency objective is how long responses take
	// from congested endpoints.
	congestedFraction = 0.3
	// Where responses take a large part of the objective without any load,
	// the threshold is a multiple of their unloaded mean square instead, up to
	// that of maxCongestedFraction.
	unloadedSquares      = 8.0
	maxCongestedFraction = 0.42

	bearablePerEndpoint = 1.7 // concurrent requests that an endpoint bears without congestion,
	bearableQuotas      = 1.5 // or this multiple of what the quotas keep in flight there in the unloaded latency

	// totalLimitRatio is by how much more congestion it takes to reduce the
	// limit over all attempts than to reduce that of one endpoint.
	totalLimitRatio = 1.7

	unloadedSamples = 4    // responses in a mean latency: with fewer it would show one slow request
	unloadedDrift   = 2048 // responses in which the lowest mean grows by a factor of e

	minCongestion = 1e-4 // below this no endpoint is congested: avoids a division by 0
)

// unloadedLatency estimates the latency without load: the lowest recent mean
// over a few responses. It drifts up, as what it was may hold no more; slowly,
// or lasting congestion would pass for the unloaded state.
type unloadedLatency struct {
	responses    int // in the mean, up to unloadedSamples
	mean, min    time.Duration
	meanFraction float64 // the same as fractions of the classes' latency objectives
	minFraction  float64
}

// observe takes the latency of a response, and its fraction of the objective.
func (u *unloadedLatency) observe(latency time.Duration, fraction float64) {
	u.responses = min(u.responses+1, unloadedSamples)
	u.mean += (latency - u.mean) / time.Duration(u.responses)
	u.meanFraction += (fraction - u.meanFraction) / float64(u.responses)
	switch {
	case u.responses < unloadedSamples: // too few to tell
	case u.min == 0:
		u.min, u.minFraction = u.mean, u.meanFraction
	default:
		u.min = min(u.mean, u.min+u.min/unloadedDrift)
		u.minFraction = min(u.meanFraction, u.minFraction+u.minFraction/unloadedDrift)
	}
}

// congestion is a moving mean of the square of latency / latency objective.
// The square gives weight to the tail: a few slow responses count.
type congestion struct {
	meanSquare float64
	at         time.Duration
}

const (
	minCongestionGain     = 1.0 / 16
	maxCongestionGain     = 0.5
	congestionGainSeconds = 10 // a sample this long after the one before would count in full
)

// observe takes a sample. The rarer they are, the more each counts.
func (c *congestion) observe(now time.Duration, square float64) {
	gain := min(maxCongestionGain, max(minCongestionGain, (now-c.at).Seconds()/congestionGainSeconds))
	c.meanSquare += (square - c.meanSquare) * gain
	c.at = now
}

// limitFraction returns the fraction of a concurrency limit that congestion
// leaves. Where the slots of all balancers together exceed what endpoints can
// bear, each reduces its limit that much sooner: then all have, before
// endpoints are overloaded.
func (b *Balancer) limitFraction(meanSquare float64) float64 {
	endpoints := float64(max(1, b.endpoints.maxReady))
	bearable := max(bearablePerEndpoint, bearableQuotas*b.quota*b.unloaded.min.Seconds()/endpoints)
	excess := float64(b.bulkheads.slots*b.cfg.Balancers) / (bearable * endpoints)
	unloaded := b.unloaded.minFraction
	threshold := max(congestedFraction*congestedFraction,
		min(unloadedSquares*unloaded*unloaded, maxCongestedFraction*maxCongestedFraction))
	return min(1, threshold/max(meanSquare*max(1, excess), minCongestion))
}

// congested says that congestion leaves less than all of the limits.
func (b *Balancer) congested(now time.Duration) bool {
	return b.limitFraction(b.gossip.congestion(now, b.congestion.meanSquare)) < 1
}

// concurrencyLimit returns how many attempts this balancer may have in flight,
// at least 1: its slots, less what congestion takes from the slots of all
// balancers. What remains of those is divided by demand, as far as peers
// report theirs.
func (b *Balancer) concurrencyLimit(now time.Duration) float64 {
	slots := float64(b.bulkheads.slots)
	fraction := b.limitFraction(b.gossip.congestion(now, b.congestion.meanSquare) / totalLimitRatio)
	if !b.gossip.received {
		return max(1, slots*fraction)
	}
	fleetSlots := float64(b.bulkheads.slots * b.cfg.Balancers)
	return max(1, min(slots, fleetSlots*fraction*b.gossip.demandFraction(now, b.traffic.current(now), b.quota)))
}

// endpointLimit returns how many attempts this balancer may have in flight at
// one endpoint, at least 1: the endpoint's part of the slots, less what its
// congestion takes.
func (b *Balancer) endpointLimit(e *endpoint) float64 {
	part := b.endpoints.proportion(float64(b.bulkheads.slots), e)
	return max(1, part*b.endpoints.readyWeight/b.subset.weight*b.limitFraction(e.congestion))
}
