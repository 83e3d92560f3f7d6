package store

import (
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/hashicorp/raft"
)

// faultyDisk is the operating system's file system with faults that a test turns on and off.
type faultyDisk struct {
	osFileSystem
	full      atomic.Bool // writes fail
	failsSync atomic.Bool
}

// OpenFile implements fileSystem.
func (d *faultyDisk) OpenFile(path string, flag int) (logFile, error) {
	file, err := d.osFileSystem.OpenFile(path, flag)
	return &faultyDiskFile{logFile: file, disk: d}, err
}

type faultyDiskFile struct {
	logFile
	disk *faultyDisk
}

// Write implements io.Writer.
func (f *faultyDiskFile) Write(data []byte) (int, error) {
	if f.disk.full.Load() {
		return 0, syscall.ENOSPC
	}
	return f.logFile.Write(data)
}

// Sync implements logFile.
func (f *faultyDiskFile) Sync() error {
	if f.disk.failsSync.Load() {
		return syscall.EIO
	}
	return f.logFile.Sync()
}

// stopAndRestart stops a member and starts it again. If it was the leader, the members elect a new one.
func (c *cluster) stopAndRestart(t *testing.T, name string) {
	t.Helper()
	c.stop(t, name)
	c.start(t, name, TLSFiles{})
}

// Guards against a full disk that ends the whole program because raft panics if it can't save its term.
func TestMemberSurvivesFullDisk(t *testing.T) {
	disk := &faultyDisk{}
	c := newClusterOnDisks(t, 3, 8, map[string]fileSystem{"m0": disk})
	mustPut(t, c.members["m1"], "before", "full")
	eventuallyHas(t, "m0", c.members["m0"], "before", "full")
	disk.full.Store(true)
	termBefore := c.members["m0"].raft.CurrentTerm()
	mustPut(t, c.members["m0"], "step", "down") // a leader steps down at the first entry that it can't write
	eventually(t, "another leader", func() bool { return c.leader(t).cfg.Name != "m0" })
	c.stopAndRestart(t, c.leader(t).cfg.Name)
	eventually(t, "a later term", func() bool { return c.leader(t).raft.CurrentTerm() > termBefore })
	mustPut(t, c.members["m1"], "while", "full")
	eventuallyHas(t, "m2", c.members["m2"], "while", "full")
	if !hasValue(c.members["m0"], "before", "full") {
		t.Error("m0 lost the value of \"before\", want full")
	}
	disk.full.Store(false)
	eventuallyHas(t, "m0", c.members["m0"], "while", "full")
}

// Guards against a member that continues to acknowledge entries after a failed sync, which may have dropped some.
func TestMemberStopsAfterFailedSync(t *testing.T) {
	disk := &faultyDisk{}
	c := newClusterOnDisks(t, 3, 8, map[string]fileSystem{"m0": disk})
	mustPut(t, c.members["m1"], "before", "fault")
	for name, s := range c.members {
		eventuallyHas(t, name, s, "before", "fault")
	}
	disk.failsSync.Store(true)
	mustPut(t, c.members["m1"], "with", "fault")
	eventuallyHas(t, "m2", c.members["m2"], "with", "fault")
	eventually(t, "raft of m0 stops", func() bool { return c.members["m0"].raft.State() == raft.Shutdown })
	disk.failsSync.Store(false)
	for i := range 10 {
		mustPut(t, c.members["m1"], "after", fmt.Sprint(i))
	}
	eventuallyHas(t, "m2", c.members["m2"], "after", "9")
	if hasValue(c.members["m0"], "after", "9") || !hasValue(c.members["m0"], "before", "fault") {
		t.Error("m0 has after=9 or lacks before=fault, want its state at the failed sync")
	}
	c.stopAndRestart(t, "m0")
	eventuallyHas(t, "m0", c.members["m0"], "after", "9")
}

// Guards against a start on a full disk that panics or hangs.
func TestStartOnFullDiskReturnsError(t *testing.T) {
	disk := &faultyDisk{}
	disk.full.Store(true)
	_, err := Open(Config{Name: "m0", Folder: t.TempDir(), Peers: peers(t, 1), files: disk}, discardLog)
	if err == nil {
		t.Fatal("the member started on a full disk, want an error")
	}
}
