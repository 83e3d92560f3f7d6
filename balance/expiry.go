package balance

import (
	"slices"
	"time"
)

const (
	// expiryDelay is how long an endpoint that is gone is remembered.
	expiryDelay = time.Minute
	// softRemovalExpiryDelay is the same where removal is soft. One that has died is listed as gone until it is back,
	// and what was known of it still holds then.
	softRemovalExpiryDelay = 10 * time.Minute
)

// expire drops, once a second, what would add up for ever: endpoints that are gone, groups without endpoints, and
// commits that all endpoints of their group are known to have applied. An endpoint that has only left the list may
// come back where removal is soft, so it is kept for longer.
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
	for session, commit := range b.sessionCommits {
		if commit.appliedEverywhere() {
			delete(b.sessionCommits, session)
		}
	}
}

// expireEndpoints drops the endpoints of the group that have been gone for the delay and have nothing in flight.
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

// expireGroups drops the groups without endpoints and without pending requests.
func (b *Balancer) expireGroups() {
	b.sortedGroups = slices.DeleteFunc(b.sortedGroups, func(group *replicaGroup) bool {
		if len(group.endpoints) > 0 || len(group.pending) > 0 {
			return false
		}
		delete(b.groups, group.id)
		return true
	})
}
