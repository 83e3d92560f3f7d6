package fsm

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func smallLimits() Limits {
	return Limits{
		KeyBytes: 8, ValueBytes: 16, Ops: 3, Records: 4, TotalBytes: 60, HistoryLength: 3, RememberedIDs: 4, Events: 5,
	}
}

func revision(n uint64) *uint64 { return &n }

// set returns an operation that sets a record unconditionally.
func set(key, value string) Op { return Op{Key: key, Value: []byte(value)} }

// setIf returns an operation that sets a record if its revision is n.
func setIf(key, value string, n uint64) Op {
	return Op{Key: key, Value: []byte(value), IfRevision: revision(n)}
}

func mustApply(t *testing.T, s *State, change Change) Result {
	t.Helper()
	result := s.Apply(change)
	if !result.Applied() {
		t.Fatalf("change %+v rejected: %+v", change, result)
	}
	return result
}

func checkValue(t *testing.T, s *State, key, want string) {
	t.Helper()
	if record, _ := s.Get(key); string(record.Value) != want {
		t.Fatalf("%s is %q, want %q", key, record.Value, want)
	}
}

// A change is applied completely or not at all, and only if its records have the required revisions.
func TestCompareAndSet(t *testing.T) {
	s := New(DefaultLimits())
	first := s.Apply(Change{Ops: []Op{setIf("a", "1", 0), set("b", "2")}})
	if first.Revision != 1 || first.Err() != nil {
		t.Fatalf("got %+v, want revision 1", first)
	}
	conflict := s.Apply(Change{Ops: []Op{set("b", "3"), setIf("a", "3", 0)}})
	if conflict != (Result{Reason: ReasonConflict, Key: "a", CurrentRevision: 1}) || conflict.Err() == nil {
		t.Fatalf("got %+v, want a conflict on a at revision 1", conflict)
	}
	checkValue(t, s, "b", "2")
	if s.Revision() != 1 {
		t.Fatalf("revision %d after a rejected change, want 1", s.Revision())
	}
	deleted := s.Apply(Change{Ops: []Op{{Key: "a", Delete: true, IfRevision: revision(1)}, {Key: "c", Delete: true}}})
	if deleted.Revision != 2 || s.Len() != 1 {
		t.Fatalf("got %+v and %d records, want revision 2 and 1 record", deleted, s.Len())
	}
	if events, err := s.EventsSince(1); err != nil || !slices.Equal(events, []Event{{2, "a", true}}) {
		t.Fatalf("got events %+v and error %v, want only the deletion of a", events, err)
	}
	if records := s.Range("b"); len(records) != 1 || records[0].CreateRevision != 1 {
		t.Fatalf("got %+v, want one record that was created at revision 1", records)
	}
}

// A change that is proposed again because its response was lost is applied only once.
func TestDuplicateChange(t *testing.T) {
	s := New(smallLimits())
	change := Change{ID: "x", Ops: []Op{set("a", "1")}}
	first := s.Apply(change)
	s.Apply(Change{Ops: []Op{set("a", "2")}})
	again := s.Apply(change)
	if !again.Duplicate || again.Revision != first.Revision || s.Revision() != 2 {
		t.Fatalf("first %+v, then %+v, want a duplicate of the first result", first, again)
	}
	checkValue(t, s, "a", "2")
	for i := range 4 {
		s.Apply(Change{ID: fmt.Sprint(i), Ops: []Op{{Key: "a"}}})
	}
	if len(s.resultByID) != 4 || s.Apply(change).Duplicate {
		t.Error("more than the latest 4 change ids are remembered")
	}
}

func TestRejectedChanges(t *testing.T) {
	s := New(smallLimits())
	for _, test := range []struct {
		name   string
		change Change
		reason Reason
	}{
		{"no operation", Change{}, ReasonInvalid},
		{"no key", Change{Ops: []Op{{}}}, ReasonInvalid},
		{"repeated key", Change{Ops: []Op{{Key: "a"}, {Key: "a"}}}, ReasonInvalid},
		{"deletion with a value", Change{Ops: []Op{{Key: "a", Delete: true, Value: []byte("x")}}}, ReasonInvalid},
		{"long key", Change{Ops: []Op{{Key: strings.Repeat("k", 9)}}}, ReasonLimitExceeded},
		{"long value", Change{Ops: []Op{{Key: "a", Value: make([]byte, 17)}}}, ReasonLimitExceeded},
		{"many operations", Change{Ops: []Op{{Key: "a"}, {Key: "b"}, {Key: "c"}, {Key: "d"}}}, ReasonLimitExceeded},
		{"long id", Change{ID: strings.Repeat("i", 9), Ops: []Op{{Key: "a"}}}, ReasonLimitExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			if result := s.Apply(test.change); result.Reason != test.reason || s.Len() != 0 {
				t.Errorf("got %+v and %d records, want a rejection and no record", result, s.Len())
			}
		})
	}
}

// Beyond a limit no record is added, but changes that free capacity are applied.
func TestLimits(t *testing.T) {
	s := New(smallLimits())
	for i := range 3 {
		mustApply(t, s, Change{Ops: []Op{{Key: fmt.Sprint(i), Value: make([]byte, 16)}}})
	}
	result := s.Apply(Change{Ops: []Op{{Key: "3", Value: make([]byte, 16)}}})
	if result.Reason != ReasonLimitExceeded || s.Bytes() != 51 {
		t.Errorf("got %+v and %d bytes, want a rejection and 51 bytes", result, s.Bytes())
	}
	// A member whose limits were lowered contains more than they allow.
	s.limits.Records = 1
	s.limits.TotalBytes = 10
	if result := s.Apply(Change{Ops: []Op{{Key: "0", Delete: true}}}); !result.Applied() || s.Len() != 2 {
		t.Errorf("got %+v and %d records, want the deletion applied and 2 records", result, s.Len())
	}
}

// drawChange draws a change that may be valid or not.
func drawChange(t *rapid.T, revisions uint64) Change {
	change := Change{ID: rapid.SampledFrom([]string{"", "", "i", "j", "k", "l", "m"}).Draw(t, "id")}
	for range rapid.IntRange(0, 4).Draw(t, "ops") {
		op := Op{
			Key:    rapid.SampledFrom([]string{"", "a", "b", "c", "d", "e"}).Draw(t, "key"),
			Kind:   rapid.SampledFrom([]string{"", KindConfig}).Draw(t, "kind"),
			Value:  rapid.SliceOfN(rapid.Byte(), 0, 18).Draw(t, "value"),
			Delete: rapid.Bool().Draw(t, "delete"),
		}
		if op.Delete {
			op.Value = nil
		}
		if rapid.Bool().Draw(t, "conditional") {
			op.IfRevision = revision(rapid.Uint64Range(0, revisions).Draw(t, "if"))
		}
		change.Ops = append(change.Ops, op)
	}
	return change
}

// reencode returns a change as another member reads it from the log.
func reencode(t *rapid.T, change Change) Change {
	entry, err := change.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(entry)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// checkRevision checks that the revision has grown by 1 if the change was applied just now, and not otherwise.
func checkRevision(t *rapid.T, result Result, before, after uint64) {
	want := before
	if result.Applied() && !result.Duplicate {
		want++
	}
	if after != want {
		t.Fatalf("result %+v at revision %d, then revision %d", result, before, after)
	}
}

func checkUsage(t *rapid.T, s *State) {
	counted := 0
	for _, record := range s.Range("") {
		counted += size(record.Key, record.Value)
	}
	if counted != s.Bytes() || s.Len() > 4 || counted > 60 {
		t.Fatalf("%d records with %d bytes, counted %d, want at most 4 records and 60 bytes", s.Len(), s.Bytes(), counted)
	}
}

func restart(t *rapid.T, s *State) *State {
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := Restore(snapshot, smallLimits())
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// After any sequence of changes, a member that was restarted from snapshots has the same encoded state as one that has
// applied all changes without a restart. The usage is counted correctly, and revisions never decrease.
func TestMembersReachSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(smallLimits())
		b := New(smallLimits())
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			change := drawChange(t, a.Revision())
			decoded := reencode(t, change)
			before := a.Revision()
			resultA := a.Apply(change)
			resultB := b.Apply(decoded)
			if resultA != resultB {
				t.Fatalf("results differ: %+v and %+v", resultA, resultB)
			}
			checkRevision(t, resultA, before, a.Revision())
			checkUsage(t, a)
			if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
				b = restart(t, b)
			}
		}
		snapshotA, errA := a.Snapshot()
		snapshotB, errB := b.Snapshot()
		if errA != nil || errB != nil || !bytes.Equal(snapshotA, snapshotB) {
			t.Fatalf("snapshots differ:\n%q, error %v\n%q, error %v", snapshotA, errA, snapshotB, errB)
		}
	})
}

func BenchmarkApply(b *testing.B) {
	s := New(DefaultLimits())
	value := make([]byte, 200)
	for i := 0; b.Loop(); i++ {
		key := fmt.Sprint("key/", i%10_000)
		record, _ := s.Get(key)
		change := Change{ID: fmt.Sprint(i), Ops: []Op{{Key: key, Value: value, IfRevision: &record.ModRevision}}}
		if result := s.Apply(change); !result.Applied() {
			b.Fatal(result)
		}
	}
}
