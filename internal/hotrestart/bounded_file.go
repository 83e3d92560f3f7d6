package hotrestart

import (
	"fmt"
	"io"
	"os"
	"syscall"
)

// Limits on the files of the folder that are read. Anyone with write access to the folder can put larger or more files
// there, and a router has little memory.
const (
	maxSuspendedFileBytes  = 16 << 10 // the id of one endpoint, from an operator's call
	maxKnownEndpointsBytes = 2 << 20
	maxEndpointListBytes   = 2 << 20 // lists from discovery are at most half as long
	maxSuspendedFiles      = 10_000
)

// UnusableFileError reports that a file of the folder is skipped, and why.
type UnusableFileError struct {
	File   string
	Reason string
}

// Error implements error.
func (e *UnusableFileError) Error() string { return e.File + ": " + e.Reason }

// readBounded reads a file of at most maxBytes bytes. If the file is longer or is not a regular file, it returns an
// *UnusableFileError and no content. It does not block on a named pipe without a writer.
func readBounded(path string, maxBytes int64) ([]byte, error) {
	file, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened only for reading
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
	if int64(len(content)) > maxBytes { // the file has grown since Stat
		return nil, tooLong
	}
	return content, nil
}
