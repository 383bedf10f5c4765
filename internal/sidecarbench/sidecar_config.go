package sidecarbench

import (
	"encoding/json"
	"fmt"
)

const (
	className  = "call"  // priority class of all requests
	tenantName = "north" // tenant of all requests

	// meanRequestRate is the mean request rate of a sidecar in the assumed fleet, in requests per second: 4.1
	// million requests per second over 11,000 sidecars.
	meanRequestRate = 373.0

	// peersPerSubnet is the number of unreachable peers per /24 subnet.
	peersPerSubnet = 250
)

// FleetSize is the size of the fleet that a sidecar knows.
type FleetSize struct {
	Peers        int  // sidecars in the configuration, including the measured one
	Servers      int  // servers in the endpoint list
	ListInConfig bool // the configuration contains the endpoint list too; otherwise only discovery serves it
}

// configParams are the values of a sidecar's configuration that differ between testbeds of the same fleet
// size.
type configParams struct {
	gossipAddress      string   // where the sidecar receives gossip
	broadcastAddress   string   // where the sidecar sends gossip; one datagram there reaches all peers
	peerAddresses      []string // peers with a socket; other peers are in the configuration only
	discoveryAddress   string
	serverAddresses    []string // addresses that all listed servers share
	latencyObjectiveMS float64
}

// sidecarConfig returns the configuration of the sidecar program as JSON. Requests are idempotent, and their
// deadline is twice the latency objective. The quotas of the tenants add up to the mean request rate of the
// fleet. Servers report no load.
func sidecarConfig(size FleetSize, params configParams) ([]byte, error) {
	peers := configuredPeers(size.Peers, params)
	quota := meanRequestRate * float64(size.Peers)
	file := map[string]any{
		"name": "sidecar-0", "listen": "127.0.0.1:0", "discovery": params.discoveryAddress, "seed": "8c1f30d27a5be964",
		"peer_listen": params.gossipAddress, "peers_all": params.broadcastAddress, "peers": peers,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{
			"balancers": size.Peers, "me": 0, "discovery": "push", "period_ms": 5.0, "zone": 0, "zones": []string{"a", "b"},
			"caps": map[string]any{"conn_idle_ms": 30000.0, "dial_timeout_ms": 1000.0, "may_cancel": true, "most_tries": 3,
				"max_open": 1000, "max_retry_after_ms": 1200.0, "peers": true, "probes": false},
			"classes": []map[string]any{{"name": className, "aim_ms": params.latencyObjectiveMS, "hard_limit_ms": 2 * params.latencyObjectiveMS,
				"semantics": "free", "worth": 1.0}},
			"orgs": []map[string]any{{"name": tenantName, "share": 0.7, "quota_per_s": 0.7 * quota},
				{"name": "south", "share": 0.3, "quota_per_s": 0.3 * quota}},
			"rules": map[string]any{"cold_from": 0.3, "cold_ms": 5000.0, "fall_multiple": 2.5,
				"stop_sending_within_ms": 1500.0},
			"telemetry": map[string]any{"how": "silent", "columns": []string{}},
			"charges":   map[string]any{"cross_zone": 0.0},
		},
	}
	if size.ListInConfig {
		file["known"] = json.RawMessage(endpointList(size.Servers, params.serverAddresses, true))
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return nil, fmt.Errorf("encode sidecar configuration: %w", err)
	}
	return raw, nil
}

// configuredPeers returns the addresses of n sidecars. The first is that of the measured sidecar.
func configuredPeers(n int, params configParams) []string {
	peers := make([]string, n)
	for i := range peers {
		switch {
		case i == 0:
			peers[i] = params.gossipAddress
		case i <= len(params.peerAddresses):
			peers[i] = params.peerAddresses[i-1]
		default: // nothing listens at these addresses
			peers[i] = fmt.Sprintf("127.200.%d.%d:7946", i/peersPerSubnet, 1+i%peersPerSubnet)
		}
	}
	return peers
}
