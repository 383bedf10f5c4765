package policy

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// Operators can correct an invalid setting only if the error names it.
func TestNewErrorNamesInvalidField(t *testing.T) {
	for _, c := range []struct {
		field      string // a field or another part of the message
		invalidate func(*Config)
	}{
		{"Balancers", func(c *Config) { c.Balancers = 0 }},
		{"Classes", func(c *Config) { c.Classes = nil }},
		{"MaxAttempts", func(c *Config) { c.MaxAttempts = 0 }},
		{"Slots", func(c *Config) { c.Slots = -1 }},
		{"SlowStartFraction", func(c *Config) { c.SlowStartFraction = 1.5 }},
		{"OverloadFactor", func(c *Config) { c.OverloadFactor = math.Inf(1) }},
		{"SlowStartDuration", func(c *Config) { c.SlowStartDuration = -1 }},
		{"EventInterval", func(c *Config) { c.EventInterval = -1 }},
		{"LatencyObjective", func(c *Config) { c.Classes[2].LatencyObjective = 0 }},
		{"Deadline", func(c *Config) { c.Classes[0].Deadline = -1 }},
		{"LateValue", func(c *Config) { c.Classes[0].LateValue = math.NaN() }},
		{"Weight", func(c *Config) { c.Tenants[1].Weight = -0.1 }},
		{"Quota", func(c *Config) { c.Tenants[1].Quota = math.NaN() }},
		{"sum of weights, got 0", func(c *Config) { c.Tenants = []Tenant{{Quota: 5}} }},
		{"MaxRetryAfter", func(c *Config) { c.MaxRetryAfter = -1 }},
	} {
		t.Run(c.field, func(t *testing.T) {
			cfg := testConfig()
			c.invalidate(&cfg)
			_, err := New(cfg, 1, newFakeHost())
			if err == nil || !strings.Contains(err.Error(), c.field) {
				t.Fatalf("New error = %v, want one that names the invalid field", err)
			}
			var configErr *ConfigError
			if !errors.As(err, &configErr) {
				t.Errorf("New error is of type %T, want *ConfigError", err)
			}
		})
	}
}

func TestConfigErrorField(t *testing.T) {
	for _, c := range []struct {
		name       string
		field      string
		invalidate func(*Config)
	}{
		{"negative index", "Index", func(c *Config) { c.Index = -1 }},
		{"negative cross-zone cost", "CrossZoneCost", func(c *Config) { c.CrossZoneCost = -0.1 }},
		{"negative ordering delay", "OrderingDelay", func(c *Config) { c.OrderingDelay = -1 }},
		{"negative close timeout", "IdleCloseTimeout", func(c *Config) { c.IdleCloseTimeout = -1 }},
		{"negative poll interval", "PollInterval",
			func(c *Config) { c.PollInterval = -1 }},
		{"negative budget interval", "RetryBudget", func(c *Config) { c.RetryBudget.Interval = -1 }},
		{"budget without an interval", "RetryBudget", func(c *Config) { c.RetryBudget.MinRetries = 1 }},
		{"infinite retry ratio", "RetryBudget", func(c *Config) { c.RetryBudget = RetryBudget{1, 1, math.Inf(1)} }},
		{"negative minimum of retries", "RetryBudget", func(c *Config) { c.RetryBudget = RetryBudget{1, -1, 0} }},
		{"negative window", "Classes[1]", func(c *Config) { c.Classes[1].DedupWindow = -1 }},
		{"objective per work is not a number", "Classes[4]", func(c *Config) { c.Classes[4].ObjectivePerWork = math.NaN() }},
		{"negative priority weight", "Classes[0]", func(c *Config) { c.Classes[0].PriorityWeight = -1 }},
		{"infinite sum of weights", "Tenants", func(c *Config) {
			c.Tenants = []Tenant{{Weight: math.MaxFloat64}, {Weight: math.MaxFloat64}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := testConfig()
			c.invalidate(&cfg)
			_, err := New(cfg, 1, newFakeHost())
			var configErr *ConfigError
			if !errors.As(err, &configErr) || configErr.Field != c.field {
				t.Errorf("New error = %v, want a ConfigError for %s", err, c.field)
			}
		})
	}
}
