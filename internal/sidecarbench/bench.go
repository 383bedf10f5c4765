// Package sidecarbench measures the cost of the real sidecar program over loopback: the latency and processor time that
// it adds to a request, and its memory, processor time and traffic without requests, by the size of the fleet that it
// knows.
//
// The program runs as it is deployed. Around it run stand-ins, each a process of its own so that its processor time is
// separate: servers that respond at once, discovery, the other sidecars, and a load generator for the application. A
// program that uses this package runs as a stand-in itself when RoleVariable is set: see RunStandIn. All addresses are
// in 127.0.0.0/8.
//
// Measurements that are compared alternate in short blocks (direct and proxied, silent and with gossip), so that other
// load on the machine affects both alike. A figure is the mean of the differences within such pairs, with its standard
// deviation.
package sidecarbench

import "time"

const (
	serverAddressCount = 16  // addresses that all listed servers share
	maxSenders         = 500 // peers with a socket; others are in the configuration only
	maxInFlight        = 64  // requests of a load
)

// Bench is what all measurements need. All fields have to be set.
type Bench struct {
	Program          string        // path of the sidecar program
	StandIn          string        // path of a program that calls RunStandIn if RoleVariable is set
	Dir              string        // directory for configuration files; the caller removes it
	LatencyObjective time.Duration // of all requests, and the interval at which peers send gossip
}
