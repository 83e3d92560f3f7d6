package store

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/hashicorp/raft"
)

// wal keeps raft's log and its few stable values in one file of checksummed records. What stands in the file is also
// held in memory; snapshots keep it short.
type wal struct {
	mu     sync.Mutex
	path   string
	file   *os.File
	size   int64
	logs   map[uint64]*raft.Log
	lo, hi uint64
	stable map[string][]byte
	torn   int64 // bytes of an unfinished record that were cut off at the start
}

// record is one change: exactly one of its parts is set.
type record struct {
	Logs  []*raft.Log `json:",omitempty"`
	Key   string      `json:",omitempty"`
	Value []byte      `json:",omitempty"`
	Min   uint64      `json:",omitempty"` // with Max: the logs from Min to Max are dropped
	Max   uint64      `json:",omitempty"`
}

// ErrDamaged says that a record in the middle of the file does not have its checksum. What stands behind it was
// promised to the peers, so the file is not used.
var ErrDamaged = errors.New("damaged record")

const (
	headBytes   = 8
	recordBytes = 64 << 20
	compactAt   = 1 << 20
)

func openWAL(path string) (*wal, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	w := &wal{path: path, file: f, logs: map[uint64]*raft.Log{}, stable: map[string][]byte{}}
	if err := w.load(); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return w, nil
}

// load reads the file. A record that its end cuts short was never acknowledged: it is cut off and reported.
func (w *wal) load() error {
	text, err := io.ReadAll(w.file)
	if err != nil {
		return err
	}
	at := int64(0)
	for rest := text; len(rest) > 0; rest = text[at:] {
		body, n, whole := cut(rest)
		if !whole {
			w.torn = int64(len(rest))
			break
		}
		if body == nil {
			if int64(n) == int64(len(rest)) { // the last one: its bytes were not all written
				w.torn = int64(len(rest))
				break
			}
			return fmt.Errorf("%w at byte %d", ErrDamaged, at)
		}
		var r record
		if err := json.Unmarshal(body, &r); err != nil {
			return fmt.Errorf("%w at byte %d: %v", ErrDamaged, at, err)
		}
		w.apply(r)
		at += int64(n)
	}
	w.size = at
	if w.torn > 0 {
		if err := w.file.Truncate(at); err != nil {
			return err
		}
		if err := w.file.Sync(); err != nil {
			return err
		}
	}
	_, err = w.file.Seek(at, io.SeekStart)
	return err
}

// cut returns the first record of p and its length; body is nil where the checksum does not fit, and whole is false
// where p ends within it.
func cut(p []byte) (body []byte, n int, whole bool) {
	if len(p) < headBytes {
		return nil, 0, false
	}
	size := int(binary.BigEndian.Uint32(p))
	if size > recordBytes || len(p) < headBytes+size {
		return nil, 0, false
	}
	n = headBytes + size
	body = p[headBytes:n]
	if crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)) != binary.BigEndian.Uint32(p[4:]) {
		return nil, n, true
	}
	return body, n, true
}

func (w *wal) apply(r record) {
	for _, l := range r.Logs {
		w.logs[l.Index] = l
		if w.lo == 0 || l.Index < w.lo {
			w.lo = l.Index
		}
		w.hi = max(w.hi, l.Index)
	}
	if r.Key != "" {
		w.stable[r.Key] = r.Value
	}
	if r.Max > 0 {
		for i := max(r.Min, w.lo); i <= min(r.Max, w.hi); i++ {
			delete(w.logs, i)
		}
		switch {
		case len(w.logs) == 0:
			w.lo, w.hi = 0, 0
		case r.Min <= w.lo:
			w.lo = max(w.lo, r.Max+1)
		default:
			w.hi = min(w.hi, r.Min-1)
		}
	}
}

func encode(r record) ([]byte, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	p := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	p = binary.BigEndian.AppendUint32(p, crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli)))
	return append(p, body...), nil
}

// add writes a record through to the disk before it counts.
func (w *wal) add(r record) error {
	p, err := encode(r)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := w.file.Write(p); err != nil {
		// Guards the records to come: one behind half a record would be lost with it.
		w.file.Truncate(w.size)
		w.file.Seek(w.size, io.SeekStart)
		return err
	}
	if err := w.file.Sync(); err != nil {
		return err
	}
	w.size += int64(len(p))
	w.apply(r)
	if r.Max > 0 && w.size > compactAt {
		return w.compact()
	}
	return nil
}

// compact writes what still counts to a new file that takes the old one's place.
func (w *wal) compact() error {
	var out []byte
	put := func(r record) error {
		p, err := encode(r)
		out = append(out, p...)
		return err
	}
	for k, v := range w.stable {
		if err := put(record{Key: k, Value: v}); err != nil {
			return err
		}
	}
	for i := w.lo; i > 0 && i <= w.hi; i++ {
		if err := put(record{Logs: []*raft.Log{w.logs[i]}}); err != nil {
			return err
		}
	}
	f, err := os.OpenFile(w.path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(out); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = os.Rename(w.path+".new", w.path)
	}
	if err != nil {
		f.Close()
		return err
	}
	w.file.Close()
	w.file, w.size = f, int64(len(out))
	dir, err := os.Open(filepath.Dir(w.path))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

func (w *wal) close() error { return w.file.Close() }

// FirstIndex implements raft.LogStore.
func (w *wal) FirstIndex() (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lo, nil
}

// LastIndex implements raft.LogStore.
func (w *wal) LastIndex() (uint64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hi, nil
}

// GetLog implements raft.LogStore.
func (w *wal) GetLog(index uint64, log *raft.Log) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.logs[index]
	if l == nil {
		return raft.ErrLogNotFound
	}
	*log = *l
	return nil
}

// StoreLog implements raft.LogStore.
func (w *wal) StoreLog(log *raft.Log) error { return w.StoreLogs([]*raft.Log{log}) }

// StoreLogs implements raft.LogStore.
func (w *wal) StoreLogs(logs []*raft.Log) error {
	kept := make([]*raft.Log, len(logs))
	for i, l := range logs {
		c := *l // raft goes on using its own
		kept[i] = &c
	}
	return w.add(record{Logs: kept})
}

// DeleteRange implements raft.LogStore.
func (w *wal) DeleteRange(min, max uint64) error { return w.add(record{Min: min, Max: max}) }

// Set implements raft.StableStore.
func (w *wal) Set(key, val []byte) error { return w.add(record{Key: string(key), Value: val}) }

// Get implements raft.StableStore.
func (w *wal) Get(key []byte) ([]byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v, ok := w.stable[string(key)]
	if !ok {
		return nil, errors.New("not found") // raft looks for this text
	}
	return v, nil
}

// SetUint64 implements raft.StableStore.
func (w *wal) SetUint64(key []byte, val uint64) error {
	return w.Set(key, binary.BigEndian.AppendUint64(nil, val))
}

// GetUint64 implements raft.StableStore.
func (w *wal) GetUint64(key []byte) (uint64, error) {
	v, err := w.Get(key)
	if err != nil || len(v) != 8 {
		return 0, err
	}
	return binary.BigEndian.Uint64(v), nil
}
