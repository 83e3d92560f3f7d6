package frontend

import (
	"hash/maphash"
	"slices"
	"time"

	"limeladder/internal/router"
)

// commits are the positions of the writes that were made on one connection, as far as its client has not shown that it knows them. A
// read carries the last position that its client had read when it sent it: what crossed the answer to a write on the way, or was sent
// behind the write, can't carry that one. That an answer has left says nothing; a read of the session that carries the position does.
type sessionCommits struct {
	seed     maphash.Seed
	sessions []commit // by session, the oldest first
	groups   []commit // of sessions for which there is no room, by group: reads of all others of the group see them too
}

type commit struct {
	session  uint64 // a hash: to keep the name would keep the statement that it stands in
	group    int64
	position time.Duration
}

// commitsMost bounds the sessions of one connection whose writes are told apart: 24 bytes each, as many as there are.
const maxTrackedSessions = 64

// note enters a write that was made.
func (m *sessionCommits) record(session string, group int64, position time.Duration) {
	if session == "" {
		return
	}
	if m.seed == (maphash.Seed{}) {
		m.seed = maphash.MakeSeed()
	}
	w := commit{maphash.String(m.seed, session), group, position}
	if i := w.indexIn(m.sessions); i >= 0 {
		w.position = max(position, m.sessions[i].position)
		m.sessions = slices.Delete(m.sessions, i, i+1)
	} else if len(m.sessions) >= maxTrackedSessions {
		old := m.sessions[0]
		old.session = 0
		m.sessions = slices.Delete(m.sessions, 0, 1)
		if i := old.indexIn(m.groups); i >= 0 {
			m.groups[i].position = max(m.groups[i].position, old.position)
		} else {
			m.groups = append(m.groups, old) // as many as there are groups that take writes
		}
	}
	m.sessions = append(m.sessions, w)
}

// see is the position that a read of a session has to see.
func (m *sessionCommits) positionFor(q *router.Request) time.Duration {
	after := q.MinPosition
	if len(m.sessions)+len(m.groups) == 0 {
		return after
	}
	r := commit{maphash.String(m.seed, q.Session), q.Group, 0}
	if i := r.indexIn(m.sessions); i >= 0 {
		if known := m.sessions[i].position; after < known {
			after = known
		} else {
			m.sessions = slices.Delete(m.sessions, i, i+1)
		}
	}
	r.session = 0
	if i := r.indexIn(m.groups); i >= 0 {
		after = max(after, m.groups[i].position)
	}
	return after
}

// in is where a commit of the same session and group stands, -1 = nowhere.
func (w commit) indexIn(of []commit) int {
	return slices.IndexFunc(of, func(c commit) bool { return c.session == w.session && c.group == w.group })
}
