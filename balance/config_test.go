package balance

import (
	"errors"
	"strings"
	"testing"
)

func TestConfigErrorNamesTheSettings(t *testing.T) {
	c := testConfig()
	c.Instances = 0
	_, err := New(c, 1)
	var configError *ConfigError
	if !errors.As(err, &configError) {
		t.Fatalf("got error %v, want a *ConfigError", err)
	}
	if configError.Settings != "Instances" || err.Error() != "Instances: 0, at least 1 needed" {
		t.Errorf("got settings %q and text %q, want Instances, and a text with its value", configError.Settings, err)
	}
}

func TestTightestBound(t *testing.T) {
	c := testConfig()
	if got := c.tightestBound(); got != 300*ms {
		t.Errorf("got bound %v, want 300ms", got)
	}
	if got := (&Config{}).tightestBound(); got != 0 {
		t.Errorf("got bound %v without a bounded class, want 0", got)
	}
}

// The errors name MaxStaleness and ClientTimeout as the users of the configuration know them.
func TestMissingClassTimes(t *testing.T) {
	c := testConfig()
	c.Classes[1].MaxStaleness = 0
	if _, err := New(c, 1); err == nil || !strings.Contains(err.Error(), "Bound") {
		t.Fatalf("got error %v, want one that names Bound", err)
	}
	c = testConfig()
	c.Classes[0].ClientTimeout = 0
	if _, err := New(c, 1); err == nil || !strings.Contains(err.Error(), "GiveUp") {
		t.Fatalf("got error %v, want one that names GiveUp", err)
	}
}

// The errors name the settings as the users of the configuration know them, not always by the field names of Config.
func TestInvalidSettingsAreNamed(t *testing.T) {
	for field, mutate := range map[string]func(*Config){
		"Name":          func(c *Config) { c.Classes[1].Name = c.Classes[0].Name },
		"Instances":     func(c *Config) { c.Instances = 0 },
		"ColdFrom":      func(c *Config) { c.SlowStartFrom = 1.5 },
		"FallFor":       func(c *Config) { c.OverloadWindow = 0 },
		"Worth":         func(c *Config) { c.Classes[2].PriorityWeight = -1 },
		"Aim":           func(c *Config) { c.Classes[2].LatencyObjective = -1 },
		"Rate":          func(c *Config) { c.Tenants = []Tenant{{Name: "t", Quota: -1}} },
		"MaxRetryAfter": func(c *Config) { c.MaxRetryAfter = -1 },
	} {
		c := testConfig()
		mutate(&c)
		if _, err := New(c, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("got error %v, want one that names %s", err, field)
		}
	}
}
