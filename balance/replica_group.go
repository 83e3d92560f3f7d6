package balance

import (
	"cmp"
	"slices"
)

// replicaGroup is a set of endpoints that hold the same data: one primary and its replicas.
type replicaGroup struct {
	id               int64
	endpoints        []*endpoint // sorted by id
	pending          []*request  // requests that wait for an endpoint
	primary          primaryCache
	search           primarySearch
	hasSuspects      bool // an endpoint may be suspect, or resumed and not used yet
	firstChecksSent  bool // the health checks for the first use have been sent
	lastRequestAt    Time
	positionNeededAt Time // when a weak read last lacked a replica whose position is recent enough
	shortage         boundedReadShortage
	longReads        longReadPacing
}

// groupFor returns the group with the id, which it creates if necessary.
func (b *Balancer) groupFor(id int64) *replicaGroup {
	group := b.groups[id]
	if group == nil {
		group = &replicaGroup{id: id}
		b.groups[id] = group
		b.sortedGroups = append(b.sortedGroups, group)
		slices.SortFunc(b.sortedGroups, func(x, y *replicaGroup) int { return cmp.Compare(x.id, y.id) })
	}
	return group
}

// add adds an endpoint to the group.
func (g *replicaGroup) add(endpoint *endpoint) {
	g.endpoints = append(g.endpoints, endpoint)
	slices.SortFunc(g.endpoints, compareIDs)
}

// idle reports whether the group needs no health check now: its first checks have been sent, no request is pending, no
// weak read lacked a position in this step, and no endpoint is suspect or resumed and not used yet.
func (g *replicaGroup) idle(now Time) bool {
	if !g.firstChecksSent || g.hasSuspects {
		return false
	}
	return len(g.pending) == 0 && g.positionNeededAt != now
}

// inUse reports whether the group had a request within the active window.
func (g *replicaGroup) inUse(now Time) bool {
	return g.lastRequestAt != 0 && now-g.lastRequestAt <= activeWindow
}

// primaryLost reports whether the group's primary is unknown or suspect.
func (g *replicaGroup) primaryLost() bool {
	return !g.primary.known() || g.primary.endpoint.health.suspect
}

// isKnownPrimary reports whether the endpoint is cached as the group's primary and that entry is not suspect.
func (g *replicaGroup) isKnownPrimary(endpoint *endpoint) bool {
	return g.primary.endpoint == endpoint && g.primary.known()
}
