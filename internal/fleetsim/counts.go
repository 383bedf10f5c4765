package fleetsim

import "time"

// Counts holds the counts over all sidecars, servers and discovery of a simulation. The total traffic of the
// sidecars is the sum of Gossip, EndpointLists and Attempts.
type Counts struct {
	Gossip         TrafficCounts // datagrams between sidecars; a broadcast counts as one sent datagram
	DatagramsLost  int64         // lost by the network, counted per recipient
	EndpointLists  TrafficCounts // calls to discovery and their responses, counted by sidecars
	EntriesRead    int64         // endpoint list entries that sidecars have read
	Attempts       TrafficCounts // attempts and their responses, counted by sidecars
	ServerAttempts TrafficCounts // attempts and their responses, counted by servers

	Discovery DiscoveryCounts

	// Client requests over all classes, by how they ended as in ClassCounts.
	Requests, WithinObjective, ObjectiveMissed, Rejected, Failed int64

	// CPU time of Balancers, if Config.MeasureCPU is set. It differs from run to run.
	RequestCPU       time.Duration // in Request and Outcome
	ControlCPU       time.Duration // in ReceiveGossip, TimerFired and UpdateEndpoints, including decoding
	BalancerRequests int64         // requests passed to Balancers, including client retries

	// The CPU time and requests of the first Config.HighRateSidecars sidecars only.
	HighRateRequestCPU, HighRateControlCPU time.Duration
	HighRateBalancerRequests               int64
}

// DiscoveryCounts counts the calls that the discovery service handled.
type DiscoveryCounts struct {
	TrafficCounts
	Processed      int64         // calls; a watch counts again when a change answers it
	EntriesWritten int64         // entries in responses
	ProcessingTime time.Duration // total over the processed calls
	MaxQueueWait   time.Duration // longest time in the queue of a processed call
	TimedOut       int64         // calls that waited in the queue for longer than QueueTimeout
	Changes        int64         // changes of the endpoint list
}

// ClassCounts counts the client requests of one class by how they ended. A request and its client retries
// count as one.
type ClassCounts struct {
	Requests        int
	WithinObjective int // answered within the latency objective
	ObjectiveMissed int // answered after the latency objective
	Rejected        int // shed, with no client retry after it
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

// merge adds other counts, except for MaxQueueWait, of which it keeps the maximum.
func (d *DiscoveryCounts) merge(other *DiscoveryCounts) {
	d.TrafficCounts.merge(other.TrafficCounts)
	d.Processed += other.Processed
	d.EntriesWritten += other.EntriesWritten
	d.ProcessingTime += other.ProcessingTime
	d.MaxQueueWait = max(d.MaxQueueWait, other.MaxQueueWait)
	d.TimedOut += other.TimedOut
	d.Changes += other.Changes
}

// WithoutCPUTime returns the counts without CPU times. The remaining counts are the same for the same seed.
func (c Counts) WithoutCPUTime() Counts {
	c.RequestCPU, c.ControlCPU, c.HighRateRequestCPU, c.HighRateControlCPU = 0, 0, 0, 0
	return c
}

// countRequest counts a client request, by class and in total.
func (sim *Simulation) countRequest(class int) {
	sim.classCounts[class].Requests++
	sim.counts.Requests++
}

// countAnswered counts a client request that was answered after the given latency.
func (sim *Simulation) countAnswered(class int, latency time.Duration) {
	if latency <= sim.config.Policy.Classes[class].LatencyObjective {
		sim.classCounts[class].WithinObjective++
		sim.counts.WithinObjective++
		return
	}
	sim.classCounts[class].ObjectiveMissed++
	sim.counts.ObjectiveMissed++
}

// countRejected counts a client request that was rejected and is not retried.
func (sim *Simulation) countRejected(class int) {
	sim.classCounts[class].Rejected++
	sim.counts.Rejected++
}

// countFailed counts a client request that failed.
func (sim *Simulation) countFailed(class int) {
	sim.classCounts[class].Failed++
	sim.counts.Failed++
}
