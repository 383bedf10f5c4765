package settings

import (
	"encoding/json"
	"errors"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	"cranehatch/internal/loadreport"
	"cranehatch/policy"
)

const exampleLines = `balancers=3
caps.may_cancel=true
caps.most_tries=3
caps.probes=true
caps.retry_after=false
charges.cross_zone=0.03
classes.count=2
classes.0.aim_ms=500.0
classes.0.dedup_scope=cell
classes.0.hard_limit_ms=1000.0
classes.0.semantics=guarded
classes.0.window_ms=600.0
classes.0.worth=5.0
classes.1.aim_ms=600.0
classes.1.hard_limit_ms=2500.0
classes.1.fifo_by_key=true
classes.1.semantics=a_word_of_a_later_version
discovery=ask
orgs.count=1
orgs.0.quota_per_s=342.0
orgs.0.share=0.79
rules.budget_span_ms=10000.0
rules.extra_free=1.0
rules.further_ratio=0.2
rules.let_go_in_ms=300.0
rules.order_settle_ms=250.0
rules.cold_from=0.32
some.key.of.a.later.version=x=y
telemetry.columns=failed_ps,svc_ms,served_ps,busy_reqs
telemetry.how=pull
zone=2
`

func parse(t *testing.T, text string) *Settings {
	t.Helper()
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func policyConfig(t *testing.T, s *Settings) policy.Config {
	t.Helper()
	config, err := s.PolicyConfig()
	if err != nil {
		t.Fatal(err)
	}
	return config
}

func TestPolicyConfig(t *testing.T) {
	s := parse(t, exampleLines)
	got := policyConfig(t, s)
	want := policy.Config{
		Balancers: 3, Zone: 2, MaxAttempts: 3, CanCancel: true, CanHealthCheck: true, PollsEndpoints: true,
		SlowStartFraction: 0.32, CrossZoneCost: 0.03,
		IdleCloseTimeout: 300 * time.Millisecond, OrderingDelay: 250 * time.Millisecond,
		RetryBudget: policy.RetryBudget{Interval: 10 * time.Second, MinRetries: 1, RetryRatio: 0.2},
		Classes: []policy.Class{
			{
				LatencyObjective: 500 * time.Millisecond, Deadline: time.Second, PriorityWeight: 5,
				Idempotency: policy.IdempotentByKey, DedupScope: policy.DedupInCell, DedupWindow: 600 * time.Millisecond,
			},
			{
				LatencyObjective: 600 * time.Millisecond, Deadline: 2500 * time.Millisecond,
				Idempotency: policy.NonIdempotent, // the strictest value, for an unknown setting
				DedupScope:  policy.DedupInCell, OrderedByKey: true,
			},
		},
		Tenants:      []policy.Tenant{{Weight: 0.79, Quota: 342}},
		ReportFields: policy.HasErrorRate | policy.HasServiceTime | policy.HasThroughput | policy.HasInFlight,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("PolicyConfig() = %+v, want %+v", got, want)
	}
	format := loadreport.ParseFormat("failed_ps,svc_ms,served_ps,busy_reqs")
	if !reflect.DeepEqual(s.ReportFormat(), format) || got.ReportFields != format.Fields() {
		t.Errorf("ReportFormat() = %+v, want %+v", s.ReportFormat(), format)
	}
}

// Guards against a key that is mapped to a wrong field: adding one setting must change the listed fields of
// the configuration and no other.
func TestPolicyConfigKeys(t *testing.T) {
	const ms250 = 250 * time.Millisecond
	for _, test := range []struct {
		setting string
		want    func(*policy.Config) // changes the expected configuration
	}{
		{"me=2", func(c *policy.Config) { c.Index = 2 }},
		{"caps.peers=true", func(c *policy.Config) { c.CanGossip = true }},
		{"caps.max_retry_after_ms=250", func(c *policy.Config) { c.MaxRetryAfter = ms250 }},
		{"client_habits.marks_retry=true", func(c *policy.Config) { c.ClientsMarkRetries = true }},
		{"period_ms=250", func(c *policy.Config) { c.EventInterval = ms250 }},
		{"rules.ask_within_ms=250", func(c *policy.Config) { c.PollInterval = ms250 }},
		{"rules.cold_ms=250", func(c *policy.Config) { c.SlowStartDuration = ms250 }},
		{"rules.fall_multiple=1.5", func(c *policy.Config) { c.OverloadFactor = 1.5 }},
		{"telemetry.how=silent", func(c *policy.Config) { c.CanHealthCheck, c.ReportFields = false, 0 }},
		{"classes.0.aim_stretch=2", func(c *policy.Config) { c.Classes[0].ObjectivePerWork = 2 }},
		{"classes.0.late_share=0.5", func(c *policy.Config) { c.Classes[0].LateValue = 0.5 }},
		{"classes.0.semantics=free", func(c *policy.Config) { c.Classes[0].Idempotency = policy.Idempotent }},
		{"classes.0.dedup_scope=all", func(c *policy.Config) { c.Classes[0].DedupScope = policy.DedupEverywhere }},
		{"classes.0.dedup_scope=zone", func(c *policy.Config) { c.Classes[0].DedupScope = policy.DedupInZone }},
	} {
		t.Run(test.setting, func(t *testing.T) {
			want := policyConfig(t, parse(t, exampleLines))
			test.want(&want)
			if got := policyConfig(t, parse(t, exampleLines+test.setting)); !reflect.DeepEqual(got, want) {
				t.Errorf("PolicyConfig() = %+v, want %+v", got, want)
			}
		})
	}
}

func TestUnusableValues(t *testing.T) {
	for _, test := range []struct {
		setting, key string
		err          error
	}{
		{"balancers=three", "balancers", strconv.ErrSyntax},
		{"classes.count=-1", "classes.count", ErrInvalidCount},
		{"classes.count=1e9", "classes.count", ErrInvalidCount},
		{"orgs.count=1.5", "orgs.count", ErrInvalidCount},
	} {
		t.Run(test.setting, func(t *testing.T) {
			_, err := parse(t, test.setting).PolicyConfig()
			var value *ValueError
			if !errors.As(err, &value) || value.Key != test.key || !errors.Is(err, test.err) {
				t.Fatalf("PolicyConfig() error = %v, want a ValueError for %s that wraps %q", err, test.key, test.err)
			}
			if test.setting != value.Key+"="+value.Value || !strings.Contains(err.Error(), test.key) {
				t.Errorf("PolicyConfig() error = %q with Value %q, want the key and the value as configured", err, value.Value)
			}
		})
	}
}

func TestLineWithoutEqualsSign(t *testing.T) {
	_, err := Parse([]byte("zone=1\n\nno equals sign"))
	var line *LineError
	if !errors.As(err, &line) || line.Line != 3 || line.Text != "no equals sign" {
		t.Errorf("Parse() error = %v, want a LineError for line 3", err)
	}
}

// Verifies that the JSON form and the path=value form of the same settings result in the same configuration.
func TestJSONEqualsLines(t *testing.T) {
	const lines = "balancers=3\ncaps.may_cancel=true\ncaps.most_tries=3\ncaps.probes=true\ntelemetry.how=pull\n" +
		"telemetry.columns=svc_ms,busy_reqs\nclasses.count=2\nclasses.0.aim_ms=500.0\nclasses.0.hard_limit_ms=1000.0\n" +
		"classes.0.semantics=guarded\nclasses.1.aim_ms=600\nclasses.1.hard_limit_ms=2500\norgs.count=1\norgs.0.share=0.79\norgs.0.quota_per_s=131\n"
	const nested = `{"balancers":3,"caps":{"may_cancel":true,"most_tries":3,"probes":true},
		"telemetry":{"how":"pull","columns":["svc_ms","busy_reqs"]},"weights":null,
		"classes":[{"aim_ms":500.0,"hard_limit_ms":1000.0,"semantics":"guarded"},{"aim_ms":600,"hard_limit_ms":2500}],
		"orgs":[{"share":0.79,"quota_per_s":131}]}`
	s, err := ParseJSON([]byte(nested))
	if err != nil {
		t.Fatal(err)
	}
	got, want := policyConfig(t, s), policyConfig(t, parse(t, lines))
	if !reflect.DeepEqual(got, want) || len(got.Classes) != 2 || got.ReportFields != policy.HasServiceTime|policy.HasInFlight {
		t.Errorf("PolicyConfig() = %+v, want %+v", got, want)
	}
	if s.Text("weights") != "" || s.Count("orgs.count") != 1 || s.Duration("classes.1.aim_ms") != 600*time.Millisecond {
		t.Errorf("values = %v, want no weights, 1 tenant and a latency objective of 600 ms for class 1", s.values)
	}
}

func TestUnusableJSON(t *testing.T) {
	for _, text := range []string{"", "[]", "5", "{"} {
		t.Run(text, func(t *testing.T) {
			_, err := ParseJSON([]byte(text))
			var malformed *JSONError
			if !errors.As(err, &malformed) {
				t.Errorf("ParseJSON() error = %v, want a JSONError", err)
			}
		})
	}
	_, err := ParseJSON([]byte("{x"))
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) || syntax.Offset != 2 {
		t.Errorf("ParseJSON() error = %v, want a json.SyntaxError at offset 2", err)
	}
}

func TestSidecarConfig(t *testing.T) {
	const usable = "classes.count=2\nclasses.0.name=entry\nclasses.1.name=exit\norgs.count=1\norgs.0.name=north\nzones=a,b\n" +
		"caps.max_open=100\ncaps.conn_idle_ms=30000\ncaps.dial_timeout_ms=250\nrules.stop_sending_within_ms=1000\n"
	config, err := parse(t, usable).SidecarConfig()
	if err != nil {
		t.Fatal(err)
	}
	want := SidecarConfig{
		ClassNames: []string{"entry", "exit"}, TenantNames: []string{"north"}, ZoneNames: []string{"a", "b"}, ReportFormat: config.ReportFormat,
		MaxInFlight: 100, ServerIdleTimeout: 30 * time.Second, DialTimeout: 250 * time.Millisecond, DrainGrace: time.Second,
	}
	if !reflect.DeepEqual(config, want) {
		t.Errorf("SidecarConfig() = %+v, want %+v", config, want)
	}
	for name, test := range map[string]struct {
		line string
		key  string
		err  error
	}{
		"idle timeout missing":   {"caps.conn_idle_ms=", "caps.conn_idle_ms", ErrNotPositive},
		"dial timeout negative":  {"caps.dial_timeout_ms=-1", "caps.dial_timeout_ms", ErrNotPositive},
		"limit negative":         {"caps.max_open=-1", "caps.max_open", ErrNegative},
		"class count fractional": {"classes.count=1.5", "classes.count", ErrInvalidCount},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := parse(t, usable+test.line+"\n").SidecarConfig()
			var value *ValueError
			if !errors.As(err, &value) || value.Key != test.key || !errors.Is(err, test.err) {
				t.Errorf("SidecarConfig() error = %v, want a ValueError for %s that wraps %q", err, test.key, test.err)
			}
		})
	}
}
