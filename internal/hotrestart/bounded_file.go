package hotrestart

import (
	"fmt"
	"io"
	"os"
	"syscall"
)

// The most that the files of the folder may hold, in bytes. Anybody who may write to the folder can put larger ones
// there, and a router has little memory.
const (
	maxSuspendedFileBytes  = 16 << 10 // one id, which an operator's call has brought
	maxKnownEndpointsBytes = 2 << 20
	maxEndpointListBytes   = 2 << 20 // discovery's own lists have at most half of that
	maxSuspendedFiles      = 10_000
)

// UnusableFileError says that a file of the folder is passed over.
type UnusableFileError struct {
	File   string
	Reason string
}

// Error implements error.
func (e *UnusableFileError) Error() string { return e.File + ": " + e.Reason }

// readBounded reads a file of at most so many bytes. A longer one, and what is no file, is an *UnusableFileError:
// nothing of it is read, and a named pipe without a writer is not waited for.
func readBounded(path string, maxBytes int64) ([]byte, error) {
	file, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	info, err := file.Stat()
	if err != nil {
		return nil, err
	}
	if !info.Mode().IsRegular() {
		return nil, &UnusableFileError{File: path, Reason: "not a regular file"}
	}
	tooLong := &UnusableFileError{File: path, Reason: fmt.Sprintf("longer than %d bytes", maxBytes)}
	if info.Size() > maxBytes {
		return nil, tooLong
	}
	content, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(content)) > maxBytes { // it has grown meanwhile
		return nil, tooLong
	}
	return content, nil
}
