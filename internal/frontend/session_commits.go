package frontend

import (
	"hash/maphash"
	"slices"
	"time"

	"limeladder/internal/router"
)

// sessionCommits holds the positions of the writes that were made on one connection, for as long as its client has not
// shown that it knows them. A read carries the last position that its client knew when it sent the read: a read that
// was sent before the client had received the response to a write can't carry the position of that write. A response
// that was sent does not prove that the client knows the position; a read of the session that carries the position
// does.
type sessionCommits struct {
	seed     maphash.Seed
	sessions []commit // by session, the oldest first
	groups   []commit // of sessions that no longer have an entry, by replica group: all reads of the group see them
}

type commit struct {
	session  uint64 // hash of the session, since keeping the name would keep the whole statement in memory
	group    int64
	position time.Duration
}

// maxTrackedSessions limits the sessions of one connection whose writes are tracked separately, at 24 bytes each.
const maxTrackedSessions = 64

// record adds a write.
func (s *sessionCommits) record(session string, group int64, position time.Duration) {
	if session == "" {
		return
	}
	if s.seed == (maphash.Seed{}) {
		s.seed = maphash.MakeSeed()
	}
	write := commit{maphash.String(s.seed, session), group, position}
	if i := write.indexIn(s.sessions); i >= 0 {
		write.position = max(position, s.sessions[i].position)
		s.sessions = slices.Delete(s.sessions, i, i+1)
	} else if len(s.sessions) >= maxTrackedSessions {
		s.mergeOldest()
	}
	s.sessions = append(s.sessions, write)
}

// mergeOldest moves the oldest session's write to the entry of its replica group.
func (s *sessionCommits) mergeOldest() {
	oldest := s.sessions[0]
	oldest.session = 0
	s.sessions = slices.Delete(s.sessions, 0, 1)
	i := oldest.indexIn(s.groups)
	if i < 0 {
		s.groups = append(s.groups, oldest) // limited by the number of replica groups with writes
		return
	}
	s.groups[i].position = max(s.groups[i].position, oldest.position)
}

// positionFor returns the position that a read has to see. It drops a write whose position the read already carries.
func (s *sessionCommits) positionFor(request *router.Request) time.Duration {
	position := request.MinPosition
	if len(s.sessions)+len(s.groups) == 0 {
		return position
	}
	read := commit{session: maphash.String(s.seed, request.Session), group: request.Group}
	if i := read.indexIn(s.sessions); i >= 0 {
		if written := s.sessions[i].position; position < written {
			position = written
		} else {
			s.sessions = slices.Delete(s.sessions, i, i+1)
		}
	}
	read.session = 0
	if i := read.indexIn(s.groups); i >= 0 {
		position = max(position, s.groups[i].position)
	}
	return position
}

// indexIn returns the index of the commit of the same session and group, or -1 if there is none.
func (c commit) indexIn(commits []commit) int {
	return slices.IndexFunc(commits, func(other commit) bool {
		return other.session == c.session && other.group == c.group
	})
}
