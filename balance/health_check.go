package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// healthCheckInterval is the least interval between two regular health checks of an endpoint.
	healthCheckInterval = 100 * time.Millisecond
	// healthCheckSpend is the part of a request's weight that may be spent on health checks.
	healthCheckSpend = 0.06
	// minHealthCheckPrice bounds what a request may earn where health checks are nearly free.
	minHealthCheckPrice = healthCheckSpend / 4
	// initialHealthCheckBudget is the budget before anything is earned: the first use of about two groups.
	initialHealthCheckBudget = 8.0
	// maxHealthCheckBudget is how many health checks may be saved up for a failure.
	maxHealthCheckBudget = 32.0
)

// healthCheckBudget limits health checks to what requests have earned: hundreds of instances that checked at will
// would overload the endpoints.
type healthCheckBudget struct {
	tokens     float64
	perRequest float64
}

// newHealthCheckBudget returns a budget for health checks of the price, as a part of the weight of a request.
func newHealthCheckBudget(price float64) healthCheckBudget {
	return healthCheckBudget{
		tokens:     initialHealthCheckBudget,
		perRequest: healthCheckSpend / max(price, minHealthCheckPrice),
	}
}

// earn adds what one request brings.
func (h *healthCheckBudget) earn() { h.tokens = min(maxHealthCheckBudget, h.tokens+h.perRequest) }

// available says whether the budget covers a health check.
func (h *healthCheckBudget) available() bool { return h.tokens >= 1 }

// spend pays for one health check.
func (h *healthCheckBudget) spend() { h.tokens-- }

// ensureInitial fills the budget up to what it starts with.
func (h *healthCheckBudget) ensureInitial() { h.tokens = max(h.tokens, initialHealthCheckBudget) }

// healthCheckState is the last health check of an endpoint.
type healthCheckState struct {
	inFlight bool
	sentAt   Time
}

// mayRepeat says whether another health check may be sent now. One without a result for long counts as lost.
func (s *healthCheckState) mayRepeat(now Time, interval time.Duration) bool {
	since := now - s.sentAt
	awaitsResult := s.inFlight && since <= activeWindow
	return since >= interval && !awaitsResult
}

// resultExpected says that a health check is in flight whose result should come soon.
func (s *healthCheckState) resultExpected(now Time) bool {
	return s.inFlight && now-s.sentAt < healthCheckInterval/2
}

// handleHealthCheck takes in the result of a health check.
func (b *Balancer) handleHealthCheck(result HealthCheckResult) {
	endpoint := b.endpoints[result.Endpoint]
	if endpoint == nil {
		return
	}
	endpoint.check.inFlight = false
	if result.Status != StatusDone {
		b.recordFailedCheck(endpoint, result.Status)
		return
	}
	endpoint.health.reportedSinceAttempt = true
	if result.Position <= 0 || result.Position > b.now {
		return
	}
	replication := &endpoint.replication
	lag := b.now - result.Position
	if lag < replication.lag || b.config.FreshnessCheck == FreshnessCheckNone {
		replication.observeLag(lag, b.now)
	}
	b.observeRole(endpoint, result.Role, result.Position) // a report is as old as a primary's position in it
	replication.advance(result.Position, b.now)
}

// recordFailedCheck notes that a health check was not answered.
func (b *Balancer) recordFailedCheck(endpoint *endpoint, status Status) {
	health := &endpoint.health
	if b.config.FreshnessCheck == FreshnessCheckNone {
		endpoint.replication.lag = max(endpoint.replication.lag, activeWindow)
	}
	if health.suspect && status != StatusBusy {
		health.unreachableAgain = true
	}
	if health.brokenConnections > 0 && status != StatusReset {
		b.markUnreachable(endpoint)
	}
	if health.suspect {
		health.extendBackoff(b.now)
	}
}

// scheduleHealthChecks sends the health checks that the group needs now: only where something waits for them, and
// further apart each time.
func (b *Balancer) scheduleHealthChecks(group *replicaGroup) {
	if !group.inUse(b.now) || group.idle(b.now) {
		return
	}
	group.hasSuspects = false
	if b.primarySearchDue(group) {
		b.searchPrimary(group)
	}
	var outdated []*endpoint
	for _, endpoint := range group.endpoints {
		b.expireResumption(endpoint)
		if endpoint.health.suspect {
			group.hasSuspects = true
		}
		if !endpoint.inService() {
			continue
		}
		if endpoint.discovery.resumed {
			group.hasSuspects = true
		}
		if interval, due := b.healthCheckDue(endpoint); due {
			b.sendHealthCheck(endpoint, interval)
		} else if endpoint.positionWanted(b.now) {
			outdated = append(outdated, endpoint)
		}
	}
	group.firstChecksSent = true
	b.refreshPosition(group, outdated)
}

// primarySearchDue says that requests wait for a primary that is not known, or not reachable.
func (b *Balancer) primarySearchDue(group *replicaGroup) bool {
	if !group.primaryLost() || b.now < group.search.nextAt {
		return false
	}
	return group.firstChecksSent && len(group.pending) > 0
}

// expireResumption ends the preference for an endpoint that operators have let back in and that was not used for
// long. Until then it is checked on its own account: without a report no bounded read may try it, and nothing would
// ask for one.
func (b *Balancer) expireResumption(endpoint *endpoint) {
	discovery := &endpoint.discovery
	recent := b.now-endpoint.slowStart.recoveredAt < 2*activeWindow
	if !discovery.suspended && !recent {
		discovery.resumed = false
	}
}

// healthCheckDue says whether the endpoint needs a health check of its own, and the least interval to the one before.
func (b *Balancer) healthCheckDue(endpoint *endpoint) (interval time.Duration, due bool) {
	group := endpoint.group
	health := &endpoint.health
	usedSinceCheck := group.lastRequestAt > endpoint.check.sentAt
	awaitsFreshPosition := health.recoveryDue(b.now) && b.positionExpired(endpoint)
	switch {
	case endpoint.discovery.resumed:
	case b.needsFirstCheck(group):
	case health.awaitsReport(b.now) && usedSinceCheck:
	case endpoint.isPrimaryAwaitingReport() && len(group.pending) > 0:
	case awaitsFreshPosition && usedSinceCheck:
		// Its position has aged while it waited for its recovery attempt, so no bounded read may try it.
		return max(healthCheckInterval, health.recoveryBackoff), true
	default:
		return 0, false
	}
	return healthCheckInterval, true
}

// needsFirstCheck says that the group is used for the first time and its endpoints are all checked for role and
// position. Where the list names the primary, an instance of many asks for nothing before a read needs it.
func (b *Balancer) needsFirstCheck(group *replicaGroup) bool {
	if group.firstChecksSent {
		return false
	}
	return group.primaryLost() || !b.config.hasFractionalShare()
}

// isPrimaryAwaitingReport says that a suspect primary has reported nothing that is newer than the suspicion. A report
// is older than its answer, so one that answers has to be checked again; it would be kept from its writes for ever.
func (e *endpoint) isPrimaryAwaitingReport() bool {
	if !e.isPrimary() || e.role.primaryAt > e.health.suspectSince {
		return false
	}
	return e.health.suspect && e.health.reportedSinceAttempt
}

// positionWanted says that a read could go to the endpoint now if a new report showed that it is recent enough.
func (e *endpoint) positionWanted(now Time) bool {
	if e.replication.neededAt != now || e.isPrimary() {
		return false
	}
	if e.health.suspect || e.check.inFlight {
		return false
	}
	return now-e.replication.position >= healthCheckInterval
}

// refreshPosition sends a health check to that one of the endpoints whose report is most likely to be of use to a
// weak read. One report is enough: each step looks at a read that waits and would ask all endpoints while one report
// is on its way. In a fixed order, one that is far behind would take all that many instances can spend, in vain.
func (b *Balancer) refreshPosition(group *replicaGroup, outdated []*endpoint) {
	if len(outdated) == 0 {
		return
	}
	slices.SortFunc(outdated, b.comparePositionChecks)
	useful := slices.IndexFunc(outdated, func(endpoint *endpoint) bool {
		return b.reportedWithinBound(endpoint) || b.healthCheckAllowed(endpoint, b.positionCheckInterval(endpoint))
	})
	expected := func(endpoint *endpoint) bool { return endpoint.check.resultExpected(b.now) }
	if useful < 0 || slices.ContainsFunc(group.endpoints, expected) {
		return
	}
	b.sendHealthCheck(outdated[useful], b.positionCheckInterval(outdated[useful]))
}

// positionCheckInterval is how long a report of the endpoint is good enough. One that was behind the bound needs
// about the time by which it was behind; where the group has no primary all stand still, so checks get rarer by
// themselves.
func (b *Balancer) positionCheckInterval(endpoint *endpoint) time.Duration {
	return max(healthCheckInterval, min(endpoint.replication.lag-b.tightestBound, 2*primarySearchInterval))
}

// positionCheckCost ranks how little a report of the endpoint is likely to be of use to a bounded read: less if it
// was behind, then if it is in another zone.
func (b *Balancer) positionCheckCost(endpoint *endpoint) int {
	rank := 0
	if !b.reportedWithinBound(endpoint) {
		rank = 2
	}
	if endpoint.zone != b.config.Zone {
		rank++
	}
	return rank
}

// comparePositionChecks orders endpoints by the cost rank of a health check, then by which was not checked for
// longest.
func (b *Balancer) comparePositionChecks(x, y *endpoint) int {
	return cmp.Or(
		cmp.Compare(b.positionCheckCost(x), b.positionCheckCost(y)),
		cmp.Compare(x.check.sentAt, y.check.sentAt),
	)
}

// healthCheckAllowed says whether the endpoint may be sent a health check now, at least an interval after the last
// one.
func (b *Balancer) healthCheckAllowed(endpoint *endpoint, interval time.Duration) bool {
	if !b.config.HealthChecks || endpoint.discovery.suspended {
		return false
	}
	return b.healthChecks.available() && endpoint.check.mayRepeat(b.now, interval)
}

// sendHealthCheck sends a health check if that is allowed.
func (b *Balancer) sendHealthCheck(endpoint *endpoint, interval time.Duration) {
	if !b.healthCheckAllowed(endpoint, interval) {
		return
	}
	endpoint.check.inFlight = true
	endpoint.check.sentAt = b.now
	b.healthChecks.spend()
	b.emit(HealthCheck{Endpoint: endpoint.id})
}
