package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"sync"

	"github.com/hashicorp/raft"
)

// wal is a write-ahead log: it keeps raft's log and its few stable values in one file of checksummed records, and a
// copy in memory. Snapshots limit its length. It implements raft.LogStore and raft.StableStore.
type wal struct {
	mu         sync.Mutex
	path       string
	files      fileSystem
	file       logFile
	size       int64                // of the file in bytes
	entries    map[uint64]*raft.Log // by index, without gaps
	firstIndex uint64               // 0 if there are no entries
	lastIndex  uint64
	entryBytes int64 // total length of the data of the entries
	stable     map[string][]byte
	tornBytes  int64 // size of the torn record that was cut off when the log was opened

	compactionThreshold int64 // size of the file in bytes above which a deletion of entries compacts it

	failure error         // why the log accepts no more writes; nil while it works
	failed  chan struct{} // closed once failure is set
}

// openWAL opens the log at path and creates it if it does not exist.
func openWAL(path string) (*wal, error) { return openWALIn(osFileSystem{}, path) }

// openWALIn is like openWAL, but uses the given file system.
func openWALIn(files fileSystem, path string) (*wal, error) {
	file, err := files.OpenFile(path, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return nil, err
	}
	w := &wal{
		path:    path,
		files:   files,
		file:    file,
		entries: map[uint64]*raft.Log{},
		stable:  map[string][]byte{},
		failed:  make(chan struct{}),

		compactionThreshold: defaultCompactionThreshold,
	}
	err = w.load()
	if err == nil {
		return w, nil
	}
	_ = file.Close() // the caller needs the error of the failed start
	var damaged *DamagedError
	if errors.As(err, &damaged) {
		return nil, err // names the file already
	}
	return nil, fmt.Errorf("%s: %w", path, err)
}

// apply applies a record to the copy in memory.
func (w *wal) apply(record walRecord) {
	for _, entry := range record.Entries {
		if replaced := w.entries[entry.Index]; replaced != nil {
			w.entryBytes -= int64(len(replaced.Data))
		}
		w.entries[entry.Index] = entry
		w.entryBytes += int64(len(entry.Data))
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

// deleteEntries deletes a range of entries, which must include the first or the last entry of the log.
func (w *wal) deleteEntries(first, last uint64) {
	for index := max(first, w.firstIndex); index <= min(last, w.lastIndex); index++ {
		w.entryBytes -= int64(len(w.entries[index].Data))
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

// lastChange returns the index of the last entry up to the given one that is passed to the state machine. It returns 0
// if the log has none: a snapshot contains them all.
func (w *wal) lastChange(upTo uint64) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	for index := min(upTo, w.lastIndex); index > 0 && index >= w.firstIndex; index-- {
		if entry := w.entries[index]; entry != nil && entry.Type == raft.LogCommand {
			return index
		}
	}
	return 0
}

// dataBytes returns the total length of the data of the entries, which are kept in memory.
func (w *wal) dataBytes() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entryBytes
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

// StoreLogs implements raft.LogStore. It copies the entries because raft keeps using the ones that it passed.
func (w *wal) StoreLogs(logs []*raft.Log) error {
	entries := make([]*raft.Log, len(logs))
	for i, log := range logs {
		entry := *log
		entries[i] = &entry
	}
	return w.addEntries(entries)
}

// DeleteRange implements raft.LogStore.
func (w *wal) DeleteRange(first, last uint64) error {
	return w.add(walRecord{FirstDeleted: first, LastDeleted: last})
}

// Set implements raft.StableStore.
func (w *wal) Set(key, value []byte) error { return w.add(walRecord{Key: string(key), Value: value}) }

// errKeyNotFound has the text by which raft recognizes that a stable value was never set.
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
