package fsm

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"
)

// checkDamaged checks that a snapshot is rejected as damaged.
func checkDamaged(t *testing.T, snapshot []byte) {
	t.Helper()
	if _, err := Restore(snapshot, DefaultLimits()); !errors.Is(err, ErrSnapshotDamaged) {
		t.Fatalf("restoring %q returns %v, want ErrSnapshotDamaged", snapshot, err)
	}
}

// A snapshot is rejected as damaged if any of its bytes has a wrong bit, and wherever it is truncated.
func TestSnapshotDamaged(t *testing.T) {
	s := New(DefaultLimits())
	mustApply(t, s, Change{ID: "i", Ops: []Op{{Key: "a", Kind: KindConfig, Value: []byte("1")}}})
	snapshot, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	t.Run("wrong bit", func(t *testing.T) {
		for i := range snapshot {
			damaged := slices.Clone(snapshot)
			damaged[i] ^= 1 << (i % 8)
			checkDamaged(t, damaged)
		}
	})
	t.Run("truncated", func(t *testing.T) {
		for i := range snapshot {
			checkDamaged(t, snapshot[:i])
		}
	})
}

// Snapshots and entries of the first version of the program can be decoded.
func TestFirstVersion(t *testing.T) {
	t.Run("snapshot", func(t *testing.T) {
		snapshot, err := json.Marshal(map[string][]byte{"list": []byte("x"), "primary/1": []byte("y")})
		if err != nil {
			t.Fatal(err)
		}
		s, err := Restore(snapshot, DefaultLimits())
		if err != nil || s.Len() != 2 || s.Revision() != 1 || s.Bytes() != 15 {
			t.Fatalf("got error %v and state %+v, want 2 records with 15 bytes at revision 1", err, s)
		}
	})
	t.Run("entry", func(t *testing.T) {
		change, err := Decode([]byte(`{"Key":"k","Value":"eA=="}`))
		if err != nil || len(change.Ops) != 1 {
			t.Fatalf("got error %v and %+v, want one operation", err, change)
		}
		if op := change.Ops[0]; op.Key != "k" || string(op.Value) != "x" {
			t.Fatalf("got %+v, want k set to x", op)
		}
	})
	t.Run("truncated entry", func(t *testing.T) {
		if _, err := Decode([]byte("{")); err == nil {
			t.Error("a truncated entry was decoded, want an error")
		}
	})
}

func FuzzRestore(f *testing.F) {
	s := New(DefaultLimits())
	s.Apply(Change{Ops: []Op{set("a", "1")}})
	snapshot, err := s.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(snapshot)
	f.Add([]byte(`{"a":"eA=="}`))
	f.Fuzz(func(t *testing.T, p []byte) {
		s, err := Restore(p, smallLimits())
		if err != nil {
			return
		}
		if _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}
