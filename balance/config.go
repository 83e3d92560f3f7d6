package balance

import (
	"fmt"
	"time"
)

// FreshnessCheck says what an endpoint does with a read that its data is too old for.
type FreshnessCheck int

// What an endpoint can do with such a read.
const (
	FreshnessCheckNone   FreshnessCheck = iota // it answers from what it has
	FreshnessCheckReject                       // it answers with a miss
	FreshnessCheckHold                         // it waits a while, then answers with a miss
)

// Tenant is a customer and its quota.
type Tenant struct {
	Name  string
	Quota float64 // requests a second within the quota, over all instances
}

// Config is what an instance is told when it starts.
type Config struct {
	Instances       int    // how many instances share the work
	Zone            string // the zone of this instance; endpoints in it are preferred
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64       // weight of a request beyond the tenant's quota, as a part of the usual
	TimerResolution time.Duration // the shortest time between two steps
	PollDiscovery   bool          // the endpoint list must be polled
	DrainGrace      time.Duration // sends to an endpoint end this long after it was told to drain; 0 = unknown
	PollWithin      time.Duration // an instance that has not polled for this long counts as notified; 0 = no such limit

	FreshnessCheck      FreshnessCheck
	ClientSessionTokens bool // session reads carry the age of the last write; otherwise the instance remembers writes

	HealthChecks    bool    // endpoints answer health checks
	LateRejectCost  float64 // cost of rejecting what was never sent after half of its time, as a part of its weight
	HealthCheckCost float64 // cost of a health check, as a part of the weight of a request
	Cancellation    bool    // attempts can be cancelled
	RetryAfter      bool    // clients hear a Retry-After
	MaxRetryAfter   time.Duration
	MaxAttempts     int // attempts for one request; 0 = no limit

	SlowStartFrom    float64       // an endpoint that has just started has at least this part of its capacity
	SlowStartWindow  time.Duration // and all of it after this time
	OverloadMultiple float64       // more than this multiple of its present capacity
	OverloadWindow   time.Duration // for this time overloads it until it fails
	SoftRemoval      bool          // only an entry that says draining forbids sends
}

// ConfigError says which settings cannot be served. It names them by the words that users of the configuration know,
// which are not always those of the fields.
type ConfigError struct {
	Settings string
	Reason   string
}

// Error returns the settings and the reason.
func (e *ConfigError) Error() string { return e.Settings + ": " + e.Reason }

// invalid returns a ConfigError with a formatted reason.
func invalid(settings, format string, args ...any) error {
	return &ConfigError{Settings: settings, Reason: fmt.Sprintf(format, args...)}
}

// check returns a *ConfigError if a setting cannot be served.
func (c *Config) check() error {
	if len(c.Classes) == 0 {
		return invalid("Classes", "none given")
	}
	if c.Instances < 1 {
		return invalid("Instances", "%d, at least 1 needed", c.Instances)
	}
	if !isShare(c.SlowStartFrom) {
		return invalid("ColdFrom", "%v is no share", c.SlowStartFrom)
	}
	if c.shortestTime() < 0 {
		return invalid("DrainGrace, AskWithin, ColdFor, FallFor, Resolution, MaxRetryAfter", "a time is negative")
	}
	windowMissing := c.OverloadMultiple > 0 && c.OverloadWindow == 0
	if c.OverloadMultiple < 0 || windowMissing {
		return invalid("FallMultiple", "%v without its window FallFor", c.OverloadMultiple)
	}
	if c.MaxAttempts < 0 || anyNegative(c.HealthCheckCost, c.OverQuotaWeight) {
		return invalid("MostTries, ProbePrice, OverShareWorth", "a value is negative")
	}
	if err := c.checkClasses(); err != nil {
		return err
	}
	for _, tenant := range c.Tenants {
		if anyNegative(tenant.Quota) {
			return invalid("Tenants", "Rate of %q is negative", tenant.Name)
		}
	}
	return nil
}

// shortestTime is the least of the times in the configuration, so that it shows whether one is negative.
func (c *Config) shortestTime() time.Duration {
	return min(c.DrainGrace, c.PollWithin, c.SlowStartWindow, c.OverloadWindow, c.TimerResolution, c.MaxRetryAfter)
}

// checkClasses returns a *ConfigError if a setting of a class cannot be served.
func (c *Config) checkClasses() error {
	seen := map[string]bool{}
	for _, class := range c.Classes {
		if seen[class.Name] {
			return invalid("Classes", "Name %q is there twice", class.Name)
		}
		seen[class.Name] = true
		if err := class.check(); err != nil {
			return err
		}
	}
	return nil
}

// check returns a *ConfigError if a setting of the class cannot be served.
func (c *Class) check() error {
	boundMissing := c.Consistency == ConsistencyBounded && c.MaxStaleness <= 0
	switch {
	case c.ClientTimeout <= 0:
		return invalid("Classes", "GiveUp of %q is missing", c.Name)
	case boundMissing:
		return invalid("Classes", "Bound of %q is missing", c.Name)
	case min(c.LatencyObjective, c.IdempotencyWindow, c.MaxStaleness) < 0:
		return invalid("Classes", "Aim, Window or Bound of %q is negative", c.Name)
	case anyNegative(c.PriorityWeight, c.LateWeightShare, c.ObjectiveStretch):
		return invalid("Classes", "Worth, LateShare or AimStretch of %q is negative", c.Name)
	}
	return nil
}

// isShare says whether a setting is a number from 0 to 1; NaN is none.
func isShare(value float64) bool { return value >= 0 && value <= 1 }

// anyNegative says whether one of the values is negative or NaN.
func anyNegative(values ...float64) bool {
	for _, value := range values {
		if !(value >= 0) {
			return true
		}
	}
	return false
}

// instances is the number of instances that share the endpoints' capacity.
func (c *Config) instances() float64 { return float64(c.Instances) }

// tightestBound is the shortest staleness bound of a bounded class; 0 = no class is bounded.
func (c *Config) tightestBound() time.Duration {
	tightest := time.Duration(0)
	for _, class := range c.Classes {
		if class.Consistency != ConsistencyBounded {
			continue
		}
		if tightest == 0 || class.MaxStaleness < tightest {
			tightest = class.MaxStaleness
		}
	}
	return tightest
}

// MaxAttempts is how many attempts a request may have; 0 = any number.
func (b *Balancer) MaxAttempts() int { return b.config.MaxAttempts }
