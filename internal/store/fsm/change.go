package fsm

import (
	"encoding/json"
	"fmt"
	"time"
)

// KindConfig is the kind of the records whose history is kept.
const KindConfig = "config"

// Record is a key with its value.
type Record struct {
	Key            string
	Kind           string // kind of the value; empty if the change did not set one
	Schema         int    // version of the format of values of this kind
	Value          []byte
	CreateRevision uint64 `json:"Created"`  // revision of the change that created the record
	ModRevision    uint64 `json:"Revision"` // revision of the last change that set the record
}

// Op sets or deletes a record.
type Op struct {
	Key    string
	Kind   string `json:",omitempty"`
	Schema int    `json:",omitempty"`
	Value  []byte `json:",omitempty"`
	Delete bool   `json:",omitempty"`
	// IfRevision is the revision that the record must have for the change to be applied. 0 means that the record must not
	// exist, and nil that the operation is unconditional.
	IfRevision *uint64 `json:"If,omitempty"`
}

// Change is a set of operations that is applied completely or not at all.
type Change struct {
	// ID makes the change idempotent: of several changes with the same id only the first is applied. It is optional.
	ID     string `json:",omitempty"`
	Author string `json:",omitempty"`
	// ProposedAt is the time since the Unix epoch, by the proposer's clock.
	ProposedAt time.Duration `json:"At,omitempty"`
	Ops        []Op
}

// Reason is the reason why a change was rejected.
type Reason string

// Reasons for a rejection. They are stored on disk and sent between members.
const (
	ReasonConflict      Reason = "conflict" // a record does not have the revision that the change requires
	ReasonLimitExceeded Reason = "too much" // the change would exceed one of the limits
	ReasonInvalid       Reason = "bad"      // no operation, an empty or repeated key, or a deletion with a value
)

// Result is the outcome of a change. If one operation caused a rejection, Key and CurrentRevision describe its record.
// If the change was rejected as a whole, Key is empty or that of the first operation, and CurrentRevision is 0.
type Result struct {
	Revision        uint64 // revision of the state after the change; 0 if it was rejected
	Reason          Reason `json:"Fault,omitempty"` // reason of the rejection; empty if the change was applied
	Key             string `json:",omitempty"`      // key of the operation that caused the rejection
	CurrentRevision uint64 `json:"Have,omitempty"`  // revision of its record; 0 if the record does not exist
	Duplicate       bool   `json:"Again,omitempty"` // whether this is the result of an earlier change with the same id
}

// Applied reports whether the change was applied, now or earlier under the same id.
func (r Result) Applied() bool { return r.Reason == "" }

// Err returns nil if the change was applied, a *ConflictError if a record had another revision than required, and a
// *RejectedError for any other reason.
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

// RejectedError reports that a change was rejected.
type RejectedError struct {
	Reason   Reason
	Key      string // like Result.Key
	Revision uint64 // like Result.CurrentRevision
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("%s: %s has revision %d", e.Reason, e.Key, e.Revision)
}

// ConflictError reports that a record does not have the revision that the change requires. The caller should read the
// record again before it proposes another change.
type ConflictError struct{ RejectedError }

// Unwrap returns the rejection, so that errors.As finds it too.
func (e *ConflictError) Unwrap() error { return &e.RejectedError }

// Encode returns the change encoded as a log entry.
func (c Change) Encode() ([]byte, error) { return json.Marshal(c) }

// Decode decodes a change from a log entry. Entries of the first version of the program set a single key.
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
