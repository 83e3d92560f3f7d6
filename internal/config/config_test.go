package config

import (
	"errors"
	"strings"
	"testing"
)

const validConfig = `{"name":"n3","listen":"10.0.0.4:6432","discovery":"10.2.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "known":{"version":41,"full":true,"servers":[{"id":"s","addr":"a:1","state":"ready","cell":3,"started_ms":5}]},
 "settings":{"Instances":3,"Locality":"a","Discovery":"ask",
 "Lanes":[{"Name":"r","AimNs":1,"GiveUpNs":2,"Effect":"safe","Group":"all"}],
 "Extra":{"Guards":"silent","NeedsByClass":["loose"],"OriginTimeNs":1},
 "Limits":{"ConnIdleNs":15,"ConnectTimeoutNs":25}}}`

func emptyEnvironment(string) string { return "" }

// checkFieldError checks that err is a *FieldError whose text is one line that starts with the file, if there is one,
// and the field.
func checkFieldError(t *testing.T, err error, file, field string) {
	t.Helper()
	var fieldErr *FieldError
	if !errors.As(err, &fieldErr) {
		t.Fatalf("got error %v, want a *FieldError", err)
	}
	if fieldErr.File != file || fieldErr.Field != field || fieldErr.Reason == nil {
		t.Errorf("got %+v, want the field %q of the file %q", fieldErr, field, file)
	}
	text := err.Error()
	prefix := field + ": "
	if file != "" {
		prefix = file + ": "
		if field != "" {
			prefix += field + ": "
		}
	}
	if !strings.HasPrefix(text, prefix) || strings.Contains(text, "\n") {
		t.Errorf("got error text %q, want a single line that starts with %q", text, prefix)
	}
}

func mustParse(t *testing.T, text string, getenv func(string) string) *Config {
	t.Helper()
	c, err := Parse([]byte(text), getenv)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestParse(t *testing.T) {
	c := mustParse(t, validConfig, emptyEnvironment)
	if c.SeedValue != 0x8c1f30d27a5be964 || c.KnownEndpoints.Version != 41 {
		t.Errorf("got %+v, want the seed 8c1f30d27a5be964 and the known version 41", c)
	}
	if c.Balance.Instances != 3 || !c.Balance.PollDiscovery {
		t.Errorf("got %+v, want 3 instances that poll discovery", c.Balance)
	}
	getenv := func(name string) string {
		return map[string]string{"EDGE_LISTEN": "127.0.0.1:9", "EDGE_DISCOVERY": "127.0.0.1:10"}[name]
	}
	t.Run("environment overrides the listen address", func(t *testing.T) {
		c := mustParse(t, validConfig, getenv)
		if c.Listen != "127.0.0.1:9" || c.Discovery != "10.2.0.1:8500" {
			t.Errorf("got %+v, want listen 127.0.0.1:9 and discovery 10.2.0.1:8500", c)
		}
	})
	t.Run("environment sets discovery if the file does not", func(t *testing.T) {
		c := mustParse(t, strings.Replace(validConfig, "10.2.0.1:8500", "", 1), getenv)
		if c.Discovery != "127.0.0.1:10" {
			t.Errorf("got %+v, want discovery 127.0.0.1:10", c)
		}
	})
}

func TestErrorsNameTheField(t *testing.T) {
	for _, test := range []struct{ old, replacement, field string }{
		{`"listen":"10.0.0.4:6432"`, `"listen":""`, "listen"},
		{`10.2.0.1:8500`, `10.2.0.1`, "discovery"},
		{`8c1f30d27a5be964`, `xyz`, "seed"},
		{`"cores":1.0`, `"cores":0`, "limits.cores"},
		{`"cores":1.0`, `"cores":"one"`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"state":"ready"`, `"state":"well"`, "known.servers[0].state"},
		{`"ConnIdleNs":15,`, ``, "settings.Limits.ConnIdleNs"},
		{`"ConnectTimeoutNs":25`, `"ConnectTimeoutNs":0`, "settings.Limits.ConnectTimeoutNs"},
		{`"Discovery":"ask"`, `"Discovery":"pull"`, "settings.Discovery"},
		{`"Discovery":"ask",`, ``, "settings.Discovery"},
		{`"Guards":"silent"`, `"Guards":"odd"`, "settings.Extra.Guards"},
		{`"GiveUpNs":2`, `"GiveUpNs":0`, "settings"},
		{`{"name"`, `{"name"x`, "EDGE_CONFIG"},
	} {
		t.Run(test.field+" "+test.replacement, func(t *testing.T) {
			changed := strings.Replace(validConfig, test.old, test.replacement, 1)
			if changed == validConfig {
				t.Fatalf("the configuration does not contain %s", test.old)
			}
			_, err := Parse([]byte(changed), emptyEnvironment)
			checkFieldError(t, err, "", test.field)
		})
	}
	t.Run("EDGE_CONFIG is not set", func(t *testing.T) {
		_, err := Load(emptyEnvironment)
		checkFieldError(t, err, "", "EDGE_CONFIG")
	})
	t.Run("class that the decision module rejects", func(t *testing.T) {
		_, err := Parse([]byte(strings.Replace(validConfig, `"GiveUpNs":2`, `"GiveUpNs":0`, 1)), emptyEnvironment)
		if err == nil || !strings.HasPrefix(err.Error(), "settings: Classes: GiveUp") {
			t.Error(err)
		}
	})
	t.Run("EDGE_INHERITED_FD", func(t *testing.T) {
		for _, value := range []string{"x", "2", "-1"} {
			getenv := func(name string) string { return map[string]string{"EDGE_INHERITED_FD": value}[name] }
			_, err := Parse([]byte(validConfig), getenv)
			checkFieldError(t, err, "", "EDGE_INHERITED_FD")
		}
	})
}
