package hotrestart

import (
	"os"
	"path/filepath"
	"syscall"
)

// fileLock is an advisory lock on a file. The system releases it when the process ends.
type fileLock struct{ file *os.File }

func openLock(path string) (*fileLock, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	return &fileLock{file: file}, nil
}

// tryAcquire says whether this process holds the lock now. It may have held it before.
func (l *fileLock) tryAcquire() bool {
	return syscall.Flock(int(l.file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil
}

// release gives the lock up. On an open file that can't fail.
func (l *fileLock) release() { _ = syscall.Flock(int(l.file.Fd()), syscall.LOCK_UN) }

// close releases the lock and closes its file. On nil it does nothing.
func (l *fileLock) close() {
	if l != nil {
		_ = l.file.Close() // nothing was written to it
	}
}

// locks are those of the folder.
type locks struct {
	serving   *fileLock // held by the process that serves
	successor *fileLock // held by the process that is to replace it, for as long as the other one serves
	edit      *fileLock // held while the known endpoints are read and written again
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

// hasSuccessor says whether another process waits to serve alone. Only such a process holds the lock of the successor
// for long; the one that serves tries it in passing.
func (l locks) hasSuccessor() bool {
	if !l.successor.tryAcquire() {
		return true
	}
	l.successor.release()
	return false
}

// alone says whether no other process runs, and leaves this one as the process that serves if so.
func (l locks) alone() bool {
	serving := l.serving.tryAcquire()
	successor := l.successor.tryAcquire()
	if serving && successor {
		l.successor.release()
	}
	return serving && successor
}
