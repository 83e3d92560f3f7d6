package balance

import (
	"fmt"
	"time"
)

// FreshnessCheck is what an endpoint does with a read that requires more recent data than the endpoint has.
type FreshnessCheck int

// The kinds of freshness checks.
const (
	FreshnessCheckNone   FreshnessCheck = iota // the endpoint answers from the data it has
	FreshnessCheckReject                       // the endpoint answers with a miss
	FreshnessCheckHold                         // the endpoint waits for the data for a while, then answers with a miss
)

// Tenant is a customer and its quota.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all instances
}

// Config holds the settings of an instance.
type Config struct {
	Instances       int    // number of instances that share the work
	Zone            string // the zone of this instance; endpoints in it are preferred
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64       // weight of a request over its tenant's quota, as a multiple of its normal weight
	TimerResolution time.Duration // minimum delay of a timer
	PollDiscovery   bool          // whether the endpoint list has to be polled
	DrainGrace      time.Duration // requests to an endpoint must stop this long after it starts draining; 0 = unknown
	PollWithin      time.Duration // discovery treats an instance as notified after this long without a poll; 0 = never

	FreshnessCheck      FreshnessCheck
	ClientSessionTokens bool // session reads carry the age of the last write; if false, the instance remembers writes

	HealthChecks    bool    // whether endpoints answer health checks
	LateRejectCost  float64 // cost of rejecting an unsent request after half of its timeout, as a share of its weight
	HealthCheckCost float64 // cost of a health check, as a share of a request's weight
	Cancellation    bool    // whether attempts can be cancelled
	RetryAfter      bool    // whether a rejection can carry a Retry-After
	MaxRetryAfter   time.Duration
	MaxAttempts     int // attempts per request; 0 = no limit

	SlowStartFrom    float64       // minimum capacity of a just started endpoint, as a share of its full capacity
	SlowStartWindow  time.Duration // time after its start at which an endpoint has its full capacity
	OverloadMultiple float64       // load above this multiple of its current capacity makes an endpoint fail
	OverloadWindow   time.Duration // if the load lasts this long
	SoftRemoval      bool          // only EndpointDraining forbids sends; a removed endpoint may still get them
}

// ConfigError reports invalid settings. It names them as the users of the configuration know them, which is not always
// by the field names of Config.
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

// check returns a *ConfigError if a setting is invalid.
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
	if c.minDuration() < 0 {
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

// minDuration returns the shortest duration in the configuration; it is negative if any of them is.
func (c *Config) minDuration() time.Duration {
	return min(c.DrainGrace, c.PollWithin, c.SlowStartWindow, c.OverloadWindow, c.TimerResolution, c.MaxRetryAfter)
}

// checkClasses returns a *ConfigError if a setting of a class is invalid.
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

// check returns a *ConfigError if a setting of the class is invalid.
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

// isShare reports whether a setting is a number from 0 to 1. NaN is not.
func isShare(value float64) bool { return value >= 0 && value <= 1 }

// anyNegative reports whether any of the values is negative or NaN.
func anyNegative(values ...float64) bool {
	for _, value := range values {
		if !(value >= 0) {
			return true
		}
	}
	return false
}

// instances returns the number of instances that share the endpoints' capacity.
func (c *Config) instances() float64 { return float64(c.Instances) }

// tightestBound returns the shortest staleness bound of the bounded classes, or 0 if there is no bounded class.
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

// MaxAttempts returns the maximum number of attempts per request; 0 = no limit.
func (b *Balancer) MaxAttempts() int { return b.config.MaxAttempts }
