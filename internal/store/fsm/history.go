package fsm

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// HistoryEntry is a configuration as a change left it.
type HistoryEntry struct {
	Record
	Author     string
	ProposedAt time.Duration `json:"At"`
	Deleted    bool
}

// ErrNoSuchRevision says that the history does not hold the revision that a rollback asks for.
var ErrNoSuchRevision = errors.New("no such configuration is kept")

// History returns the configurations that a key has had, oldest first.
func (s *State) History(key string) []HistoryEntry { return slices.Clone(s.history[key]) }

// Histories returns the configurations that all keys have had.
func (s *State) Histories() map[string][]HistoryEntry { return maps.Clone(s.history) }

// Rollback returns the change that restores the configuration of a revision, provided that nobody changes the record
// before it is applied.
func (s *State) Rollback(key string, revision uint64) (Change, error) {
	for _, entry := range s.history[key] {
		if entry.ModRevision != revision {
			continue
		}
		current := s.currentRevision(key)
		return Change{Ops: []Op{{
			Key:        key,
			Kind:       entry.Kind,
			Schema:     entry.Schema,
			Value:      entry.Value,
			Delete:     entry.Deleted,
			IfRevision: &current,
		}}}, nil
	}
	return Change{}, fmt.Errorf("%s at revision %d: %w", key, revision, ErrNoSuchRevision)
}

// appendHistory keeps a configuration, and drops the oldest ones of its key beyond the limit.
func (s *State) appendHistory(change Change, record Record, deleted bool) {
	entries := append(s.history[record.Key], HistoryEntry{
		Record:     record,
		Author:     change.Author,
		ProposedAt: change.ProposedAt,
		Deleted:    deleted,
	})
	excess := max(0, len(entries)-s.limits.HistoryLength)
	s.history[record.Key] = slices.Clone(entries[excess:])
}
