package balance

import "cmp"

// handleOutcome records how an attempt ended, and answers, closes or retries its request.
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
		b.rememberCommit(request, cmp.Or(position, b.now)) // a commit without a position is taken as late as it can be
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

// retryCost is what a retry after this status takes from the retry budget. A rejected attempt and a miss have cost
// the endpoint nothing.
func (s Status) retryCost() float64 {
	if s == StatusMiss || s == StatusBusy {
		return 0
	}
	return 1
}

// observeResponse takes in the role and the position that an answer tells. A primary that hands over misses new
// writes, yet ends older ones and still answers reads. So a role is observed for the time of the send, and a read
// does not restore what a miss has taken.
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

// recordStatus records what the end of an attempt says of its endpoint.
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
	case StatusConnectFailed: // nothing ran: the same endpoint again, but not at once
		endpoint.limit.backOff(backOffUntil)
		endpoint.health.unreachableAgain = endpoint.health.unreachableAgain || endpoint.health.suspect
		endpoint.health.refusedConnections++
		b.recordBrokenConnection(endpoint)
	case StatusReset:
		b.recordBrokenConnection(endpoint)
	case StatusTimedOut:
		// When clients give up, the served attempts alone would hide the overload: this one took the objective or
		// more. An attempt on a connection that has fallen silent says nothing of load.
		if !attempt.connectionLost {
			b.adaptLimit(endpoint, max(1, request.class.objectiveShare(outcome.Elapsed)))
		}
	}
}

// recordMiss notes that the endpoint has sent the request back untouched: it is no primary, or too far behind.
func (b *Balancer) recordMiss(request *request, endpoint *endpoint) {
	request.missedBy = append(request.missedBy, endpoint)
	if request.class.isWrite() {
		b.observeReplica(endpoint, b.now)
		return
	}
	replication := &endpoint.replication
	replication.observeLag(max(replication.lag, b.now-b.requiredPosition(request)+1), b.now)
}

// recordSuccess records that an endpoint has served a request, in the given time.
func (b *Balancer) recordSuccess(request *request, endpoint *endpoint, took Time) {
	class := request.class
	endpoint.outlier.recordSuccess()
	endpoint.health.brokenConnections = 0
	endpoint.health.refusedConnections = 0
	endpoint.work.sinceMeasured += class.serviceTime
	if b.wake.runningSince != b.now { // else the time includes a pause of this instance
		class.observeLatency(took, b.config.instances())
		b.adaptLimit(endpoint, class.objectiveShare(took))
	}
	class.observeServiceTime()
	if endpoint.health.suspect {
		b.recordRecovery(endpoint)
	}
}
