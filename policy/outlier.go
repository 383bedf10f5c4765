package policy

import "time"

const (
	// failureLatency is the relative latency that a failure counts as. It is also
	// the highest that a response counts as.
	failureLatency = 8.0

	// outlierLatency is the relative latency from which an endpoint is an outlier.
	outlierLatency = failureLatency / 2

	// In a moving mean over n samples, a new sample has a weight of 1/n.
	relativeLatencySamples    = 4  // samples in an endpoint's relative latency
	endpointCongestionSamples = 8  // samples in an endpoint's congestion
	classLatencySamples       = 16 // samples in a class's mean latency
	overallLatencySamples     = 32 // samples in the mean latency of all classes

	// ejectionBase is for how long an endpoint is ejected after its second
	// consecutive failure. The time doubles with each further failure.
	ejectionBase         = 20 * time.Millisecond
	maxEjectionDoublings = 5

	// minRestartSilence is the time without a response after which an outlier that
	// responds again may have restarted.
	minRestartSilence = time.Second
)

// isOutlier reports whether an endpoint is much slower than usual or keeps
// failing.
func (e *endpoint) isOutlier() bool { return e.relativeLatency >= outlierLatency }

// recordOutcome updates the observed health of an endpoint with the result of an attempt. A high
// relative latency lengthens the endpoint's stride, whatever the cause: slowness, errors, timeouts,
// rejections, or a limit shared with others. The requests that the endpoint still gets show when it
// has recovered.
func (b *Balancer) recordOutcome(now time.Duration, r *request, a *attempt, result Result) {
	e, latency := a.endpoint, now-a.sentAt
	// A timeout of an outlier shows a fault of that endpoint and no congestion.
	if result == Succeeded || result == TimedOut && !e.isOutlier() {
		b.recordCongestion(now, e, float64(latency)/float64(r.class.LatencyObjective))
	}
	relative := failureLatency
	switch result {
	case Cancelled, NotSent:
		return // shows nothing about the endpoint
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

// recordCongestion records the time that an attempt took, as a fraction of the
// latency objective.
func (b *Balancer) recordCongestion(now time.Duration, e *endpoint, fraction float64) {
	square := fraction * fraction
	e.congestion += (square - e.congestion) / endpointCongestionSamples
	b.congestion.observe(now, square)
	b.gossip.record(now, square)
}

// recordLatency records the latency of a successful attempt.
func (b *Balancer) recordLatency(c *class, latency time.Duration) {
	c.meanLatency += (latency - c.meanLatency) / classLatencySamples
	b.unloaded.observe(latency, float64(latency)/float64(c.LatencyObjective))
	b.meanLatency += (latency - b.meanLatency) / overallLatencySamples
}

// recordResponse records a successful response of an endpoint. An outlier that was unresponsive for
// a long time may have restarted even if the endpoint list does not show it, so it gets a slow start.
func (b *Balancer) recordResponse(now time.Duration, e *endpoint) {
	silence := now - e.unresponsiveSince
	if e.unresponsiveSince > 0 && e.relativeLatency > outlierLatency && silence > minRestartSilence {
		e.slowStartUntil = max(e.slowStartUntil, now+b.cfg.SlowStartDuration)
		event := HealthEvent{Kind: EndpointRecovered, Endpoint: e.ID, InFlight: e.inFlight, Unresponsive: silence}
		b.host.Log(event)
	}
	e.unresponsiveSince, e.consecutiveFailures, e.ejectedUntil = 0, 0, 0
}

// recordFailure counts a failure of an endpoint, and ejects the endpoint from
// its second consecutive failure on.
func (e *endpoint) recordFailure(now time.Duration) {
	e.consecutiveFailures++
	if e.consecutiveFailures > 1 {
		doublings := min(e.consecutiveFailures-2, maxEjectionDoublings)
		e.ejectedUntil = max(e.ejectedUntil, now+ejectionBase<<doublings)
	}
}

// recordRelativeLatency adds a sample to an endpoint's relative latency, and
// logs an event if the endpoint becomes an outlier.
func (b *Balancer) recordRelativeLatency(e *endpoint, relative float64) {
	wasOutlier := e.isOutlier()
	e.relativeLatency += (relative - e.relativeLatency) / relativeLatencySamples
	if !wasOutlier && e.isOutlier() {
		b.host.Log(HealthEvent{Kind: EndpointDegraded, Endpoint: e.ID, InFlight: e.inFlight})
	}
}
