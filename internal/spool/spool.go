// Package spool stores messages on disk while no collector takes them: a first-in, first-out queue of segments, each a
// file of checksummed records. A folder has one writer, which holds its lock. What a process that has died left there
// can be adopted and read, and is never appended to.
//
// A Spool starts no goroutine and takes no lock in memory: its caller serializes the calls. They wait for the disk and
// must not run on the event loop.
package spool

import (
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Options bound a spool.
type Options struct {
	Segment int   // the size in bytes after which a new segment begins
	Most    int64 // the size limit of all segments together in bytes
	Message int   // the size limit of a message in bytes
	// Create opens a new segment; nil is the file system's. Tests put failing disks here.
	Create func(path string) (File, error)
}

// File is what a segment is written to.
type File interface {
	io.Writer
	// Truncate cuts the file to a size.
	Truncate(size int64) error
	// Sync hands what was written to the disk.
	Sync() error
	// Close ends the writing.
	Close() error
}

// The errors of Append.
var (
	// ErrFull says that the size limit of the spool is reached.
	ErrFull = errors.New("spool: full")
	// ErrBroken says that the disk has failed a write.
	ErrBroken = errors.New("spool: the disk does not take it")
)

// errLocked says that another process has the folder.
var errLocked = errors.New("spool: another process holds it")

const (
	lockFile   = "lock"
	cursorFile = "cursor"

	folderMode = 0o700
	fileMode   = 0o600
)

const (
	// maxLockAttempts is how often Create tries to lock its folder.
	maxLockAttempts = 100
	// lockRetryInterval is the pause between two attempts to lock a folder.
	lockRetryInterval = 2 * time.Millisecond
)

// Spool is one folder. One goroutine may append and another one read; the caller serializes their calls.
type Spool struct {
	dir       string
	options   Options
	checksums *crc32.Table
	lock      *os.File
	segments  []segment // oldest first

	newest   File // the newest segment, nil = none is open for writing
	unsynced bool // the newest segment has writes that were not handed to the disk

	readOffset      int64    // up to here the oldest segment was read
	deliveredOffset int64    // up to here the oldest segment was delivered
	oldest          *os.File // the oldest segment, nil = not open for reading
	buffer          []byte   // the content of the oldest segment from bufferOffset on
	bufferOffset    int64
	skipped         int64
}

func checksumTable() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) }

// Create makes the folder root/name and locks it for writing.
func Create(root, name string, opt Options) (*Spool, error) {
	dir := filepath.Join(root, name)
	for attempt := 0; ; attempt++ {
		if err := os.MkdirAll(dir, folderMode); err != nil {
			return nil, fmt.Errorf("spool: %w", err)
		}
		s, err := open(dir, opt)
		if err == nil {
			return s, nil
		}
		// Another process that adopts what others left may hold the lock of the empty folder for a moment.
		if attempt == maxLockAttempts || !errors.Is(err, errLocked) {
			return nil, err
		}
		time.Sleep(lockRetryInterval)
	}
}

// Adopt opens every folder below root whose writer has died, oldest name first. Two processes never hold the same one.
func Adopt(root string, opt Options) (left []*Spool, err error) {
	entries, err := os.ReadDir(root)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	for _, entry := range entries {
		if !entry.IsDir() {
			continue
		}
		s, err := open(filepath.Join(root, entry.Name()), opt)
		if err != nil {
			continue // it is in use, or not readable
		}
		if s.Empty() {
			_ = s.Remove() // a folder that stays is empty, and the next start removes it
			continue
		}
		left = append(left, s)
	}
	return left, err
}

// open locks a folder and finds what was left in it.
func open(dir string, opt Options) (*Spool, error) {
	lock, err := acquireLock(dir)
	if err != nil {
		return nil, err
	}
	if opt.Create == nil {
		opt.Create = createFile
	}
	s := &Spool{dir: dir, options: opt, checksums: checksumTable(), lock: lock}
	if err := s.findSegments(); err != nil {
		releaseLock(lock)
		return nil, err
	}
	s.applyCursor()
	s.removeDelivered()
	return s, nil
}

// createFile opens a new segment in the file system.
func createFile(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
}

// acquireLock locks a folder; the error is errLocked where another process holds it.
func acquireLock(dir string) (*os.File, error) {
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, fmt.Errorf("spool: %w", err)
	}
	if syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil || !isInPlace(lock) {
		releaseLock(lock)
		return nil, errLocked
	}
	return lock, nil
}

// isInPlace reports whether an open file is still the one of its path. The last owner may have removed the folder
// between the opening of the lock file and its locking.
func isInPlace(file *os.File) bool {
	atPath, err := os.Stat(file.Name())
	if err != nil {
		return false
	}
	opened, err := file.Stat()
	return err == nil && os.SameFile(atPath, opened)
}

// releaseLock releases a folder. Nothing is ever written to the lock file, so nothing can be lost by closing it.
func releaseLock(lock *os.File) { _ = lock.Close() }

// Size returns the number of bytes that are not delivered.
func (s *Spool) Size() int64 { return s.diskSize() - s.deliveredOffset }

// diskSize returns the number of bytes of all segments.
func (s *Spool) diskSize() (size int64) {
	for _, segment := range s.segments {
		size += segment.size
	}
	return size
}

// Empty reports whether all messages are delivered.
func (s *Spool) Empty() bool { return s.Size() == 0 }

// Skipped returns the number of bytes that were passed over because they were no complete record.
func (s *Spool) Skipped() int64 { return s.skipped }

// Close leaves what is not delivered to the next start; a folder with nothing left in it is removed.
func (s *Spool) Close() error {
	if s.Empty() {
		return s.Remove()
	}
	var err error
	if s.newest != nil {
		err = s.sealNewest()
	}
	s.dropBuffer()
	err = errors.Join(err, s.Keep())
	return errors.Join(err, s.lock.Close())
}

// Remove deletes the folder.
func (s *Spool) Remove() error {
	if s.newest != nil {
		s.closeNewest()
	}
	s.dropBuffer()
	err := os.RemoveAll(s.dir)
	return errors.Join(err, s.lock.Close())
}
