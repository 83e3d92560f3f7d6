package failover

import (
	"cmp"
	"slices"
	"time"
)

// replicaGroup is the failover state of one replica group.
type replicaGroup struct {
	id        int64
	endpoints []*trackedEndpoint // sorted by ID
	primary   *trackedEndpoint   // the last observed primary, possibly suspect; nil = none was observed
	term      uint64             // number of primaries so far; increases with each change of the primary
	history   []Transition       // in the order of time, the newest last

	phase          Phase
	phaseSince     time.Duration
	failoverSince  time.Duration
	announcedUntil time.Duration // when an announced failover expires, 0 = none is announced
	primarySuspect bool          // the decision module suspects the primary and has not observed one since

	pending          deadlineHeap
	oldestEnqueuedAt time.Duration // lower bound of the times at which the queued requests were enqueued
	release          releaseWindow
	releaseReviewAt  time.Duration // when to stop waiting for the released requests that have not ended
	healthChecks     healthCheckSchedule

	releasedTotal uint64
	rejectedTotal [reasonCount]uint64
}

// groupFor returns the group with an ID. It creates the group if necessary.
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

// Announce records that operators are about to change the primary of a group. The writes of the group are queued until
// another primary is observed or the duration within has passed. Announce returns false if the group is not known.
func (t *Tracker) Announce(now time.Duration, groupID int64, within time.Duration) bool {
	group := t.groups[groupID]
	if group == nil {
		return false
	}
	group.announcedUntil = now + within
	t.transition(group, PhaseSwitchover, EvidenceAnnounced, group.primaryID(), now)
	return true
}

// ObservePrimary records that the decision module has confirmed an endpoint as the primary of a group.
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
	endpoint.consecutiveFailures = 0
	endpoint.silence.lastAnswerAt = now
	t.startRelease(group, EvidencePrimaryObserved, now)
}

// SuspectPrimary records that the decision module suspects an endpoint that it had confirmed as the primary of a group.
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

// restoredPositionAt is the positionAt of a restored primary. It ranks the endpoint before endpoints that have not
// reported a position, and after all endpoints that have.
const restoredPositionAt = 1

// RestoreTerm restores the term and the primary of a group from an earlier process. The term is continued. If no
// primary was observed yet, the restored one gets a health check before the endpoints that have not reported a
// position. RestoreTerm may also be called after a primary was observed.
func (t *Tracker) RestoreTerm(groupID int64, term uint64, primary string) {
	group := t.groupFor(groupID)
	if group.primary != nil && group.primary.id != primary {
		term++ // another primary has succeeded it in the meantime
	}
	group.term = max(group.term, term)
	endpoint := t.endpoints[primary]
	if endpoint == nil || endpoint.group != group {
		return
	}
	if group.primary == nil {
		endpoint.positionAt = restoredPositionAt // only checked first: the decision module still has to confirm it
	}
}
