// Package fsm is what the replicated log amounts to: records with revisions, changes of several of them at once that hold
// only if nothing has changed meanwhile, what has changed since a revision, and the history of configurations. It is pure:
// the same changes in the same order give the same state, byte for byte, on every member.
package fsm

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Limits bound a State. All members must have the same ones.
type Limits struct {
	Key     int // bytes of a key
	Value   int // bytes of a value
	Ops     int // records in one change
	Records int
	Bytes   int // of all keys and values
	History int // configurations kept for each key
	IDs     int // changes that are known by their ids
	Events  int // changes of records that a watch may be behind
}

// Usual are the limits of a member.
func Usual() Limits {
	return Limits{Key: 256, Value: 512 << 10, Ops: 64, Records: 100_000, Bytes: 64 << 20, History: 16, IDs: 4096, Events: 4096}
}

// Config is the kind of records whose history is kept.
const Config = "config"

// Record is a value under its key.
type Record struct {
	Key      string
	Kind     string // what the value is, "" = nobody says
	Schema   int    // the version of that kind's form
	Value    []byte
	Created  uint64 // the revision that made it,
	Revision uint64 // and the one that changed it last
}

// Op sets or deletes a record.
type Op struct {
	Key    string
	Kind   string `json:",omitempty"`
	Schema int    `json:",omitempty"`
	Value  []byte `json:",omitempty"`
	Delete bool   `json:",omitempty"`
	// If is the revision that the record has to have, 0 = it must not be there; nil = whatever it has.
	If *uint64 `json:",omitempty"`
}

// Change is a set of them that is carried out whole or not at all.
type Change struct {
	ID     string        `json:",omitempty"` // a change of the same id is carried out once, "" = each time it comes
	Author string        `json:",omitempty"`
	At     time.Duration `json:",omitempty"` // when it was proposed, by the proposer's clock, since the Unix epoch
	Ops    []Op
}

// Result says what came of a change.
type Result struct {
	Revision uint64 // that it made, 0 = none
	Fault    string `json:",omitempty"` // why it was not carried out, "" = it was
	Key      string `json:",omitempty"` // the record that stood against it
	Have     uint64 `json:",omitempty"` // and the revision that it has
	Again    bool   `json:",omitempty"` // it had been carried out before
}

// The faults.
const (
	Conflict = "conflict" // a record does not have the revision that was asked for
	TooMuch  = "too much" // over a limit
	Bad      = "bad"      // an empty change, a key twice, or no key
)

// Err is the result as an error.
func (r Result) Err() error {
	if r.Fault == "" {
		return nil
	}
	return fmt.Errorf("%s: %s has revision %d", r.Fault, r.Key, r.Have)
}

// Event is a record that has changed.
type Event struct {
	Revision uint64
	Key      string
	Deleted  bool
}

// Past is a configuration as it was.
type Past struct {
	Record
	Author  string
	At      time.Duration
	Deleted bool
}

type done struct {
	id     string
	result Result
}

// State is all of it. It guards nothing: its owner does.
type State struct {
	lim      Limits
	revision uint64
	records  map[string]*Record
	bytes    int
	history  map[string][]Past // newest last
	ids      []done            // oldest first
	byID     map[string]Result
	events   []Event // oldest first
	cut      uint64  // events up to this revision are gone
}

// New returns an empty one.
func New(lim Limits) *State {
	return &State{lim: lim, records: map[string]*Record{}, history: map[string][]Past{}, byID: map[string]Result{}}
}

// Revision is that of the last change.
func (s *State) Revision() uint64 { return s.revision }

// Len is how many records there are, Bytes what they take.
func (s *State) Len() int   { return len(s.records) }
func (s *State) Bytes() int { return s.bytes }

// Get returns a record. Its value must not be changed.
func (s *State) Get(key string) (Record, bool) {
	if r := s.records[key]; r != nil {
		return *r, true
	}
	return Record{}, false
}

// List returns the records whose keys begin with prefix, in order.
func (s *State) List(prefix string) (out []Record) {
	for key, r := range s.records {
		if len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			out = append(out, *r)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return out
}

func size(key string, value []byte) int { return len(key) + len(value) }

// Apply carries out a change, or none of it.
func (s *State) Apply(c Change) Result {
	if c.ID != "" {
		if r, ok := s.byID[c.ID]; ok {
			r.Again = true
			return r
		}
	}
	r := s.check(c)
	if r.Fault == "" {
		s.revision++
		r.Revision = s.revision
		for _, op := range c.Ops {
			s.set(c, op)
		}
	}
	// A change that was refused may be proposed anew with other conditions, under an id of its own: its answer stands.
	s.remember(c.ID, r)
	return r
}

// check says whether a change can be carried out whole.
func (s *State) check(c Change) Result {
	switch {
	case len(c.Ops) == 0:
		return Result{Fault: Bad}
	case len(c.Ops) > s.lim.Ops || len(c.ID) > s.lim.Key || len(c.Author) > s.lim.Key:
		return Result{Fault: TooMuch}
	}
	seen := map[string]bool{}
	records, bytes := len(s.records), s.bytes
	for _, op := range c.Ops {
		have := s.records[op.Key]
		at := uint64(0)
		if have != nil {
			at = have.Revision
		}
		switch {
		case op.Key == "" || seen[op.Key] || op.Delete && len(op.Value) > 0:
			return Result{Fault: Bad, Key: op.Key, Have: at}
		case len(op.Key) > s.lim.Key || len(op.Kind) > s.lim.Key || len(op.Value) > s.lim.Value:
			return Result{Fault: TooMuch, Key: op.Key, Have: at}
		case op.If != nil && *op.If != at:
			return Result{Fault: Conflict, Key: op.Key, Have: at}
		}
		seen[op.Key] = true
		if have != nil {
			records, bytes = records-1, bytes-size(op.Key, have.Value)
		}
		if !op.Delete {
			records, bytes = records+1, bytes+size(op.Key, op.Value)
		}
	}
	// What makes room is let through, however full it is.
	if records > s.lim.Records && records > len(s.records) || bytes > s.lim.Bytes && bytes > s.bytes {
		return Result{Fault: TooMuch, Key: c.Ops[0].Key}
	}
	return Result{}
}

func (s *State) set(c Change, op Op) {
	have := s.records[op.Key]
	if op.Delete && have == nil {
		return
	}
	kind, created := op.Kind, s.revision
	if have != nil {
		s.bytes -= size(op.Key, have.Value)
		created = have.Created
		if op.Delete {
			kind = have.Kind
		}
	}
	next := Record{Key: op.Key, Kind: kind, Schema: op.Schema, Value: append([]byte{}, op.Value...), Created: created, Revision: s.revision}
	if op.Delete {
		delete(s.records, op.Key)
	} else {
		s.records[op.Key] = &next
		s.bytes += size(op.Key, op.Value)
	}
	if kind == Config {
		past := append(s.history[op.Key], Past{Record: next, Author: c.Author, At: c.At, Deleted: op.Delete})
		s.history[op.Key] = slices.Clone(past[max(0, len(past)-s.lim.History):])
	}
	s.events = append(s.events, Event{Revision: s.revision, Key: op.Key, Deleted: op.Delete})
	if over := len(s.events) - s.lim.Events; over > 0 {
		s.cut = s.events[over-1].Revision
		s.events = s.events[over:] // what is before goes when the slice next grows
	}
}

func (s *State) remember(id string, r Result) {
	if id == "" {
		return
	}
	s.byID[id] = r
	if s.ids = append(s.ids, done{id, r}); len(s.ids) > s.lim.IDs {
		delete(s.byID, s.ids[0].id)
		s.ids = s.ids[1:]
	}
}

// ErrCut says that a watch is too far behind: it has to read all anew.
var ErrCut = errors.New("older than what is kept")

// Since returns what has changed behind a revision, oldest first.
func (s *State) Since(revision uint64) ([]Event, error) {
	if revision < s.cut {
		return nil, ErrCut
	}
	i, _ := slices.BinarySearchFunc(s.events, revision+1, func(e Event, at uint64) int { return cmp.Compare(e.Revision, at) })
	return slices.Clone(s.events[i:]), nil
}

// History returns the configurations that were under a key, oldest first.
func (s *State) History(key string) []Past { return slices.Clone(s.history[key]) }

// ErrPast says that no such configuration is kept.
var ErrPast = errors.New("no such configuration is kept")

// Rollback is the change that brings back what stood under a key at a revision, if nobody has changed it since.
func (s *State) Rollback(key string, revision uint64) (Change, error) {
	for _, p := range s.history[key] {
		if p.Revision != revision {
			continue
		}
		at := uint64(0)
		if r := s.records[key]; r != nil {
			at = r.Revision
		}
		return Change{Ops: []Op{{Key: key, Kind: p.Kind, Schema: p.Schema, Value: p.Value, Delete: p.Deleted, If: &at}}}, nil
	}
	return Change{}, fmt.Errorf("%s at revision %d: %w", key, revision, ErrPast)
}

// keys are those of a map in order, for what has to be the same on all members.
func keys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
