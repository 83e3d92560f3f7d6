package store

import (
	"io"
	"os"
)

// logFile is an open file of the log, as *os.File.
type logFile interface {
	io.ReadWriteCloser
	io.Seeker
	Truncate(size int64) error
	Sync() error
}

// fileSystem is what the log needs of the system. Tests put one in its place that fails.
type fileSystem interface {
	// OpenFile opens a file that nobody but the owner may read; flag is one of os.OpenFile.
	OpenFile(path string, flag int) (logFile, error)
	Rename(from, to string) error
	// SyncFolder makes the names of the files in a folder survive a crash.
	SyncFolder(path string) error
}

// osFileSystem is the fileSystem of the machine.
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
	_ = folder.Close() // it was only read
	return err
}
