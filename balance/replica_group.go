package balance

import (
	"cmp"
	"slices"
)

// replicaGroup is a set of endpoints that replicate the same data: one of them is the primary.
type replicaGroup struct {
	id              int64
	endpoints       []*endpoint // sorted by id
	pending         []*request  // those that wait for an endpoint
	primary         primaryCache
	search          primarySearch
	hasSuspects     bool // an endpoint may be suspect, or resumed and not yet used
	firstChecksSent bool // the health checks of the first use are sent
	lastRequestAt   Time
	unavailableAt   Time // when a weak read last found no available replica
	shortage        boundedReadShortage
	longReads       longReadPacing
}

// groupFor returns the group with the id; a new one if there is none.
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

// add takes in an endpoint.
func (g *replicaGroup) add(endpoint *endpoint) {
	g.endpoints = append(g.endpoints, endpoint)
	slices.SortFunc(g.endpoints, compareIDs)
}

// idle says that nothing is pending in the group, no read wants a position and no endpoint is suspect, so that no
// health check is of use.
func (g *replicaGroup) idle(now Time) bool {
	if !g.firstChecksSent || g.hasSuspects {
		return false
	}
	return len(g.pending) == 0 && g.unavailableAt != now
}

// inUse says that a request came for the group lately.
func (g *replicaGroup) inUse(now Time) bool {
	return g.lastRequestAt != 0 && now-g.lastRequestAt <= activeWindow
}

// primaryLost says that the group's primary is not known, or not reachable.
func (g *replicaGroup) primaryLost() bool {
	return !g.primary.known() || g.primary.endpoint.health.suspect
}

// isKnownPrimary says that the endpoint is cached as the group's primary and not suspect.
func (g *replicaGroup) isKnownPrimary(endpoint *endpoint) bool {
	return g.primary.endpoint == endpoint && g.primary.known()
}
