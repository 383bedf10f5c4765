package policy

import (
	"fmt"
	"math"
	"time"
)

// Idempotency says what repeating a request of a class may do.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be repeated and rejected at will
	IdempotentByKey                    // carries an idempotency key: endpoints drop duplicates, within limits
	NonIdempotent                      // must never run twice
)

// DedupScope is the group of endpoints that drops duplicates of a request
// with an idempotency key.
type DedupScope int

// The scopes of deduplication.
const (
	DedupEverywhere DedupScope = iota
	DedupInZone
	DedupInCell
)

// Class describes one kind of request.
type Class struct {
	LatencyObjective time.Duration // responses within this earn full value
	ObjectivePerWork float64       // the objective grows by this multiple of the request's expected work
	Deadline         time.Duration // a client waits this long in all, over its own retries
	LateValue        float64       // fraction of the value that a response after the objective still earns
	PriorityWeight   float64       // value of a response; a higher one is preferred under overload
	Idempotency      Idempotency
	DedupScope       DedupScope    // IdempotentByKey only
	DedupWindow      time.Duration // IdempotentByKey only: duplicates are dropped this long after the first send
	OrderedByKey     bool          // requests that share a Request.Key run one at a time, in order of arrival
}

// Tenant is one customer with a share of the service.
type Tenant struct {
	Weight float64 // share of the service, relative to the other tenants' weights
	Quota  float64 // requests per second within its share, over all balancers; 0: unknown
}

// RetryBudget limits attempts after each request's first: within any Interval
// there are at most MinRetries plus RetryRatio for each request taken in it.
type RetryBudget struct {
	Interval   time.Duration // 0: no limit
	MinRetries float64
	RetryRatio float64
}

// Config holds the settings of a Balancer. A Balancer does not change them.
type Config struct {
	Balancers int // balancers that send to the same endpoints, this one included
	Index     int // this balancer's number among them, from 0
	Zone      int // the zone this balancer is in
	Classes   []Class
	Tenants   []Tenant // may be empty: all requests share one bulkhead

	Slots int // concurrent attempts of this balancer, over all bulkheads; 0: derived from quotas

	MaxAttempts        int           // attempts for one request
	CanCancel          bool          // Host.Cancel may be used
	CanHealthCheck     bool          // Host.HealthCheck may be used
	CanGossip          bool          // Host.Broadcast may be used
	MaxRetryAfter      time.Duration // the longest Retry-After that clients heed
	ClientsMarkRetries bool          // clients mark their own retries: Request.ClientRetry

	RetryBudget      RetryBudget   // the zero value: no limit
	OrderingDelay    time.Duration // a key is blocked this long after an attempt that may still be running
	IdleCloseTimeout time.Duration // idle connections to a draining endpoint are closed this soon; 0: not closed

	EventInterval time.Duration // events come at most this often

	PollsEndpoints bool          // the endpoint list has to be polled
	PollInterval   time.Duration // not polled for this long, a change counts as notified; 0: unknown

	SlowStartFraction float64       // fraction of its capacity that an endpoint has at its start
	SlowStartDuration time.Duration // after this it has all of its capacity
	OverloadFactor    float64       // an endpoint in slow start fails above this multiple of its capacity then

	ReportFields ReportFields // what endpoints' load reports hold

	CrossZoneCost float64 // cost of an attempt that leaves the zone, relative to a priority weight of 1
}

// ConfigError says which field of a Config cannot be used, and why.
type ConfigError struct {
	Field  string // e.g. "Classes[2]"
	Reason string
}

func (e *ConfigError) Error() string { return "config: " + e.Field + " " + e.Reason }

// validate returns a *ConfigError for the first unusable field, or nil.
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

// validateLimits checks the fields that stand alone.
func (c *Config) validateLimits() error {
	switch {
	case c.Balancers < 1:
		return configError("Balancers", "is %d, at least 1 is needed", c.Balancers)
	case c.Index < 0:
		return configError("Index", "is %d, it must not be negative", c.Index)
	case len(c.Classes) == 0:
		return configError("Classes", "is empty")
	case c.MaxAttempts < 1:
		return configError("MaxAttempts", "is %d, at least 1 is needed", c.MaxAttempts)
	case c.Slots < 0:
		return configError("Slots", "is %d, it must not be negative", c.Slots)
	case negativeOrNonFinite(c.SlowStartFraction) || c.SlowStartFraction > 1:
		return configError("SlowStartFraction", "is %v, it must be from 0 to 1", c.SlowStartFraction)
	case negativeOrNonFinite(c.OverloadFactor):
		return configError("OverloadFactor", "is %v, it must be a number from 0", c.OverloadFactor)
	case negativeOrNonFinite(c.CrossZoneCost):
		return configError("CrossZoneCost", "is %v, it must be a number from 0", c.CrossZoneCost)
	}
	return c.validateDurations()
}

// validateDurations checks that no time is negative.
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
			return configError(d.field, "is %v, it must not be negative", d.value)
		}
	}
	return nil
}

func (r RetryBudget) validate() error {
	if r.Interval < 0 || negativeOrNonFinite(r.MinRetries) || negativeOrNonFinite(r.RetryRatio) {
		return configError("RetryBudget",
			"has Interval %v, MinRetries %v and RetryRatio %v, all must be numbers from 0",
			r.Interval, r.MinRetries, r.RetryRatio)
	}
	if r.Interval == 0 && r != (RetryBudget{}) {
		return configError("RetryBudget", "has no Interval, though MinRetries %v and RetryRatio %v are set",
			r.MinRetries, r.RetryRatio)
	}
	return nil
}

func (c *Class) validate(index int) error {
	field := fmt.Sprintf("Classes[%d]", index)
	if c.LatencyObjective <= 0 || c.Deadline <= 0 || c.DedupWindow < 0 {
		return configError(field, "has LatencyObjective %v, Deadline %v and DedupWindow %v, which cannot be used",
			c.LatencyObjective, c.Deadline, c.DedupWindow)
	}
	if negativeOrNonFinite(c.ObjectivePerWork) || negativeOrNonFinite(c.LateValue) || negativeOrNonFinite(c.PriorityWeight) {
		return configError(field, "has ObjectivePerWork, LateValue or PriorityWeight that is no number from 0")
	}
	return nil
}

func validateTenants(tenants []Tenant) error {
	sum := 0.0
	for i, t := range tenants {
		if negativeOrNonFinite(t.Weight) || negativeOrNonFinite(t.Quota) {
			field := fmt.Sprintf("Tenants[%d]", i)
			return configError(field, "has Weight %v and Quota %v, both must be numbers from 0", t.Weight, t.Quota)
		}
		sum += t.Weight
	}
	if len(tenants) > 0 && (sum <= 0 || math.IsInf(sum, 0)) {
		return configError("Tenants", "have weights whose sum adds up to %v", sum)
	}
	return nil
}

// unusable says that a figure is negative, infinite or not a number.
func negativeOrNonFinite(f float64) bool { return math.IsNaN(f) || math.IsInf(f, 0) || f < 0 }

func configError(field, reason string, args ...any) error {
	return &ConfigError{Field: field, Reason: fmt.Sprintf(reason, args...)}
}

// tenants returns the tenants, or one for all requests where none are set.
func (c *Config) tenants() []Tenant {
	if len(c.Tenants) == 0 {
		return []Tenant{{Weight: 1}}
	}
	return c.Tenants
}

// evenPart returns the part of a fleet-wide figure that falls to each
// balancer if all get the same.
func (c *Config) evenPart(total float64) float64 { return total / float64(c.Balancers) }
