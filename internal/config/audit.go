package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"limeladder/internal/audit"
)

// Audit says what is recorded.
type Audit struct {
	Kinds     []string      `toml:"kinds"`                   // of events; empty = all
	Outcomes  []string      `toml:"outcomes"`                // of requests; empty = all
	Reads     *float64      `toml:"reads"`                   // the share of the served reads, 0 to 1; nil = all
	Keys      string        `toml:"keys"`                    // the key file; empty = records do not chain
	Heads     int           `toml:"heads"`                   // messages from one head of the chain to the next; 0 = 256
	HeadsTime time.Duration `toml:"heads_time" json:"Every"` // the longest time between two heads; 0 = 10 s

	// LoadedKeys and Rules are what the fields above amount to.
	LoadedKeys audit.Keys  `toml:"-" json:"Loaded"`
	Rules      audit.Rules `toml:"-"`
}

// check checks the fields and reads the key file.
func (a *Audit) check() error {
	const (
		maxHeads     = 1 << 20
		maxHeadsTime = time.Hour
	)
	if err := a.readKeys(); err != nil {
		return err
	}
	a.Rules = audit.Rules{Kinds: a.Kinds, Outcomes: a.Outcomes, Reads: 1}
	if a.Reads != nil {
		a.Rules.Reads = *a.Reads
	}
	if _, err := a.Policy(); err != nil {
		return policyError(err)
	}
	return firstError(
		checkRange("audit.heads", a.Heads, 0, maxHeads),
		checkDuration("audit.heads_time", a.HeadsTime, maxHeadsTime, "1h"),
	)
}

func (a *Audit) readKeys() error {
	if a.Keys == "" {
		return nil
	}
	text, err := os.ReadFile(a.Keys)
	if err != nil {
		return &FieldError{Field: "audit.keys", Reason: err}
	}
	a.LoadedKeys, err = audit.ParseKeys(text)
	if err != nil {
		return &FieldError{Field: "audit.keys", Reason: fmt.Errorf("%s: %w", a.Keys, err)}
	}
	return nil
}

// policyError names the field that an error of audit.NewPolicy starts with.
func policyError(err error) error {
	field, reason, _ := strings.Cut(err.Error(), ": ")
	return &FieldError{Field: "audit." + field, Reason: errors.New(reason)}
}

// Policy returns a policy that follows the rules. Each has a state of its own.
func (a *Audit) Policy() (*audit.Policy, error) {
	var secret *audit.Secret
	if len(a.LoadedKeys) > 0 {
		secret = &a.LoadedKeys[0].Secret
	}
	return audit.NewPolicy(a.Rules, secret)
}
