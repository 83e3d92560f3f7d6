package balance

import "time"

const (
	// minRecoveryBackoff is the first backoff before a suspect endpoint is tried; it doubles up to maxRecoveryBackoff.
	minRecoveryBackoff = 250 * time.Millisecond
	// maxRecoveryBackoff is the longest backoff before a suspect endpoint is tried, and so bounds how long a recovery
	// goes unnoticed.
	maxRecoveryBackoff = 2 * time.Second
	// relapseWindow is the time after an endpoint became suspect in which becoming suspect again doubles its backoff.
	relapseWindow = 10 * maxRecoveryBackoff
	// refusalsForOutage is how many refused connections in a row mean an outage, without waiting for a health check.
	refusalsForOutage = 3
)

// endpointHealth tracks whether an endpoint answers. A suspect endpoint gets single recovery attempts, with a backoff,
// until it answers one of them.
type endpointHealth struct {
	suspect              bool // it is silent or unreachable
	unreachable          bool // connections to it fail
	unreachableAgain     bool // after it had become suspect, a health check failed or a connection was refused
	suspectSince         Time
	recoveryAt           Time // no recovery attempt before this time
	recoveryBackoff      time.Duration
	reportedSinceAttempt bool // it has answered a health check since the last recovery attempt
	lastAnswerAt         Time
	brokenConnections    int // since it last served a request
	refusedConnections   int // since it last served a request
}

// markSuspect makes the endpoint suspect. An endpoint that alternates between failure and recovery would lose requests
// each time, so a relapse within relapseWindow extends the backoff.
func (h *endpointHealth) markSuspect(now Time) {
	if now-h.suspectSince > relapseWindow {
		h.recoveryBackoff = minRecoveryBackoff / 2
	}
	h.suspect = true
	h.suspectSince = now
	h.reportedSinceAttempt = false
	h.unreachableAgain = false
	h.extendBackoff(now)
}

// extendBackoff postpones the next recovery attempt by twice the previous backoff, up to maxRecoveryBackoff.
func (h *endpointHealth) extendBackoff(now Time) {
	h.setBackoff(min(2*h.recoveryBackoff, maxRecoveryBackoff), now)
}

// setBackoff postpones the next recovery attempt by the given backoff.
func (h *endpointHealth) setBackoff(backoff time.Duration, now Time) {
	h.recoveryBackoff = backoff
	h.recoveryAt = now + backoff
}

// clearSuspicion makes the endpoint not suspect.
func (h *endpointHealth) clearSuspicion() {
	h.suspect = false
	h.unreachable = false
}

// reset clears the failures recorded for an endpoint that operators have resumed.
func (h *endpointHealth) reset() {
	h.clearSuspicion()
	h.unreachableAgain = false
	h.recoveryAt = 0
	h.brokenConnections = 0
	h.refusedConnections = 0
}

// recoveryTimeReached reports whether the endpoint is suspect and its backoff is over.
func (h *endpointHealth) recoveryTimeReached(now Time) bool { return h.suspect && now >= h.recoveryAt }

// awaitsReport reports whether the endpoint's backoff is over, but it has not answered a health check since the last
// recovery attempt.
func (h *endpointHealth) awaitsReport(now Time) bool {
	return h.recoveryTimeReached(now) && !h.reportedSinceAttempt
}

// recoveryDue reports whether the endpoint's backoff is over and it has answered a health check since the last recovery
// attempt.
func (h *endpointHealth) recoveryDue(now Time) bool {
	return h.recoveryTimeReached(now) && h.reportedSinceAttempt
}

// markSuspect makes an endpoint suspect that is silent or unreachable, and sends it a health check.
func (b *Balancer) markSuspect(endpoint *endpoint, reason string) {
	if endpoint.health.suspect {
		return
	}
	endpoint.health.markSuspect(b.now)
	endpoint.group.hasSuspects = true
	b.log("endpoint %s: suspect, it %s", endpoint.id, reason)
	b.sendHealthCheck(endpoint, 0)
}

// markUnreachable records an outage of the endpoint.
func (b *Balancer) markUnreachable(endpoint *endpoint) {
	endpoint.health.unreachable = true
	b.markSuspect(endpoint, "cannot be reached")
	if endpoint.isPrimary() {
		b.markPrimarySuspect(endpoint.group, "it cannot be reached")
	}
}

// recordBrokenConnection records that an attempt's connection broke or was refused. A network path that breaks
// connections, even several in a row, is not an outage of the endpoint. An endpoint that is down accepts no new
// connections either, so a health check decides; until its result the endpoint may get a few more requests. Where
// endpoints answer no health checks, refusalsForOutage broken connections in a row count as an outage.
func (b *Balancer) recordBrokenConnection(endpoint *endpoint) {
	health := &endpoint.health
	b.recordFailure(endpoint)
	health.brokenConnections++
	brokenWithoutChecks := !b.config.HealthChecks && health.brokenConnections >= refusalsForOutage
	if health.refusedConnections >= refusalsForOutage || brokenWithoutChecks {
		b.markUnreachable(endpoint)
	} else {
		b.sendHealthCheck(endpoint, 0)
	}
}

// recordRecovery clears the suspicion of an endpoint that has served a request.
func (b *Balancer) recordRecovery(endpoint *endpoint) {
	b.log("endpoint %s: serves again", endpoint.id)
	// An endpoint that was down may have restarted, so it warms up. It counts as down only if it was unreachable and,
	// after it had become suspect, a health check failed or a connection was refused. Treating each unreachable
	// endpoint as restarted would leave warm endpoints idle on networks that break connections often.
	died := endpoint.health.unreachable && endpoint.health.unreachableAgain
	if died && !endpoint.stillPrimaryForGroup() {
		endpoint.slowStart.recoveredAt = b.now
		endpoint.credit.reset()
	}
	endpoint.health.clearSuspicion()
}
