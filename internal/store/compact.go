package store

import (
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/raft"

	"limeladder/internal/store/fsm"
)

// snapshotFolder is the folder, inside the member's folder, in which raft.FileSnapshotStore keeps the snapshots.
const snapshotFolder = "snapshots"

// DiskContains reports whether the log or a snapshot on this member's disk contains a matching value, including values
// that were replaced since. It reads the whole log and all snapshots and must not be called while a request waits.
func (s *Store) DiskContains(match func(key string, value []byte) bool) (bool, error) {
	found, err := s.wal.containsChange(func(change fsm.Change) bool { return changeMatches(change, match) })
	if found || err != nil {
		return found, err
	}
	snapshots, err := s.snapshots.List()
	if err != nil {
		return false, err
	}
	for _, snapshot := range snapshots {
		found, err := s.snapshotContains(snapshot.ID, match)
		if found || err != nil {
			return found, err
		}
	}
	return false, nil
}

func changeMatches(change fsm.Change, match func(key string, value []byte) bool) bool {
	for _, op := range change.Ops {
		if match(op.Key, op.Value) {
			return true
		}
	}
	return false
}

// snapshotContains reports whether a snapshot contains a matching value in its records or their history.
func (s *Store) snapshotContains(id string, match func(key string, value []byte) bool) (bool, error) {
	_, source, err := s.snapshots.Open(id)
	if err != nil {
		return false, err
	}
	defer func() { _ = source.Close() }() // opened only for reading
	encoded, err := io.ReadAll(io.LimitReader(source, maxSnapshotBytes))
	if err != nil {
		return false, err
	}
	state, err := fsm.Restore(encoded, fsm.DefaultLimits())
	if err != nil {
		return false, err
	}
	for _, record := range state.Range("") {
		if match(record.Key, record.Value) {
			return true, nil
		}
	}
	for key, entries := range state.Histories() {
		for _, entry := range entries {
			if match(key, entry.Value) {
				return true, nil
			}
		}
	}
	return false, nil
}

// Compact takes a snapshot and removes everything older from this member's disk: log entries, deleted entries that are
// still in the log file, and earlier snapshots. It does not affect the other members.
func (s *Store) Compact() error {
	if err := s.snapshotWithoutTrailingLogs(); err != nil {
		return err
	}
	if err := s.wal.compactNow(); err != nil {
		return err
	}
	snapshots, err := s.snapshots.List() // newest first
	if err != nil {
		return err
	}
	for _, older := range snapshots[min(1, len(snapshots)):] {
		if err := os.RemoveAll(filepath.Join(s.cfg.Folder, snapshotFolder, older.ID)); err != nil {
			return err
		}
	}
	return nil
}

// logCheckInterval is the interval of the checks of the log's length.
const logCheckInterval = time.Second

// limitLogBytes replaces the log by a snapshot whenever its entries exceed the limit, until the store is closed. The
// number of entries alone does not bound the memory, because an entry may contain a whole endpoint list.
func (s *Store) limitLogBytes() {
	defer s.done.Done()
	ticker := time.NewTicker(logCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.quit:
			return
		case <-ticker.C:
		}
		if s.wal.dataBytes() <= s.cfg.LogBytes {
			continue
		}
		// It fails while no entry has been applied, and is tried again.
		if err := s.snapshotWithoutTrailingLogs(); err != nil {
			s.log.Debug("store log not compacted", "error", err)
		}
	}
}

// snapshotWithoutTrailingLogs takes a snapshot and deletes all log entries that it covers.
func (s *Store) snapshotWithoutTrailingLogs() error {
	s.compacting.Lock()
	defer s.compacting.Unlock()
	before := s.raft.ReloadableConfig()
	without := before
	without.TrailingLogs = 0
	if err := s.raft.ReloadConfig(without); err != nil {
		return err
	}
	err := s.raft.Snapshot().Error()
	if restoreErr := s.raft.ReloadConfig(before); err == nil {
		err = restoreErr
	}
	return err
}

// containsChange reports whether the log file contains a matching change, including changes in deleted entries.
func (w *wal) containsChange(match func(fsm.Change) bool) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	file, err := w.files.OpenFile(w.path, os.O_RDONLY)
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }() // opened only for reading
	content, err := io.ReadAll(file)
	if err != nil {
		return false, err
	}
	for len(content) > 0 {
		length, complete := recordLength(content)
		if !complete {
			break
		}
		record, err := decodeRecord(content[recordHeaderBytes:length])
		if err != nil {
			return false, err
		}
		if record.matches(match) {
			return true, nil
		}
		content = content[length:]
	}
	return false, nil
}

// matches reports whether one of the record's entries is a matching change.
func (r walRecord) matches(match func(fsm.Change) bool) bool {
	for _, entry := range r.Entries {
		if entry.Type != raft.LogCommand {
			continue
		}
		if change, err := fsm.Decode(entry.Data); err == nil && match(change) {
			return true
		}
	}
	return false
}

// compactNow rewrites the log file regardless of its size.
func (w *wal) compactNow() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failure != nil {
		return w.failure
	}
	return w.compact()
}
