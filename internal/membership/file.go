package membership

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
)

// fileName is the name of a File in its folder. It is stored data and must not change.
const fileName = "endpoints"

// ErrTooLong is returned for a file that is longer than a list can be.
var ErrTooLong = errors.New("file is too long")

// File keeps a list on the disk of this process's machine. Its content is the JSON form of a Snapshot.
type File struct {
	path     string
	maxBytes int64
}

// NewFile returns the file in the given folder. maxBytes is the length in bytes above which it is not read.
func NewFile(folder string, maxBytes int64) *File {
	return &File{path: filepath.Join(folder, fileName), maxBytes: maxBytes}
}

// Load reads the list. The error wraps fs.ErrNotExist if none was saved, and ErrTooLong if the file is too long; an
// entry that is not valid is an error too.
func (f *File) Load() (Snapshot, error) {
	content, err := f.read()
	if err != nil {
		return Snapshot{}, err
	}
	var list Snapshot
	if err := json.Unmarshal(content, &list); err != nil {
		return Snapshot{}, fmt.Errorf("%s: %w", f.path, err)
	}
	for i, entry := range list.Endpoints {
		if _, err := entry.Balance(); err != nil {
			return Snapshot{}, fmt.Errorf("%s: servers[%d].%w", f.path, i, err)
		}
	}
	return list, nil
}

func (f *File) read() ([]byte, error) {
	file, err := os.Open(f.path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened only for reading
	content, err := io.ReadAll(io.LimitReader(file, f.maxBytes+1))
	if err == nil && int64(len(content)) > f.maxBytes {
		err = fmt.Errorf("%s: %w", f.path, ErrTooLong)
	}
	return content, err
}

// Save replaces the list. It returns once the list is on the disk; a crash before leaves the earlier list.
func (f *File) Save(list Snapshot) error {
	content, err := json.Marshal(list)
	if err != nil {
		return err
	}
	temporary := f.path + ".new"
	if err := writeSynced(temporary, content); err != nil {
		return err
	}
	if err := os.Rename(temporary, f.path); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(f.path))
}

func writeSynced(path string, content []byte) error {
	const ownerOnly = 0o600
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, ownerOnly)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

// syncFolder makes the names of a folder's files survive a crash.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
