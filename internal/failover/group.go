package failover

import (
	"cmp"
	"slices"
	"time"
)

// replicaGroup is the failover state of one replica group.
type replicaGroup struct {
	id        int64
	endpoints []*trackedEndpoint // by their names
	primary   *trackedEndpoint   // observed last, possibly suspect; nil = none was
	term      uint64             // counts the primaries
	history   []Transition       // the newest last

	phase          Phase
	phaseSince     time.Duration
	failoverSince  time.Duration
	announcedUntil time.Duration // end of an announced failover, 0 = none is announced
	primarySuspect bool          // the decision module suspects the primary, until it observes one

	pending         deadlineHeap
	oldestPending   time.Duration // no queued request was enqueued before
	release         releaseWindow
	releaseReviewAt time.Duration // released requests that have not ended by then are no longer waited for
	healthChecks    healthCheckSchedule

	releasedTotal uint64
	rejectedTotal [reasonCount]uint64
}

// groupFor returns a group, which it creates if need be.
func (t *Tracker) groupFor(id int64) *replicaGroup {
	group := t.groups[id]
	if group == nil {
		group = &replicaGroup{id: id, release: releaseWindow{inFlight: map[string]bool{}}}
		t.groups[id] = group
		t.orderedGroups = append(t.orderedGroups, group)
		slices.SortFunc(t.orderedGroups, func(a, b *replicaGroup) int { return cmp.Compare(a.id, b.id) })
	}
	return group
}

func (g *replicaGroup) isAnnounced() bool { return g.announcedUntil > 0 }

func (g *replicaGroup) primaryID() string {
	if g.primary == nil {
		return ""
	}
	return g.primary.id
}

// Announce says that operators are about to change a group's primary: its writes are queued from now on, until
// another primary is observed or the time has passed. It returns false if the group is not known.
func (t *Tracker) Announce(now time.Duration, groupID int64, within time.Duration) bool {
	group := t.groups[groupID]
	if group == nil {
		return false
	}
	group.announcedUntil = now + within
	t.transition(group, PhaseSwitchover, EvidenceAnnounced, group.primaryID(), now)
	return true
}

// ObservePrimary says which endpoint the decision module has confirmed as a group's primary.
func (t *Tracker) ObservePrimary(now time.Duration, groupID int64, endpointID string) {
	group := t.groupFor(groupID)
	endpoint := t.endpoints[endpointID]
	if endpoint == nil {
		endpoint = t.addEndpoint(group, endpointID)
	}
	isFirst := group.primary == nil && group.phase == PhaseSteady
	isNew := group.primary != endpoint
	if isNew {
		group.term++
	}
	group.primarySuspect = false
	group.primary = endpoint
	confirmsSteady := group.phase == PhaseSteady && !isNew
	if isFirst || confirmsSteady {
		return
	}
	awaitsAnnounced := group.phase == PhaseSwitchover && group.announcedUntil > now
	if awaitsAnnounced && !isNew {
		return // the old primary keeps its role until another one takes over
	}
	endpoint.connectFailures = 0
	endpoint.silence.lastAnswerAt = now
	t.startRelease(group, EvidencePrimaryObserved, now)
}

// SuspectPrimary says that the decision module suspects an endpoint that it had confirmed as a group's primary.
func (t *Tracker) SuspectPrimary(now time.Duration, groupID int64, endpointID string) {
	group := t.groupFor(groupID)
	if group.primary != nil && group.primary.id != endpointID {
		return
	}
	group.primarySuspect = true
	if group.phase != PhaseSwitchover {
		t.transition(group, PhasePrimaryLost, EvidencePrimarySuspect, endpointID, now)
	}
}

// restoredPositionAt ranks an earlier primary before endpoints of which nothing is known, and behind all others.
const restoredPositionAt = 1

// RestoreTerm passes on what an earlier process knew of a group: its term continues, and its primary gets the first
// health check. It may be called late, after a primary was observed.
func (t *Tracker) RestoreTerm(groupID int64, term uint64, primary string) {
	group := t.groupFor(groupID)
	if group.primary != nil && group.primary.id != primary {
		term++ // another primary has followed meanwhile
	}
	group.term = max(group.term, term)
	endpoint := t.endpoints[primary]
	if endpoint == nil || endpoint.group != group {
		return
	}
	if group.primary == nil {
		endpoint.positionAt = restoredPositionAt // it is only asked first: the decision module has to confirm it
	}
}
