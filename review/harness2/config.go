package main

import (
	"encoding/json"
	"os"
	"time"
)

// sidecarConfig holds what differs between the configurations of the cases. The rest is that of a small
// deployment, with the settings of the example on the wire page.
type sidecarConfig struct {
	memoryMB  int
	sockets   int
	discovery string        // "ask" or "push"
	grace     time.Duration // within which sends to a draining map server must stop
	classes   []classConfig
}

// classConfig holds the settings of a class.
type classConfig struct {
	name      string
	semantics string  // "free", "guarded" or "single_shot"
	scope     string  // in which map servers drop repeats of a guarded request
	aimMS     float64 // milliseconds
	limitMS   float64 // a client's wait over all tries, in milliseconds
	windowMS  float64 // in which repeats are dropped, in milliseconds
	worth     float64
}

// smallDeployment is the configuration of most cases.
var smallDeployment = sidecarConfig{
	memoryMB: 192, sockets: 1024, discovery: "ask", grace: time.Second,
	classes: []classConfig{
		{classMapView, "free", "all", 2000, 6000, 5000, 1},
		{classPisteUpdate, "guarded", "all", 2000, 6000, 6000, 8},
		{classPrintOrder, "single_shot", "all", 2500, 6000, 5000, 8},
	},
}

// zoneNames are the zones in the settings. The sidecar is in the first.
var zoneNames = []string{"dakar-ouest", "thies-nord"}

// Names in the settings.
const (
	classMapView     = "map-view"     // safe to repeat
	classPisteUpdate = "piste-update" // carries an idempotency key
	classPrintOrder  = "print-order"  // must not run twice
	tenantName       = "haut-col"
)

// write writes the configuration file of the sidecar of a testbed.
func (c sidecarConfig) write(path string, t *testbed) error {
	var classes []any
	for _, class := range c.classes {
		classes = append(classes, map[string]any{
			"name": class.name, "semantics": class.semantics, "dedup_scope": class.scope, "aim_ms": class.aimMS,
			"hard_limit_ms": class.limitMS, "late_share": 0.0, "stream": false, "window_ms": class.windowMS,
			"worth": class.worth,
		})
	}
	text, err := json.Marshal(map[string]any{
		"name": "n1", "listen": t.address, "discovery": t.discovery.address(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"known":  json.RawMessage(t.discovery.fullList()),
		"settings": map[string]any{
			"balancers": 2, "me": 1, "tier": 0, "zone": 0, "zones": zoneNames,
			"layers": []string{"map-servers"}, "kinds": []string{"std-1", "slow-1"}, "kind_of_service": "mesh",
			"period_ms": 5.0, "discovery": c.discovery, "weights": "nominal", "worth_by": "request",
			"over_share_worth": 0.1,
			"caps": map[string]any{
				"conn_idle_ms": 30000.0, "cpu_us_per_request": 10.0, "cpu_us_per_s": 8000, "dial_timeout_ms": 250.0,
				"max_open": 20000, "max_retry_after_ms": 2000.0, "may_cancel": true, "most_tries": 6, "peers": false,
				"probes": false, "retry_after": true, "second_copies": true, "streams_per_conn": 1,
			},
			"classes":       classes,
			"client_habits": map[string]any{"marks_retry": true},
			"orgs": []any{
				map[string]any{"name": tenantName, "quota_per_s": 21.0, "share": 0.42},
				map[string]any{"name": "val-blanc", "quota_per_s": 16.0, "share": 0.33},
				map[string]any{"name": "pic-sarre", "quota_per_s": 12.0, "share": 0.25},
			},
			"rules": map[string]any{
				"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.32, "cold_ms": 8400.0,
				"fall_multiple": 4.0, "overload_for_ms": 2000.0,
				"stop_sending_within_ms": float64(c.grace) / float64(time.Millisecond),
			},
			"telemetry": map[string]any{"how": "silent", "columns": []string{}},
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}
