package policy

import (
	"fmt"
	"math"
	"time"
)

// Idempotency states whether a request of a class may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	// Idempotent requests may be repeated or rejected at any time.
	Idempotent Idempotency = iota
	// IdempotentByKey requests carry an idempotency key, by which endpoints drop duplicates within
	// DedupScope and DedupWindow.
	IdempotentByKey
	// NonIdempotent requests must not run twice.
	NonIdempotent
)

// DedupScope is the group of endpoints that drop duplicates of a request with an idempotency key.
type DedupScope int

// The deduplication scopes.
const (
	DedupEverywhere DedupScope = iota
	DedupInZone
	DedupInCell
)

// Class describes one kind of request.
type Class struct {
	LatencyObjective time.Duration // a response within it has its full value
	ObjectivePerWork float64       // the objective grows by this multiple of the request's expected work
	Deadline         time.Duration // total time that a client waits, including its own retries
	LateValue        float64       // fraction of its value that a response keeps after the latency objective
	PriorityWeight   float64       // value of a response; higher values are preferred under overload
	Idempotency      Idempotency
	DedupScope       DedupScope    // IdempotentByKey only
	DedupWindow      time.Duration // IdempotentByKey only: how long duplicates are dropped after the first send
	OrderedByKey     bool          // requests with the same Request.Key run one at a time, in order of arrival
}

// Tenant is one customer with a share of the service.
type Tenant struct {
	Weight float64 // share of the service, relative to the weights of the other tenants
	Quota  float64 // requests per second over all balancers that its share covers; 0: unknown
}

// RetryBudget limits retries, that is attempts after a request's first. Any Interval has at most
// MinRetries retries, plus RetryRatio for each request received in it.
type RetryBudget struct {
	Interval   time.Duration // 0: no limit
	MinRetries float64
	RetryRatio float64
}

// Config holds the settings of a Balancer. A Balancer does not modify them.
type Config struct {
	Balancers int // number of balancers that send to the same endpoints, including this one
	Index     int // number of this balancer, from 0
	Zone      int // zone of this balancer
	Classes   []Class
	Tenants   []Tenant // if empty, all requests share one bulkhead

	Slots int // concurrent attempts of this balancer over all bulkheads; 0: derived from quotas or endpoints

	MaxAttempts        int           // maximum number of attempts for one request
	CanCancel          bool          // Host.Cancel may be used
	CanHealthCheck     bool          // Host.HealthCheck may be used
	CanGossip          bool          // Host.Broadcast may be used
	MaxRetryAfter      time.Duration // longest Retry-After that clients respect
	ClientsMarkRetries bool          // clients mark their retries: see Request.ClientRetry

	RetryBudget      RetryBudget   // zero value: no limit
	OrderingDelay    time.Duration // how long a key is blocked after an attempt that may still be running
	IdleCloseTimeout time.Duration // time limit to close idle connections to draining endpoints; 0: not closed

	EventInterval time.Duration // minimum time between events

	PollsEndpoints bool // the endpoint list must be polled
	// Time without a poll after which the balancer counts as notified of a change, even if it has
	// not read it; 0: unknown.
	PollInterval time.Duration

	SlowStartFraction float64       // fraction of its capacity that an endpoint has when it starts
	SlowStartDuration time.Duration // time from its start until an endpoint has its full capacity
	// An endpoint in slow start fails if its load exceeds this multiple of its capacity at that time.
	OverloadFactor float64

	ReportFields ReportFields // fields in the load reports of endpoints

	CrossZoneCost float64 // cost of an attempt to another zone, relative to a priority weight of 1
}

// ConfigError reports an invalid field of a Config.
type ConfigError struct {
	Field  string // e.g. "Classes[2]"
	Reason string
}

func (e *ConfigError) Error() string { return "config: " + e.Field + " " + e.Reason }

// validate returns a *ConfigError for the first invalid field, or nil.
func (c *Config) validate() error {
	if err := c.validateLimits(); err != nil {
		return err
	}
	if err := c.RetryBudget.validate(); err != nil {
		return err
	}
	for i := range c.Classes {
		if err := c.Classes[i].validate(i); err != nil {
			return err
		}
	}
	return validateTenants(c.Tenants)
}

// validateLimits checks the fields that do not depend on others.
func (c *Config) validateLimits() error {
	switch {
	case c.Balancers < 1:
		return configError("Balancers", "must be at least 1, got %d", c.Balancers)
	case c.Index < 0:
		return configError("Index", "must not be negative, got %d", c.Index)
	case len(c.Classes) == 0:
		return configError("Classes", "must not be empty")
	case c.MaxAttempts < 1:
		return configError("MaxAttempts", "must be at least 1, got %d", c.MaxAttempts)
	case c.Slots < 0:
		return configError("Slots", "must not be negative, got %d", c.Slots)
	case negativeOrNonFinite(c.SlowStartFraction) || c.SlowStartFraction > 1:
		return configError("SlowStartFraction", "must be from 0 to 1, got %v", c.SlowStartFraction)
	case negativeOrNonFinite(c.OverloadFactor):
		return configError("OverloadFactor", "must be finite and not negative, got %v", c.OverloadFactor)
	case negativeOrNonFinite(c.CrossZoneCost):
		return configError("CrossZoneCost", "must be finite and not negative, got %v", c.CrossZoneCost)
	}
	return c.validateDurations()
}

// validateDurations checks that no duration is negative.
func (c *Config) validateDurations() error {
	for _, d := range []struct {
		field string
		value time.Duration
	}{
		{"OrderingDelay", c.OrderingDelay},
		{"IdleCloseTimeout", c.IdleCloseTimeout},
		{"MaxRetryAfter", c.MaxRetryAfter},
		{"EventInterval", c.EventInterval},
		{"PollInterval", c.PollInterval},
		{"SlowStartDuration", c.SlowStartDuration},
	} {
		if d.value < 0 {
			return configError(d.field, "must not be negative, got %v", d.value)
		}
	}
	return nil
}

func (r RetryBudget) validate() error {
	if r.Interval < 0 || negativeOrNonFinite(r.MinRetries) || negativeOrNonFinite(r.RetryRatio) {
		return configError("RetryBudget",
			"must be finite and not negative, got Interval %v, MinRetries %v and RetryRatio %v",
			r.Interval, r.MinRetries, r.RetryRatio)
	}
	if r.Interval == 0 && r != (RetryBudget{}) {
		return configError("RetryBudget",
			"must have an Interval, got MinRetries %v and RetryRatio %v without one",
			r.MinRetries, r.RetryRatio)
	}
	return nil
}

func (c *Class) validate(index int) error {
	field := fmt.Sprintf("Classes[%d]", index)
	if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 {
		return configError(field,
			"must have LatencyObjective and Deadline above 0 and DedupWindow not below 0, got %v, %v and %v",
			c.LatencyObjective, c.Deadline, c.DedupWindow)
	}
	if negativeOrNonFinite(c.ObjectivePerWork) || negativeOrNonFinite(c.LateValue) ||
		negativeOrNonFinite(c.PriorityWeight) {
		return configError(field,
			"must have finite, non-negative ObjectivePerWork, LateValue and PriorityWeight")
	}
	return nil
}

func validateTenants(tenants []Tenant) error {
	sum := 0.0
	for i, t := range tenants {
		if negativeOrNonFinite(t.Weight) || negativeOrNonFinite(t.Quota) {
			field := fmt.Sprintf("Tenants[%d]", i)
			return configError(field,
				"must have finite, non-negative Weight and Quota, got %v and %v", t.Weight, t.Quota)
		}
		sum += t.Weight
	}
	if len(tenants) > 0 && (sum <= 0 || math.IsInf(sum, 0)) {
		return configError("Tenants", "must have a finite, positive sum of weights, got %v", sum)
	}
	return nil
}

// negativeOrNonFinite reports whether f is negative, infinite or NaN.
func negativeOrNonFinite(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 }

func configError(field, format string, args ...any) error {
	return &ConfigError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// tenants returns the configured tenants, or one tenant for all requests if there are none.
func (c *Config) tenants() []Tenant {
	if len(c.Tenants) == 0 {
		return []Tenant{{Weight: 1}}
	}
	return c.Tenants
}

// equalShare returns the share of each balancer if a fleet-wide total is divided equally.
func (c *Config) equalShare(total float64) float64 { return total / float64(c.Balancers) }
