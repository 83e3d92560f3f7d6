package fsm

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// HistoryEntry is the state of a configuration record after a change.
type HistoryEntry struct {
	Record
	Author     string
	ProposedAt time.Duration `json:"At"`
	Deleted    bool
}

// ErrNoSuchRevision is returned if the history does not contain the revision of a rollback.
var ErrNoSuchRevision = errors.New("configuration is not in the history")

// History returns the configurations that a key has had, oldest first.
func (s *State) History(key string) []HistoryEntry { return slices.Clone(s.history[key]) }

// Histories returns the configurations that each key has had, by key, oldest first.
func (s *State) Histories() map[string][]HistoryEntry { return maps.Clone(s.history) }

// Rollback returns the change that restores the configuration that a key had at a revision. The change is rejected if
// the record changes before it is applied.
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

// appendHistory appends a configuration to the history of its key and drops the oldest ones beyond the limit.
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
