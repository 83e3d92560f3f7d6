package fsm

import (
	"cmp"
	"errors"
	"slices"
)

// Event records that a record was set or deleted.
type Event struct {
	Revision uint64
	Key      string
	Deleted  bool
}

// ErrCompacted is returned for a revision whose following events were already dropped. The watch has to read all
// records instead.
var ErrCompacted = errors.New("events after this revision are no longer kept")

// EventsSince returns the events after a revision, oldest first.
func (s *State) EventsSince(revision uint64) ([]Event, error) {
	if revision < s.compacted {
		return nil, ErrCompacted
	}
	byRevision := func(event Event, revision uint64) int { return cmp.Compare(event.Revision, revision) }
	first, _ := slices.BinarySearchFunc(s.events, revision+1, byRevision)
	return slices.Clone(s.events[first:]), nil
}

// appendEvent appends an event and drops the oldest ones beyond the limit.
func (s *State) appendEvent(event Event) {
	s.events = append(s.events, event)
	excess := len(s.events) - s.limits.Events
	if excess <= 0 {
		return
	}
	s.compacted = s.events[excess-1].Revision
	// The memory of the dropped events is released when append allocates the next time.
	s.events = s.events[excess:]
}
