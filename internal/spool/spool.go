// Package spool stores messages on disk while no collector accepts them. A spool is a folder with a first-in, first-out
// queue of segments, each a file of checksummed records. The process that holds the lock of the folder writes to it.
// Once that process has died, another one can adopt the folder; it reads the messages, but appends none.
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

// Options configure a spool.
type Options struct {
	SegmentBytes    int   // the size in bytes at which a segment is full and a new one begins
	MaxBytes        int64 // the size limit of all segments together in bytes
	MaxMessageBytes int   // the size limit of a message in bytes
	// CreateFile creates the file of a new segment; nil = in the file system. Tests simulate disk failures with it.
	CreateFile func(path string) (File, error)
}

// File is the file of a segment that is open for writing.
type File interface {
	io.Writer
	// Truncate shortens the file to a size in bytes.
	Truncate(size int64) error
	// Sync flushes the written data to the disk.
	Sync() error
	// Close closes the file.
	Close() error
}

// The errors of Append.
var (
	// ErrFull means that the size limit of the spool is reached.
	ErrFull = errors.New("spool: full")
	// ErrDisk means that an operation on the disk has failed.
	ErrDisk = errors.New("spool: disk operation failed")
)

// errLocked means that another process holds the lock of the folder.
var errLocked = errors.New("spool: folder is locked by another process")

const (
	lockFile   = "lock"
	cursorFile = "cursor"

	folderMode = 0o700
	fileMode   = 0o600
)

const (
	// maxLockAttempts is how often Create tries again to lock its folder.
	maxLockAttempts = 100
	// lockRetryInterval is the pause between two attempts to lock a folder.
	lockRetryInterval = 2 * time.Millisecond
)

// Spool is a folder with messages. One goroutine may append and another one read; the caller serializes their calls.
type Spool struct {
	dir       string
	options   Options
	checksums *crc32.Table
	lock      *os.File
	segments  []segment // oldest first

	// lastNumber is the highest number that a segment of the folder has had. No number is used again: the saved cursor
	// may still say that the segment which had it is delivered.
	lastNumber uint64

	newest   File // the newest segment, nil = none is open for writing
	unsynced bool // the newest segment has writes that were not flushed to the disk

	readOffset      int64    // the offset in bytes up to which the oldest segment was read
	deliveredOffset int64    // the offset in bytes up to which the oldest segment was delivered
	oldest          *os.File // the oldest segment, nil = not open for reading
	buffer          []byte   // the content of the oldest segment from bufferOffset on
	bufferOffset    int64
	skipped         int64 // see Skipped
}

func checksumTable() *crc32.Table { return crc32.MakeTable(crc32.Castagnoli) }

// Create creates the folder root/name, if it does not exist, and locks it for writing.
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
		// Another process that looks for folders to adopt may briefly hold the lock of the empty folder.
		if attempt == maxLockAttempts || !errors.Is(err, errLocked) {
			return nil, err
		}
		time.Sleep(lockRetryInterval)
	}
}

// Adopt opens every folder below root whose writer has died and that holds undelivered messages, in the order of their
// names, the oldest first. Two processes never hold the same folder.
func Adopt(root string, opt Options) (adopted []*Spool, err error) {
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
			_ = s.Remove() // if this fails, the folder is empty and the next start removes it
			continue
		}
		adopted = append(adopted, s)
	}
	return adopted, err
}

// open locks a folder and finds the undelivered messages in it.
func open(dir string, opt Options) (*Spool, error) {
	lock, err := acquireLock(dir)
	if err != nil {
		return nil, err
	}
	if opt.CreateFile == nil {
		opt.CreateFile = createFile
	}
	s := &Spool{dir: dir, options: opt, checksums: checksumTable(), lock: lock, lastNumber: firstSegment - 1}
	if err := s.findSegments(); err != nil {
		releaseLock(lock)
		return nil, err
	}
	s.applyCursor()
	s.removeDelivered()
	return s, nil
}

// createFile creates the file of a new segment in the file system.
func createFile(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, fileMode)
}

// acquireLock locks a folder. The error is errLocked if another process holds the lock, or has just removed the folder.
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

// isInPlace reports whether an open file is still the one at its path. The last owner may have removed the folder after
// the lock file was opened and before it was locked.
func isInPlace(file *os.File) bool {
	atPath, err := os.Stat(file.Name())
	if err != nil {
		return false
	}
	opened, err := file.Stat()
	return err == nil && os.SameFile(atPath, opened)
}

// releaseLock unlocks a folder. Nothing is ever written to the lock file, so an error of closing it loses no data.
func releaseLock(lock *os.File) { _ = lock.Close() }

// Size returns the size in bytes of the records that are not delivered.
func (s *Spool) Size() int64 { return s.diskSize() - s.deliveredOffset }

// diskSize returns the size in bytes of all segments.
func (s *Spool) diskSize() (size int64) {
	for _, segment := range s.segments {
		size += segment.size
	}
	return size
}

// Empty reports whether all messages are delivered.
func (s *Spool) Empty() bool { return s.Size() == 0 }

// Skipped returns the number of bytes that were skipped because they were not part of a complete record.
func (s *Spool) Skipped() int64 { return s.skipped }

// Close saves the cursor and unlocks the folder, so that another process can adopt the undelivered messages. If there
// are none it removes the folder.
func (s *Spool) Close() error {
	if s.Empty() {
		return s.Remove()
	}
	var err error
	if s.newest != nil {
		err = s.sealNewest()
	}
	s.dropBuffer()
	err = errors.Join(err, s.SaveCursor())
	return errors.Join(err, s.lock.Close())
}

// Remove deletes the folder with all messages, and unlocks it.
func (s *Spool) Remove() error {
	if s.newest != nil {
		s.closeNewest()
	}
	s.dropBuffer()
	err := os.RemoveAll(s.dir)
	return errors.Join(err, s.lock.Close())
}
