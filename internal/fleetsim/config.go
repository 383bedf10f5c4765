package fleetsim

import (
	"errors"
	"fmt"
	"time"

	"cranehatch/policy"
)

// Config describes the fleet of one service and its load. A field is required unless its comment states a
// default.
type Config struct {
	// Seed seeds all random draws of the simulated environment. The random draws of a Balancer depend only on
	// the index of its sidecar and on how often that sidecar has stopped. Default: 0.
	Seed uint64

	// Sidecars and Servers are the numbers of simulated sidecars and servers, at least 1 each.
	Sidecars, Servers int

	// Zones is the number of zones, at least 1. Sidecars and servers are assigned to zones round robin. The
	// discovery service is in zone 0.
	Zones int

	// FirstZone is the zone of sidecar 0 and of server 0, at least 0. Default: 0.
	FirstZone int

	// Regions is the number of regions, from 1 to Zones. Each region is a contiguous range of zones.
	Regions int

	// RequestRate is the total rate of client requests over all sidecars that have no HighRate, in requests
	// per second. Each sidecar's share is drawn from a log-normal distribution. Default: 0, no requests.
	RequestRate float64

	// ClassMix is the fraction of requests in each class of Policy.Classes, in the same order.
	ClassMix []float64

	// HighRateSidecars is the number of sidecars, starting at index 0, that get HighRate instead of a share
	// of RequestRate. Their CPU time is also counted separately. Default: 0.
	HighRateSidecars int

	// HighRate is the request rate of each of the HighRateSidecars, in requests per second. Default: 0.
	HighRate float64

	// Policy configures the Balancers. The simulation sets Balancers, Index and Zone for each sidecar.
	Policy policy.Config

	// Server configures the simulated servers.
	Server ServerConfig

	// Network configures the network within and between zones.
	Network NetworkConfig

	// Discovery configures the discovery service. Default: nil; sidecars get the full endpoint list when the
	// simulation starts, and the list never changes.
	Discovery *DiscoveryConfig

	// EndpointID returns the ID of a server, and so determines the order of servers in a Balancer. It
	// requires Discovery to be nil. Default: nil; IDs are derived from the names of the servers.
	EndpointID func(server int) policy.EndpointID

	// MeasureCPU enables the measurement of the CPU time of Balancers by the real clock. It does not affect
	// the simulation. Default: false.
	MeasureCPU bool
}

// ServerConfig describes a simulated server: a FIFO queue with one worker per core.
//
// A server becomes overloaded when its queue has been long for some time. An overloaded server takes 2.5
// times as long for each request, until it has been idle for some time. During slow start, which
// policy.Config sets, a server has less capacity, and it becomes overloaded at once if it receives more
// requests than its slow-start budget.
type ServerConfig struct {
	// Cores is the number of requests that a server executes concurrently, at least 1.
	Cores int

	// ServiceTime is the mean time to execute a request, above 0.
	ServiceTime time.Duration

	// OverloadQueue is the number of requests per core, queued or executing, above which a server becomes
	// overloaded after OverloadDelay. Default: 0.
	OverloadQueue int

	// OverloadDelay is how long the queue has to stay above OverloadQueue before the server becomes
	// overloaded. Default: 0.
	OverloadDelay time.Duration

	// RecoveryIdleTime is the idle time after which an overload ends. Default: 0.
	RecoveryIdleTime time.Duration
}

// NetworkConfig describes network delays and losses. The zero value delivers all messages without delay and
// loses none.
type NetworkConfig struct {
	// SameZoneDelay, CrossZoneDelay and CrossRegionDelay are the one-way delays within a zone, between zones
	// of a region, and between regions.
	SameZoneDelay, CrossZoneDelay, CrossRegionDelay time.Duration

	// DatagramMinDelay is added to the one-way delay of each datagram.
	DatagramMinDelay time.Duration

	// DatagramJitter is the upper bound of a further random delay of each datagram, drawn uniformly in 20
	// steps.
	DatagramJitter time.Duration

	// DatagramLoss is the fraction of datagrams that are lost, from 0 to 1.
	DatagramLoss float64
}

// DiscoveryConfig describes the discovery service, which processes one call at a time. The default of all
// times is 0.
type DiscoveryConfig struct {
	// CallTime is the processing time of a call. EntryTime is the additional processing time for each entry
	// in the response.
	CallTime, EntryTime time.Duration

	// QueueTimeout is the time in the queue after which a call fails.
	QueueTimeout time.Duration

	// PropagationDelay is the time from a state report to the change of the endpoint list.
	PropagationDelay time.Duration

	// FailureDetectionTime is the time from the failure of a host to the report of the failure.
	FailureDetectionTime time.Duration
}

// validate returns an error for the first settings found that cannot be simulated.
func (c *Config) validate() error {
	switch {
	case c.Sidecars < 1 || c.Servers < 1 || c.Zones < 1 || c.FirstZone < 0 || c.Regions < 1 || c.Regions > c.Zones:
		return fmt.Errorf("fleetsim: invalid topology: %d sidecars, %d servers, %d zones, first zone %d, %d regions; want at least 1 of each, first zone at least 0, no more regions than zones",
			c.Sidecars, c.Servers, c.Zones, c.FirstZone, c.Regions)
	case c.Server.Cores < 1 || c.Server.ServiceTime <= 0:
		return fmt.Errorf("fleetsim: invalid server config: %d cores, service time %v; want at least 1 core and a positive service time",
			c.Server.Cores, c.Server.ServiceTime)
	case c.EndpointID != nil && c.Discovery != nil:
		return errors.New("fleetsim: EndpointID and Discovery are mutually exclusive")
	case len(c.ClassMix) != len(c.Policy.Classes):
		return fmt.Errorf("fleetsim: ClassMix has %d entries, want one for each of %d classes", len(c.ClassMix), len(c.Policy.Classes))
	}
	return nil
}
