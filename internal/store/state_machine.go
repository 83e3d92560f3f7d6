package store

import (
	"errors"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"limeladder/internal/store/fsm"
)

// maxSnapshotBytes bounds the memory that a snapshot from another member may take.
const maxSnapshotBytes = 512 << 20

// stateMachine guards the replicated state with a lock, and implements raft.FSM.
type stateMachine struct {
	mu    sync.RWMutex
	state *fsm.State
}

// Get reads the value of a record as this member has it. It may be behind the others.
func (s *Store) Get(key string) ([]byte, bool) {
	record, ok := s.GetRecord(key)
	return record.Value, ok
}

// GetRecord reads a record as this member has it.
func (s *Store) GetRecord(key string) (fsm.Record, bool) {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.state.Get(key)
}

// Range reads the records whose keys begin with prefix, in the order of their keys, and the revision that they are of.
func (s *Store) Range(prefix string) ([]fsm.Record, uint64) {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.state.Range(prefix), s.machine.state.Revision()
}

// History reads the configurations that a key has had, oldest first.
func (s *Store) History(key string) []fsm.HistoryEntry {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.state.History(key)
}

// EventsSince reads what has changed after a revision, as far as this member has it.
func (s *Store) EventsSince(revision uint64) ([]fsm.Event, error) {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.state.EventsSince(revision)
}

func (m *stateMachine) rollback(key string, revision uint64) (fsm.Change, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Rollback(key, revision)
}

// Apply implements raft.FSM.
func (m *stateMachine) Apply(entry *raft.Log) any {
	change, err := fsm.Decode(entry.Data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Apply(change)
}

// Snapshot implements raft.FSM.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	encoded, err := m.state.Snapshot()
	return snapshot(encoded), err
}

// Restore implements raft.FSM.
func (m *stateMachine) Restore(source io.ReadCloser) error {
	defer source.Close()
	encoded, err := io.ReadAll(io.LimitReader(source, maxSnapshotBytes))
	if err != nil {
		return err
	}
	restored, err := fsm.Restore(encoded, fsm.DefaultLimits())
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = restored
	return nil
}

// snapshot is an encoded state that raft writes while changes go on.
type snapshot []byte

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (snapshot) Release() {}
