package store

import "limeladder/internal/store/fsm"

// Get returns the value of a record in this member's state, which may lag behind the other members.
func (s *Store) Get(key string) ([]byte, bool) {
	record, ok := s.GetRecord(key)
	return record.Value, ok
}

// GetRecord returns a record in this member's state.
func (s *Store) GetRecord(key string) (fsm.Record, bool) {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.state.Get(key)
}

// Range returns the records whose keys begin with prefix, sorted by key, and the revision at which they were read.
func (s *Store) Range(prefix string) ([]fsm.Record, uint64) {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.state.Range(prefix), s.machine.state.Revision()
}

// History returns the configurations that a key has had, oldest first.
func (s *Store) History(key string) []fsm.HistoryEntry {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.state.History(key)
}

// EventsSince returns the events after a revision, up to the latest one that this member has applied.
func (s *Store) EventsSince(revision uint64) ([]fsm.Event, error) {
	s.machine.mu.RLock()
	defer s.machine.mu.RUnlock()
	return s.machine.state.EventsSince(revision)
}
