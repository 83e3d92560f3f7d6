package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"limeladder/internal/store/fsm"
)

const (
	applyTimeout = 2 * time.Second
	// commitRetryInterval is the pause before a queued write that did not reach a majority is committed again.
	commitRetryInterval = 100 * time.Millisecond
)

// ErrNoLeader is returned when this member knows of no elected leader.
var ErrNoLeader = errors.New("no leader")

var errNoResult = errors.New("no result")

// Put queues a write and reports whether the queue had room for it. It never blocks.
func (s *Store) Put(key string, value []byte) bool {
	change := fsm.Change{
		Author:     s.cfg.Name,
		ProposedAt: now(),
		Ops:        []fsm.Op{{Key: key, Value: append([]byte(nil), value...)}},
	}
	s.queued.Add(1)
	select {
	case s.queue <- change:
		return true
	default:
		s.queued.Add(-1)
		s.dropped.Add(1)
		return false
	}
}

// HasQueuedWrites reports whether the outcome of a write that Put has queued is not known yet.
func (s *Store) HasQueuedWrites() bool { return s.queued.Load() > 0 }

// Dropped returns the number of writes that were dropped because the queue was full.
func (s *Store) Dropped() uint64 { return s.dropped.Load() }

// replicateQueue commits the queued writes in order until the store is closed.
func (s *Store) replicateQueue() {
	defer s.done.Done()
	for {
		select {
		case <-s.quit:
			return
		case change := <-s.queue:
			change.ID = s.newChangeID()
			s.commitUntilOutcomeKnown(change)
			s.queued.Add(-1)
		}
	}
}

// commitUntilOutcomeKnown retries the commit of a queued write until its outcome is known or the store is closed.
func (s *Store) commitUntilOutcomeKnown(change fsm.Change) {
	for {
		result, err := s.Commit(change)
		if err == nil {
			if !result.Applied() {
				s.log.Warn("store write rejected", "key", change.Ops[0].Key, "reason", string(result.Reason))
			}
			return
		}
		select {
		case <-s.quit:
			return
		case <-time.After(commitRetryInterval):
		}
	}
}

// newChangeID returns a unique change id made of the member's name, the time and a counter.
func (s *Store) newChangeID() string {
	return fmt.Sprintf("%s.%x.%x", s.cfg.Name, time.Now().UnixNano(), s.changeIDs.Add(1))
}

// now returns the time since the Unix epoch.
func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Commit replicates a change and returns its result once a majority has it. An error means that the outcome is
// unknown: the same change may be committed again under the same id and is applied only once. Commit blocks and must
// not be called while a request waits.
func (s *Store) Commit(change fsm.Change) (fsm.Result, error) {
	if change.ID == "" {
		change.ID = s.newChangeID()
	}
	entry, err := change.Encode()
	if err != nil {
		return fsm.Result{}, err
	}
	encoded, err := s.replicate(entry)
	if err != nil {
		return fsm.Result{}, err
	}
	var result fsm.Result
	err = json.Unmarshal(encoded, &result)
	return result, err
}

// replicate appends an entry to the log, through the leader if that is another member, and returns its encoded result.
func (s *Store) replicate(entry []byte) ([]byte, error) {
	if s.raft.State() == raft.Leader {
		return s.applyAsLeader(entry)
	}
	leader, _ := s.raft.LeaderWithID()
	if leader == "" {
		return nil, ErrNoLeader
	}
	return s.stream.forward(string(leader), entry)
}

// applyForwarded appends an entry that another member has forwarded. It returns ErrNoLeader until raft has started.
func (s *Store) applyForwarded(entry []byte) ([]byte, error) {
	select {
	case <-s.started:
		return s.applyAsLeader(entry)
	default:
		return nil, ErrNoLeader
	}
}

// applyAsLeader appends an entry to the log and returns its encoded result. It fails if this member is not the leader.
func (s *Store) applyAsLeader(entry []byte) ([]byte, error) {
	future := s.raft.Apply(entry, applyTimeout)
	if err := future.Error(); err != nil {
		return nil, err
	}
	switch response := future.Response().(type) {
	case fsm.Result:
		return json.Marshal(response)
	case error:
		return nil, response
	}
	return nil, errNoResult
}

// Rollback restores the configuration that a key had at a revision. The change is rejected if the record changes before
// it is committed.
func (s *Store) Rollback(key string, revision uint64, author string) (fsm.Result, error) {
	change, err := s.machine.rollback(key, revision)
	if err != nil {
		return fsm.Result{}, err
	}
	change.Author = author
	change.ProposedAt = now()
	return s.Commit(change)
}
