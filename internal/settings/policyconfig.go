package settings

import (
	"fmt"

	"cranehatch/policy"
)

// PolicyConfig converts the settings to a policy.Config. It returns a *ValueError for the first value that
// cannot be converted. It does not validate the configuration; policy.New does.
func (s *Settings) PolicyConfig() (policy.Config, error) {
	var config policy.Config
	s.readFleet(&config)
	s.readCapabilities(&config)
	s.readTiming(&config)
	s.readSlowStart(&config)
	config.CrossZoneCost = s.Number("charges.cross_zone")
	config.RetryBudget = s.retryBudget()
	config.ReportFields = s.reportFields()
	config.Classes = s.classes()
	config.Tenants = s.tenants()
	return config, s.Err()
}

// readFleet reads the number of balancers and the index and zone of this one.
func (s *Settings) readFleet(config *policy.Config) {
	config.Balancers = s.Count("balancers")
	config.Index = s.Count("me")
	config.Zone = s.Count("zone")
}

// readCapabilities reads what the balancer is allowed to do and how its clients behave.
func (s *Settings) readCapabilities(config *policy.Config) {
	config.MaxAttempts = s.Count("caps.most_tries")
	config.CanCancel = s.Flag("caps.may_cancel")
	config.CanHealthCheck = s.Flag("caps.probes") && s.serversReportLoad()
	config.CanGossip = s.Flag("caps.peers")
	config.MaxRetryAfter = s.Duration("caps.max_retry_after_ms")
	config.ClientsMarkRetries = s.Flag("client_habits.marks_retry")
}

// readTiming reads intervals and delays, and whether the endpoint list is polled.
func (s *Settings) readTiming(config *policy.Config) {
	config.OrderingDelay = s.Duration("rules.order_settle_ms")
	config.IdleCloseTimeout = s.Duration("rules.let_go_in_ms")
	config.EventInterval = s.Duration("period_ms")
	config.PollsEndpoints = s.Text("discovery") == "ask"
	config.PollInterval = s.Duration("rules.ask_within_ms")
}

// readSlowStart reads how the capacity of a server grows after its start, and the overload factor.
func (s *Settings) readSlowStart(config *policy.Config) {
	config.SlowStartFraction = s.Number("rules.cold_from")
	config.SlowStartDuration = s.Duration("rules.cold_ms")
	config.OverloadFactor = s.Number("rules.fall_multiple")
}

func (s *Settings) retryBudget() policy.RetryBudget {
	return policy.RetryBudget{
		Interval:   s.Duration("rules.budget_span_ms"),
		MinRetries: s.Number("rules.extra_free"),
		RetryRatio: s.Number("rules.further_ratio"),
	}
}

// serversReportLoad reports whether servers send load reports in responses and in answers to health checks.
func (s *Settings) serversReportLoad() bool { return s.Text("telemetry.how") != "silent" }

func (s *Settings) reportFields() policy.ReportFields {
	if !s.serversReportLoad() {
		return 0
	}
	return s.ReportFormat().Fields()
}

func (s *Settings) classes() []policy.Class {
	var classes []policy.Class
	for i := range s.Count("classes.count") {
		classes = append(classes, s.class(fmt.Sprintf("classes.%d.", i)))
	}
	return classes
}

// class returns the request class whose keys start with prefix.
func (s *Settings) class(prefix string) policy.Class {
	return policy.Class{
		LatencyObjective: s.Duration(prefix + "aim_ms"),
		ObjectivePerWork: s.Number(prefix + "aim_stretch"),
		Deadline:         s.Duration(prefix + "hard_limit_ms"),
		LateValue:        s.Number(prefix + "late_share"),
		PriorityWeight:   s.Number(prefix + "worth"),
		DedupWindow:      s.Duration(prefix + "window_ms"),
		Idempotency:      idempotency(s.Text(prefix + "semantics")),
		DedupScope:       dedupScope(s.Text(prefix + "dedup_scope")),
		OrderedByKey:     s.Flag(prefix + "fifo_by_key"),
	}
}

// idempotency maps a value of the setting "semantics". An unknown value is mapped to NonIdempotent, the
// strictest.
func idempotency(semantics string) policy.Idempotency {
	switch semantics {
	case "free":
		return policy.Idempotent
	case "guarded":
		return policy.IdempotentByKey
	}
	return policy.NonIdempotent
}

// dedupScope maps a value of the setting "dedup_scope". An unknown value is mapped to DedupInCell, the
// smallest scope.
func dedupScope(scope string) policy.DedupScope {
	switch scope {
	case "all":
		return policy.DedupEverywhere
	case "zone":
		return policy.DedupInZone
	}
	return policy.DedupInCell
}

func (s *Settings) tenants() []policy.Tenant {
	var tenants []policy.Tenant
	for i := range s.Count("orgs.count") {
		prefix := fmt.Sprintf("orgs.%d.", i)
		tenants = append(tenants, policy.Tenant{
			Weight: s.Number(prefix + "share"),
			Quota:  s.Number(prefix + "quota_per_s"),
		})
	}
	return tenants
}
