package store

import "limeladder/internal/store/fsm"

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
