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

// Flow counts messages and their bytes, headers included.
type Flow struct{ Messages, Bytes int64 }

func (f *Flow) add(bytes int) { f.Messages++; f.Bytes += int64(bytes) }

func (f *Flow) plus(o Flow) { f.Messages += o.Messages; f.Bytes += o.Bytes }

// Role counts what comes to and goes out from all of one kind.
type Role struct{ In, Out Flow }

func (r *Role) plus(o Role) { r.In.plus(o.In); r.Out.plus(o.Out) }

// Counts are what was counted, by role. What a sidecar sends and gets is the sum of Gossip, Lists and Requests.
type Counts struct {
	Gossip   Role // datagrams between sidecars, as these see them: one out goes to all
	Lost     int64
	Lists    Role  // calls and answers of discovery, as sidecars see them
	Lines    int64 // of lists that sidecars read
	Requests Role  // attempts and their answers, as sidecars see them
	Server   Role  // the same, as servers see them

	Discovery DiscoveryCounts

	Asked, InTime, Late, Refused, Failed int64 // requests of clients, over all classes

	// Processor time, where it is measured. It is no part of what is exact.
	RequestTime time.Duration // in Request and Outcome
	ControlTime time.Duration // in Heard, Wake and List, and the reading of datagrams and lists
	Taken       int64         // requests handed to Balancers, clients' further tries included

	// The same for the first Config.Busy sidecars alone.
	BusyRequestTime, BusyControlTime time.Duration
	BusyTaken                        int64
}

// DiscoveryCounts are what discovery did.
type DiscoveryCounts struct {
	Role
	Turns   int64         // calls and watches that it worked on
	Lines   int64         // that it wrote
	Worked  time.Duration // on these
	Longest time.Duration // that one waited for its turn
	Failed  int64         // calls that waited too long
	Changes int64
}

// Plus adds other counts.
func (c *Counts) Plus(o *Counts) {
	c.Gossip.plus(o.Gossip)
	c.Lists.plus(o.Lists)
	c.Requests.plus(o.Requests)
	c.Server.plus(o.Server)
	c.Lost += o.Lost
	c.Lines += o.Lines
	c.Discovery.Role.plus(o.Discovery.Role)
	c.Discovery.Turns += o.Discovery.Turns
	c.Discovery.Lines += o.Discovery.Lines
	c.Discovery.Worked += o.Discovery.Worked
	c.Discovery.Longest = max(c.Discovery.Longest, o.Discovery.Longest)
	c.Discovery.Failed += o.Discovery.Failed
	c.Discovery.Changes += o.Discovery.Changes
	c.Asked += o.Asked
	c.InTime += o.InTime
	c.Late += o.Late
	c.Refused += o.Refused
	c.Failed += o.Failed
	c.RequestTime += o.RequestTime
	c.ControlTime += o.ControlTime
	c.Taken += o.Taken
	c.BusyRequestTime += o.BusyRequestTime
	c.BusyControlTime += o.BusyControlTime
	c.BusyTaken += o.BusyTaken
}

// Exact is the counts without what is measured on a real clock: the same for the same seed.
func (c Counts) Exact() Counts {
	c.RequestTime, c.ControlTime, c.BusyRequestTime, c.BusyControlTime = 0, 0, 0, 0
	return c
}

// onWire is a body's bytes with the headers of the segments that carry it.
func onWire(body int) int { return body + segmentHeaders*max(1, (body+segment-1)/segment) }
