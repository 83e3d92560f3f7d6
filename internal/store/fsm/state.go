package fsm

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// State is the replicated content of the store. It is not safe for concurrent use: its owner has to lock it.
type State struct {
	limits     Limits
	revision   uint64
	records    map[string]*Record
	bytes      int                       // total length of all keys and values
	history    map[string][]HistoryEntry // by key, oldest first
	remembered []rememberedResult        // oldest first
	resultByID map[string]Result         // the results in remembered, by change id
	events     []Event                   // oldest first
	compacted  uint64                    // revision up to which events were dropped
}

// rememberedResult is the result of a change with an id, in the form that snapshots contain.
type rememberedResult struct {
	ID     string
	Result Result
}

// New returns an empty state.
func New(limits Limits) *State {
	return &State{
		limits:     limits,
		records:    map[string]*Record{},
		history:    map[string][]HistoryEntry{},
		resultByID: map[string]Result{},
	}
}

// Revision returns the revision of the last change that was applied.
func (s *State) Revision() uint64 { return s.revision }

// Len returns the number of records.
func (s *State) Len() int { return len(s.records) }

// Bytes returns the total length of all keys and values.
func (s *State) Bytes() int { return s.bytes }

// Get returns a record. The caller must not modify its value.
func (s *State) Get(key string) (Record, bool) {
	if record := s.records[key]; record != nil {
		return *record, true
	}
	return Record{}, false
}

// Range returns the records whose keys begin with prefix, sorted by key.
func (s *State) Range(prefix string) []Record {
	var found []Record
	for key, record := range s.records {
		if strings.HasPrefix(key, prefix) {
			found = append(found, *record)
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return found
}

// Apply applies a change, or rejects it without changing any record.
func (s *State) Apply(change Change) Result {
	if change.ID != "" {
		if earlier, ok := s.resultByID[change.ID]; ok {
			earlier.Duplicate = true
			return earlier
		}
	}
	result := s.check(change)
	if result.Applied() {
		s.revision++
		result.Revision = s.revision
		for _, op := range change.Ops {
			s.applyOp(change, op)
		}
	}
	// A rejection is remembered too: if its response was lost, the proposer must get the same result when it retries.
	s.remember(change.ID, result)
	return result
}

// check returns the rejection of a change, or a zero Result if it can be applied.
func (s *State) check(change Change) Result {
	if len(change.Ops) == 0 {
		return Result{Reason: ReasonInvalid}
	}
	if s.limits.exceededBy(change) {
		return Result{Reason: ReasonLimitExceeded}
	}
	seen := map[string]bool{}
	after := s.usage()
	for _, op := range change.Ops {
		current := s.currentRevision(op.Key)
		if reason := s.checkOp(op, seen[op.Key], current); reason != "" {
			return Result{Reason: reason, Key: op.Key, CurrentRevision: current}
		}
		seen[op.Key] = true
		after = after.with(op, s.records[op.Key])
	}
	if !s.hasCapacity(after) {
		return Result{Reason: ReasonLimitExceeded, Key: change.Ops[0].Key}
	}
	return Result{}
}

// exceededBy reports whether a change has too many operations, or an id or author that is too long.
func (l Limits) exceededBy(change Change) bool {
	return len(change.Ops) > l.Ops || len(change.ID) > l.KeyBytes || len(change.Author) > l.KeyBytes
}

// checkOp returns the reason to reject a change because of an operation, or "" if there is none. repeated is true if an
// earlier operation of the change has the same key. current is the record's current revision.
func (s *State) checkOp(op Op, repeated bool, current uint64) Reason {
	deletesWithValue := op.Delete && len(op.Value) > 0
	conflicts := op.IfRevision != nil && *op.IfRevision != current
	switch {
	case op.Key == "" || repeated || deletesWithValue:
		return ReasonInvalid
	case s.limits.exceededByOp(op):
		return ReasonLimitExceeded
	case conflicts:
		return ReasonConflict
	}
	return ""
}

// exceededByOp reports whether the key, the kind or the value of an operation is too long.
func (l Limits) exceededByOp(op Op) bool {
	return len(op.Key) > l.KeyBytes || len(op.Kind) > l.KeyBytes || len(op.Value) > l.ValueBytes
}

// currentRevision returns the revision of a record, or 0 if it does not exist.
func (s *State) currentRevision(key string) uint64 {
	if record := s.records[key]; record != nil {
		return record.ModRevision
	}
	return 0
}

// usage is the part of the limits that records use.
type usage struct {
	records int
	bytes   int
}

func (s *State) usage() usage { return usage{records: len(s.records), bytes: s.bytes} }

// with returns the usage after an operation on a record. record is nil if it does not exist yet.
func (u usage) with(op Op, record *Record) usage {
	if record != nil {
		u.records--
		u.bytes -= size(op.Key, record.Value)
	}
	if !op.Delete {
		u.records++
		u.bytes += size(op.Key, op.Value)
	}
	return u
}

// hasCapacity reports whether the limits allow the usage after a change. A change that frees capacity is always
// allowed, because otherwise a member whose limits were lowered could never get below them.
func (s *State) hasCapacity(after usage) bool {
	tooManyRecords := after.records > s.limits.Records && after.records > len(s.records)
	tooManyBytes := after.bytes > s.limits.TotalBytes && after.bytes > s.bytes
	return !tooManyRecords && !tooManyBytes
}

func size(key string, value []byte) int { return len(key) + len(value) }

// applyOp applies one operation of a change that check has accepted.
func (s *State) applyOp(change Change, op Op) {
	current := s.records[op.Key]
	if op.Delete && current == nil {
		return
	}
	next := Record{
		Key:            op.Key,
		Kind:           op.Kind,
		Schema:         op.Schema,
		Value:          append([]byte{}, op.Value...),
		CreateRevision: s.revision,
		ModRevision:    s.revision,
	}
	kind := op.Kind
	if current != nil {
		s.bytes -= size(op.Key, current.Value)
		next.CreateRevision = current.CreateRevision
		if op.Delete {
			kind = current.Kind
		}
	}
	next.Kind = kind
	if op.Delete {
		delete(s.records, op.Key)
	} else {
		s.records[op.Key] = &next
		s.bytes += size(op.Key, op.Value)
	}
	if kind == KindConfig {
		s.appendHistory(change, next, op.Delete)
	}
	s.appendEvent(Event{Revision: s.revision, Key: op.Key, Deleted: op.Delete})
}

// remember keeps the result of a change with an id, and drops the oldest one beyond the limit.
func (s *State) remember(id string, result Result) {
	if id == "" {
		return
	}
	s.resultByID[id] = result
	s.remembered = append(s.remembered, rememberedResult{ID: id, Result: result})
	if len(s.remembered) > s.limits.RememberedIDs {
		delete(s.resultByID, s.remembered[0].ID)
		s.remembered = s.remembered[1:]
	}
}

// sortedKeys returns the keys of a map in an order that is the same on all members.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
