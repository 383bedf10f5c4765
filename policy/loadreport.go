package policy

import (
	"math"
	"time"
)

const (
	reportLifetime = 50 * time.Millisecond // a load report says how many more an endpoint can take for this long
	reportMaxAge   = 5 * reportLifetime    // and whether it is full for this long
	reportTimeout  = 30 * time.Millisecond // a request waits this long for a report
	// maxHealthChecks is how many endpoints a request waits for.
	maxHealthChecks = 3
	// sampleSpread is over how long balancers spread their first health check.
	sampleSpread = 4 * reportLifetime

	comparisonsNeeded = 4                     // pairs of reports that are compared
	changesNeeded     = comparisonsNeeded - 1 // of them must differ for reports to count as fresh
	freshSubsetFactor = 3                     // fresh reports find free endpoints among this many times more

	reportedHeadroom = 2.0 // an endpoint is full at its part of all balancers' requests and this many more
)

// ReportFields is a set of the fields of a LoadReport.
type ReportFields uint8

// The fields of a LoadReport.
const (
	HasInFlight ReportFields = 1 << iota
	HasQueued
	HasUtilization
	HasServiceTime
	HasThroughput
	HasErrorRate
)

// LoadReport is what an endpoint reports of itself. The zero value is no
// report at all.
type LoadReport struct {
	Fields      ReportFields  // those that hold; the others are unknown
	InFlight    float64       // requests at the endpoint
	Queued      float64       // of these, requests that wait
	Utilization float64       // fraction of its cores in use
	ServiceTime time.Duration // usual time for a request, without waiting
	Throughput  float64       // requests served per second
	ErrorRate   float64       // errors per second
}

// reportSampler finds out whether load reports are fresh, by health checks of
// one endpoint a few times in a row. Reports that do not change as quickly as
// they are used must not steer single requests: all balancers would send to
// where load was low before.
type reportSampler struct {
	endpoint    *endpoint
	nextAt      time.Duration
	comparisons int
	changes     int // comparisons in which the report had changed
}

// done says that enough reports have been compared.
func (s *reportSampler) done() bool { return s.comparisons >= comparisonsNeeded }

// fresh says that reports may steer requests.
func (s *reportSampler) fresh() bool { return s.changes >= changesNeeded }

// stale says that reports have turned out not to follow the load.
func (s *reportSampler) stale() bool { return s.done() && !s.fresh() }

// compared counts a comparison. It returns true if reports turn out fresh by it.
func (s *reportSampler) compared(changed bool) bool {
	s.comparisons++
	if !changed {
		return false
	}
	s.changes++
	return s.changes == changesNeeded
}

// canReportLoad says that health checks may be made and bring the number of
// requests in flight.
func (b *Balancer) canReportLoad() bool {
	return b.cfg.CanHealthCheck && b.cfg.ReportFields&HasInFlight != 0
}

// sampleReports makes the sampler's next health check when it is due.
func (b *Balancer) sampleReports(now time.Duration) {
	s := &b.sampler
	if s.done() || now < s.nextAt || len(b.subset.endpoints) == 0 || !b.canReportLoad() {
		return
	}
	if s.endpoint == nil || s.endpoint.State != Ready {
		s.endpoint = b.subset.endpoints[b.rng.IntN(len(b.subset.endpoints))]
	}
	s.nextAt = now + reportLifetime
	b.host.HealthCheck(s.endpoint.ID)
	b.setTimer(now, reportLifetime)
}

// awaitReport asks the endpoint whose turn it is for a load report, where the
// latest is too old, and has the request wait for it: among many balancers,
// what this one has in flight there says next to nothing about the load.
func (b *Balancer) awaitReport(now time.Duration, r *request) bool {
	if !b.canReportLoad() || !b.sampler.fresh() || r.healthChecks >= maxHealthChecks {
		return false
	}
	e, _ := b.nextInTurn(now, r, b.subset.endpoints)
	if e == nil || (e.reportedAt > 0 && now-e.reportedAt < reportLifetime) {
		return false
	}
	r.awaitedReport, r.reportDeadline = e, now+reportTimeout
	r.healthChecks++
	b.host.HealthCheck(e.ID)
	return true
}

// HealthChecked takes the result of a health check.
func (b *Balancer) HealthChecked(now time.Duration, id EndpointID, ok bool, report LoadReport) {
	e := b.endpoints.find(id)
	if e == nil {
		return
	}
	usable := ok && report.Fields&HasInFlight != 0
	if e == b.sampler.endpoint && !b.sampler.done() {
		b.compareReports(now, e, usable, report)
	}
	if usable {
		e.reportedAt, e.report = now, report
		e.othersInFlight = max(0, report.InFlight-float64(e.inFlight))
	} else if b.sampler.fresh() {
		e.reportMissing(now)
	}
	for _, r := range b.open {
		if r.awaitedReport == e && !r.closed {
			r.awaitedReport = nil
			b.place(now, r)
		}
	}
}

// compareReports compares a report of the sampled endpoint with the one
// before. An endpoint that does not report is not fresh.
func (b *Balancer) compareReports(now time.Duration, e *endpoint, usable bool, report LoadReport) {
	hasPrevious := e.reportedAt > 0 && now-e.reportedAt >= reportLifetime
	if usable && !hasPrevious {
		return
	}
	if b.sampler.compared(usable && report != e.report) {
		b.subset.turnInterval *= freshSubsetFactor
	}
}

// reportMissing marks an endpoint that does not report as full, so that the
// turn is the next one's.
func (e *endpoint) reportMissing(now time.Duration) {
	e.reportedAt, e.othersInFlight = now, math.Inf(1)
}

// expireReport has a request go on whose endpoint has not reported in time.
func (b *Balancer) expireReport(now time.Duration, r *request) {
	if r.awaitedReport == nil || r.closed || now < r.reportDeadline {
		return
	}
	r.awaitedReport.reportMissing(now)
	r.awaitedReport = nil
	b.place(now, r)
}

// fullByReport says that an endpoint reports its part of all balancers'
// requests or more, also in a report too old to send by; or that it has not
// reported, and the request has waited for as many reports as it may.
func (b *Balancer) fullByReport(now time.Duration, r *request, e *endpoint) bool {
	if b.sampler.stale() {
		return false
	}
	if e.reportedAt == 0 || now-e.reportedAt >= reportMaxAge {
		return r.healthChecks >= maxHealthChecks
	}
	return e.othersInFlight+float64(e.inFlight) >= reportedHeadroom+b.endpoints.proportion(b.fleetInFlight, e)
}
