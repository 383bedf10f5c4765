package fleetsim

import "time"

// Bytes of a message. Those of requests are assumed: a head without a body, and the IP and TCP headers.
const (
	datagramHeaders = 28   // IP and UDP
	segmentHeaders  = 40   // IP and TCP
	segment         = 1448 // what one carries
	requestBytes    = 400
	answerBytes     = 250
	callBytes       = 150 // head of a call of discovery
	listHead        = 120 // head of its answer
)

// Traffic counts messages and their bytes, headers included.
type Traffic struct{ Messages, Bytes int64 }

func (f *Traffic) add(bytes int) { f.Messages++; f.Bytes += int64(bytes) }

func (f *Traffic) plus(o Traffic) { f.Messages += o.Messages; f.Bytes += o.Bytes }

// TrafficCounts counts what comes to and goes out from all of one kind.
type TrafficCounts struct{ Received, Sent Traffic }

func (r *TrafficCounts) plus(o TrafficCounts) { r.Received.plus(o.Received); r.Sent.plus(o.Sent) }

// Counts are what was counted, by role. What a sidecar sends and gets is the sum of Gossip, Lists and Requests.
type Counts struct {
	Gossip         TrafficCounts // datagrams between sidecars, as these see them: one out goes to all
	DatagramsLost  int64
	EndpointLists  TrafficCounts // calls and answers of discovery, as sidecars see them
	EntriesRead    int64         // of lists that sidecars read
	Attempts       TrafficCounts // attempts and their answers, as sidecars see them
	ServerAttempts TrafficCounts // the same, as servers see them

	Discovery DiscoveryCounts

	Requests, WithinObjective, ObjectiveMissed, Rejected, Failed int64 // requests of clients, over all classes

	// Processor time, where it is measured. It is no part of what is exact.
	RequestCPU       time.Duration // in Request and Outcome
	ControlCPU       time.Duration // in Heard, Wake and List, and the reading of datagrams and lists
	BalancerRequests int64         // requests handed to Balancers, clients' further tries included

	// The same for the first Config.HighRateSidecars sidecars alone.
	HighRateRequestCPU, HighRateControlCPU time.Duration
	HighRateBalancerRequests               int64
}

// DiscoveryCounts are what discovery did.
type DiscoveryCounts struct {
	TrafficCounts
	Processed      int64         // calls and watches that it worked on
	EntriesWritten int64         // that it wrote
	ProcessingTime time.Duration // on these
	MaxQueueWait   time.Duration // that one waited for its turn
	TimedOut       int64         // calls that waited too long
	Changes        int64
}

// Add adds other counts.
func (c *Counts) Add(o *Counts) {
	c.Gossip.plus(o.Gossip)
	c.EndpointLists.plus(o.EndpointLists)
	c.Attempts.plus(o.Attempts)
	c.ServerAttempts.plus(o.ServerAttempts)
	c.DatagramsLost += o.DatagramsLost
	c.EntriesRead += o.EntriesRead
	c.Discovery.TrafficCounts.plus(o.Discovery.TrafficCounts)
	c.Discovery.Processed += o.Discovery.Processed
	c.Discovery.EntriesWritten += o.Discovery.EntriesWritten
	c.Discovery.ProcessingTime += o.Discovery.ProcessingTime
	c.Discovery.MaxQueueWait = max(c.Discovery.MaxQueueWait, o.Discovery.MaxQueueWait)
	c.Discovery.TimedOut += o.Discovery.TimedOut
	c.Discovery.Changes += o.Discovery.Changes
	c.Requests += o.Requests
	c.WithinObjective += o.WithinObjective
	c.ObjectiveMissed += o.ObjectiveMissed
	c.Rejected += o.Rejected
	c.Failed += o.Failed
	c.RequestCPU += o.RequestCPU
	c.ControlCPU += o.ControlCPU
	c.BalancerRequests += o.BalancerRequests
	c.HighRateRequestCPU += o.HighRateRequestCPU
	c.HighRateControlCPU += o.HighRateControlCPU
	c.HighRateBalancerRequests += o.HighRateBalancerRequests
}

// WithoutCPUTime is the counts without what is measured on a real clock: the same for the same seed.
func (c Counts) WithoutCPUTime() Counts {
	c.RequestCPU, c.ControlCPU, c.HighRateRequestCPU, c.HighRateControlCPU = 0, 0, 0, 0
	return c
}

// onWire is a body's bytes with the headers of the segments that carry it.
func onWire(body int) int { return body + segmentHeaders*max(1, (body+segment-1)/segment) }
