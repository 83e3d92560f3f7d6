package store

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a log of long values that outgrows the memory, because only the number of its entries is bounded: an
// endpoint list that changes every second fills it with copies of itself.
func TestLogOfLongValuesIsBounded(t *testing.T) {
	const (
		valueBytes = 32 << 10
		limit      = 8 * valueBytes
		writes     = 60
	)
	c := &cluster{addresses: peers(t, 1), folder: t.TempDir(), members: map[string]*Store{}}
	open := func() *Store {
		s, err := Open(Config{
			Name: "m0", Folder: filepath.Join(c.folder, "m0"), Peers: c.addresses,
			LogEntries: 1024, LogBytes: limit, QueuedWrites: 64,
		}, discardLog)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := open()
	for i := range writes {
		mustPut(t, s, "list", fmt.Sprintf("%d %s", i, strings.Repeat("x", valueBytes)))
	}
	last := fmt.Sprintf("%d %s", writes-1, strings.Repeat("x", valueBytes))
	eventuallyHas(t, "m0", s, "list", last)
	eventually(t, "the log is compacted", func() bool { return s.wal.dataBytes() <= limit })
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open()
	defer mustCloseStore(t, s)
	eventuallyHas(t, "m0 after a restart", s, "list", last)
	if kept := s.wal.dataBytes(); kept > limit {
		t.Errorf("%d bytes of entries are kept after a restart, want at most %d", kept, limit)
	}
}

func mustCloseStore(t *testing.T, s *Store) {
	t.Helper()
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}
