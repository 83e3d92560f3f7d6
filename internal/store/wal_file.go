package store

import (
	"io"
	"os"
)

// logFile is an open log file. *os.File implements it.
type logFile interface {
	io.ReadWriteCloser
	io.Seeker
	Truncate(size int64) error
	Sync() error
}

// fileSystem is the part of the operating system's file system that the log uses. Tests replace it to inject faults.
type fileSystem interface {
	// OpenFile opens a file, or creates one that only its owner may access; flag is that of os.OpenFile.
	OpenFile(path string, flag int) (logFile, error)
	Rename(from, to string) error
	// SyncFolder syncs a folder, so that the names of its files survive a crash.
	SyncFolder(path string) error
}

// osFileSystem is the fileSystem of the operating system.
type osFileSystem struct{}

// OpenFile implements fileSystem.
func (osFileSystem) OpenFile(path string, flag int) (logFile, error) {
	const ownerOnly = 0o600
	file, err := os.OpenFile(path, flag, ownerOnly)
	if err != nil {
		return nil, err
	}
	return file, nil
}

// Rename implements fileSystem.
func (osFileSystem) Rename(from, to string) error { return os.Rename(from, to) }

// SyncFolder implements fileSystem.
func (osFileSystem) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	err = folder.Sync()
	_ = folder.Close() // opened only for reading
	return err
}
