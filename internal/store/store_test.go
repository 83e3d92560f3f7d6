package store

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/raft"

	"limeladder/internal/store/fsm"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// peers returns n members, m0 and so on, with free addresses that the kernel has picked.
func peers(t *testing.T, n int) map[string]string {
	t.Helper()
	addresses := map[string]string{}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		addresses[fmt.Sprintf("m%d", i)] = ln.Addr().String()
	}
	return addresses
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(60 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("not within 60 seconds: " + what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func hasValue(s *Store, key, want string) bool {
	value, ok := s.Get(key)
	return ok && string(value) == want
}

func eventuallyHas(t *testing.T, name string, s *Store, key, want string) {
	t.Helper()
	eventually(t, fmt.Sprintf("%s has %s=%s", name, key, want), func() bool { return hasValue(s, key, want) })
}

// cluster runs all members of a store in one process.
type cluster struct {
	addresses map[string]string
	folder    string
	entries   int
	members   map[string]*Store
	disks     map[string]fileSystem // by member; members without an entry use the operating system's
	purge     func(key string, value []byte) bool
}

// newCluster starts n members, whose logs keep the given number of entries. They are closed at the end of the test.
func newCluster(t *testing.T, n, entries int) *cluster {
	t.Helper()
	return newClusterOnDisks(t, n, entries, nil)
}

// newClusterOnDisks is like newCluster, but some members use the given file systems.
func newClusterOnDisks(t *testing.T, n, entries int, disks map[string]fileSystem) *cluster {
	t.Helper()
	c := &cluster{
		addresses: peers(t, n),
		folder:    t.TempDir(),
		entries:   entries,
		members:   map[string]*Store{},
		disks:     disks,
	}
	t.Cleanup(func() {
		for name := range c.members {
			c.stop(t, name)
		}
	})
	for name := range c.addresses {
		c.start(t, name, TLSFiles{})
	}
	return c
}

func (c *cluster) start(t *testing.T, name string, files TLSFiles) {
	t.Helper()
	s, err := Open(Config{
		Name: name, Folder: filepath.Join(c.folder, name), Peers: c.addresses,
		LogEntries: c.entries, QueuedWrites: 64, TLS: files, files: c.disks[name], Purge: c.purge,
	}, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	c.members[name] = s
}

func (c *cluster) stop(t *testing.T, name string) {
	t.Helper()
	if err := c.members[name].Close(); err != nil {
		t.Error(err)
	}
	delete(c.members, name)
}

// commit commits a change at a member, and retries until its outcome is known.
func (c *cluster) commit(t *testing.T, name string, change fsm.Change) fsm.Result {
	t.Helper()
	var result fsm.Result
	eventually(t, name+" commits", func() bool {
		var err error
		result, err = c.members[name].Commit(change)
		return err == nil
	})
	return result
}

func (c *cluster) leader(t *testing.T) *Store {
	t.Helper()
	var leader *Store
	eventually(t, "a leader", func() bool {
		for _, s := range c.members {
			if s.raft.State() == raft.Leader {
				leader = s
			}
		}
		return leader != nil
	})
	return leader
}

func mustPut(t *testing.T, s *Store, key, value string) {
	t.Helper()
	if !s.Put(key, []byte(value)) {
		t.Fatalf("the queue has no room for %s", key)
	}
}

func TestMembersAgreeAndSurviveRestarts(t *testing.T) {
	c := newCluster(t, 3, 8)
	for name, s := range c.members {
		mustPut(t, s, "from/"+name, name)
	}
	for name, s := range c.members {
		for author := range c.addresses {
			eventuallyHas(t, name, s, "from/"+author, author)
		}
	}
	// One member is stopped while the others continue, then restarts and catches up.
	c.stop(t, "m0")
	for i := range 30 {
		mustPut(t, c.members["m1"], "count", fmt.Sprint(i))
	}
	eventuallyHas(t, "m2", c.members["m2"], "count", "29")
	c.start(t, "m0", TLSFiles{})
	eventuallyHas(t, "m0", c.members["m0"], "count", "29")
	// All members stop and restart without losing anything. After the restart none may stop again before all have caught
	// up, because a member needs a majority to learn which entries are committed.
	for name := range c.addresses {
		c.stop(t, name)
	}
	for name := range c.addresses {
		c.start(t, name, TLSFiles{})
	}
	for name, s := range c.members {
		eventuallyHas(t, name, s, "count", "29")
	}
}

func TestPutNeverWaits(t *testing.T) {
	s := &Store{queue: make(chan fsm.Change, 2)}
	for range 5 {
		s.Put("k", nil)
	}
	if s.Dropped() != 3 {
		t.Fatalf("%d writes dropped, want 3", s.Dropped())
	}
}

// checkOneCreates checks that exactly one member succeeds if each tries to create the same record.
func checkOneCreates(t *testing.T, c *cluster) {
	t.Helper()
	applied := 0
	for name := range c.addresses {
		absent := uint64(0)
		result := c.commit(t, name, fsm.Change{ID: "once-" + name, Author: name, Ops: []fsm.Op{
			{Key: "lock", Kind: fsm.KindConfig, Value: []byte(name), IfRevision: &absent},
			{Key: "by", Value: []byte(name)},
		}})
		if result.Applied() {
			applied++
			continue
		}
		var conflict *fsm.ConflictError
		if !errors.As(result.Err(), &conflict) || conflict.Key != "lock" {
			t.Errorf("got %+v, want a conflict on lock", result)
		}
	}
	if applied != 1 {
		t.Fatalf("%d members created the record, want 1", applied)
	}
}

// Changes committed at any member are applied completely or not at all, exactly once, and equally on all members. An
// entry of the first version of the program is applied too.
func TestCommit(t *testing.T) {
	c := newCluster(t, 3, 8)
	leader := c.leader(t)
	firstVersion := []byte(`{"Key":"old","Value":"eA=="}`)
	if err := leader.raft.Apply(firstVersion, time.Second).Error(); err != nil {
		t.Fatal(err)
	}
	checkOneCreates(t, c)
	first, _ := leader.GetRecord("lock")
	// A change whose response was lost is committed again under the same id.
	for range 3 {
		result := c.commit(t, "m1", fsm.Change{ID: "same", Ops: []fsm.Op{
			{Key: "lock", Kind: fsm.KindConfig, Value: []byte("x"), IfRevision: &first.ModRevision},
		}})
		if !result.Applied() {
			t.Fatalf("change rejected: %+v", result)
		}
	}
	if history := leader.History("lock"); len(history) != 2 || string(history[1].Value) != "x" {
		t.Fatalf("history of lock: %+v, want 2 entries, the last one x", history)
	}
	if result, err := leader.Rollback("lock", first.ModRevision, "op"); err != nil || !result.Applied() {
		t.Fatal(result, err)
	}
	for name, s := range c.members {
		// lock has the same value before the change to x as after the rollback, so the value doesn't show that s caught up.
		eventually(t, name+" has 3 entries in the history of lock", func() bool { return len(s.History("lock")) >= 3 })
		if !hasValue(s, "lock", string(first.Value)) {
			value, ok := s.Get("lock")
			t.Errorf("%s: lock is %q (exists: %t) after the rollback, want %q", name, value, ok, first.Value)
		}
		if history := s.History("lock"); !hasValue(s, "old", "x") || len(history) != 3 {
			t.Errorf("%s: history of lock %+v, want 3 entries and the record old=x", name, history)
		}
		if records, revision := s.Range("l"); len(records) != 1 || revision != records[0].ModRevision {
			t.Errorf("%s: %+v at revision %d, want one record with that revision", name, records, revision)
		}
	}
	if events, err := leader.EventsSince(first.ModRevision); err != nil || len(events) != 2 {
		t.Errorf("events %+v, error %v, want 2 events", events, err)
	}
}

// A restarted member has all records and their history, also those from before a snapshot. Without a majority changes
// fail while reads continue to work.
func TestNoLeader(t *testing.T) {
	c := newCluster(t, 3, 8)
	for range 3 {
		c.commit(t, "m1", fsm.Change{Ops: []fsm.Op{{Key: "lock", Kind: fsm.KindConfig}}})
	}
	for i := range 20 {
		c.commit(t, "m2", fsm.Change{Ops: []fsm.Op{{Key: "n", Value: []byte{byte(i)}}}})
	}
	c.stop(t, "m0")
	c.start(t, "m0", TLSFiles{})
	m0 := c.members["m0"]
	eventuallyHas(t, "m0", m0, "n", "\x13")
	eventually(t, "m0 has the history", func() bool { return len(m0.History("lock")) == 3 })
	c.stop(t, "m1")
	c.stop(t, "m2")
	eventually(t, "m0 knows of no leader", func() bool {
		_, err := m0.Commit(fsm.Change{Ops: []fsm.Op{{Key: "n"}}})
		return errors.Is(err, ErrNoLeader)
	})
	if !hasValue(m0, "n", "\x13") {
		t.Error("m0 does not return n without a majority")
	}
}
