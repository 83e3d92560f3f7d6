package failover

import (
	"slices"
	"time"
)

// View is what those on call see of a bank.
type GroupView struct {
	Group            int64
	Phase            Phase
	Term             uint64
	Primary          string
	Since            time.Duration // how long the phase lasts
	Pending          int
	OldestPending    time.Duration // how long the oldest is held
	ReleasedInFlight int           // released and not answered
	Released         uint64
	Rejected         map[string]uint64
	History          []Transition
}

// Views returns all banks, by their numbers.
func (tracker *Tracker) Views(now time.Duration) []GroupView {
	oldest := map[*replicaGroup]time.Duration{}
	for _, pending := range tracker.pending {
		oldest[pending.group] = max(oldest[pending.group], now-pending.enqueuedAt)
	}
	var out []GroupView
	for _, group := range tracker.orderedGroups {
		v := GroupView{Group: group.id, Phase: group.phase, Term: group.term, Primary: endpointID(group.primary), Since: now - group.phaseSince, Pending: len(group.pending), OldestPending: oldest[group],
			ReleasedInFlight: len(group.released), Released: group.releasedTotal, Rejected: map[string]uint64{}, History: slices.Clone(group.history)}
		for r, n := range group.rejectedTotal {
			v.Rejected[Reason(r).String()] = n
		}
		out = append(out, v)
	}
	return out
}

// Bank returns the phase, term and primary of one.
func (tracker *Tracker) Group(id int64) (p Phase, term uint64, primary string, last Transition) {
	group := tracker.groups[id]
	if group == nil {
		return PhaseSteady, 0, "", Transition{}
	}
	if n := len(group.history); n > 0 {
		last = group.history[n-1]
	}
	return group.phase, group.term, endpointID(group.primary), last
}
