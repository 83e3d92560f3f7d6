package hotrestart

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"io/fs"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
)

// Files of the folder. During an upgrade, processes of two versions of the program use the same folder, so the names
// and formats of the files must not change.
const (
	suspendedFolder    = "suspended" // contains a file for each suspended endpoint
	drainedFile        = "drained"   // exists while the router is drained
	knownEndpointsFile = "listed"    // ids as a JSON array
	endpointListFile   = "list"
	servingLockFile    = "serves"
	successorLockFile  = "next"
	editLockFile       = "edit"
	temporaryPattern   = "part.*" // files that were not renamed into place yet
)

// folder reads and writes the files of the shared folder. It is not safe for concurrent use.
type folder struct {
	path               string
	log                *slog.Logger
	reported           map[string]bool // files that were logged as unusable
	knownEndpointsInfo fs.FileInfo     // version of the file that was read last; nil if none was
	endpointListInfo   fs.FileInfo     // likewise
}

func folderPath(root, listen string) string {
	return filepath.Join(root, "limeladder-"+url.PathEscape(listen))
}

// createFolder creates the folder of the router that listens at the given address, unless it exists.
func createFolder(root, listen string) (*folder, error) {
	path := folderPath(root, listen)
	if err := os.MkdirAll(filepath.Join(path, suspendedFolder), 0o700); err != nil {
		return nil, err
	}
	return &folder{path: path, log: slog.New(slog.DiscardHandler), reported: map[string]bool{}}, nil
}

// readFile reads a file of the folder. It logs an unusable file once.
func (f *folder) readFile(name string, maxBytes int64) ([]byte, error) {
	content, err := readBounded(f.file(name), maxBytes)
	var unusable *UnusableFileError
	if errors.As(err, &unusable) && !f.reported[name] && len(f.reported) < maxSuspendedFiles {
		f.reported[name] = true
		f.log.Warn("shared state not read", "file", name, "error", err)
	}
	return content, err
}

func (f *folder) file(name string) string { return filepath.Join(f.path, name) }

// read returns the state in the folder, given the state that was read before. Files that have not changed are not read
// again, and files that can't be read are skipped.
func (f *folder) read(before State, maxKnown int) State {
	suspended, ok := f.readSuspended()
	if !ok {
		return before
	}
	now := State{
		Suspended:      suspended,
		Drained:        f.readDrained(),
		KnownEndpoints: before.KnownEndpoints,
		EndpointList:   before.EndpointList,
	}
	if f.changed(knownEndpointsFile, &f.knownEndpointsInfo) {
		now.KnownEndpoints = union(now.KnownEndpoints, f.readKnownEndpoints(), maxKnown)
	}
	if f.changed(endpointListFile, &f.endpointListInfo) {
		if list, err := f.readFile(endpointListFile, maxEndpointListBytes); err == nil {
			now.EndpointList = list
		}
	}
	return now
}

// readSuspended returns the ids of the suspended endpoints, and whether the folder with their files could be read.
func (f *folder) readSuspended() (ids map[string]bool, ok bool) {
	entries, err := f.suspendedFiles()
	if err != nil {
		return nil, false
	}
	ids = map[string]bool{}
	for _, entry := range entries {
		content, err := f.readFile(filepath.Join(suspendedFolder, entry.Name()), maxSuspendedFileBytes)
		if err != nil {
			continue
		}
		id := string(content)
		if suspendedFileName(id) == entry.Name() {
			ids[id] = true
		}
	}
	return ids, true
}

// suspendedFiles lists the files of the suspended endpoints, up to a limit.
func (f *folder) suspendedFiles() ([]fs.DirEntry, error) {
	directory, err := os.Open(f.file(suspendedFolder))
	if err != nil {
		return nil, err
	}
	defer func() { _ = directory.Close() }() // opened only for reading
	entries, err := directory.ReadDir(maxSuspendedFiles)
	if errors.Is(err, io.EOF) { // the folder is empty
		return nil, nil
	}
	return entries, err
}

func (f *folder) readDrained() bool { return f.exists(drainedFile) }

// exists reports whether there is a file of the name in the folder.
func (f *folder) exists(name string) bool {
	_, err := os.Stat(f.file(name))
	return err == nil
}

func (f *folder) readKnownEndpoints() []string {
	content, err := f.readFile(knownEndpointsFile, maxKnownEndpointsBytes)
	if err != nil {
		return nil
	}
	var ids []string
	if json.Unmarshal(content, &ids) != nil {
		return nil
	}
	return ids
}

// encodeKnownEndpoints encodes ids for the file of known endpoints. It omits the oldest ids if the file would be too
// long to be read again.
func encodeKnownEndpoints(ids []string) ([]byte, error) {
	for {
		content, err := json.Marshal(ids)
		if err != nil || len(content) <= maxKnownEndpointsBytes {
			return content, err
		}
		ids = ids[(len(ids)+1)/2:]
	}
}

// changed reports whether a file exists and differs from the version in last. If so, it updates last.
func (f *folder) changed(name string, last *fs.FileInfo) bool {
	info, err := os.Stat(f.file(name))
	if err != nil {
		return false
	}
	if *last != nil && isSameVersion(info, *last) {
		return false
	}
	*last = info
	return true
}

// isSameVersion reports whether two infos describe the same version of a file. The modification times alone would hide
// the second of two changes within one tick of the file system's clock.
func isSameVersion(a, b fs.FileInfo) bool {
	return os.SameFile(a, b) && a.ModTime().Equal(b.ModTime()) && a.Size() == b.Size()
}

// suspendedFileName returns the name of the file for a suspended endpoint. The id may contain characters that are not
// allowed in a file name, so the name is a hash of it and the content is the id.
func suspendedFileName(id string) string {
	sum := sha256.Sum256([]byte(id))
	return hex.EncodeToString(sum[:])
}

// write writes a temporary file and renames it into place, so that the other process never reads a partial file.
func (f *folder) write(name string, content []byte) error {
	temporary, err := os.CreateTemp(f.path, temporaryPattern)
	if err != nil {
		return err
	}
	_, err = temporary.Write(content)
	err = errors.Join(err, temporary.Close())
	if err != nil {
		return err
	}
	return os.Rename(temporary.Name(), f.file(name))
}

// remove removes a file if it exists.
func (f *folder) remove(name string) error {
	err := os.Remove(f.file(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// removeTemporaryFiles removes temporary files of processes that were killed during a write.
func (f *folder) removeTemporaryFiles() {
	paths, err := filepath.Glob(f.file(temporaryPattern))
	if err != nil {
		return
	}
	for _, path := range paths {
		_ = os.Remove(path) // the file is small, and the next start retries
	}
}

// union returns ids followed by those of more that are not among them, without duplicates. Beyond the limit it drops
// the oldest ones, which come first.
func union(ids, more []string, limit int) []string {
	seen := map[string]bool{}
	all := make([]string, 0, len(ids)+len(more))
	add := func(ids []string) {
		for _, id := range ids {
			if !seen[id] {
				seen[id] = true
				all = append(all, id)
			}
		}
	}
	add(ids)
	add(more)
	return all[max(0, len(all)-limit):]
}
