package balance

import (
	"slices"
	"time"
)

// commitRounding is by how much a reported commit may be rounded up.
const commitRounding = time.Millisecond

// replicationState is how far an endpoint has applied the commits of its group.
type replicationState struct {
	position      Time // it has applied all commits up to here
	lag           time.Duration
	lagObservedAt Time
	neededAt      Time // when a read could last have gone there, had its position been known to be recent enough
}

// advance notes a reported position. One that lies behind, or in the future, is no news.
func (r *replicationState) advance(position, now Time) {
	if position > r.position && position <= now {
		r.position = position
	}
}

// observeLag notes a lag that was reported now.
func (r *replicationState) observeLag(lag time.Duration, now Time) {
	r.lag = lag
	r.lagObservedAt = now
}

// knownBehind says that the endpoint reported lately that it has not applied what is required. A report of longer ago
// does not count: the endpoint would stay out for good and its primary be overloaded.
func (r *replicationState) knownBehind(required, now Time) bool {
	return now-r.lag < required && now-r.lagObservedAt < activeWindow
}

// sessionCommit is the last commit of a session, remembered where clients carry no token of it.
type sessionCommit struct {
	position Time
	group    *replicaGroup
}

// appliedEverywhere says that all ready endpoints of the group have applied the commit.
func (c sessionCommit) appliedEverywhere() bool {
	return !slices.ContainsFunc(c.group.endpoints, func(endpoint *endpoint) bool {
		return endpoint.discovery.state == EndpointReady && endpoint.replication.position < c.position
	})
}

// requiredPosition is the position that a read has to see.
func (b *Balancer) requiredPosition(request *request) Time {
	switch request.class.Consistency {
	case ConsistencyBounded:
		return b.now - request.class.MaxStaleness
	case ConsistencyAny:
		return 0
	}
	return request.minPosition
}

// isAvailable says whether the data of an endpoint is recent enough for a weak read that is sent now. Where endpoints
// check for themselves any replica may be tried, except one that has reported to be further behind.
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

// reportedWithinBound says whether the endpoint was recent enough for a bounded read when it last reported.
func (b *Balancer) reportedWithinBound(endpoint *endpoint) bool {
	return b.tightestBound == 0 || endpoint.replication.lag <= b.tightestBound
}

// positionExpired says that the known position of the endpoint is no longer of use for a bounded read, though the
// endpoint may be recent enough.
func (b *Balancer) positionExpired(endpoint *endpoint) bool {
	return b.tightestBound > 0 && b.now-endpoint.replication.position > b.tightestBound
}

// rememberCommit keeps the position of a session's last write where clients carry no token of it.
func (b *Balancer) rememberCommit(request *request, position Time) {
	if request.sessionKey == 0 || b.config.ClientSessionTokens {
		return
	}
	if position > b.sessionCommits[request.sessionKey].position {
		b.sessionCommits[request.sessionKey] = sessionCommit{position: position, group: request.group}
	}
}
