package store

import (
	"path/filepath"
	"testing"
)

// openRecovering opens a member that recovers the record "list".
func (c *cluster) openRecovering(t *testing.T, name string) {
	t.Helper()
	s, err := Open(Config{
		Name: name, Folder: filepath.Join(c.folder, name), Peers: c.addresses, LogEntries: c.entries, QueuedWrites: 64,
		Recover: func(key string) bool { return key == "list" },
	}, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	c.members[name] = s
}

// Guards against a member that has no records after a restart without a majority, although they are on its disk.
func TestMemberWithoutMajorityRecoversRecords(t *testing.T) {
	for _, test := range []struct {
		name    string
		compact bool // the value is in a snapshot instead of the log
	}{{"from the log", false}, {"from a snapshot", true}, {"from a snapshot and the log", true}} {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, 3, 8)
			m0 := c.members["m0"]
			mustPut(t, m0, "list", "first")
			mustPut(t, m0, "other", "x")
			eventuallyHas(t, "m0", m0, "other", "x")
			want := "first"
			if test.compact {
				if err := m0.Compact(); err != nil {
					t.Fatal(err)
				}
			}
			if test.name != "from a snapshot" {
				mustPut(t, m0, "list", "second")
				eventuallyHas(t, "m0", m0, "list", "second")
				want = "second"
			}
			for name := range c.addresses {
				c.stop(t, name)
			}
			c.openRecovering(t, "m0")
			restarted := c.members["m0"]
			if value, ok := restarted.Recovered("list"); !ok || string(value) != want {
				t.Errorf("recovered %q, %v, want %q", value, ok, want)
			}
			if value, ok := restarted.Recovered("other"); ok {
				t.Errorf("recovered %q, which was not asked for", value)
			}
		})
	}
}

// A new member has nothing to recover, and a member that recovers nothing does not read its disk for it.
func TestNothingToRecover(t *testing.T) {
	c := &cluster{addresses: peers(t, 1), folder: t.TempDir(), entries: 8, members: map[string]*Store{}}
	c.openRecovering(t, "m0")
	if value, ok := c.members["m0"].Recovered("list"); ok {
		t.Errorf("recovered %q in a new folder", value)
	}
	c.stop(t, "m0")
}
