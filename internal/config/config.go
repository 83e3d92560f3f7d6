// Package config reads EDGE_CONFIG, which the platform writes, and deploy/limeladder.toml, which the operators write,
// and translates their words once into the terms of the code.
//
// The package owns the names and ranges of all fields, and reads the files that they name: keys and certificates. It
// does not watch files and starts no goroutine; the caller reads anew when it is told to. An error about a field is a
// *FieldError, one line that names the field.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"

	"limeladder/balance"
)

const (
	edgeConfig      = "EDGE_CONFIG"
	edgeInheritedFD = "EDGE_INHERITED_FD"

	// firstInheritedFD is the first descriptor behind the standard streams.
	firstInheritedFD = 3

	minMemoryMB = 32
	minSockets  = 64

	// lateRejectCost is what it costs to reject or fail, after half of its client's timeout, a request that was never
	// forwarded. It holds on sockets; the protocol of the simulator has no such cost, so the settings have no field for
	// it.
	lateRejectCost = 0.3
)

// Config is what a router is told when it starts.
type Config struct {
	Name      string        `json:"name"`
	Listen    string        `json:"listen"`
	Discovery string        `json:"discovery"`
	Operator  string        `json:"operator"` // address of the admin API; empty if it is off
	Seed      string        `json:"seed"`
	Limits    Limits        `json:"limits"`
	Known     *EndpointList `json:"known"`

	Settings Settings `json:"settings"`

	SeedValue   uint64         `json:"-"`
	InheritedFD int            `json:"-"` // descriptor of the socket where clients connect; 0 if it has to be bound
	Balance     balance.Config `json:"-"`
}

// Limits are what the platform grants.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Load reads the file that EDGE_CONFIG names, and the environment; see Parse.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(edgeConfig)
	if path == "" {
		return nil, fieldErrorf(edgeConfig, "not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FieldError{Field: edgeConfig, Reason: err}
	}
	return Parse(text, getenv)
}

// Parse reads and checks the text of a configuration. EDGE_NAME, EDGE_LISTEN and EDGE_OPERATOR override it;
// EDGE_DISCOVERY is used if it names no discovery.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, decodeError(err)
	}
	c.applyEnvironment(getenv)
	for _, step := range []func() error{
		c.checkAddresses,
		func() error { return c.readInheritedFD(getenv(edgeInheritedFD)) },
		c.readSeed,
		c.Limits.check,
		c.Settings.checkTimeouts,
		c.readBalance,
		c.checkKnown,
	} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// decodeError names the field of a value of the wrong type, or the whole configuration if it is not JSON.
func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fieldErrorf(typeErr.Field, "a %s does not fit", typeErr.Value)
	}
	return &FieldError{Field: edgeConfig, Reason: err}
}

func (c *Config) applyEnvironment(getenv func(string) string) {
	override := func(field *string, variable string) {
		if value := getenv(variable); value != "" {
			*field = value
		}
	}
	override(&c.Name, "EDGE_NAME")
	override(&c.Listen, "EDGE_LISTEN")
	override(&c.Operator, "EDGE_OPERATOR")
	// The environment stays as it was at the start while the file is replaced: the file is the newer of the two.
	if c.Discovery == "" {
		c.Discovery = getenv("EDGE_DISCOVERY")
	}
}

func (c *Config) checkAddresses() error {
	if err := checkAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := checkAddress("discovery", c.Discovery); err != nil {
		return err
	}
	if c.Operator == "" {
		return nil
	}
	return checkAddress("operator", c.Operator)
}

func (c *Config) readInheritedFD(text string) error {
	if text == "" {
		return nil
	}
	descriptor, err := strconv.Atoi(text)
	if err != nil || descriptor < firstInheritedFD {
		return fieldErrorf(edgeInheritedFD, "%q is no descriptor", text)
	}
	c.InheritedFD = descriptor
	return nil
}

func (c *Config) readSeed() error {
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fieldErrorf("seed", "%q is no hexadecimal number of 64 bits", c.Seed)
	}
	c.SeedValue = seed
	return nil
}

func (l Limits) check() error {
	hasCores := l.Cores > 0 // false for NaN too
	switch {
	case !hasCores:
		return fieldErrorf("limits.cores", "%v is not above 0", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return fieldErrorf("limits.memory_mb", "%d, at least %d needed", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return fieldErrorf("limits.sockets", "%d, at least %d needed", l.Sockets, minSockets)
	}
	return nil
}

// readBalance translates the settings for the decision module, and has it check them.
func (c *Config) readBalance() error {
	translated, err := c.Settings.Balance()
	if err != nil {
		return inObject("settings", err)
	}
	translated.LateRejectCost = lateRejectCost
	if _, err := balance.New(translated, 0); err != nil {
		return &FieldError{Field: "settings", Reason: err}
	}
	c.Balance = translated
	return nil
}

func (c *Config) checkKnown() error {
	if c.Known == nil {
		return nil
	}
	for i, entry := range c.Known.Endpoints {
		if _, err := entry.Balance(); err != nil {
			return inObject(fmt.Sprintf("known.servers[%d]", i), err)
		}
	}
	return nil
}
