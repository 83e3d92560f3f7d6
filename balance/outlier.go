package balance

// outlierFailureMargin is the share of failures beyond that of its best peer that makes an endpoint an outlier.
const outlierFailureMargin = 0.25

// outlierStats is the rate of failed attempts by which outliers are found.
type outlierStats struct {
	failureRate float64 // moving share of failures
}

// recordFailure counts a failed attempt.
func (o *outlierStats) recordFailure() { o.failureRate += smoothing * (1 - o.failureRate) }

// recordSuccess counts a served attempt.
func (o *outlierStats) recordSuccess() { o.failureRate -= smoothing * o.failureRate }

// isOutlier says that the endpoint fails more than its peers: what they all suffer from does not count. An outlier is
// the last choice for weak reads except for some recovery attempts; strong requests have no other place.
func (e *endpoint) isOutlier() bool {
	least := e.outlier.failureRate
	for _, peer := range e.group.endpoints {
		if peer.discovery.state == EndpointReady && !peer.isPrimary() {
			least = min(least, peer.outlier.failureRate)
		}
	}
	return e.outlier.failureRate > outlierFailureMargin+least
}

// outlierRecoveryDue says that an outlier may get another recovery attempt.
func (e *endpoint) outlierRecoveryDue(now Time) bool {
	return e.isOutlier() && now >= e.health.recoveryAt
}

// isEjected says that an outlier gets no weak read that another endpoint can take: it waits for its next recovery
// attempt, or has one in flight.
func (e *endpoint) isEjected(now Time) bool {
	waits := now < e.health.recoveryAt || len(e.inFlight) > 0
	return waits && e.isOutlier()
}

// recordFailure counts a failed attempt, and ejects the endpoint if that makes it an outlier.
func (b *Balancer) recordFailure(endpoint *endpoint) {
	endpoint.outlier.recordFailure()
	if endpoint.isOutlier() && endpoint.health.recoveryAt < b.now {
		endpoint.health.setBackoff(minRecoveryBackoff, b.now)
		b.log("endpoint %s: ejected, it fails requests", endpoint.id)
	}
}
