package balance

// eligibility says whether an endpoint may be sent a request now, and if not, why.
type eligibility uint8

const (
	eligible             eligibility = iota
	inOtherGroup                     // the endpoint does not have the request's data
	alreadyAnswered                  // nothing is owed any more
	attemptInFlight                  // one attempt at a time
	endpointSuspended                // operators have taken it out of service
	endpointNotReady                 // it drains or is gone
	repeatUnsafe                     // the request may have run and must not run twice
	idempotencyExpired               // the endpoint would no longer discard a repeat, or never would
	dataTooOld                       // its data is not recent enough
	recoveryNotDue                   // it is suspect, and not to be tried now
	writeTooRisky                    // it is suspect, and the request must not run twice
	concurrencyExhausted             // the concurrency limit is reached
	backingOff                       // it has rejected an attempt, or refused a connection, just now
	zoneClosed                       // the zone may not be used
	creditExhausted                  // the work credit does not cover the request
)

var eligibilityTexts = [...]string{
	eligible:             "eligible",
	inOtherGroup:         "in another group",
	alreadyAnswered:      "already answered",
	attemptInFlight:      "attempt in flight",
	endpointSuspended:    "endpoint suspended",
	endpointNotReady:     "endpoint not ready",
	repeatUnsafe:         "repeat unsafe",
	idempotencyExpired:   "idempotency expired",
	dataTooOld:           "data too old",
	recoveryNotDue:       "recovery not due",
	writeTooRisky:        "write too risky",
	concurrencyExhausted: "concurrency limit reached",
	backingOff:           "backing off",
	zoneClosed:           "zone closed",
	creditExhausted:      "credit exhausted",
}

// String names the reason.
func (e eligibility) String() string { return eligibilityTexts[e] }

// eligibility is the one place that every send passes: it says whether the endpoint may be sent the request now.
func (b *Balancer) eligibility(request *request, endpoint *endpoint) eligibility {
	if reason := request.sendable(endpoint.group); reason != eligible {
		return reason
	}
	if endpoint.discovery.suspended {
		return endpointSuspended
	}
	if !endpoint.discovery.allowsSends(b.config.SoftRemoval) {
		return endpointNotReady
	}
	if request.mayHaveRun {
		if reason := request.repeatable(endpoint, b.now); reason != eligible {
			return reason
		}
	}
	if !b.dataRecentEnough(request, endpoint) {
		return dataTooOld
	}
	return b.capacityFor(request, endpoint)
}

// sendable says whether an endpoint of the group may get the request at all.
func (q *request) sendable(group *replicaGroup) eligibility {
	switch {
	case group != q.group:
		return inOtherGroup
	case q.answered:
		return alreadyAnswered
	case q.inFlight > 0:
		return attemptInFlight
	}
	return eligible
}

// repeatable says whether a request that may have run would not run a second time at the endpoint.
func (q *request) repeatable(endpoint *endpoint, now Time) eligibility {
	switch q.class.Idempotency {
	case NonIdempotent:
		return repeatUnsafe
	case IdempotentWithKey:
		if now >= q.idempotentUntil() {
			return idempotencyExpired
		}
		if q.class.IdempotencyScope == ScopeZone && endpoint.zone != q.firstRunZone {
			return idempotencyExpired
		}
	}
	return eligible
}

// dataRecentEnough says whether the endpoint has the data that a session read or a bounded read has to see.
func (b *Balancer) dataRecentEnough(request *request, endpoint *endpoint) bool {
	switch request.class.Consistency {
	case ConsistencySession, ConsistencyBounded:
		return endpoint.isPrimary() || b.isAvailable(request, endpoint)
	}
	return true
}

// capacityFor says whether the endpoint can take the request, however recent its data.
func (b *Balancer) capacityFor(request *request, endpoint *endpoint) eligibility {
	if endpoint.health.suspect {
		if reason := b.suspectEligibility(request, endpoint); reason != eligible {
			return reason
		}
	}
	if !endpoint.limit.permits(len(endpoint.inFlight), b.warmupFactor(endpoint)) {
		return concurrencyExhausted
	}
	if b.now < endpoint.limit.rejectingUntil {
		return backingOff
	}
	if b.zoneCapacity(endpoint) == 0 {
		return zoneClosed
	}
	if !b.checkCredit(request, endpoint).covered {
		return creditExhausted
	}
	return eligible
}

// suspectEligibility says whether a suspect endpoint may be tried with the request. What a silent endpoint takes is
// lost, so it gets one recovery attempt at a time, after a health check has been answered. A write that must not run
// twice is tried only where the endpoint has been the primary since, or cannot be reached, so that the write would
// not run at all.
func (b *Balancer) suspectEligibility(request *request, endpoint *endpoint) eligibility {
	health := &endpoint.health
	tooSoon := endpoint.hasLiveAttempt() || b.now < health.recoveryAt
	if tooSoon || b.recoveryAwaitsReport(endpoint) {
		return recoveryNotDue
	}
	outcomeWouldBeKnown := health.unreachable || endpoint.role.primaryAt > health.suspectSince
	if request.class.Idempotency == NonIdempotent && !outcomeWouldBeKnown {
		return writeTooRisky
	}
	return eligible
}

// recoveryAwaitsReport says that a recovery attempt has to wait for the answer to a health check. A primary that only
// this instance cannot reach is tried without one: nothing else takes its writes.
func (b *Balancer) recoveryAwaitsReport(endpoint *endpoint) bool {
	if !b.config.HealthChecks || endpoint.health.reportedSinceAttempt {
		return false
	}
	return b.healthChecks.available() && !endpoint.stillPrimaryForGroup()
}
