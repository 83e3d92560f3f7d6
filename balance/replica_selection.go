package balance

// weakReadPrimaryShare is the share of the primary's concurrency limit that weak reads may use. The rest is kept free
// for strong requests, which can't go elsewhere.
const weakReadPrimaryShare = 0.75

// maxReplicaMisses is the number of replicas that may answer a read with a miss before it goes to the primary.
const maxReplicaMisses = 2

// replicaCandidates holds the replicas of a group that a weak read may be sent to now, in the order of preference.
type replicaCandidates struct {
	resumed *endpoint   // resumed by operators: preferred over all others
	local   []*endpoint // in the zone of this instance
	remote  []*endpoint // in other zones
	ejected []*endpoint // outliers: the last choice
	missed  int         // number of replicas that have answered the read with a miss
}

// reset removes all candidates, but keeps the allocated memory.
func (c *replicaCandidates) reset() {
	c.resumed = nil
	c.local = c.local[:0]
	c.remote = c.remote[:0]
	c.ejected = c.ejected[:0]
	c.missed = 0
}

// preferred returns the replicas in the zone of this instance, or those in other zones if there are none.
func (c *replicaCandidates) preferred() []*endpoint {
	if len(c.local) == 0 {
		return c.remote
	}
	return c.local
}

// selectEndpoint returns the endpoint for a request, or nil if the request has to stay pending.
func (b *Balancer) selectEndpoint(request *request) *endpoint {
	if request.class.needsPrimary() {
		return b.selectPrimary(request)
	}
	return b.selectReplica(request)
}

// selectReplica returns the endpoint for a weak read: a random available replica, preferably in the zone of this
// instance; else the primary, if it has spare capacity; else an ejected replica. It returns nil if the read has to
// stay pending.
func (b *Balancer) selectReplica(request *request) *endpoint {
	candidates := b.collectCandidates(request)
	if candidates.resumed != nil {
		return candidates.resumed
	}
	replicas := candidates.preferred()
	if len(replicas) > 0 && b.isLongRead(request.class) {
		replicas = b.longReadCandidates(request.group, append(replicas, candidates.remote...))
	}
	if len(replicas) > 0 && candidates.missed < maxReplicaMisses {
		return b.draw(replicas)
	}
	request.group.positionNeededAt = b.now
	if b.requestReports(request) {
		return nil
	}
	if b.primaryTakesWeakRead(request, len(candidates.ejected) > 0) {
		return request.group.primary.endpoint
	}
	if len(candidates.ejected) > 0 {
		return b.draw(candidates.ejected)
	}
	return nil
}

// draw returns a random one of the endpoints.
func (b *Balancer) draw(endpoints []*endpoint) *endpoint {
	return endpoints[b.rng.IntN(len(endpoints))]
}

// collectCandidates returns the replicas that the read may be sent to now. It stops at a resumed replica, since
// operators want it to be used, and its position would become too old again. The result is valid until the next call.
func (b *Balancer) collectCandidates(request *request) *replicaCandidates {
	candidates := &b.candidates
	candidates.reset()
	for _, endpoint := range request.group.endpoints {
		if request.group.isKnownPrimary(endpoint) {
			continue
		}
		if !b.isAvailable(request, endpoint) {
			b.requestOlderCommits(request, endpoint)
			continue
		}
		if request.wasMissedBy(endpoint) {
			candidates.missed++
			continue
		}
		if b.eligibility(request, endpoint) != eligible {
			continue
		}
		switch {
		case endpoint.discovery.resumed:
			candidates.resumed = endpoint
			return candidates
		case endpoint.isEjected(b.now):
			candidates.ejected = append(candidates.ejected, endpoint)
		case endpoint.zone == b.config.Zone:
			candidates.local = append(candidates.local, endpoint)
		default:
			candidates.remote = append(candidates.remote, endpoint)
		}
	}
	return candidates
}

// requestReports marks the replicas that could take the read if a load report showed that their data is recent enough,
// and reports whether the read should wait for such a report: a report arrives much sooner than the primary would
// finish its work. Replicas that could not take the read even after a report are not marked.
func (b *Balancer) requestReports(request *request) (expected bool) {
	for _, endpoint := range request.group.endpoints {
		if endpoint.isPrimary() || !endpoint.inService() {
			continue
		}
		if b.isAvailable(request, endpoint) || b.capacityFor(request, endpoint) != eligible {
			continue
		}
		if b.reportExpected(endpoint) && b.wasRecentEnough(request, endpoint) {
			expected = true
		}
		endpoint.replication.positionNeededAt = b.now
	}
	return expected
}

// requestOlderCommits marks a replica for a health check if a session read can't go to it because it is not known to
// have the commits that no session read may miss: one that has just joined or come back. No session read goes to such a
// replica, so without the health check nothing might show for long that it has caught up.
func (b *Balancer) requestOlderCommits(request *request, endpoint *endpoint) {
	if request.class.Consistency != ConsistencySession || b.config.ClientSessionTokens || !endpoint.inService() {
		return
	}
	position := endpoint.replication.position
	if position > 0 && position >= b.sessionCommits.older[request.group.id] {
		return
	}
	endpoint.replication.positionNeededAt = b.now
	request.group.positionNeededAt = b.now
}

// reportExpected reports whether a load report of the endpoint should arrive soon, or can be requested.
func (b *Balancer) reportExpected(endpoint *endpoint) bool {
	if endpoint.check.resultExpected(b.now) {
		return true
	}
	return !endpoint.health.suspect && b.healthCheckAllowed(endpoint, healthCheckInterval)
}

// wasRecentEnough reports whether the endpoint could serve the read if its lag is as in its last report.
func (b *Balancer) wasRecentEnough(request *request, endpoint *endpoint) bool {
	if b.config.FreshnessCheck != FreshnessCheckNone {
		return false
	}
	return b.now-endpoint.replication.lag >= b.requiredPosition(request)
}

// primaryTakesWeakRead reports whether the primary has spare capacity for a weak read. A primary that is an outlier
// does not get the read if an ejected replica could take it.
func (b *Balancer) primaryTakesWeakRead(request *request, replicaEjected bool) bool {
	cache := &request.group.primary
	if !cache.known() || !b.hasSpareCapacity(request, cache.endpoint) {
		return false
	}
	if replicaEjected && cache.endpoint.isOutlier() {
		return false
	}
	return b.eligibility(request, cache.endpoint) == eligible
}

// hasSpareCapacity reports whether the primary can take a weak read and still has enough of its concurrency limit and
// work credit left for strong requests.
func (b *Balancer) hasSpareCapacity(request *request, primary *endpoint) bool {
	limit := &primary.limit
	if b.now < limit.weakReadsFrom || float64(len(primary.inFlight)) >= max(1, weakReadPrimaryShare*limit.attempts) {
		return false
	}
	check := b.checkCredit(request, primary)
	reserve := min(check.burst-check.cost, (1-weakReadPrimaryShare)*creditBurst*check.cost)
	return check.covered && primary.credit.tokens-check.cost >= reserve
}
