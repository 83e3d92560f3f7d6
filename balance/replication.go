package balance

import "time"

// commitRounding is the most by which a reported commit position may have been rounded up.
const commitRounding = time.Millisecond

// replicationState records how far an endpoint has applied the commits of its group.
type replicationState struct {
	position         Time // all commits up to this position are applied
	lag              time.Duration
	lagObservedAt    Time
	positionNeededAt Time // when a read was last kept from the endpoint only because its position was too old
}

// advance records a reported position. A position that is older than the known one or in the future is ignored.
func (r *replicationState) advance(position, now Time) {
	if position > r.position && position <= now {
		r.position = position
	}
}

// observeLag records a lag that was reported now.
func (r *replicationState) observeLag(lag time.Duration, now Time) {
	r.lag = lag
	r.lagObservedAt = now
}

// knownBehind reports whether the endpoint's lag, reported within the active window, excludes the required position.
// An older report doesn't count: it would exclude the endpoint permanently and overload its primary.
func (r *replicationState) knownBehind(required, now Time) bool {
	return now-r.lag < required && now-r.lagObservedAt < activeWindow
}

// requiredPosition returns the replication position that an endpoint must have reached to serve the read.
func (b *Balancer) requiredPosition(request *request) Time {
	switch request.class.Consistency {
	case ConsistencyBounded:
		return b.now - request.class.MaxStaleness
	case ConsistencyAny:
		return 0
	}
	return request.minPosition
}

// isAvailable reports whether the data of an endpoint is recent enough for a weak read that is sent now. If endpoints
// do the freshness check themselves, any replica may be tried except those that recently reported a greater lag or have
// returned the request as a miss.
func (b *Balancer) isAvailable(request *request, endpoint *endpoint) bool {
	required := b.requiredPosition(request)
	if endpoint.replication.position >= required {
		return true
	}
	if b.config.FreshnessCheck == FreshnessCheckNone || endpoint.replication.knownBehind(required, b.now) {
		return false
	}
	return !request.wasMissedBy(endpoint)
}

// reportedWithinBound reports whether the endpoint's last reported lag is within the tightest staleness bound.
func (b *Balancer) reportedWithinBound(endpoint *endpoint) bool {
	return b.tightestBound == 0 || endpoint.replication.lag <= b.tightestBound
}

// positionExpired reports whether the known position of the endpoint is too old to send it a bounded read. The
// endpoint itself may still be recent enough.
func (b *Balancer) positionExpired(endpoint *endpoint) bool {
	return b.tightestBound > 0 && b.now-endpoint.replication.position > b.tightestBound
}
