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

// ErrNoLeader says that this member knows of no majority.
var ErrNoLeader = errors.New("no leader")

var errNoResult = errors.New("no result")

// Put queues a write and says whether there was room. It never waits.
func (s *Store) Put(key string, value []byte) bool {
	change := fsm.Change{
		Author:     s.cfg.Name,
		ProposedAt: now(),
		Ops:        []fsm.Op{{Key: key, Value: append([]byte(nil), value...)}},
	}
	select {
	case s.queue <- change:
		return true
	default:
		s.dropped.Add(1)
		return false
	}
}

// Dropped returns the number of writes that found no room.
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
			s.commitUntilKnown(change)
		}
	}
}

// commitUntilKnown commits a queued write again until its outcome is known or the store is closed.
func (s *Store) commitUntilKnown(change fsm.Change) {
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

// newChangeID returns an id that no other change has: the member, the time, and a count.
func (s *Store) newChangeID() string {
	return fmt.Sprintf("%s.%x.%x", s.cfg.Name, time.Now().UnixNano(), s.changeIDs.Add(1))
}

// now returns the time since the Unix epoch.
func now() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Commit replicates a change and returns its result once a majority has it. An error says that the outcome is not
// known: the same change, with the same id, may be committed again and is applied once. Commit blocks, and is not for
// the path of a request.
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

// replicate appends an entry to the log, here or at the leader, and returns its encoded result.
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

// applyForwarded appends an entry that another member has forwarded. While this member starts it knows of no majority.
func (s *Store) applyForwarded(entry []byte) ([]byte, error) {
	select {
	case <-s.started:
		return s.applyAsLeader(entry)
	default:
		return nil, ErrNoLeader
	}
}

// applyAsLeader appends an entry to the log and returns its encoded result. It fails where this member does not lead.
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

// Rollback restores the configuration that a key had at a revision, unless the record changes before that is committed.
func (s *Store) Rollback(key string, revision uint64, author string) (fsm.Result, error) {
	change, err := s.machine.rollback(key, revision)
	if err != nil {
		return fsm.Result{}, err
	}
	change.Author = author
	change.ProposedAt = now()
	return s.Commit(change)
}
