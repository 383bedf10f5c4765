package main

// Classes of requests: one for each effect of a repeat.
const (
	classMapView     = "map-view"     // may be repeated
	classPisteUpdate = "piste-update" // carries a key; all servers drop a repeat for a time
	classPrintOrder  = "print-order"  // must never run twice
	tenantName       = "haut-col"
)

// siteSettings are the settings and limits that differ between the cases.
type siteSettings struct {
	quotaPerSecond float64 // of the only tenant, over all sidecars
	memoryMB       int     // memory, in MiB, above which the platform kills the sidecar
	descriptors    int     // file descriptors that the sidecar may hold
}

// object returns the settings of a small deployment in the form of the configuration file.
func (s siteSettings) object() map[string]any {
	class := func(name, semantics string, aimMS, windowMS, worth float64) map[string]any {
		return map[string]any{
			"name": name, "semantics": semantics, "dedup_scope": "all", "window_ms": windowMS, "worth": worth,
			"aim_ms": aimMS, "hard_limit_ms": 6000.0, "late_share": 0.0, "stream": false,
		}
	}
	return map[string]any{
		"balancers": 1, "me": 0, "tier": 0, "discovery": "ask", "period_ms": 5.0,
		"zone": 0, "zones": []string{"dakar-ouest", "thies-nord"}, "kinds": []string{"std-1"}, "weights": "nominal",
		"worth_by": "request", "over_share_worth": 0.1, "kind_of_service": "mesh",
		"caps": map[string]any{
			"conn_idle_ms": 30000.0, "dial_timeout_ms": 250.0, "may_cancel": true, "most_tries": 6, "max_open": 20000,
			"max_retry_after_ms": 2000.0, "peers": false, "probes": false, "retry_after": true, "second_copies": true,
			"streams_per_conn": 1,
		},
		"classes": []any{
			class(classMapView, "free", 2000, 5000, 1),
			class(classPisteUpdate, "guarded", 2000, 6000, 8),
			class(classPrintOrder, "single_shot", 2500, 5000, 8),
		},
		"client_habits": map[string]any{"marks_retry": true},
		"orgs":          []any{map[string]any{"name": tenantName, "share": 1.0, "quota_per_s": s.quotaPerSecond}},
		"rules": map[string]any{
			"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.32, "cold_ms": 8400.0, "fall_multiple": 4.0,
			"overload_for_ms": 2000.0, "stop_sending_within_ms": 1000.0,
		},
		"telemetry": map[string]any{"columns": []any{}, "how": "silent"},
	}
}
