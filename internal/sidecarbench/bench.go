// Package sidecarbench measures over loopback what the sidecar program costs: the latency and CPU time that
// it adds to a request, and the memory, CPU time and traffic that it uses without requests, each for fleets
// of different sizes.
//
// The sidecar runs as it is deployed, between stand-ins for servers that respond at once (or after a service
// time, for a CPUBreakdown), discovery, the other sidecars and the application (a load generator). Each
// stand-in is a process of its own, so that its CPU time is measured separately. A program that uses this
// package serves as the stand-in program too: if RoleVariable is set, it must call RunStandIn. All addresses
// are in 127.0.0.0/8.
//
// Measurements to be compared (direct and proxied, silent and with gossip) alternate in short blocks, so that
// other load on the machine affects both alike. The reported value is the mean of the differences within such
// pairs, with its standard deviation.
package sidecarbench

import "time"

const (
	// serverAddressCount is the number of addresses that all listed servers share.
	serverAddressCount = 16

	// maxSenders is the maximum number of peers with a socket. Other peers are in the configuration only.
	maxSenders = 500

	// maxInFlight is the maximum number of concurrent requests of a load.
	maxInFlight = 64
)

// Bench is the setup that all measurements share. All fields are required.
type Bench struct {
	// Program is the path of the sidecar program.
	Program string
	// StandIn is the path of a program that calls RunStandIn if RoleVariable is set.
	StandIn string
	// Dir is the directory for configuration files. The caller removes it.
	Dir string
	// LatencyObjective applies to all requests. It is also the interval at which each peer sends gossip.
	LatencyObjective time.Duration
}
