package policy

import (
	"math"
	"strings"
	"testing"
)

func TestNewNamesTheUnusableField(t *testing.T) {
	for field, spoil := range map[string]func(*Config){
		"Balancers":         func(c *Config) { c.Balancers = 0 },
		"Classes":           func(c *Config) { c.Classes = nil },
		"MaxAttempts":       func(c *Config) { c.MaxAttempts = 0 },
		"Slots":             func(c *Config) { c.Slots = -1 },
		"SlowStartFraction": func(c *Config) { c.SlowStartFraction = 1.5 },
		"OverloadFactor":    func(c *Config) { c.OverloadFactor = math.Inf(1) },
		"SlowStartDuration": func(c *Config) { c.SlowStartDuration = -1 },
		"EventInterval":     func(c *Config) { c.EventInterval = -1 },
		"LatencyObjective":  func(c *Config) { c.Classes[2].LatencyObjective = 0 },
		"Deadline":          func(c *Config) { c.Classes[0].Deadline = -1 },
		"LateValue":         func(c *Config) { c.Classes[0].LateValue = math.NaN() },
		"Weight":            func(c *Config) { c.Tenants[1].Weight = -0.1 },
		"Quota":             func(c *Config) { c.Tenants[1].Quota = math.NaN() },
		"adds up to 0":      func(c *Config) { c.Tenants = []Tenant{{Quota: 5}} },
		"MaxRetryAfter":     func(c *Config) { c.MaxRetryAfter = -1 },
	} {
		cfg := testConfig()
		spoil(&cfg)
		if _, err := New(cfg, 1, newFakeHost()); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: error %v does not name it", field, err)
		}
	}
}
