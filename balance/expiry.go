package balance

import (
	"slices"
	"time"
)

const (
	// expiryDelay is how long a removed endpoint is kept.
	expiryDelay = time.Minute
	// softRemovalExpiryDelay is the same with Config.SoftRemoval, where a crashed endpoint is listed as removed until
	// it is back. What is known of it is still valid then.
	softRemovalExpiryDelay = 10 * time.Minute
)

// expire deletes state that would otherwise accumulate: removed endpoints, groups without endpoints, and old session
// commits that all ready endpoints of their group are known to have applied. It also decays the statistics of the
// classes. It is called once a second. With Config.SoftRemoval a removed endpoint may come back, so it is kept for
// longer.
func (b *Balancer) expire() {
	for _, class := range b.classes {
		class.expire(b.config.hasFractionalShare())
	}
	delay := expiryDelay
	if b.config.SoftRemoval {
		delay = softRemovalExpiryDelay
	}
	for _, group := range b.sortedGroups {
		b.expireEndpoints(group, delay)
	}
	b.expireGroups()
	b.sessionCommits.expire(b.now, b.appliedEverywhere)
}

// expireEndpoints deletes the endpoints of the group that were removed at least the delay ago and have no attempts in
// flight.
func (b *Balancer) expireEndpoints(group *replicaGroup, delay time.Duration) {
	group.endpoints = slices.DeleteFunc(group.endpoints, func(endpoint *endpoint) bool {
		if endpoint.discovery.state != EndpointRemoved || len(endpoint.inFlight) > 0 {
			return false
		}
		if b.now-endpoint.discovery.removedAt < delay {
			return false
		}
		delete(b.endpoints, endpoint.id)
		return true
	})
}

// expireGroups deletes the groups without endpoints and without pending requests.
func (b *Balancer) expireGroups() {
	b.sortedGroups = slices.DeleteFunc(b.sortedGroups, func(group *replicaGroup) bool {
		if len(group.endpoints) > 0 || len(group.pending) > 0 {
			return false
		}
		delete(b.groups, group.id)
		return true
	})
}
