package fsm

import (
	"encoding/json"
	"fmt"
	"time"
)

// KindConfig is the kind of the records whose history is kept.
const KindConfig = "config"

// Record is a value under its key.
type Record struct {
	Key            string
	Kind           string // what the value is; empty if nobody said
	Schema         int    // version of the form that values of this kind have
	Value          []byte
	CreateRevision uint64 `json:"Created"`  // of the change that created the record
	ModRevision    uint64 `json:"Revision"` // of the change that set it last
}

// Op sets or deletes a record.
type Op struct {
	Key    string
	Kind   string `json:",omitempty"`
	Schema int    `json:",omitempty"`
	Value  []byte `json:",omitempty"`
	Delete bool   `json:",omitempty"`
	// IfRevision is the revision that the record must have for the change to be applied; 0 means that there must be no
	// such record, nil that any is accepted.
	IfRevision *uint64 `json:"If,omitempty"`
}

// Change is a set of operations that is applied completely or not at all.
type Change struct {
	// ID makes the change idempotent: of the changes with one id only the first is applied. Empty means none.
	ID     string `json:",omitempty"`
	Author string `json:",omitempty"`
	// ProposedAt is the time since the Unix epoch by the clock of the proposer.
	ProposedAt time.Duration `json:"At,omitempty"`
	Ops        []Op
}

// Reason says why a change was rejected.
type Reason string

// The reasons of a rejection. They are stored, and sent between members.
const (
	ReasonConflict      Reason = "conflict" // a record does not have the revision that the change requires
	ReasonLimitExceeded Reason = "too much" // the change would exceed one of the limits
	ReasonInvalid       Reason = "bad"      // no operation, an operation without a key, or two on the same key
)

// Result is the outcome of a change.
type Result struct {
	Revision        uint64 // that the change made; 0 if it was rejected
	Reason          Reason `json:"Fault,omitempty"` // of the rejection; empty if the change was applied
	Key             string `json:",omitempty"`      // the record that the change was rejected for
	CurrentRevision uint64 `json:"Have,omitempty"`  // of that record
	Duplicate       bool   `json:"Again,omitempty"` // an earlier change with this id had this result
}

// Applied says whether the change was applied, now or as an earlier one with the same id.
func (r Result) Applied() bool { return r.Reason == "" }

// Err returns nil for a change that was applied, a *ConflictError where another change came first, and a *RejectedError
// for any other reason.
func (r Result) Err() error {
	rejected := RejectedError{Reason: r.Reason, Key: r.Key, Revision: r.CurrentRevision}
	switch r.Reason {
	case "":
		return nil
	case ReasonConflict:
		return &ConflictError{RejectedError: rejected}
	default:
		return &rejected
	}
}

// RejectedError says that a change was rejected.
type RejectedError struct {
	Reason   Reason
	Key      string // the record that the change was rejected for
	Revision uint64 // of that record
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s: %s has revision %d", e.Reason, e.Key, e.Revision)
}

// ConflictError says that a record does not have the revision that the change requires: the caller reads it again and
// decides anew.
type ConflictError struct{ RejectedError }

// Unwrap lets errors.As find the rejection too.
func (e *ConflictError) Unwrap() error { return &e.RejectedError }

// Encode writes a change as an entry of the log.
func (c Change) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode reads a change from an entry of the log. Entries of the first version of the program set one key.
func Decode(entry []byte) (Change, error) {
	var decoded struct {
		Change
		Key   *string
		Value []byte
	}
	if err := json.Unmarshal(entry, &decoded); err != nil {
		return Change{}, err
	}
	isFirstVersion := decoded.Key != nil && len(decoded.Ops) == 0
	if isFirstVersion {
		return Change{Ops: []Op{{Key: *decoded.Key, Value: decoded.Value}}}, nil
	}
	return decoded.Change, nil
}
