package soak

import (
	"encoding/json"
	"os"
	"time"
)

// The settings that all runs share.
const (
	drainGrace        = time.Second            // after the notice sends to a draining server must have stopped
	slowStartDuration = 8 * time.Second        // of a slow start
	slowStartFraction = 0.1                    // of its capacity that a server has at its start
	overloadFactor    = 1.0                    // above this multiple of its capacity it is overloaded
	overloadWindow    = 2 * time.Second        // when it lasts for so long
	quota             = 100.0                  // requests per second of all clients
	serverIdleTimeout = 5 * time.Second        // servers close idle connections
	dialTimeout       = 250 * time.Millisecond // for a connection to a server
	memoryMB          = 96
)

// writeConfig writes the sidecar's configuration file, whole in one step.
func (p *Plan) writeConfig(path, listen, discovery string) error {
	mode := "ask"
	if p.Pushed {
		mode = "push"
	}
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	class := func(name, semantics string) map[string]any {
		return map[string]any{
			"name": name, "semantics": semantics, "dedup_scope": p.Scope, "window_ms": milliseconds(p.Window), "worth": 1.0,
			"aim_ms": milliseconds(p.Deadline) / 2, "hard_limit_ms": milliseconds(p.Deadline), "late_share": 0.5,
		}
	}
	rules := map[string]any{"stop_sending_within_ms": milliseconds(drainGrace), "ask_within_ms": 10000.0}
	if p.SlowStart {
		rules["cold_from"], rules["cold_ms"] = slowStartFraction, milliseconds(slowStartDuration)
		rules["fall_multiple"], rules["overload_for_ms"] = overloadFactor, milliseconds(overloadWindow)
	}
	text, err := json.Marshal(map[string]any{
		"name": "soak", "listen": listen, "discovery": discovery, "seed": "5eed",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": p.Sockets},
		"settings": map[string]any{
			"balancers": 1, "me": 0, "discovery": mode, "period_ms": 1.0, "zone": 0, "zones": []string{"a", "b"},
			"caps": map[string]any{"conn_idle_ms": milliseconds(serverIdleTimeout), "dial_timeout_ms": milliseconds(dialTimeout),
				"may_cancel": true, "most_tries": 4, "max_open": 1000, "max_retry_after_ms": 500.0, "peers": false, "probes": false},
			"classes": []any{class(classSafe, "free"), class(classKeyed, "guarded"), class(classUnsafe, "single_shot")},
			"orgs":    []any{map[string]any{"name": "all", "share": 1.0, "quota_per_s": quota}},
			"rules":   rules,
		},
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
