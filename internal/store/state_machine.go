package store

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"

	"limeladder/internal/store/fsm"
)

// maxSnapshotBytes limits how much of a snapshot is read into memory; snapshots may come from other members.
const maxSnapshotBytes = 512 << 20

// stateMachine guards the replicated state with a lock and implements raft.FSM.
type stateMachine struct {
	mu    sync.RWMutex
	state *fsm.State

	applied  atomic.Uint64 // index of the last log entry whose change is in the state
	restores atomic.Uint64 // index of the last entry in the snapshot that was opened last
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
		m.applied.Store(entry.Index)
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.applied.Store(entry.Index)
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
	m.applied.Store(m.restores.Load())
	return nil
}

// openedSnapshots is the snapshot store that raft uses. It tells the state machine which entries a snapshot contains
// that raft restores next.
type openedSnapshots struct {
	*raft.FileSnapshotStore
	machine *stateMachine
}

// Open implements raft.SnapshotStore.
func (s openedSnapshots) Open(id string) (*raft.SnapshotMeta, io.ReadCloser, error) {
	meta, source, err := s.FileSnapshotStore.Open(id)
	if err == nil {
		s.machine.restores.Store(meta.Index)
	}
	return meta, source, err
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
