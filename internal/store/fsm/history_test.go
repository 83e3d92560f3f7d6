package fsm

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

// The latest configurations are kept with their authors and times. A rollback to one of them is applied unless the
// record has changed since the rollback was prepared.
func TestHistory(t *testing.T) {
	s := New(smallLimits())
	for i := range 5 {
		value := []byte{byte(i)}
		mustApply(t, s, Change{Author: fmt.Sprint("op", i), ProposedAt: time.Duration(i), Ops: []Op{
			{Key: "c", Kind: KindConfig, Schema: i, Value: value},
			{Key: "s", Value: value},
		}})
	}
	history := s.History("c")
	if len(history) != 3 || history[0].Author != "op2" || history[2].ProposedAt != 4 || history[2].Schema != 4 {
		t.Fatalf("history %+v, want the last 3 changes", history)
	}
	if other := s.History("s"); len(other) != 0 {
		t.Fatalf("a record that is not a configuration has the history %+v, want none", other)
	}
	rollback, err := s.Rollback("c", history[0].ModRevision)
	if err != nil {
		t.Fatal(err)
	}
	tooLate, err := s.Rollback("c", history[1].ModRevision)
	if err != nil {
		t.Fatal(err)
	}
	mustApply(t, s, rollback)
	if restored, _ := s.Get("c"); restored.Value[0] != 2 || restored.Schema != 2 || restored.Kind != KindConfig {
		t.Fatalf("restored %+v, want value and schema 2", restored)
	}
	if result := s.Apply(tooLate); result.Reason != ReasonConflict {
		t.Fatalf("second rollback: %+v, want a conflict", result)
	}
	mustApply(t, s, Change{Ops: []Op{{Key: "c", Delete: true}}})
	if history := s.History("c"); !history[len(history)-1].Deleted {
		t.Fatalf("history %+v, want a deletion as its last entry", history)
	}
}

// A rollback to a revision that is not in the history returns ErrNoSuchRevision.
func TestRollbackToUnknownRevision(t *testing.T) {
	s := New(smallLimits())
	for range 4 {
		mustApply(t, s, Change{Ops: []Op{{Key: "c", Kind: KindConfig}}})
	}
	for _, test := range []struct {
		name     string
		key      string
		revision uint64
		want     error
	}{
		{"dropped", "c", 1, ErrNoSuchRevision},
		{"not reached yet", "c", 9, ErrNoSuchRevision},
		{"unknown key", "d", 2, ErrNoSuchRevision},
		{"kept", "c", 2, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, err := s.Rollback(test.key, test.revision); !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
		})
	}
}
