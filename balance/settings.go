package balance

import "fmt"

// check says which setting cannot be served, by the name of its field.
func (c *Config) check() error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("Classes: none given")
	}
	if c.Instances < 1 {
		return fmt.Errorf("Instances: %d, at least 1 needed", c.Instances)
	}
	if !(c.SlowStartFrom >= 0 && c.SlowStartFrom <= 1) {
		return fmt.Errorf("ColdFrom: %v is no share", c.SlowStartFrom)
	}
	if c.DrainGrace < 0 || c.PollWithin < 0 || c.SlowStartWindow < 0 || c.OverloadWindow < 0 || c.TimerResolution < 0 || c.MaxRetryAfter < 0 {
		return fmt.Errorf("DrainGrace, AskWithin, ColdFor, FallFor, Resolution, MaxRetryAfter: a time is negative")
	}
	if c.OverloadMultiple < 0 || c.OverloadMultiple > 0 && c.OverloadWindow == 0 {
		return fmt.Errorf("FallMultiple: %v without its window FallFor", c.OverloadMultiple)
	}
	if c.MaxAttempts < 0 || !(c.HealthCheckCost >= 0) || !(c.OverQuotaWeight >= 0) {
		return fmt.Errorf("MostTries, ProbePrice, OverShareWorth: a value is negative")
	}
	seen := map[string]bool{}
	for _, k := range c.Classes {
		switch {
		case seen[k.Name]:
			return fmt.Errorf("Classes: Name %q is there twice", k.Name)
		case k.ClientTimeout <= 0:
			return fmt.Errorf("Classes: GiveUp of %q is missing", k.Name)
		case k.Consistency == ConsistencyBounded && k.MaxStaleness <= 0:
			return fmt.Errorf("Classes: Bound of %q is missing", k.Name)
		case k.LatencyObjective < 0 || k.IdempotencyWindow < 0 || k.MaxStaleness < 0:
			return fmt.Errorf("Classes: Aim, Window or Bound of %q is negative", k.Name)
		case !(k.PriorityWeight >= 0) || !(k.LateWeightShare >= 0) || !(k.ObjectiveStretch >= 0):
			return fmt.Errorf("Classes: Worth, LateShare or AimStretch of %q is negative", k.Name)
		}
		seen[k.Name] = true
	}
	for _, t := range c.Tenants {
		if !(t.Quota >= 0) {
			return fmt.Errorf("Tenants: Rate of %q is negative", t.Name)
		}
	}
	return nil
}
