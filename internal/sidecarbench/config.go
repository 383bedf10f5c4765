package sidecarbench

import (
	"encoding/json"
	"fmt"
)

// What every call says of itself, and what a sidecar of the size to come is asked: 4.1 million calls a second over
// 11,000 sidecars.
const (
	className       = "call"
	tenantName      = "north"
	meanRequestRate = 373.0
)

// FleetSize is what a sidecar is told of the fleet.
type FleetSize struct {
	Peers        int  // that the configuration lists, this one included
	Servers      int  // that discovery lists
	ListInConfig bool // and that the configuration lists too, as last known: else the whole list comes from discovery
}

// environment is where a sidecar finds its surroundings.
type environment struct {
	gossipAddress      string   // where it hears other sidecars
	broadcastAddress   string   // from where one datagram goes to all
	peerAddresses      []string // the peers that there are: any beyond are only listed
	discoveryAddress   string
	serverAddresses    []string // addresses of the stand-in servers, which all that are listed share
	latencyObjectiveMS float64
}

// sidecarConfig is the program's configuration. Calls are such as may be sent again, their aim is aimMS and their deadline
// twice that; quotas are what so many sidecars are asked in the mean; servers report no load.
func sidecarConfig(z FleetSize, p environment) ([]byte, error) {
	peers := make([]string, z.Peers)
	for i := range peers {
		switch {
		case i == 0:
			peers[i] = p.gossipAddress
		case i <= len(p.peerAddresses):
			peers[i] = p.peerAddresses[i-1]
		default:
			peers[i] = fmt.Sprintf("127.200.%d.%d:7946", i/250, 1+i%250) // nobody is there
		}
	}
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
