package store

import (
	"errors"
	"io"
	"sync"

	"github.com/hashicorp/raft"

	"limeladder/internal/store/fsm"
)

// maxSnapshotBytes limits how much of a snapshot is read into memory; snapshots may come from other members.
const maxSnapshotBytes = 512 << 20

// stateMachine guards the replicated state with a lock and implements raft.FSM.
type stateMachine struct {
	mu    sync.RWMutex
	state *fsm.State
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

// snapshot is an encoded state. Raft writes it while further changes are applied.
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
