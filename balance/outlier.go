package balance

// outlierFailureMargin is how much an endpoint's failure rate must exceed that of its best peer to make it an outlier.
const outlierFailureMargin = 0.25

// outlierStats holds the failure rate that outlier detection uses.
type outlierStats struct {
	failureRate float64 // moving mean, 0 to 1
}

// recordFailure counts a failed attempt.
func (o *outlierStats) recordFailure() { o.failureRate += smoothing * (1 - o.failureRate) }

// recordSuccess counts a served attempt.
func (o *outlierStats) recordSuccess() { o.failureRate -= smoothing * o.failureRate }

// isOutlier reports whether the endpoint fails more often than its best peer, so that failures common to all endpoints
// of the group don't count. Weak reads go to an outlier only as the last choice, apart from recovery attempts. Strong
// requests still go to it, since no other endpoint can serve them.
func (e *endpoint) isOutlier() bool {
	least := e.outlier.failureRate
	for _, peer := range e.group.endpoints {
		if peer.discovery.state == EndpointReady && !peer.isPrimary() {
			least = min(least, peer.outlier.failureRate)
		}
	}
	return e.outlier.failureRate > outlierFailureMargin+least
}

// outlierRecoveryDue reports whether the endpoint is an outlier that may get another recovery attempt.
func (e *endpoint) outlierRecoveryDue(now Time) bool {
	return e.isOutlier() && now >= e.health.recoveryAt
}

// isEjected reports whether the endpoint is an outlier that gets no weak read which another endpoint can serve: its
// next recovery attempt is not due, or an attempt is in flight.
func (e *endpoint) isEjected(now Time) bool {
	waits := now < e.health.recoveryAt || len(e.inFlight) > 0
	return waits && e.isOutlier()
}

// recordFailure counts a failed attempt, and ejects the endpoint if it is an outlier.
func (b *Balancer) recordFailure(endpoint *endpoint) {
	endpoint.outlier.recordFailure()
	if endpoint.isOutlier() && endpoint.health.recoveryAt < b.now {
		endpoint.health.setBackoff(minRecoveryBackoff, b.now)
		b.log("endpoint %s: ejected, it fails requests", endpoint.id)
	}
}
