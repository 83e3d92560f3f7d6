package balance

import "time"

const (
	// minRecoveryBackoff is the first wait before a suspect endpoint is tried; it doubles up to maxRecoveryBackoff.
	minRecoveryBackoff = 250 * time.Millisecond
	// maxRecoveryBackoff is the longest wait before a suspect endpoint is tried: a recovery is seen within it.
	maxRecoveryBackoff = 2 * time.Second
	// relapseWindow is how long after it became suspect an endpoint that becomes suspect again waits twice as long.
	relapseWindow = 10 * maxRecoveryBackoff
	// refusalsForOutage is how many refused connections in a row mean an outage without a health check.
	refusalsForOutage = 3
)

// endpointHealth is whether an endpoint is believed to answer. One that is suspect gets single recovery attempts,
// with a backoff, until it answers one.
type endpointHealth struct {
	suspect              bool // it is silent or cannot be reached
	unreachable          bool // it cannot be reached
	unreachableAgain     bool // it was not reached again after it had become suspect
	suspectSince         Time
	recoveryAt           Time // nothing is tried before this
	recoveryBackoff      time.Duration
	reportedSinceAttempt bool // it has answered a health check since the last recovery attempt
	lastAnswerAt         Time
	brokenConnections    int // since it last served
	refusedConnections   int // since it last served
}

// markSuspect begins a suspicion. An endpoint that fails and recovers by turns would take what it gets each time, so
// one that relapses soon is trusted later.
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

// extendBackoff postpones the next recovery attempt, twice as long as before.
func (h *endpointHealth) extendBackoff(now Time) {
	h.setBackoff(min(2*h.recoveryBackoff, maxRecoveryBackoff), now)
}

// setBackoff postpones the next recovery attempt.
func (h *endpointHealth) setBackoff(backoff time.Duration, now Time) {
	h.recoveryBackoff = backoff
	h.recoveryAt = now + backoff
}

// clearSuspicion ends a suspicion.
func (h *endpointHealth) clearSuspicion() {
	h.suspect = false
	h.unreachable = false
}

// reset forgets what counts against an endpoint that operators have let back in.
func (h *endpointHealth) reset() {
	h.clearSuspicion()
	h.unreachableAgain = false
	h.recoveryAt = 0
	h.brokenConnections = 0
	h.refusedConnections = 0
}

// recoveryTimeReached says that the endpoint is suspect and its backoff is over.
func (h *endpointHealth) recoveryTimeReached(now Time) bool { return h.suspect && now >= h.recoveryAt }

// awaitsReport says that the endpoint is due for a recovery attempt, but has not answered a health check since the
// last one.
func (h *endpointHealth) awaitsReport(now Time) bool {
	return h.recoveryTimeReached(now) && !h.reportedSinceAttempt
}

// recoveryDue says that the endpoint is due for a recovery attempt and has answered a health check since the last
// one.
func (h *endpointHealth) recoveryDue(now Time) bool {
	return h.recoveryTimeReached(now) && h.reportedSinceAttempt
}

// markSuspect notes that an endpoint is silent or cannot be reached, and sends it a health check.
func (b *Balancer) markSuspect(endpoint *endpoint, reason string) {
	if endpoint.health.suspect {
		return
	}
	endpoint.health.markSuspect(b.now)
	endpoint.group.hasSuspects = true
	b.log("endpoint %s: suspect, it %s", endpoint.id, reason)
	b.sendHealthCheck(endpoint, 0)
}

// markUnreachable notes an outage of the endpoint.
func (b *Balancer) markUnreachable(endpoint *endpoint) {
	endpoint.health.unreachable = true
	b.markSuspect(endpoint, "cannot be reached")
	if endpoint.isPrimary() {
		b.markPrimarySuspect(endpoint.group, "it cannot be reached")
	}
}

// recordBrokenConnection notes that an attempt's connection broke or was refused. A path that breaks connections,
// several in a row too, is no outage of the endpoint. One that has died takes no new connections either, so a health
// check settles it; until its result a dead endpoint may get a few more requests.
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

// recordRecovery ends the suspicion of an endpoint that has served a request.
func (b *Balancer) recordRecovery(endpoint *endpoint) {
	b.log("endpoint %s: serves again", endpoint.id)
	// One that has died may have restarted: it warms up until discovery says otherwise. It is found unreachable more
	// than once, when it falls silent and at its recovery attempts; taking each unreachable one for restarted would
	// leave warm endpoints idle where connections break often.
	died := endpoint.health.unreachable && endpoint.health.unreachableAgain
	if died && !endpoint.stillPrimaryForGroup() {
		endpoint.slowStart.recoveredAt = b.now
		endpoint.credit.reset()
	}
	endpoint.health.clearSuspicion()
}
