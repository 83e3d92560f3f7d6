package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"limeladder/internal/audit"
)

// Audit is the section [audit] of the deploy file: which events and requests are recorded, and how records are chained.
type Audit struct {
	Kinds     []string      `toml:"kinds"`                   // event kinds to record; empty = all
	Outcomes  []string      `toml:"outcomes"`                // request outcomes to record; empty = all
	Reads     *float64      `toml:"reads"`                   // fraction of the served reads to record, 0 to 1; nil = all
	Keys      string        `toml:"keys"`                    // path of the key file; empty = records are not chained
	Heads     int           `toml:"heads"`                   // messages between two chain heads; 0 = 256
	HeadsTime time.Duration `toml:"heads_time" json:"Every"` // maximum time between two chain heads; 0 = 10 s

	// LoadedKeys and Rules are derived from the fields above when the file is loaded.
	LoadedKeys audit.Keys  `toml:"-" json:"Loaded"`
	Rules      audit.Rules `toml:"-"`
}

// check validates the fields and reads the key file.
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

// policyError converts an error of audit.NewPolicy, whose text starts with the name of a field, to a *FieldError.
func policyError(err error) error {
	field, reason, _ := strings.Cut(err.Error(), ": ")
	return &FieldError{Field: "audit." + field, Reason: errors.New(reason)}
}

// Policy returns a new policy for the rules. Policies do not share state.
func (a *Audit) Policy() (*audit.Policy, error) {
	var secret *audit.Secret
	if len(a.LoadedKeys) > 0 {
		secret = &a.LoadedKeys[0].Secret
	}
	return audit.NewPolicy(a.Rules, secret)
}
