package sidecarbench

import (
	"encoding/json"
	"fmt"
)

const (
	// className and tenantName are the priority class and the tenant of all requests.
	className  = "call"
	tenantName = "north"

	// meanRequestRate is the mean rate of a sidecar in the assumed fleet, in requests per second: 4.1 million over
	// 11,000 sidecars.
	meanRequestRate = 373.0

	// peersPerSubnet is how many unreachable peers share the first three bytes of their address.
	peersPerSubnet = 250
)

// FleetSize is what a sidecar knows of the fleet.
type FleetSize struct {
	Peers        int  // sidecars in the configuration, this one included
	Servers      int  // servers in the endpoint list
	ListInConfig bool // the configuration has the endpoint list too; otherwise only discovery has it
}

// environment is the addresses of the stand-ins around a sidecar.
type environment struct {
	gossipAddress      string   // of the sidecar
	broadcastAddress   string   // where one datagram goes to all peers
	peerAddresses      []string // of the peers with a socket; others are in the configuration only
	discoveryAddress   string
	serverAddresses    []string // that all listed servers share
	latencyObjectiveMS float64
}

// sidecarConfig returns the configuration of the sidecar program as JSON. Requests are idempotent, with a deadline of
// twice their latency objective. The quotas are the mean rate of the fleet, and servers report no load.
func sidecarConfig(z FleetSize, p environment) ([]byte, error) {
	peers := configuredPeers(z.Peers, p)
	quota := meanRequestRate * float64(z.Peers)
	file := map[string]any{
		"name": "sidecar-0", "listen": "127.0.0.1:0", "discovery": p.discoveryAddress, "seed": "8c1f30d27a5be964",
		"peer_listen": p.gossipAddress, "peers_all": p.broadcastAddress, "peers": peers,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"settings": map[string]any{
			"balancers": z.Peers, "me": 0, "discovery": "push", "period_ms": 5.0, "zone": 0, "zones": []string{"a", "b"},
			"caps": map[string]any{"conn_idle_ms": 30000.0, "dial_timeout_ms": 1000.0, "may_cancel": true, "most_tries": 3,
				"max_open": 1000, "max_retry_after_ms": 1200.0, "peers": true, "probes": false},
			"classes": []map[string]any{{"name": className, "aim_ms": p.latencyObjectiveMS, "hard_limit_ms": 2 * p.latencyObjectiveMS,
				"semantics": "free", "worth": 1.0}},
			"orgs": []map[string]any{{"name": tenantName, "share": 0.7, "quota_per_s": 0.7 * quota},
				{"name": "south", "share": 0.3, "quota_per_s": 0.3 * quota}},
			"rules": map[string]any{"cold_from": 0.3, "cold_ms": 5000.0, "fall_multiple": 2.5,
				"stop_sending_within_ms": 1500.0},
			"telemetry": map[string]any{"how": "silent", "columns": []string{}},
			"charges":   map[string]any{"cross_zone": 0.0},
		},
	}
	if z.ListInConfig {
		file["known"] = json.RawMessage(endpointList(z.Servers, p.serverAddresses, true))
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	return raw, nil
}

// configuredPeers returns the addresses of n sidecars, of which the first is the measured one.
func configuredPeers(n int, p environment) []string {
	peers := make([]string, n)
	for i := range peers {
		switch {
		case i == 0:
			peers[i] = p.gossipAddress
		case i <= len(p.peerAddresses):
			peers[i] = p.peerAddresses[i-1]
		default: // nothing listens there
			peers[i] = fmt.Sprintf("127.200.%d.%d:7946", i/peersPerSubnet, 1+i%peersPerSubnet)
		}
	}
	return peers
}
