package balance

import (
	"maps"
	"slices"
	"time"
)

const (
	// commitRetention is how long the commit of a session is kept at least. It is longer than the age of the copy that
	// a new endpoint starts from, so that such an endpoint may serve sessions that have not written meanwhile.
	commitRetention = 10 * time.Second
	// maxSessionCommits is the most commits that are kept by session. They take about 1 MiB.
	maxSessionCommits = 16384
)

// sessionInGroup identifies a session's data in one replica group.
type sessionInGroup struct {
	session int64
	group   int64
}

// sessionCommits knows which commits the reads of a session must see, if clients carry no session token. It keeps the
// last commit of each session for as long as it matters, and one position for all older commits of a group: an endpoint
// that joins or comes back later may lack even commits that all others applied long ago.
type sessionCommits struct {
	latest map[sessionInGroup]Time // position of the session's last commit
	older  map[int64]Time          // by group: the newest of the commits that are no longer kept by session

	otherServes bool // another process of this router may commit writes that this one does not learn of
	otherUntil  Time // when that was last so; 0 = never
}

func newSessionCommits() sessionCommits {
	return sessionCommits{latest: map[sessionInGroup]Time{}, older: map[int64]Time{}}
}

// record keeps the position of a commit.
func (s *sessionCommits) record(key sessionInGroup, position Time) {
	if position <= s.latest[key] {
		return
	}
	s.latest[key] = position
	if len(s.latest) > maxSessionCommits {
		s.mergeOldest()
	}
}

// required returns the position that a read of the session must see.
func (s *sessionCommits) required(key sessionInGroup) Time {
	return max(s.latest[key], s.older[key.group])
}

// requiredNow returns the position that a read of the session must see if it arrives now. It includes the commits of
// another process of this router: all up to now while that serves, and all up to its end afterwards.
func (s *sessionCommits) requiredNow(key sessionInGroup, now Time) Time {
	if s.otherServes {
		return now
	}
	return max(s.required(key), s.otherUntil)
}

// setOtherProcess records whether another process of this router serves clients.
func (s *sessionCommits) setOtherProcess(serving bool, now Time) {
	if s.otherServes {
		s.otherUntil = now
	}
	s.otherServes = serving
}

// merge stops keeping a commit by session.
func (s *sessionCommits) merge(key sessionInGroup) {
	s.older[key.group] = s.required(key)
	delete(s.latest, key)
}

// mergeOldest merges the older half of the commits.
func (s *sessionCommits) mergeOldest() {
	positions := slices.Sorted(maps.Values(s.latest))
	median := positions[len(positions)/2]
	for key, position := range s.latest {
		if position <= median {
			s.merge(key)
		}
	}
}

// expire merges the commits that are older than commitRetention and that all ready endpoints have applied. The merged
// position keeps no read from an endpoint that is ready now.
func (s *sessionCommits) expire(now Time, appliedEverywhere func(group int64, position Time) bool) {
	for key, position := range s.latest {
		if now-position > commitRetention && appliedEverywhere(key.group, position) {
			s.merge(key)
		}
	}
}

// rememberCommit keeps the position of a session's last write if clients carry no session token.
func (b *Balancer) rememberCommit(request *request, position Time) {
	if request.sessionKey == 0 || b.config.ClientSessionTokens {
		return
	}
	b.sessionCommits.record(sessionInGroup{request.sessionKey, request.group.id}, position)
}

// appliedEverywhere reports whether all ready endpoints of a group are known to have applied a commit. That is true of
// a group without endpoints, and not of one whose endpoints are all out of service, since they may come back.
func (b *Balancer) appliedEverywhere(groupID int64, position Time) bool {
	group := b.groups[groupID]
	if group == nil || len(group.endpoints) == 0 {
		return true
	}
	ready := false
	for _, endpoint := range group.endpoints {
		if endpoint.discovery.state != EndpointReady {
			continue
		}
		ready = true
		if endpoint.replication.position < position {
			return false
		}
	}
	return ready
}
