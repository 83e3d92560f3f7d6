package fsm

import (
	"errors"
	"testing"
)

// Callers can distinguish a conflict, after which they read the record again, from other rejections.
func TestResultErrors(t *testing.T) {
	for _, test := range []struct {
		name     string
		result   Result
		text     string // empty if there is no error
		conflict bool
	}{
		{"applied", Result{Revision: 7}, "", false},
		{"conflict", Result{Reason: ReasonConflict, Key: "a", CurrentRevision: 3}, "conflict: a has revision 3", true},
		{"limit", Result{Reason: ReasonLimitExceeded, Key: "b"}, "too much: b has revision 0", false},
		{"invalid", Result{Reason: ReasonInvalid}, "bad:  has revision 0", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.result.Err()
			if test.text == "" {
				if err != nil {
					t.Fatal(err)
				}
				return
			}
			if err == nil || err.Error() != test.text {
				t.Fatalf("got error %v, want %s", err, test.text)
			}
			var conflict *ConflictError
			if errors.As(err, &conflict) != test.conflict {
				t.Errorf("error %v is a *ConflictError: %v, want the opposite", err, !test.conflict)
			}
			var rejected *RejectedError
			if !errors.As(err, &rejected) || rejected.Key != test.result.Key {
				t.Errorf("error %v is not a *RejectedError for the key %q", err, test.result.Key)
			}
		})
	}
}
