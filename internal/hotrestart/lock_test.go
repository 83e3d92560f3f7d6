package hotrestart

import (
	"path/filepath"
	"testing"
)

// openTestLocks opens the locks of a folder as a process does. Two calls simulate two processes, because a lock belongs
// to the open file.
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
		t.Error("the second process can't acquire the lock after the first has released it")
	}
	second.close()
	if !first.tryAcquire() {
		t.Error("the first process can't acquire the lock after the second has closed it")
	}
}

// The serving process detects its successor, and the successor detects that it is alone once the other has ended.
func TestLocksOfTwoProcesses(t *testing.T) {
	folder := t.TempDir()
	serving := openTestLocks(t, folder)
	if !serving.tryServeAlone() || serving.hasSuccessor() {
		t.Fatal("the first process finds another process, want it alone")
	}
	successor := openTestLocks(t, folder)
	if successor.tryServeAlone() {
		t.Error("the successor finds itself alone while the first process serves")
	}
	if serving.tryServeAlone() || !serving.hasSuccessor() {
		t.Error("the first process does not detect its successor")
	}
	serving.close()
	if !successor.tryServeAlone() || successor.hasSuccessor() {
		t.Error("the successor is not alone after the first process has ended")
	}
}
