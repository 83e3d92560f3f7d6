package balance

import "slices"

// primaryState is the state of a primary cache entry.
type primaryState int

const (
	primaryUnknown primaryState = iota // no primary was known yet: BUILDING on the ODP page
	primaryCached                      // the cached primary takes the writes: AVAIL
	primarySuspect                     // there is evidence against the cached primary: DIRTY
)

// primaryCache says which endpoint is the primary of a replica group. It is the routing table entry of the ODP page.
type primaryCache struct {
	state            primaryState
	endpoint         *endpoint // kept while it is suspect; nil while unknown
	observedAt       Time      // newest evidence for the primary
	suspectSince     Time
	exploratoryWrite *attempt // the write that is in flight to find a new primary
}

// known says that the entry names a primary that is not suspect.
func (c *primaryCache) known() bool { return c.state == primaryCached }

// acceptsEvidence says whether the observation that an endpoint was primary at a time is news for the entry.
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

// exploratoryWritePending says that an exploratory write is in flight and may still be answered in time.
func (c *primaryCache) exploratoryWritePending(now Time) bool {
	write := c.exploratoryWrite
	if write == nil || write.ended {
		return false
	}
	return now-write.sentAt < silenceTimeout(write)
}

// hasExploratoryWriteAt says that an exploratory write is in flight at the endpoint.
func (c *primaryCache) hasExploratoryWriteAt(endpoint *endpoint) bool {
	write := c.exploratoryWrite
	if write == nil || write.ended {
		return false
	}
	return write.endpoint == endpoint
}

// roleEvidence is the newest evidence for the role of an endpoint.
type roleEvidence struct {
	primaryAt Time // it was primary
	replicaAt Time // it was replica, or at least no primary
}

// lastObservedAt is the time of the newest evidence.
func (r roleEvidence) lastObservedAt() Time { return max(r.replicaAt, r.primaryAt) }

// observePrimary notes that the endpoint was primary at the given time. Newer evidence wins; older evidence is
// dropped.
func (b *Balancer) observePrimary(endpoint *endpoint, at Time) {
	if at <= endpoint.role.replicaAt || endpoint.discovery.suspended {
		return
	}
	// An endpoint that came back and does not know that it was replaced still calls itself primary, from data that
	// stands still. So this is no evidence of its position: once it is a replica, only reported positions count.
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

// observeReplica notes that the endpoint was no primary at the given time.
func (b *Balancer) observeReplica(endpoint *endpoint, at Time) {
	endpoint.role.replicaAt = max(endpoint.role.replicaAt, at)
	if endpoint.isPrimary() && at >= endpoint.group.primary.observedAt {
		b.markPrimarySuspect(endpoint.group, "it says replica")
	}
}

// observeRole notes the role that an endpoint reported for the given time.
func (b *Balancer) observeRole(endpoint *endpoint, role Role, at Time) {
	switch role {
	case RolePrimary:
		b.observePrimary(endpoint, at)
	case RoleReplica:
		b.observeReplica(endpoint, at)
	}
}

// promote caches the endpoint as its group's primary, and says whether that is news.
func (b *Balancer) promote(endpoint *endpoint) bool {
	group := endpoint.group
	if group.isKnownPrimary(endpoint) {
		return false
	}
	group.primary.endpoint = endpoint
	group.primary.state = primaryCached
	// A primary that was lost and reports again is tried at once: its group takes no writes elsewhere.
	endpoint.health.recoveryAt = min(endpoint.health.recoveryAt, b.now)
	b.log("group %d: primary is %s", group.id, endpoint.id)
	b.emit(PrimaryUpdate{Group: group.id, Endpoint: endpoint.id, Confirmed: true})
	return true
}

// markPrimarySuspect notes evidence against the cached primary: writes are no longer sent there as before, and the
// group's endpoints are checked for their roles.
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

// stillPrimaryForGroup says that a suspect primary that cannot be reached still is the primary: its group goes on
// committing and no other endpoint has been observed as primary. If this instance alone cannot reach it, it still is
// the only one to take writes, so it has to be tried on.
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

// selectPrimary returns the endpoint for a write or a read of the latest data, or nil if it has to stay pending.
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

// selectForExploratoryWrite returns the endpoint for a write while the primary is not known. The endpoints are tried
// in sorted order, one write at a time, since a silent endpoint may take it. Those that were observed in a role since
// the primary became suspect are left out for a while; the successor, too, may have been observed as a replica before
// it took over, so it is tried again.
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
