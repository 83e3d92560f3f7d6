package failover

import (
	"slices"
	"time"
)

// GroupView is the state of a replica group as operators see it.
type GroupView struct {
	Group            int64
	Phase            Phase
	Term             uint64
	Primary          string        // "" = none is known
	Since            time.Duration // how long the group has been in the phase
	Pending          int
	OldestPending    time.Duration     // how long the oldest queued request has been waiting
	ReleasedInFlight int               // requests that are released and not answered
	Released         uint64            // total number of requests
	Rejected         map[string]uint64 // total numbers of requests by reason
	History          []Transition      // the newest last
}

// Views returns the state of all groups, sorted by ID.
func (t *Tracker) Views(now time.Duration) []GroupView {
	longestWait := map[*replicaGroup]time.Duration{}
	for _, request := range t.pending.byID {
		longestWait[request.group] = max(longestWait[request.group], now-request.enqueuedAt)
	}
	var views []GroupView
	for _, group := range t.orderedGroups {
		view := group.view(now)
		view.OldestPending = longestWait[group]
		views = append(views, view)
	}
	return views
}

func (g *replicaGroup) view(now time.Duration) GroupView {
	rejected := map[string]uint64{}
	for reason, total := range g.rejectedTotal {
		rejected[Reason(reason).String()] = total
	}
	return GroupView{
		Group:            g.id,
		Phase:            g.phase,
		Term:             g.term,
		Primary:          g.primaryID(),
		Since:            now - g.phaseSince,
		Pending:          len(g.pending),
		ReleasedInFlight: len(g.release.inFlight),
		Released:         g.releasedTotal,
		Rejected:         rejected,
		History:          slices.Clone(g.history),
	}
}

// Group returns the phase, term, primary and newest transition of a group.
func (t *Tracker) Group(groupID int64) (phase Phase, term uint64, primary string, last Transition) {
	group := t.groups[groupID]
	if group == nil {
		return PhaseSteady, 0, "", Transition{}
	}
	if n := len(group.history); n > 0 {
		last = group.history[n-1]
	}
	return group.phase, group.term, group.primaryID(), last
}
