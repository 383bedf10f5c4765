package soak

import (
	"encoding/json"
	"os"
	"time"
)

// Settings that are the same in all runs.
const (
	// Attempts to a draining server must stop within this time after the sidecar was notified.
	drainGrace = time.Second
	// How long after its start a server is in slow start.
	slowStartDuration = 8 * time.Second
	// The fraction of its capacity that a server has at its start.
	slowStartFraction = 0.1
	// A server is overloaded if it gets more than this multiple of its capacity for overloadWindow.
	overloadFactor = 1.0
	// How long the excess must last before the server counts as overloaded.
	overloadWindow = 2 * time.Second
	// The quota of the only tenant, in requests per second. checkSlowStarts takes it as the capacity of all
	// servers together.
	tenantQuota = 100.0
	// The time after which servers close idle connections, according to the configuration.
	serverIdleTimeout = 5 * time.Second
	// The sidecar's timeout for connecting to a server.
	dialTimeout = 250 * time.Millisecond
)

// writeConfig writes the sidecar's configuration file atomically: it writes a new file and renames it.
func (p *Plan) writeConfig(path, listen, discovery string) error {
	mode := "ask"
	if p.Pushed {
		mode = "push"
	}
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	class := func(name, semantics string) map[string]any {
		return map[string]any{
			"name": name, "semantics": semantics, "dedup_scope": p.DedupScope, "window_ms": milliseconds(p.DedupWindow), "worth": 1.0,
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
		"limits": map[string]any{"cores": 1.0, "memory_mb": p.MemoryMB, "sockets": p.MaxDescriptors},
		"settings": map[string]any{
			"balancers": 1, "me": 0, "discovery": mode, "period_ms": 1.0, "zone": 0, "zones": []string{"a", "b"},
			"caps": map[string]any{"conn_idle_ms": milliseconds(serverIdleTimeout), "dial_timeout_ms": milliseconds(dialTimeout),
				"may_cancel": true, "most_tries": 4, "max_open": 1000, "max_retry_after_ms": 500.0, "peers": false, "probes": false},
			"classes": []any{class(classIdempotent, "free"), class(classIdempotentByKey, "guarded"), class(classNonIdempotent, "single_shot")},
			"orgs":    []any{map[string]any{"name": "all", "share": 1.0, "quota_per_s": tenantQuota}},
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
