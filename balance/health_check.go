package balance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// healthCheckInterval is the minimum interval between two regular health checks of an endpoint.
	healthCheckInterval = 100 * time.Millisecond
	// healthCheckShare is the share of a request's weight that may be spent on health checks.
	healthCheckShare = 0.06
	// minHealthCheckCost bounds the budget that a request earns if health checks are nearly free.
	minHealthCheckCost = healthCheckShare / 4
	// initialHealthCheckBudget is the budget, in health checks, before any request: enough for the first use of about
	// two groups.
	initialHealthCheckBudget = 8.0
	// maxHealthCheckBudget is the most health checks that can be saved up, for use during a failure.
	maxHealthCheckBudget = 32.0
)

// healthCheckBudget limits health checks in proportion to requests: without a limit, hundreds of instances would
// overload the endpoints with health checks.
type healthCheckBudget struct {
	tokens     float64 // health checks that may be sent now
	perRequest float64 // tokens earned by each request
}

// newHealthCheckBudget returns a budget for health checks that cost the given part of a request's weight.
func newHealthCheckBudget(cost float64) healthCheckBudget {
	return healthCheckBudget{
		tokens:     initialHealthCheckBudget,
		perRequest: healthCheckShare / max(cost, minHealthCheckCost),
	}
}

// earn adds the tokens that one request earns.
func (h *healthCheckBudget) earn() { h.tokens = min(maxHealthCheckBudget, h.tokens+h.perRequest) }

// available reports whether the budget covers a health check.
func (h *healthCheckBudget) available() bool { return h.tokens >= 1 }

// spend pays for one health check.
func (h *healthCheckBudget) spend() { h.tokens-- }

// refillToInitial refills the budget to at least its initial value.
func (h *healthCheckBudget) refillToInitial() { h.tokens = max(h.tokens, initialHealthCheckBudget) }

// healthCheckState describes the last health check of an endpoint.
type healthCheckState struct {
	inFlight bool
	sentAt   Time
}

// mayRepeat reports whether another health check may be sent now. A health check that has had no result for the active
// window counts as lost.
func (s *healthCheckState) mayRepeat(now Time, interval time.Duration) bool {
	since := now - s.sentAt
	awaitsResult := s.inFlight && since <= activeWindow
	return since >= interval && !awaitsResult
}

// resultExpected reports whether a health check is in flight that was sent recently enough to be answered soon.
func (s *healthCheckState) resultExpected(now Time) bool {
	return s.inFlight && now-s.sentAt < healthCheckInterval/2
}

// handleHealthCheck records the result of a health check.
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
	// A primary's position is the time at which it made the report, so the position also dates the reported role.
	b.observeRole(endpoint, result.Role, result.Position)
	replication.advance(result.Position, b.now)
}

// recordFailedCheck records that a health check failed.
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

// scheduleHealthChecks sends the health checks that the group needs now. It sends them only if requests need their
// results, at growing intervals.
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
		} else if endpoint.needsPositionCheck(b.now) {
			outdated = append(outdated, endpoint)
		}
	}
	group.firstChecksSent = true
	b.refreshPosition(group, outdated)
}

// primarySearchDue reports whether to start a round of the primary search: requests wait for a primary that is unknown
// or suspect.
func (b *Balancer) primarySearchDue(group *replicaGroup) bool {
	if !group.primaryLost() || b.now < group.search.nextAt {
		return false
	}
	return group.firstChecksSent && len(group.pending) > 0
}

// expireResumption clears the resumed flag of an endpoint that has not been used for two active windows since operators
// resumed it. While the flag is set the endpoint gets regular health checks: no bounded read may try it before it has
// reported its position, and nothing else would request a report.
func (b *Balancer) expireResumption(endpoint *endpoint) {
	discovery := &endpoint.discovery
	recent := b.now-endpoint.slowStart.recoveredAt < 2*activeWindow
	if !discovery.suspended && !recent {
		discovery.resumed = false
	}
}

// healthCheckDue reports whether the endpoint needs a health check regardless of the other endpoints, and the minimum
// interval since its previous one.
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
		// Its position has expired during the recovery backoff, so no bounded read may try it.
		return max(healthCheckInterval, health.recoveryBackoff), true
	default:
		return 0, false
	}
	return healthCheckInterval, true
}

// needsFirstCheck reports whether the group is used for the first time and all its endpoints are to be checked for
// their role and position. If the primary is known from the list, an instance with a fractional share sends no health
// check until a read needs one.
func (b *Balancer) needsFirstCheck(group *replicaGroup) bool {
	if group.firstChecksSent {
		return false
	}
	return group.primaryLost() || !b.config.hasFractionalShare()
}

// isPrimaryAwaitingReport reports whether the endpoint is a suspect primary that has answered a health check but not
// yet shown its role since it became suspect. The role in a report is older than the answer that carries it, so the
// endpoint has to be checked again, or it would never get its writes back.
func (e *endpoint) isPrimaryAwaitingReport() bool {
	if !e.isPrimary() || e.role.primaryAt > e.health.suspectSince {
		return false
	}
	return e.health.suspect && e.health.reportedSinceAttempt
}

// needsPositionCheck reports whether a read could be sent to the endpoint now if a new report showed a recent enough
// position.
func (e *endpoint) needsPositionCheck(now Time) bool {
	if e.replication.positionNeededAt != now || e.isPrimary() {
		return false
	}
	if e.health.suspect || e.check.inFlight {
		return false
	}
	return now-e.replication.position >= healthCheckInterval
}

// refreshPosition sends a health check to the outdated endpoint whose report is most likely to let a weak read proceed.
// One report at a time is enough: every step considers a pending read again, and would otherwise check all endpoints
// while the first report is still in flight. In a fixed order, an endpoint with a large lag would use up the health
// check budget of many instances without any effect.
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

// positionCheckInterval returns the minimum interval between position checks of the endpoint. An endpoint whose lag
// exceeded the bound takes about as long as the excess to catch up. If the group has no primary, positions stand still
// and lags grow, so health checks become less frequent.
func (b *Balancer) positionCheckInterval(endpoint *endpoint) time.Duration {
	return max(healthCheckInterval, min(endpoint.replication.lag-b.tightestBound, 2*primarySearchInterval))
}

// positionCheckRank ranks how likely a report of the endpoint is to help a bounded read; 0 is the most likely.
// Endpoints whose lag exceeded the bound rank last; among equals, endpoints of other zones rank after those of this
// zone.
func (b *Balancer) positionCheckRank(endpoint *endpoint) int {
	rank := 0
	if !b.reportedWithinBound(endpoint) {
		rank = 2
	}
	if endpoint.zone != b.config.Zone {
		rank++
	}
	return rank
}

// comparePositionChecks orders endpoints by positionCheckRank, then by the time of the last health check, oldest first.
func (b *Balancer) comparePositionChecks(x, y *endpoint) int {
	return cmp.Or(
		cmp.Compare(b.positionCheckRank(x), b.positionCheckRank(y)),
		cmp.Compare(x.check.sentAt, y.check.sentAt),
	)
}

// healthCheckAllowed reports whether the endpoint may be sent a health check now, with at least the interval since the
// last one.
func (b *Balancer) healthCheckAllowed(endpoint *endpoint, interval time.Duration) bool {
	if !b.config.HealthChecks || endpoint.discovery.suspended {
		return false
	}
	return b.healthChecks.available() && endpoint.check.mayRepeat(b.now, interval)
}

// sendHealthCheck sends the endpoint a health check if healthCheckAllowed permits it.
func (b *Balancer) sendHealthCheck(endpoint *endpoint, interval time.Duration) {
	if !b.healthCheckAllowed(endpoint, interval) {
		return
	}
	endpoint.check.inFlight = true
	endpoint.check.sentAt = b.now
	b.healthChecks.spend()
	b.emit(HealthCheck{Endpoint: endpoint.id})
}
