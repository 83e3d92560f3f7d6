package store

import (
	"testing"

	"limeladder/internal/store/fsm"
)

// Guards against a member that is ready before its state has the last committed changes: raft counts entries as applied
// that it has only passed to the goroutine that applies them. Here that goroutine is held up.
func TestMemberIsReadyOnceItsStateHasAllChanges(t *testing.T) {
	c := newCluster(t, 1, 100)
	s := c.members["m0"]
	eventually(t, "ready", s.Ready)
	s.machine.mu.RLock() // no change can be applied
	committed := make(chan error, 1)
	go func() {
		_, err := s.Commit(fsm.Change{ID: "held up", Ops: []fsm.Op{{Key: "list", Value: []byte("newest")}}})
		committed <- err
	}()
	eventually(t, "raft counts the change as applied", func() bool {
		last, err := s.wal.LastIndex()
		return err == nil && s.wal.lastChange(last) == last && s.raft.AppliedIndex() >= last
	})
	if s.Ready() {
		t.Error("the member is ready, and its state lacks a committed change")
	}
	s.machine.mu.RUnlock()
	if err := <-committed; err != nil {
		t.Fatal(err)
	}
	if !s.Ready() || !hasValue(s, "list", "newest") {
		t.Errorf("ready %t after the change was applied, want true with its value", s.Ready())
	}
}

// A member whose log is replaced by a snapshot, its own or one that the leader has sent, is ready again.
func TestMemberWithSnapshotIsReady(t *testing.T) {
	c := newCluster(t, 3, 4)
	for _, value := range []string{"1", "2", "3"} {
		mustPut(t, c.members["m0"], "list", value)
	}
	for name, s := range c.members {
		eventuallyHas(t, name, s, "list", "3")
	}
	c.stop(t, "m2")
	for range 20 {
		mustPut(t, c.members["m0"], "other", "x")
	}
	mustPut(t, c.members["m0"], "list", "4")
	for _, name := range []string{"m0", "m1"} {
		eventuallyHas(t, name, c.members[name], "list", "4")
		if err := c.members[name].Compact(); err != nil {
			t.Fatal(err)
		}
		eventually(t, name+" is ready after compaction", c.members[name].Ready)
	}
	c.start(t, "m2", TLSFiles{}) // the entries that it lacks are in no log any more
	eventually(t, "m2 is ready", c.members["m2"].Ready)
	eventuallyHas(t, "m2", c.members["m2"], "list", "4")
}
