package policy

import (
	"math"
	"time"
)

const (
	// reportLifetime is the age from which a load report no longer shows how many
	// more requests an endpoint can take.
	reportLifetime = 50 * time.Millisecond

	// reportMaxAge is the age from which a load report no longer shows whether an
	// endpoint is full.
	reportMaxAge = 5 * reportLifetime

	reportTimeout   = 30 * time.Millisecond // how long a request waits for one load report
	maxHealthChecks = 3                     // load reports that a request waits for at most

	// sampleSpread is the period over which balancers spread their first health
	// checks.
	sampleSpread = 4 * reportLifetime

	comparisonsNeeded = 4                     // pairs of successive load reports that are compared
	changesNeeded     = comparisonsNeeded - 1 // pairs that must differ for reports to count as fresh

	// freshSubsetFactor is the factor by which the subset grows once load reports
	// have proved fresh, because they then show which of its endpoints are free.
	freshSubsetFactor = 3

	// reportedHeadroom is how many requests beyond its share of all balancers'
	// requests an endpoint must have to count as full.
	reportedHeadroom = 2.0
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

// LoadReport is an endpoint's report of its own load. The zero value stands for
// no report.
type LoadReport struct {
	Fields      ReportFields  // the fields that are set; the others are unknown
	InFlight    float64       // requests at the endpoint
	Queued      float64       // requests in flight that are queued
	Utilization float64       // fraction of the endpoint's cores in use
	ServiceTime time.Duration // usual time to serve a request, without waiting
	Throughput  float64       // requests served per second
	ErrorRate   float64       // errors per second
}

// reportSampler determines whether load reports are fresh: it makes a few
// successive health checks of one endpoint and compares the reports. Reports
// that change more slowly than they are used must not decide where single
// requests go, because all balancers would send to endpoints whose load was low
// some time ago.
type reportSampler struct {
	endpoint    *endpoint     // the sampled endpoint
	nextAt      time.Duration // time of the next health check
	comparisons int
	changes     int // comparisons in which the report had changed
}

// done reports whether enough load reports have been compared.
func (s *reportSampler) done() bool { return s.comparisons >= comparisonsNeeded }

// fresh reports whether load reports may decide where requests go.
func (s *reportSampler) fresh() bool { return s.changes >= changesNeeded }

// stale reports whether load reports have proved not to follow the load.
func (s *reportSampler) stale() bool { return s.done() && !s.fresh() }

// recordComparison records whether a load report had changed. It returns true
// if this comparison is the one that proves reports fresh.
func (s *reportSampler) recordComparison(changed bool) bool {
	s.comparisons++
	if !changed {
		return false
	}
	s.changes++
	return s.changes == changesNeeded
}

// endpointsReportLoad reports whether health checks are allowed and return the number of requests in
// flight.
func (b *Balancer) endpointsReportLoad() bool {
	return b.cfg.CanHealthCheck && b.cfg.ReportFields&HasInFlight != 0
}

// sampleReports makes the sampler's next health check if it is due.
func (b *Balancer) sampleReports(now time.Duration) {
	s := &b.sampler
	if s.done() || now < s.nextAt || len(b.subset.endpoints) == 0 || !b.endpointsReportLoad() {
		return
	}
	if s.endpoint == nil || s.endpoint.State != Ready {
		s.endpoint = b.subset.endpoints[b.rng.IntN(len(b.subset.endpoints))]
	}
	s.nextAt = now + reportLifetime
	b.host.HealthCheck(s.endpoint.ID)
	b.setTimer(now, reportLifetime)
}

// awaitReport asks the next available endpoint for a load report if the latest
// one is too old. It reports whether the request has to wait for the report.
// Among many balancers, the attempts that this one has in flight at an endpoint
// show hardly anything about the endpoint's load.
func (b *Balancer) awaitReport(now time.Duration, r *request) bool {
	if !b.endpointsReportLoad() || !b.sampler.fresh() || r.healthChecks >= maxHealthChecks {
		return false
	}
	e, _ := b.nextAvailable(now, r, b.subset.endpoints)
	if e == nil || (e.reportedAt > 0 && now-e.reportedAt < reportLifetime) {
		return false
	}
	r.awaitedReport, r.reportDeadline = e, now+reportTimeout
	r.healthChecks++
	b.host.HealthCheck(e.ID)
	return true
}

// HealthChecked processes the result of a health check. If the health check
// failed (ok is false), or report lacks the number of requests in flight, the
// load report is unusable. Once load reports have proved fresh, the endpoint then
// counts as full.
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
		e.markReportMissing(now)
	}
	for _, r := range b.openRequests {
		if r.awaitedReport == e && !r.closed {
			r.awaitedReport = nil
			b.dispatchOrQueue(now, r)
		}
	}
}

// compareReports compares a load report of the sampled endpoint with the previous one. An unusable
// report counts as unchanged. A usable one is not compared if there is no previous report, or if
// that is more recent than reportLifetime.
func (b *Balancer) compareReports(now time.Duration, e *endpoint, usable bool, report LoadReport) {
	hasOlderReport := e.reportedAt > 0 && now-e.reportedAt >= reportLifetime
	if usable && !hasOlderReport {
		return
	}
	if b.sampler.recordComparison(usable && report != e.report) {
		b.subset.pickInterval *= freshSubsetFactor
	}
}

// markReportMissing marks an endpoint that did not report its load as full, so
// that another endpoint is picked.
func (e *endpoint) markReportMissing(now time.Duration) {
	e.reportedAt, e.othersInFlight = now, math.Inf(1)
}

// expireReport ends a request's wait for a load report that has not come in time.
func (b *Balancer) expireReport(now time.Duration, r *request) {
	if r.awaitedReport == nil || r.closed || now < r.reportDeadline {
		return
	}
	r.awaitedReport.markReportMissing(now)
	r.awaitedReport = nil
	b.dispatchOrQueue(now, r)
}

// fullByReport reports whether an endpoint is full: by its latest load report, it
// has at least its share of all balancers' requests plus reportedHeadroom. A
// report counts up to reportMaxAge, although awaitReport asks for a new one
// before that. An endpoint without such a report is full for a request that has
// already waited for maxHealthChecks reports. If reports are stale, no endpoint
// is full.
func (b *Balancer) fullByReport(now time.Duration, r *request, e *endpoint) bool {
	if b.sampler.stale() {
		return false
	}
	if e.reportedAt == 0 || now-e.reportedAt >= reportMaxAge {
		return r.healthChecks >= maxHealthChecks
	}
	return e.othersInFlight+float64(e.inFlight) >= reportedHeadroom+b.endpoints.proportion(b.fleetInFlight, e)
}
