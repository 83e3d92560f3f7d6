package store

import (
	"errors"
	"io"

	"github.com/hashicorp/raft"

	"limeladder/internal/store/fsm"
)

// recoverRecords reads the records that Config.Recover selects from this member's disk: from its newest snapshot and
// all entries of its log. raft applies the log only once a leader has confirmed which of its entries are committed, so
// a member that is restarted without a majority would have no records. The last entries may turn out not to be
// committed.
//
// A snapshot that can't be read leaves no records; it is up to raft whether the member starts.
func (s *Store) recoverRecords() {
	if s.cfg.Recover == nil {
		return
	}
	state, last, err := s.newestSnapshot()
	if err != nil {
		s.log.Warn("store snapshot not read", "error", err)
		return
	}
	s.wal.replay(last, state)
	s.recovered = map[string][]byte{}
	for _, record := range state.Range("") {
		if s.cfg.Recover(record.Key) {
			s.recovered[record.Key] = record.Value
		}
	}
}

// newestSnapshot returns the state of the newest snapshot and the index of the last entry in it, or an empty state.
func (s *Store) newestSnapshot() (state *fsm.State, last uint64, err error) {
	snapshots, err := s.snapshots.List()
	if err != nil || len(snapshots) == 0 {
		return fsm.New(fsm.DefaultLimits()), 0, err
	}
	meta, source, err := s.snapshots.Open(snapshots[0].ID)
	if err != nil {
		return nil, 0, err
	}
	encoded, err := io.ReadAll(io.LimitReader(source, maxSnapshotBytes))
	if err := errors.Join(err, source.Close()); err != nil {
		return nil, 0, err
	}
	state, err = fsm.Restore(encoded, fsm.DefaultLimits())
	return state, meta.Index, err
}

// replay applies the changes in the log after an index to a state. Entries that are no changes are skipped, as by raft.
func (w *wal) replay(after uint64, state *fsm.State) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for index := max(after+1, w.firstIndex); index <= w.lastIndex; index++ {
		entry := w.entries[index]
		if entry == nil || entry.Type != raft.LogCommand {
			continue
		}
		if change, err := fsm.Decode(entry.Data); err == nil { // the state machine rejects what can't be decoded
			state.Apply(change)
		}
	}
}

// Recovered returns the value that a record had on this member's disk when it was opened. It is available at once, and
// may include changes that were not committed.
func (s *Store) Recovered(key string) (value []byte, ok bool) {
	value, ok = s.recovered[key]
	return value, ok
}
