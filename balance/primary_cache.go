package balance

import "slices"

// primaryState is the state of a primary cache entry.
type primaryState int

const (
	primaryUnknown primaryState = iota // no primary has been known yet: BUILDING on the ODP page
	primaryCached                      // writes go to the cached primary: AVAIL
	primarySuspect                     // there is evidence against the cached primary: DIRTY
)

// primaryCache caches which endpoint is the primary of a replica group. It is the routing table entry of the ODP page.
type primaryCache struct {
	state            primaryState
	endpoint         *endpoint // kept while the entry is suspect; nil while unknown
	observedAt       Time      // time of the newest evidence for the primary
	suspectSince     Time
	exploratoryWrite *attempt // the write sent to find a new primary; nil if none
}

// known reports whether the entry has a primary and is not suspect.
func (c *primaryCache) known() bool { return c.state == primaryCached }

// acceptsEvidence reports whether the observation that the endpoint was primary at the given time applies to the entry.
func (c *primaryCache) acceptsEvidence(endpoint *endpoint, at Time) bool {
	switch {
	case c.state == primaryUnknown:
		return true
	case c.endpoint != endpoint:
		return at > c.observedAt
	case c.state == primaryCached:
		return true
	}
	return at > c.suspectSince
}

// exploratoryWritePending reports whether an exploratory write is in flight, within its silence timeout.
func (c *primaryCache) exploratoryWritePending(now Time) bool {
	write := c.exploratoryWrite
	if write == nil || write.ended {
		return false
	}
	return now-write.sentAt < silenceTimeout(write)
}

// hasExploratoryWriteAt reports whether an exploratory write is in flight at the endpoint.
func (c *primaryCache) hasExploratoryWriteAt(endpoint *endpoint) bool {
	write := c.exploratoryWrite
	if write == nil || write.ended {
		return false
	}
	return write.endpoint == endpoint
}

// roleEvidence holds the times at which an endpoint was last observed in each role.
type roleEvidence struct {
	primaryAt Time // last observed as primary
	replicaAt Time // last observed as replica, or at least as not primary
}

// lastObservedAt returns the time of the newest evidence for either role.
func (r roleEvidence) lastObservedAt() Time { return max(r.replicaAt, r.primaryAt) }

// observePrimary records that the endpoint was primary at the given time. Evidence that is older than the known
// evidence, or that concerns a suspended endpoint, is ignored.
func (b *Balancer) observePrimary(endpoint *endpoint, at Time) {
	if at <= endpoint.role.replicaAt || endpoint.discovery.suspended {
		return
	}
	// A former primary that returns without knowing that it was replaced still reports itself as primary, and its data
	// is out of date. So the role is not evidence of its position: once it is a replica, only reported positions count.
	endpoint.role.primaryAt = max(endpoint.role.primaryAt, at)
	cache := &endpoint.group.primary
	if !cache.acceptsEvidence(endpoint, at) {
		return
	}
	if b.promote(endpoint) {
		cache.exploratoryWrite = nil
	}
	cache.observedAt = max(at, cache.observedAt)
}

// observeReplica records that the endpoint was not primary at the given time.
func (b *Balancer) observeReplica(endpoint *endpoint, at Time) {
	endpoint.role.replicaAt = max(endpoint.role.replicaAt, at)
	if endpoint.isPrimary() && at >= endpoint.group.primary.observedAt {
		b.markPrimarySuspect(endpoint.group, "it says replica")
	}
}

// observeRole records the role that an endpoint reported for the given time.
func (b *Balancer) observeRole(endpoint *endpoint, role Role, at Time) {
	switch role {
	case RolePrimary:
		b.observePrimary(endpoint, at)
	case RoleReplica:
		b.observeReplica(endpoint, at)
	}
}

// promote caches the endpoint as its group's primary. It returns false if the endpoint already was the known primary.
func (b *Balancer) promote(endpoint *endpoint) bool {
	group := endpoint.group
	if group.isKnownPrimary(endpoint) {
		return false
	}
	group.primary.endpoint = endpoint
	group.primary.state = primaryCached
	// A lost primary that reports again is tried at once, since no other endpoint of its group takes writes.
	endpoint.health.recoveryAt = min(endpoint.health.recoveryAt, b.now)
	b.log("group %d: primary is %s", group.id, endpoint.id)
	b.emit(PrimaryUpdate{Group: group.id, Endpoint: endpoint.id, Confirmed: true})
	return true
}

// markPrimarySuspect makes the cached primary suspect: regular writes are no longer sent to it, and a search for the
// primary starts.
func (b *Balancer) markPrimarySuspect(group *replicaGroup, reason string) {
	cache := &group.primary
	if !cache.known() {
		return
	}
	cache.state = primarySuspect
	cache.suspectSince = b.now
	cache.exploratoryWrite = nil
	group.search.start(b.now)
	b.log("group %d: primary %s suspect: %s", group.id, cache.endpoint.id, reason)
	b.emit(PrimaryUpdate{Group: group.id, Endpoint: cache.endpoint.id, Reason: reason})
}

// stillPrimaryForGroup reports whether an unreachable primary still is the primary of its group: it has not been
// observed as a replica since it became suspect, and the positions of the group's replicas advance. Then only this
// instance can't reach it, and no other endpoint takes writes, so attempts at it must continue.
func (e *endpoint) stillPrimaryForGroup() bool {
	if !e.health.unreachable || !e.isPrimary() {
		return false
	}
	if e.role.replicaAt > e.health.suspectSince {
		return false
	}
	return slices.ContainsFunc(e.group.endpoints, func(other *endpoint) bool {
		return other != e && other.replication.position > e.health.suspectSince+healthCheckInterval
	})
}

// selectPrimary returns the endpoint for a write or a read of the latest data, or nil if the request has to stay
// pending.
func (b *Balancer) selectPrimary(request *request) *endpoint {
	cache := &request.group.primary
	if cache.known() {
		if b.eligibility(request, cache.endpoint) == eligible {
			return cache.endpoint
		}
		return nil
	}
	if !request.class.isWrite() || cache.exploratoryWritePending(b.now) {
		return nil // the request stays pending until the exploratory write has found the primary
	}
	return b.selectForExploratoryWrite(request)
}

// selectForExploratoryWrite returns the endpoint for a write while the primary is not known, or nil if there is none.
// The endpoints are tried in sorted order with one write at a time, since a silent endpoint may never answer it.
// Endpoints whose role was observed since the primary became suspect are skipped, but only for primarySearchInterval:
// the new primary may have been observed as a replica before it was promoted.
func (b *Balancer) selectForExploratoryWrite(request *request) *endpoint {
	cache := &request.group.primary
	observedBefore := max(cache.suspectSince, b.now-primarySearchInterval)
	for _, endpoint := range request.group.endpoints {
		if endpoint.role.lastObservedAt() > observedBefore || b.eligibility(request, endpoint) != eligible {
			continue
		}
		if !cache.hasExploratoryWriteAt(endpoint) && !request.wasMissedBy(endpoint) {
			return endpoint
		}
	}
	return nil
}
