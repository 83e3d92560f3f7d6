package hotrestart

import (
	"path/filepath"
	"testing"
)

// openTestLocks opens the locks of a folder as a process does. Two calls stand for two processes: a lock belongs to the
// open file.
func openTestLocks(t *testing.T, folder string) locks {
	t.Helper()
	l, err := openLocks(folder)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.close)
	return l
}

func TestFileLock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "lock")
	first, err := openLock(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(first.close)
	second, err := openLock(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(second.close)
	for _, step := range []struct {
		name string
		got  bool
		want bool
	}{
		{"free", first.tryAcquire(), true},
		{"held by the same process", first.tryAcquire(), true},
		{"held by another process", second.tryAcquire(), false},
	} {
		if step.got != step.want {
			t.Errorf("%s: acquired %v, want %v", step.name, step.got, step.want)
		}
	}
	first.release()
	if !second.tryAcquire() {
		t.Error("a lock that was released is still held")
	}
	second.close()
	if !first.tryAcquire() {
		t.Error("the lock of a process that has ended is still held")
	}
}

// The process that serves finds its successor, and the successor finds that it is alone once the other one has ended.
func TestLocksOfTwoProcesses(t *testing.T) {
	folder := t.TempDir()
	serving := openTestLocks(t, folder)
	if !serving.alone() || serving.hasSuccessor() {
		t.Fatal("the first process is not alone")
	}
	successor := openTestLocks(t, folder)
	if successor.alone() {
		t.Error("the successor is alone beside the process that serves")
	}
	if serving.alone() || !serving.hasSuccessor() {
		t.Error("the process that serves does not find its successor")
	}
	serving.close()
	if !successor.alone() || successor.hasSuccessor() {
		t.Error("the successor is not alone after the other process has ended")
	}
}
