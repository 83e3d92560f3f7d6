package store

import (
	"io"
	"os"
	"path/filepath"

	"github.com/hashicorp/raft"

	"limeladder/internal/store/fsm"
)

// snapshotFolder is where raft's store of snapshots keeps them, in the folder of the member.
const snapshotFolder = "snapshots"

// Holds says whether the log or a snapshot on this member's disk has a value that matches, also one that was replaced
// since. It reads all of both, and is not for the path of a request.
func (s *Store) Holds(match func(key string, value []byte) bool) (bool, error) {
	inLog, err := s.wal.holds(func(change fsm.Change) bool { return changeMatches(change, match) })
	if inLog || err != nil {
		return inLog, err
	}
	snapshots, err := s.snapshots.List()
	if err != nil {
		return false, err
	}
	for _, snapshot := range snapshots {
		held, err := s.snapshotHolds(snapshot.ID, match)
		if held || err != nil {
			return held, err
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

// snapshotHolds says whether a snapshot has a value that matches, among its records or their history.
func (s *Store) snapshotHolds(id string, match func(key string, value []byte) bool) (bool, error) {
	_, source, err := s.snapshots.Open(id)
	if err != nil {
		return false, err
	}
	defer func() { _ = source.Close() }() // it was only read
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

// Compact takes a snapshot and drops from this member's disk all that stands before it: log entries, what a deletion
// has left in the file of the log, and older snapshots. The other members keep theirs.
func (s *Store) Compact() error {
	if err := s.snapshotWithoutTrailingLogs(); err != nil {
		return err
	}
	if err := s.wal.compactNow(); err != nil {
		return err
	}
	snapshots, err := s.snapshots.List() // the newest one first
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

// snapshotWithoutTrailingLogs takes a snapshot and keeps no log entry that it covers.
func (s *Store) snapshotWithoutTrailingLogs() error {
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

// holds says whether the file has a change that matches, also one that does not count any more.
func (w *wal) holds(match func(fsm.Change) bool) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	file, err := w.files.OpenFile(w.path, os.O_RDONLY)
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }() // it was only read
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

// matches says whether one of the record's entries is a change that matches.
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

// compactNow rewrites the file of the log whatever its size.
func (w *wal) compactNow() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failure != nil {
		return w.failure
	}
	return w.compact()
}
