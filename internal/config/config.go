// Package config reads EDGE_CONFIG, which the platform writes, and deploy/limeladder.toml, which the operators write,
// and translates their keywords into the types of the code.
//
// The package defines the names and ranges of all fields, and reads the key and certificate files that they name. It
// does not watch files and starts no goroutine; the caller loads the files again on a reload. An error about a field is
// a *FieldError, whose text is one line that names the field.
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

	// firstInheritedFD is the first file descriptor after standard input, output and error.
	firstInheritedFD = 3

	minMemoryMB = 32
	minSockets  = 64

	// lateRejectCost is the cost of rejecting or failing, after half of its client timeout, a request that was never
	// forwarded. It is a fraction of the request's weight. It applies to a router with real connections only: the
	// simulator's protocol has no such cost, so the settings have no field for it.
	lateRejectCost = 0.3
)

// Config is the startup configuration of a router.
type Config struct {
	Name           string        `json:"name"`
	Listen         string        `json:"listen"`
	Discovery      string        `json:"discovery"`
	AdminAddress   string        `json:"operator"` // address of the admin API; empty if it is off
	Seed           string        `json:"seed"`
	Limits         Limits        `json:"limits"`
	KnownEndpoints *EndpointList `json:"known"`

	Settings Settings `json:"settings"`

	SeedValue   uint64         `json:"-"`
	InheritedFD int            `json:"-"` // descriptor of the inherited client listener; 0 if there is none
	Balance     balance.Config `json:"-"`
}

// Limits are the resources that the platform grants to the router.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Load reads the file that EDGE_CONFIG names and applies the environment as Parse does.
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

// Parse decodes and validates a configuration. The variables EDGE_NAME, EDGE_LISTEN and EDGE_OPERATOR override its
// fields; EDGE_DISCOVERY applies only if the configuration sets no discovery address.
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

// decodeError converts an error of json.Unmarshal to a *FieldError. It names the field for a value of the wrong type,
// and EDGE_CONFIG for invalid JSON.
func decodeError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fieldErrorf(typeErr.Field, "wrong type: JSON %s", typeErr.Value)
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
	override(&c.AdminAddress, "EDGE_OPERATOR")
	// The file may be replaced while the process runs, but its environment stays as it was at startup. A discovery address
	// in the file is therefore the more recent one.
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
	if c.AdminAddress == "" {
		return nil
	}
	return checkAddress("operator", c.AdminAddress)
}

func (c *Config) readInheritedFD(text string) error {
	if text == "" {
		return nil
	}
	descriptor, err := strconv.Atoi(text)
	if err != nil || descriptor < firstInheritedFD {
		return fieldErrorf(edgeInheritedFD, "%q is not an inheritable file descriptor", text)
	}
	c.InheritedFD = descriptor
	return nil
}

func (c *Config) readSeed() error {
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return fieldErrorf("seed", "%q is not a 64-bit hexadecimal number", c.Seed)
	}
	c.SeedValue = seed
	return nil
}

func (l Limits) check() error {
	hasCores := l.Cores > 0 // false for NaN too
	switch {
	case !hasCores:
		return fieldErrorf("limits.cores", "%v is not greater than 0", l.Cores)
	case l.MemoryMB < minMemoryMB:
		return fieldErrorf("limits.memory_mb", "%d is too small, the minimum is %d", l.MemoryMB, minMemoryMB)
	case l.Sockets < minSockets:
		return fieldErrorf("limits.sockets", "%d is too small, the minimum is %d", l.Sockets, minSockets)
	}
	return nil
}

// readBalance translates the settings for the decision module and validates them by creating a balancer from them.
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
	if c.KnownEndpoints == nil {
		return nil
	}
	for i, entry := range c.KnownEndpoints.Endpoints {
		if _, err := entry.Balance(); err != nil {
			return inObject(fmt.Sprintf("known.servers[%d]", i), err)
		}
	}
	return nil
}
