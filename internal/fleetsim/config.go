package fleetsim

import (
	"errors"
	"fmt"
	"time"

	"cranehatch/policy"
)

// Config describes the fleet of one service and its load. Fields without a stated default have to be set.
type Config struct {
	// Seed of all random draws of the simulated world. The draws of a Balancer depend on its index and on how
	// often its sidecar has stopped. Default: 0.
	Seed uint64

	// Sidecars and Servers are the numbers of simulated sidecars and servers, at least 1 each.
	Sidecars, Servers int

	// Zones is the number of zones, at least 1. Sidecars and servers are assigned to them round robin; discovery
	// is in zone 0.
	Zones int

	// FirstZone is the zone of sidecar 0 and of server 0, at least 0. Default: 0.
	FirstZone int

	// Regions is the number of regions, from 1 to Zones. Each is a contiguous range of zones.
	Regions int

	// RequestRate is the rate of client requests over all sidecars, in requests per second. The part of each
	// sidecar is drawn from a log-normal distribution. Default: 0, no requests.
	RequestRate float64

	// ClassMix is the fraction of requests of each class in Policy.Classes, in the same order.
	ClassMix []float64

	// HighRateSidecars is how many sidecars, from index 0 on, get HighRate instead of a part of RequestRate. Their
	// processor time is counted separately. Default: 0.
	HighRateSidecars int

	// HighRate is the rate of each of the HighRateSidecars, in requests per second. Default: 0.
	HighRate float64

	// Policy configures the Balancers. Balancers, Index and Zone are set for each sidecar by the simulation.
	Policy policy.Config

	// Server configures the simulated servers, and Network the network between all zones.
	Server  ServerConfig
	Network NetworkConfig

	// Discovery configures the discovery service. Default: nil, sidecars get the complete endpoint list at their
	// start and it never changes.
	Discovery *DiscoveryConfig

	// EndpointID sets the ids of the servers, and so their order in a Balancer. It requires that Discovery is nil.
	// Default: nil, the ids follow from the names of the servers.
	EndpointID func(server int) policy.EndpointID

	// MeasureCPU measures the processor time of Balancers by the real clock. The simulation is the same with and
	// without it. Default: false.
	MeasureCPU bool
}

// ServerConfig describes one simulated server: a first-in first-out queue with one worker for each core.
//
// A server with a long queue becomes overloaded: it takes 2.5 times as long for a request until it has been idle
// for a while. During its slow start, set by policy.Config, it has less capacity and becomes overloaded at once
// when it gets more requests than its slow-start budget.
type ServerConfig struct {
	// Cores is the number of requests that a server executes at once, at least 1.
	Cores int

	// ServiceTime is the mean time to execute a request, above 0.
	ServiceTime time.Duration

	// OverloadQueue is the number of requests for each core, queued or executing, above which a server becomes
	// overloaded after OverloadDelay. Default: 0.
	OverloadQueue int

	// OverloadDelay is how long the queue has to be above OverloadQueue for an overload. Default: 0.
	OverloadDelay time.Duration

	// RecoveryIdleTime is the idle time that ends an overload. Default: 0.
	RecoveryIdleTime time.Duration
}

// NetworkConfig describes delays and losses. The zero value delivers everything at once and loses nothing.
type NetworkConfig struct {
	// SameZoneDelay, CrossZoneDelay and CrossRegionDelay are the one-way delays within a zone, to another zone of the
	// region and to another region.
	SameZoneDelay, CrossZoneDelay, CrossRegionDelay time.Duration

	// DatagramMinDelay is what a datagram takes in addition to the one-way delay.
	DatagramMinDelay time.Duration

	// DatagramJitter is the upper bound of a further delay of each datagram, uniform in 20 steps.
	DatagramJitter time.Duration

	// DatagramLoss is the fraction of datagrams that are lost, from 0 to 1.
	DatagramLoss float64
}

// DiscoveryConfig describes the discovery service, which processes calls one at a time. All times are 0 by default.
type DiscoveryConfig struct {
	// CallTime is the processing time of a call, and EntryTime of each entry of its response.
	CallTime, EntryTime time.Duration

	// QueueTimeout is the time in its queue after which a call fails.
	QueueTimeout time.Duration

	// PropagationDelay is the time from a state report to the change of the endpoint list.
	PropagationDelay time.Duration

	// FailureDetectionTime is the time from the loss of a host to the report of it.
	FailureDetectionTime time.Duration
}

// validate returns an error that says which settings cannot be simulated.
func (c *Config) validate() error {
	switch {
	case c.Sidecars < 1 || c.Servers < 1 || c.Zones < 1 || c.FirstZone < 0 || c.Regions < 1 || c.Regions > c.Zones:
		return fmt.Errorf("fleetsim: cannot simulate %d sidecars and %d servers in %d zones from %d on and %d regions",
			c.Sidecars, c.Servers, c.Zones, c.FirstZone, c.Regions)
	case c.Server.Cores < 1 || c.Server.ServiceTime <= 0:
		return fmt.Errorf("fleetsim: cannot simulate servers with %d cores and a service time of %v",
			c.Server.Cores, c.Server.ServiceTime)
	case c.EndpointID != nil && c.Discovery != nil:
		return errors.New("fleetsim: EndpointID requires that there is no discovery")
	case len(c.ClassMix) != len(c.Policy.Classes):
		return fmt.Errorf("fleetsim: ClassMix has %d fractions for %d classes", len(c.ClassMix), len(c.Policy.Classes))
	}
	return nil
}
