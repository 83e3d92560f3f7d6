// Package config reads EDGE_CONFIG and the files under deploy/. A fault names the field it stands in.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"limeladder/balance"
)

// Entry is one db machine as discovery names it.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int64   `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
	Mode      string  `json:"mode"`
}

// List is an answer of discovery.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Balance turns an entry into the decision module's form.
func (e Entry) Balance() (balance.EndpointEntry, error) {
	b := balance.EndpointEntry{Endpoint: e.ID, Zone: e.Zone, Group: e.Cell, Primary: e.Mode == "read-write"}
	if e.StartedMs > 0 {
		b.StartedAt = time.Duration(e.StartedMs) * time.Millisecond
	}
	switch e.State {
	case "ready":
		b.State = balance.EndpointReady
	case "draining":
		b.State = balance.EndpointDraining
	case "gone":
		b.State = balance.EndpointRemoved
	default:
		return b, fmt.Errorf("state: unknown word %q", e.State)
	}
	if e.ID == "" {
		return b, errors.New("id: missing")
	}
	return b, nil
}

// Config is what a router is told when it starts.
type Config struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"` // where operators call, "" = nowhere
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    *List    `json:"known"`
	Settings Settings `json:"settings"`

	SeedValue uint64         `json:"-"`
	Inherited int            `json:"-"` // descriptor of the socket where clients connect, 0 = it has to be bound
	Balance   balance.Config `json:"-"`
}

// heldBack is what it costs to refuse or fail, beyond half of its client's time, what was never sent. It holds on
// sockets; the simulator's wire knows no such price, so the settings have no field for it.
const heldBack = 0.3

// Load reads the file that EDGE_CONFIG names; EDGE_NAME, EDGE_LISTEN and EDGE_OPERATOR override it, EDGE_DISCOVERY stands in where it
// names no discovery.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return nil, errors.New("EDGE_CONFIG: not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	return Parse(text, getenv)
}

// Parse checks the text of a configuration.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(text, c); err != nil {
		var t *json.UnmarshalTypeError
		if errors.As(err, &t) {
			return nil, fmt.Errorf("%s: a %s does not fit", t.Field, t.Value)
		}
		return nil, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	for name, field := range map[string]*string{"EDGE_NAME": &c.Name, "EDGE_LISTEN": &c.Listen,
		"EDGE_OPERATOR": &c.Operator} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	// The environment stays as it was at the start while the file is replaced: the file is the newer of the two.
	if c.Discovery == "" {
		c.Discovery = getenv("EDGE_DISCOVERY")
	}
	if err := address(c.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if err := address(c.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	if c.Operator != "" {
		if err := address(c.Operator); err != nil {
			return nil, fmt.Errorf("operator: %w", err)
		}
	}
	var err error
	if v := getenv("EDGE_INHERITED_FD"); v != "" {
		if c.Inherited, err = strconv.Atoi(v); err != nil || c.Inherited < 3 {
			return nil, fmt.Errorf("EDGE_INHERITED_FD: %q is no descriptor", v)
		}
	}
	if c.SeedValue, err = strconv.ParseUint(c.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is no hexadecimal number of 64 bits", c.Seed)
	}
	switch l := c.Limits; {
	case !(l.Cores > 0):
		return nil, fmt.Errorf("limits.cores: %v is not above 0", l.Cores)
	case l.MemoryMB < 32:
		return nil, fmt.Errorf("limits.memory_mb: %d, at least 32 needed", l.MemoryMB)
	case l.Sockets < 64:
		return nil, fmt.Errorf("limits.sockets: %d, at least 64 needed", l.Sockets)
	}
	if c.Settings.Limits.ConnectTimeoutNs <= 0 {
		return nil, errors.New("settings.Limits.ConnectTimeoutNs: missing")
	}
	if c.Settings.Limits.ConnIdleNs <= 0 {
		return nil, errors.New("settings.Limits.ConnIdleNs: missing")
	}
	if c.Balance, err = c.Settings.Balance(); err != nil {
		return nil, fmt.Errorf("settings.%w", err)
	}
	c.Balance.LateRejectCost = heldBack
	if _, err := balance.New(c.Balance, 0); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.Known != nil {
		for i, e := range c.Known.Servers {
			if _, err := e.Balance(); err != nil {
				return nil, fmt.Errorf("known.servers[%d].%w", i, err)
			}
		}
	}
	return c, nil
}

func address(s string) error {
	if s == "" {
		return errors.New("missing")
	}
	_, port, err := net.SplitHostPort(s)
	if err != nil {
		return err
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return fmt.Errorf("%q is no port", port)
	}
	return nil
}
