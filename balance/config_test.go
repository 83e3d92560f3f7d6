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
		t.Fatalf("%v is no ConfigError", err)
	}
	if configError.Settings != "Instances" || err.Error() != "Instances: 0, at least 1 needed" {
		t.Errorf("settings %q, text %q", configError.Settings, err)
	}
}

func TestTightestBound(t *testing.T) {
	c := testConfig()
	if got := c.tightestBound(); got != 300*ms {
		t.Errorf("%v, want 300ms", got)
	}
	if got := (&Config{}).tightestBound(); got != 0 {
		t.Errorf("%v without a bounded class, want 0", got)
	}
}

func TestBadSettings(t *testing.T) {
	c := testConfig()
	c.Classes[1].MaxStaleness = 0
	if _, err := New(c, 1); err == nil || !strings.Contains(err.Error(), "Bound") {
		t.Fatalf("error %v does not name the field", err)
	}
	c = testConfig()
	c.Classes[0].ClientTimeout = 0
	if _, err := New(c, 1); err == nil || !strings.Contains(err.Error(), "GiveUp") {
		t.Fatalf("error %v does not name the field", err)
	}
}

func TestSettingsThatCannotBeServedNameTheField(t *testing.T) {
	for field, spoil := range map[string]func(*Config){
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
		spoil(&c)
		if _, err := New(c, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("error %v does not name %s", err, field)
		}
	}
}
