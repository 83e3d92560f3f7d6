package balance

import "cmp"

// handleOutcome records the outcome of an attempt, and closes, retries or abandons its request.
func (b *Balancer) handleOutcome(outcome AttemptResult) {
	request := b.requests[outcome.ID]
	if request == nil {
		return
	}
	attempt := request.openAttempt(outcome.Attempt)
	if attempt == nil {
		return
	}
	endpoint := attempt.endpoint
	attempt.ended = true
	request.inFlight--
	endpoint.removeInFlight(attempt)
	position := outcome.Position
	if outcome.Status == StatusDone && request.class.isWrite() {
		b.rememberCommit(request, cmp.Or(position, b.now)) // without a position, the latest possible one is assumed
		position -= commitRounding
	}
	b.observeResponse(attempt, outcome.Role, position)
	request.answered = request.answered || outcome.Finished
	if outcome.Status.answered() {
		endpoint.health.lastAnswerAt = b.now
	}
	request.reached = request.reached || outcome.Status.reachedEndpoint()
	b.recordStatus(attempt, outcome)
	if outcome.Status.mayHaveRun() {
		request.recordRun(attempt)
	}
	if request.answered {
		b.closeRequest(request)
		return
	}
	b.retryOrAbandon(request, outcome.Status.retryCost())
}

// retryCost returns the cost of a retry after this status, in tokens of the retry budget. After a rejected attempt or a
// miss a retry is free, since these cost the endpoint nothing.
func (s Status) retryCost() float64 {
	if s == StatusMiss || s == StatusBusy {
		return 0
	}
	return 1
}

// observeResponse records the role and the position that a response reports. During a handover the old primary answers
// new writes with a miss, but still completes older writes and serves reads. So the role of primary is recorded for the
// time at which the attempt was sent, and a read does not restore the role after a miss.
func (b *Balancer) observeResponse(attempt *attempt, role Role, position Time) {
	endpoint := attempt.endpoint
	switch role {
	case RoleUnknown:
		return
	case RoleReplica:
		b.observeReplica(endpoint, b.now)
		endpoint.replication.advance(position, b.now)
	case RolePrimary:
		if attempt.request.class.isWrite() || endpoint.role.primaryAt >= endpoint.role.replicaAt {
			b.observePrimary(endpoint, attempt.sentAt)
			endpoint.replication.advance(position, b.now)
		}
	}
	if position > 0 && position <= b.now {
		endpoint.replication.observeLag(b.now-position, b.now)
	}
}

// recordStatus updates the state of the endpoint with the outcome of an attempt.
func (b *Balancer) recordStatus(attempt *attempt, outcome AttemptResult) {
	request := attempt.request
	endpoint := attempt.endpoint
	backOffUntil := b.now + secondsToDuration(request.class.latency/2)
	switch outcome.Status {
	case StatusDone:
		if !attempt.streaming {
			b.recordSuccess(request, endpoint, outcome.Elapsed)
		}
	case StatusMiss:
		b.recordMiss(request, endpoint)
	case StatusBusy:
		endpoint.limit.recordRejection(b.now, backOffUntil, b.config.minLimit())
	case StatusError:
		b.recordFailure(endpoint)
	case StatusConnectFailed: // the request did not run; the endpoint may be retried, but not at once
		endpoint.limit.backOff(backOffUntil)
		endpoint.health.unreachableAgain = endpoint.health.unreachableAgain || endpoint.health.suspect
		endpoint.health.refusedConnections++
		b.recordBrokenConnection(endpoint)
	case StatusReset:
		b.recordBrokenConnection(endpoint)
	case StatusTimedOut:
		// Once attempts time out, the latency of served attempts alone would hide the overload, so a timeout counts as
		// an attempt that took the latency objective or longer. A timeout on a silent connection is not a sign of load.
		if !attempt.connectionLost {
			b.adaptLimit(endpoint, max(1, request.class.objectiveShare(outcome.Elapsed)))
		}
	}
}

// recordMiss records a miss: the endpoint is not the primary, or lags too far behind for the read.
func (b *Balancer) recordMiss(request *request, endpoint *endpoint) {
	request.missedBy = append(request.missedBy, endpoint)
	if request.class.isWrite() {
		b.observeReplica(endpoint, b.now)
		return
	}
	replication := &endpoint.replication
	replication.observeLag(max(replication.lag, b.now-b.requiredPosition(request)+1), b.now)
}

// recordSuccess records that an endpoint has served a request, and the time it took.
func (b *Balancer) recordSuccess(request *request, endpoint *endpoint, took Time) {
	class := request.class
	endpoint.outlier.recordSuccess()
	endpoint.health.brokenConnections = 0
	endpoint.health.refusedConnections = 0
	endpoint.work.sinceMeasured += class.serviceTime
	if b.wake.runningSince != b.now { // otherwise the time includes a pause of this instance
		class.observeLatency(took, b.config.instances())
		b.adaptLimit(endpoint, class.objectiveShare(took))
	}
	class.observeServiceTime()
	if endpoint.health.suspect {
		b.recordRecovery(endpoint)
	}
}
