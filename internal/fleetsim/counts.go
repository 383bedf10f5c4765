package fleetsim

import "time"

// Counts is what was counted over all sidecars, servers and discovery of one simulation. A sidecar's own traffic
// is the sum of Gossip, EndpointLists and Attempts.
type Counts struct {
	Gossip         TrafficCounts // datagrams between sidecars; one sent goes to all the others
	DatagramsLost  int64
	EndpointLists  TrafficCounts // calls of discovery and their responses, as sidecars see them
	EntriesRead    int64         // endpoint list entries that sidecars read
	Attempts       TrafficCounts // attempts and their responses, as sidecars see them
	ServerAttempts TrafficCounts // the same, as servers see them

	Discovery DiscoveryCounts

	// Client requests over all classes, as in ClassCounts.
	Requests, WithinObjective, ObjectiveMissed, Rejected, Failed int64

	// Processor time, if Config.MeasureCPU is set. It differs from run to run.
	RequestCPU       time.Duration // in Request and Outcome
	ControlCPU       time.Duration // in ReceiveGossip, TimerFired and UpdateEndpoints, and in decoding their arguments
	BalancerRequests int64         // requests handed to Balancers, retries of clients included

	// The same for the first Config.HighRateSidecars sidecars only.
	HighRateRequestCPU, HighRateControlCPU time.Duration
	HighRateBalancerRequests               int64
}

// DiscoveryCounts is what discovery did.
type DiscoveryCounts struct {
	TrafficCounts
	Processed      int64         // calls, and watches that a change answered
	EntriesWritten int64         // in responses
	ProcessingTime time.Duration // of these calls
	MaxQueueWait   time.Duration // of one call
	TimedOut       int64         // calls that waited in the queue for too long
	Changes        int64         // of the endpoint list
}

// ClassCounts counts the client requests of one class by how they ended. A request that was sent again by its
// client counts once.
type ClassCounts struct {
	Requests        int
	WithinObjective int // answered within the latency objective
	ObjectiveMissed int // answered after it
	Rejected        int // shed, and not retried by the client any more
	Failed          int
}

// Add adds other counts, for instance those of another service.
func (c *Counts) Add(other *Counts) {
	c.Gossip.merge(other.Gossip)
	c.EndpointLists.merge(other.EndpointLists)
	c.Attempts.merge(other.Attempts)
	c.ServerAttempts.merge(other.ServerAttempts)
	c.DatagramsLost += other.DatagramsLost
	c.EntriesRead += other.EntriesRead
	c.Discovery.merge(&other.Discovery)
	c.Requests += other.Requests
	c.WithinObjective += other.WithinObjective
	c.ObjectiveMissed += other.ObjectiveMissed
	c.Rejected += other.Rejected
	c.Failed += other.Failed
	c.RequestCPU += other.RequestCPU
	c.ControlCPU += other.ControlCPU
	c.BalancerRequests += other.BalancerRequests
	c.HighRateRequestCPU += other.HighRateRequestCPU
	c.HighRateControlCPU += other.HighRateControlCPU
	c.HighRateBalancerRequests += other.HighRateBalancerRequests
}

func (d *DiscoveryCounts) merge(other *DiscoveryCounts) {
	d.TrafficCounts.merge(other.TrafficCounts)
	d.Processed += other.Processed
	d.EntriesWritten += other.EntriesWritten
	d.ProcessingTime += other.ProcessingTime
	d.MaxQueueWait = max(d.MaxQueueWait, other.MaxQueueWait)
	d.TimedOut += other.TimedOut
	d.Changes += other.Changes
}

// WithoutCPUTime returns the counts without processor times, which are the same for the same seed.
func (c Counts) WithoutCPUTime() Counts {
	c.RequestCPU, c.ControlCPU, c.HighRateRequestCPU, c.HighRateControlCPU = 0, 0, 0, 0
	return c
}

// countRequest, countAnswered, countRejected and countFailed count a client request, by class and overall.
func (sim *Simulation) countRequest(class int) {
	sim.classCounts[class].Requests++
	sim.counts.Requests++
}

func (sim *Simulation) countAnswered(class int, latency time.Duration) {
	if latency <= sim.config.Policy.Classes[class].LatencyObjective {
		sim.classCounts[class].WithinObjective++
		sim.counts.WithinObjective++
		return
	}
	sim.classCounts[class].ObjectiveMissed++
	sim.counts.ObjectiveMissed++
}

func (sim *Simulation) countRejected(class int) {
	sim.classCounts[class].Rejected++
	sim.counts.Rejected++
}

func (sim *Simulation) countFailed(class int) {
	sim.classCounts[class].Failed++
	sim.counts.Failed++
}
