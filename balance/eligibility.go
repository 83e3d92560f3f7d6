package balance

// eligibility is whether a request may be sent to an endpoint now, and if not, why.
type eligibility uint8

const (
	eligible             eligibility = iota
	inOtherGroup                     // the endpoint does not have the request's data
	alreadyAnswered                  // the request has its final answer
	attemptInFlight                  // the request already has an attempt in flight
	endpointSuspended                // operators have suspended the endpoint
	endpointNotReady                 // the endpoint is draining or removed
	repeatUnsafe                     // the request may have run and must not run twice
	idempotencyExpired               // the endpoint does not discard a repeat, or no longer does
	dataTooOld                       // the endpoint's data is not recent enough
	recoveryNotDue                   // the endpoint is suspect, and no recovery attempt is due
	writeTooRisky                    // the endpoint is suspect, and the request must not run twice
	concurrencyExhausted             // the endpoint's concurrency limit is reached
	backingOff                       // the endpoint has just rejected an attempt or refused a connection
	zoneClosed                       // the endpoint's zone has a capacity share of 0
	creditExhausted                  // the endpoint's work credit does not cover the request
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

// String returns a description of the reason.
func (e eligibility) String() string { return eligibilityTexts[e] }

// eligibility checks whether the request may be sent to the endpoint now. Every send passes this check.
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

// sendable checks whether the request may be sent to any endpoint of the group.
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

// repeatable checks that a request that may have run can be repeated at the endpoint without running twice.
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

// dataRecentEnough reports whether the endpoint has the data that a session read or a bounded read requires.
func (b *Balancer) dataRecentEnough(request *request, endpoint *endpoint) bool {
	switch request.class.Consistency {
	case ConsistencySession, ConsistencyBounded:
		return endpoint.isPrimary() || b.isAvailable(request, endpoint)
	}
	return true
}

// capacityFor checks whether the endpoint can take the request, regardless of the age of its data.
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

// suspectEligibility checks whether the request may be used as a recovery attempt at a suspect endpoint. Requests sent
// to a silent endpoint are lost, so it gets one recovery attempt at a time, after it has answered a health check. A
// write that must not run twice is sent only if the endpoint has been observed as the primary since it became suspect,
// or is unreachable, so that the write would not run at all.
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

// recoveryAwaitsReport reports whether a recovery attempt has to wait for the answer to a health check. An attempt at a
// primary that only this instance cannot reach does not wait, since no other endpoint accepts its writes.
func (b *Balancer) recoveryAwaitsReport(endpoint *endpoint) bool {
	if !b.config.HealthChecks || endpoint.health.reportedSinceAttempt {
		return false
	}
	return b.healthChecks.available() && !endpoint.stillPrimaryForGroup()
}
