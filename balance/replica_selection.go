package balance

// weakReadPrimaryShare is the part of the primary's limit that weak reads may use: strong requests, which have no
// other place, need some of it at once.
const weakReadPrimaryShare = 0.75

// maxReplicaMisses is how many replicas a read tries that send it back as a miss, before it goes to the primary.
const maxReplicaMisses = 2

// replicaCandidates are the replicas of a group that a weak read may be sent to now, in the order of preference.
type replicaCandidates struct {
	resumed *endpoint   // operators have let it back in: it goes before all others
	local   []*endpoint // in the zone of this instance
	remote  []*endpoint // in other zones
	ejected []*endpoint // outliers: the last choice
	missed  int         // replicas that have sent the read back
}

// reset empties the candidates, and keeps their memory for the next use.
func (c *replicaCandidates) reset() {
	c.resumed = nil
	c.local = c.local[:0]
	c.remote = c.remote[:0]
	c.ejected = c.ejected[:0]
	c.missed = 0
}

// preferred are the replicas of the nearest zone.
func (c *replicaCandidates) preferred() []*endpoint {
	if len(c.local) == 0 {
		return c.remote
	}
	return c.local
}

// selectEndpoint returns the endpoint for a request, or nil if it has to stay pending.
func (b *Balancer) selectEndpoint(request *request) *endpoint {
	if request.class.needsPrimary() {
		return b.selectPrimary(request)
	}
	return b.selectReplica(request)
}

// selectReplica returns the endpoint for a weak read: an available replica, in the own zone if there is one, by a
// random draw, else the primary if it has capacity to spare, else an outlier. It returns nil if the read has to stay
// pending.
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
	request.group.unavailableAt = b.now
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

// draw picks one of the endpoints at random.
func (b *Balancer) draw(endpoints []*endpoint) *endpoint {
	return endpoints[b.rng.IntN(len(endpoints))]
}

// collectCandidates collects the replicas that the read may be sent to now. A resumed replica ends the search:
// operators have asked for it, and its position will age again. The result is valid until the next call.
func (b *Balancer) collectCandidates(request *request) *replicaCandidates {
	candidates := &b.candidates
	candidates.reset()
	for _, endpoint := range request.group.endpoints {
		if request.group.isKnownPrimary(endpoint) || !b.isAvailable(request, endpoint) {
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

// requestReports notes which replicas could take the read if a report showed that they are recent enough, and says
// whether the read should wait for one: a report comes much sooner than the primary's work is done. A report from a
// replica that can take nothing is of no use to anyone.
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
		endpoint.replication.neededAt = b.now
	}
	return expected
}

// reportExpected says that a report of the endpoint should come soon, or can be asked for.
func (b *Balancer) reportExpected(endpoint *endpoint) bool {
	if endpoint.check.resultExpected(b.now) {
		return true
	}
	return !endpoint.health.suspect && b.healthCheckAllowed(endpoint, healthCheckInterval)
}

// wasRecentEnough says that the endpoint would do for the read if it lags as it did when it last reported.
func (b *Balancer) wasRecentEnough(request *request, endpoint *endpoint) bool {
	if b.config.FreshnessCheck != FreshnessCheckNone {
		return false
	}
	return b.now-endpoint.replication.lag >= b.requiredPosition(request)
}

// primaryTakesWeakRead says whether the primary has capacity to spare for a weak read. One that is an outlier gets
// none if an ejected replica could take it as well.
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

// hasSpareCapacity says whether the primary can take a weak read and keep enough of its limit and credit for strong
// requests.
func (b *Balancer) hasSpareCapacity(request *request, primary *endpoint) bool {
	limit := &primary.limit
	if b.now < limit.weakReadsFrom || float64(len(primary.inFlight)) >= max(1, weakReadPrimaryShare*limit.attempts) {
		return false
	}
	check := b.checkCredit(request, primary)
	reserve := min(check.burst-check.cost, (1-weakReadPrimaryShare)*creditBurst*check.cost)
	return check.covered && primary.credit.tokens-check.cost >= reserve
}
