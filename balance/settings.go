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
	if !(c.ColdFrom >= 0 && c.ColdFrom <= 1) {
		return fmt.Errorf("ColdFrom: %v is no share", c.ColdFrom)
	}
	if c.DrainGrace < 0 || c.AskWithin < 0 || c.ColdFor < 0 || c.FallFor < 0 || c.Resolution < 0 || c.MaxRetryAfter < 0 {
		return fmt.Errorf("DrainGrace, AskWithin, ColdFor, FallFor, Resolution, MaxRetryAfter: a time is negative")
	}
	if c.FallMultiple < 0 || c.FallMultiple > 0 && c.FallFor == 0 {
		return fmt.Errorf("FallMultiple: %v without its window FallFor", c.FallMultiple)
	}
	if c.MostTries < 0 || !(c.ProbePrice >= 0) || !(c.OverShareWorth >= 0) {
		return fmt.Errorf("MostTries, ProbePrice, OverShareWorth: a value is negative")
	}
	seen := map[string]bool{}
	for _, k := range c.Classes {
		switch {
		case seen[k.Name]:
			return fmt.Errorf("Classes: Name %q is there twice", k.Name)
		case k.GiveUp <= 0:
			return fmt.Errorf("Classes: GiveUp of %q is missing", k.Name)
		case k.Need == NeedBounded && k.Bound <= 0:
			return fmt.Errorf("Classes: Bound of %q is missing", k.Name)
		case k.Aim < 0 || k.Window < 0 || k.Bound < 0:
			return fmt.Errorf("Classes: Aim, Window or Bound of %q is negative", k.Name)
		case !(k.Worth >= 0) || !(k.LateShare >= 0) || !(k.AimStretch >= 0):
			return fmt.Errorf("Classes: Worth, LateShare or AimStretch of %q is negative", k.Name)
		}
		seen[k.Name] = true
	}
	for _, t := range c.Tenants {
		if !(t.Rate >= 0) {
			return fmt.Errorf("Tenants: Rate of %q is negative", t.Name)
		}
	}
	return nil
}
