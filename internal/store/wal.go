package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/hashicorp/raft"
)

// compactionThreshold is the size of the file from which a deletion of entries rewrites it.
const compactionThreshold = 1 << 20

// wal keeps the log of raft and its few stable values in one file of checksummed records. The content of the file is
// also held in memory; snapshots keep it short. It implements raft.LogStore and raft.StableStore.
type wal struct {
	mu         sync.Mutex
	path       string
	file       *os.File
	size       int64                // of the file
	entries    map[uint64]*raft.Log // by index, without gaps
	firstIndex uint64               // 0 if there are no entries
	lastIndex  uint64
	stable     map[string][]byte
	tornBytes  int64 // of an unfinished record that were cut off at the start
}

func openWAL(path string) (*wal, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	w := &wal{path: path, file: file, entries: map[uint64]*raft.Log{}, stable: map[string][]byte{}}
	err = w.load()
	if err == nil {
		return w, nil
	}
	_ = file.Close() // the caller needs the reason of the failed start
	var damaged *DamagedError
	if errors.As(err, &damaged) {
		return nil, err // it names the file
	}
	return nil, fmt.Errorf("%s: %w", path, err)
}

// load reads the file. A record that the end of the file cuts short was never acknowledged: it is cut off and reported.
func (w *wal) load() error {
	content, err := io.ReadAll(w.file)
	if err != nil {
		return err
	}
	for w.size < int64(len(content)) {
		rest := content[w.size:]
		length, complete := recordLength(rest)
		if !complete {
			break
		}
		isLast := length == len(rest)
		valid := hasValidChecksum(rest[:length])
		if isLast && !valid {
			break // a crash came before all of its bytes were written
		}
		if !valid {
			return &DamagedError{File: w.path, Offset: w.size}
		}
		var record walRecord
		if err := json.Unmarshal(rest[recordHeaderBytes:length], &record); err != nil {
			return &DamagedError{File: w.path, Offset: w.size, Err: err}
		}
		w.apply(record)
		w.size += int64(length)
	}
	w.tornBytes = int64(len(content)) - w.size
	return w.cutTornRecord()
}

// cutTornRecord leaves the file open behind its last complete record.
func (w *wal) cutTornRecord() error {
	if w.tornBytes > 0 {
		if err := w.file.Truncate(w.size); err != nil {
			return err
		}
		if err := w.file.Sync(); err != nil {
			return err
		}
	}
	_, err := w.file.Seek(w.size, io.SeekStart)
	return err
}

// apply carries out a record in memory.
func (w *wal) apply(record walRecord) {
	for _, entry := range record.Entries {
		w.entries[entry.Index] = entry
		if w.firstIndex == 0 || entry.Index < w.firstIndex {
			w.firstIndex = entry.Index
		}
		w.lastIndex = max(w.lastIndex, entry.Index)
	}
	if record.Key != "" {
		w.stable[record.Key] = record.Value
	}
	if record.deletesEntries() {
		w.deleteEntries(record.FirstDeleted, record.LastDeleted)
	}
}

// deleteEntries drops the entries of a range, which reaches to one of the ends of the log.
func (w *wal) deleteEntries(first, last uint64) {
	for index := max(first, w.firstIndex); index <= min(last, w.lastIndex); index++ {
		delete(w.entries, index)
	}
	switch {
	case len(w.entries) == 0:
		w.firstIndex = 0
		w.lastIndex = 0
	case first <= w.firstIndex:
		w.firstIndex = max(w.firstIndex, last+1)
	default:
		w.lastIndex = min(w.lastIndex, first-1)
	}
}

// add writes a record through to the disk before it counts.
func (w *wal) add(record walRecord) error {
	encoded, err := record.encode()
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.file.Write(encoded); err != nil {
		w.discardPartialRecord()
		return err
	}
	if err := w.file.Sync(); err != nil {
		return err
	}
	w.size += int64(len(encoded))
	w.apply(record)
	if record.deletesEntries() && w.size > compactionThreshold {
		return w.compact()
	}
	return nil
}

// discardPartialRecord cuts off what a failed write has left: a record behind half of another one would be lost with
// it. Its own errors are not reported, the one of the write is.
func (w *wal) discardPartialRecord() {
	_ = w.file.Truncate(w.size)
	_, _ = w.file.Seek(w.size, io.SeekStart)
}

// compact writes what still counts to a new file that takes the place of the old one.
func (w *wal) compact() error {
	content, err := w.encodeAll()
	if err != nil {
		return err
	}
	file, err := w.replaceFile(content)
	if err != nil {
		return err
	}
	_ = w.file.Close() // nothing more is written to it, and it has no name any more
	w.file = file
	w.size = int64(len(content))
	return syncFolder(filepath.Dir(w.path))
}

// encodeAll returns records that amount to what is held in memory.
func (w *wal) encodeAll() ([]byte, error) {
	var content []byte
	appendRecord := func(record walRecord) error {
		encoded, err := record.encode()
		content = append(content, encoded...)
		return err
	}
	for key, value := range w.stable {
		if err := appendRecord(walRecord{Key: key, Value: value}); err != nil {
			return nil, err
		}
	}
	for index := w.firstIndex; index > 0 && index <= w.lastIndex; index++ {
		if err := appendRecord(walRecord{Entries: []*raft.Log{w.entries[index]}}); err != nil {
			return nil, err
		}
	}
	return content, nil
}

// replaceFile writes content to a new file, renames it into place, and returns it open behind the content.
func (w *wal) replaceFile(content []byte) (*os.File, error) {
	newPath := w.path + ".new"
	file, err := os.OpenFile(newPath, os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return nil, err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = os.Rename(newPath, w.path)
	}
	if err != nil {
		_ = file.Close() // the file is given up
		return nil, err
	}
	return file, nil
}

// syncFolder makes a rename in a folder survive a crash.
func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	err = folder.Sync()
	_ = folder.Close() // it was only read
	return err
}

func (w *wal) close() error { return w.file.Close() }

// FirstIndex implements raft.LogStore.
func (w *wal) FirstIndex() (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.firstIndex, nil
}

// LastIndex implements raft.LogStore.
func (w *wal) LastIndex() (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastIndex, nil
}

// GetLog implements raft.LogStore.
func (w *wal) GetLog(index uint64, log *raft.Log) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	entry := w.entries[index]
	if entry == nil {
		return raft.ErrLogNotFound
	}
	*log = *entry
	return nil
}

// StoreLog implements raft.LogStore.
func (w *wal) StoreLog(log *raft.Log) error { return w.StoreLogs([]*raft.Log{log}) }

// StoreLogs implements raft.LogStore. It copies the entries, because raft goes on using its own.
func (w *wal) StoreLogs(logs []*raft.Log) error {
	entries := make([]*raft.Log, len(logs))
	for i, log := range logs {
		entry := *log
		entries[i] = &entry
	}
	return w.add(walRecord{Entries: entries})
}

// DeleteRange implements raft.LogStore.
func (w *wal) DeleteRange(first, last uint64) error {
	return w.add(walRecord{FirstDeleted: first, LastDeleted: last})
}

// Set implements raft.StableStore.
func (w *wal) Set(key, value []byte) error { return w.add(walRecord{Key: string(key), Value: value}) }

// errKeyNotFound has the text by which raft knows that a stable value was never set.
var errKeyNotFound = errors.New("not found")

// Get implements raft.StableStore.
func (w *wal) Get(key []byte) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	value, ok := w.stable[string(key)]
	if !ok {
		return nil, errKeyNotFound
	}
	return value, nil
}

// SetUint64 implements raft.StableStore.
func (w *wal) SetUint64(key []byte, value uint64) error {
	return w.Set(key, binary.BigEndian.AppendUint64(nil, value))
}

// GetUint64 implements raft.StableStore.
func (w *wal) GetUint64(key []byte) (uint64, error) {
	const uint64Bytes = 8
	value, err := w.Get(key)
	if err != nil || len(value) != uint64Bytes {
		return 0, err
	}
	return binary.BigEndian.Uint64(value), nil
}
