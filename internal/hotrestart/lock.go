package hotrestart

import (
	"os"
	"path/filepath"
	"syscall"
)

// fileLock is an advisory lock on a file. The operating system releases it when the process ends.
type fileLock struct{ file *os.File }

func openLock(path string) (*fileLock, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	return &fileLock{file: file}, nil
}

// tryAcquire tries to acquire the lock without waiting, and reports whether this process holds it now. It also returns
// true if the process held the lock before.
func (l *fileLock) tryAcquire() bool {
	return syscall.Flock(int(l.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
}

// release releases the lock, which can't fail on an open file.
func (l *fileLock) release() { _ = syscall.Flock(int(l.file.Fd()), syscall.LOCK_UN) }

// close releases the lock and closes its file. On a nil *fileLock it does nothing.
func (l *fileLock) close() {
	if l != nil {
		_ = l.file.Close() // nothing was written to it
	}
}

// locks are the locks in the folder.
type locks struct {
	serving   *fileLock // held by the process that was serving first
	successor *fileLock // held by the process that will replace it, while both serve
	edit      *fileLock // held while the known endpoints are read and written back
}

func openLocks(folder string) (locks, error) {
	var l locks
	var err error
	l.serving, err = openLock(filepath.Join(folder, servingLockFile))
	if err != nil {
		return l, err
	}
	l.successor, err = openLock(filepath.Join(folder, successorLockFile))
	if err != nil {
		return l, err
	}
	l.edit, err = openLock(filepath.Join(folder, editLockFile))
	return l, err
}

func (l locks) close() {
	l.serving.close()
	l.successor.close()
	l.edit.close()
}

// hasSuccessor reports whether a process that will replace this one runs. Only such a process holds the successor lock
// permanently; the process that holds the serving lock acquires it just to test it.
func (l locks) hasSuccessor() bool {
	if !l.successor.tryAcquire() {
		return true
	}
	l.successor.release()
	return false
}

// tryServeAlone reports whether no other process runs. If so, this process holds the serving lock afterwards, and has
// released the successor lock.
func (l locks) tryServeAlone() bool {
	serving := l.serving.tryAcquire()
	successor := l.successor.tryAcquire()
	if serving && successor {
		l.successor.release()
	}
	return serving && successor
}
