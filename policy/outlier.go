package policy

import "time"

const (
	failureLatency = 8.0                // a failure counts as a response that took this many times as long
	outlierLatency = failureLatency / 2 // from this relative latency on an endpoint is an outlier
	latencyGain    = 4                  // one over this is the weight of a sample in the relative latency,
	congestionGain = 8                  // in an endpoint's congestion,
	classGain      = 16                 // in a class's mean latency
	overallGain    = 32                 // and in that of all classes

	ejectionBase         = 20 * time.Millisecond // no turns after a second failure in a row, then doubled
	maxEjectionDoublings = 5
	restartSilence       = time.Second // an outlier that responds after a longer silence may have restarted
)

// isOutlier says that an endpoint is much slower than usual, or fails.
func (e *endpoint) isOutlier() bool { return e.relativeLatency >= outlierLatency }

// recordOutcome learns from the end of an attempt how its endpoint fares. The
// relative latency stretches the gap between its turns; it guards against any
// cause: slowness, errors, silence, rejections, a limit shared with others.
// The turns that remain show when it has recovered.
func (b *Balancer) recordOutcome(now time.Duration, r *request, a *attempt, result Result) {
	e, latency := a.endpoint, now-a.sentAt
	if result == Succeeded || result == TimedOut && !e.isOutlier() { // an outlier alone is no congestion
		b.recordCongestion(now, e, float64(latency)/float64(r.class.LatencyObjective))
	}
	relative := failureLatency
	switch result {
	case Cancelled, NotSent:
		return // tells nothing of the endpoint
	case Succeeded:
		relative = min(failureLatency, float64(latency)/float64(r.class.meanLatency))
		b.recordLatency(r.class, latency)
		b.recordResponse(now, e)
	case TimedOut, ConnectFailed:
		if e.unresponsiveSince == 0 {
			e.unresponsiveSince = now
		}
	}
	if result != Succeeded {
		e.recordFailure(now)
	}
	b.recordRelativeLatency(e, relative)
}

// recordCongestion takes the fraction of the latency objective that a response
// took.
func (b *Balancer) recordCongestion(now time.Duration, e *endpoint, fraction float64) {
	square := fraction * fraction
	e.congestion += (square - e.congestion) / congestionGain
	b.congestion.observe(now, square)
	b.gossip.record(now, square)
}

// recordLatency takes the latency of a successful attempt.
func (b *Balancer) recordLatency(c *class, latency time.Duration) {
	c.meanLatency += (latency - c.meanLatency) / classGain
	b.unloaded.observe(latency, float64(latency)/float64(c.LatencyObjective))
	b.meanLatency += (latency - b.meanLatency) / overallGain
}

// recordResponse is called when an endpoint has responded. One that has been
// silent may have restarted, though no list said so: it gets a slow start.
func (b *Balancer) recordResponse(now time.Duration, e *endpoint) {
	silence := now - e.unresponsiveSince
	if e.unresponsiveSince > 0 && e.relativeLatency > outlierLatency && silence > restartSilence {
		e.slowStartUntil = max(e.slowStartUntil, now+b.cfg.SlowStartDuration)
		event := HealthEvent{Kind: EndpointRecovered, Endpoint: e.ID, InFlight: e.inFlight, Unresponsive: silence}
		b.host.Log(event)
	}
	e.unresponsiveSince, e.consecutiveFailures, e.ejectedUntil = 0, 0, 0
}

// recordFailure ejects an endpoint from its second failure in a row on, for
// twice as long after each.
func (e *endpoint) recordFailure(now time.Duration) {
	e.consecutiveFailures++
	if e.consecutiveFailures > 1 {
		doublings := min(e.consecutiveFailures-2, maxEjectionDoublings)
		e.ejectedUntil = max(e.ejectedUntil, now+ejectionBase<<doublings)
	}
}

// recordRelativeLatency moves the mean, and reports an endpoint that becomes
// an outlier.
func (b *Balancer) recordRelativeLatency(e *endpoint, relative float64) {
	wasOutlier := e.isOutlier()
	e.relativeLatency += (relative - e.relativeLatency) / latencyGain
	if !wasOutlier && e.isOutlier() {
		b.host.Log(HealthEvent{Kind: EndpointDegraded, Endpoint: e.ID, InFlight: e.inFlight})
	}
}
