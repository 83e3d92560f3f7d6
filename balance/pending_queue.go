package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// pendingRecheckDivisor determines when a pending request is checked again: after the time it has waited so far,
// divided by this. The longer a request has waited, the less often it is checked.
const pendingRecheckDivisor = 20

// bestRank is the highest rank of any pending request lately.
type bestRank struct {
	rank    float64 // slowly decaying
	latency float64 // mean latency of the class of that request, in seconds
}

// observe updates the best rank with the rank of a pending request.
func (r *bestRank) observe(request *request) {
	if request.rank > r.rank {
		r.rank = request.rank
		r.latency = request.class.latency
	}
}

// expire decays the best rank; it is called once a second.
func (r *bestRank) expire() { r.rank *= 1 - smoothing }

// deficit returns how far the rank of a request is below half of the best rank: from 0 (not below it) to 1 (a rank
// of 0).
func (r *bestRank) deficit(request *request) float64 {
	return max(0, 1-2*request.rank/max(r.rank, math.SmallestNonzeroFloat64))
}

// updateRank sets the rank of a pending request: its expected weight, given the probability of an answer within the
// objective, per second of work. A request that is sent too late only adds load.
func (q *request) updateRank(now Time) {
	inTime := 1 - math.Exp(-max(0, (q.objectiveAt-now).Seconds())/q.class.latency)
	q.rank = q.weight / q.class.latency * (inTime + q.class.LateWeightShare*(1-inTime))
}

// compareRanks orders pending requests by descending rank, then by the end of their objectives.
func compareRanks(x, y *request) int {
	return cmp.Or(cmp.Compare(y.rank, x.rank), cmp.Compare(x.objectiveAt, y.objectiveAt))
}

// dispatchPending sends the pending requests of a group that an endpoint can take now, in the order of their ranks,
// and rejects or fails those that could no longer be answered in useful time.
func (b *Balancer) dispatchPending(group *replicaGroup) {
	if len(group.pending) == 0 {
		return
	}
	for _, request := range group.pending {
		request.updateRank(b.now)
		b.best.observe(request)
	}
	slices.SortStableFunc(group.pending, compareRanks)
	stillPending := group.pending[:0]
	for _, request := range group.pending {
		if b.dispatch(request) {
			stillPending = append(stillPending, request)
		}
	}
	clear(group.pending[len(stillPending):])
	group.pending = stillPending
	for _, request := range stillPending {
		recheckAt := b.now + (b.now-request.arrivedAt)/pendingRecheckDivisor
		b.wake.dueAt(min(recheckAt, request.usefulUntil-tickInterval))
	}
}

// dispatch sends or answers a pending request, and reports whether it stays pending.
func (b *Balancer) dispatch(request *request) (pending bool) {
	if request.answered {
		return false
	}
	request.usefulUntil = b.lastUsefulSend(request)
	if request.abandoned || b.now >= request.usefulUntil {
		b.giveUp(request)
		return false
	}
	endpoint := b.selectEndpoint(request)
	if endpoint == nil || b.defersToBoundedReads(request, endpoint) {
		return true
	}
	b.send(request, endpoint)
	return false
}

// lastUsefulSend returns the time from which sending the request could no longer bring an answer in useful time.
func (b *Balancer) lastUsefulSend(request *request) Time {
	end := request.lastAnswer()
	if request.class.LateWeightShare == 0 {
		end = min(end, request.objectiveAt)
	}
	end -= secondsToDuration(request.class.latency / 2)
	// A write that waits for its primary is often served after half of its client timeout. Rejecting it by then pays
	// off only where a later rejection has a cost.
	rejectEarly := request.class.Idempotency == Idempotent || b.config.LateRejectCost > 0
	if !request.reached && rejectEarly {
		end = min(end, request.halfTime()-tickInterval)
	}
	return end
}

// giveUp ends a request without a response. It rejects the request if a retry by the client is safe, and fails it
// otherwise.
func (b *Balancer) giveUp(request *request) {
	b.recordShortage(request)
	if request.repeatMayRunTwice() {
		b.emit(Fail{ID: request.id})
	} else {
		b.emit(Reject{ID: request.id, RetryAfter: b.retryAfter(request.class), Reason: request.rejectReason()})
	}
	b.closeRequest(request)
}

// rejectReason returns the most specific known reason for rejecting the request now.
func (q *request) rejectReason() RejectReason {
	switch {
	case q.class.isWrite() && q.group.primaryLost():
		return RejectNoPrimary
	case q.reached:
		return RejectUnanswered
	default:
		return RejectNoEndpoint
	}
}

// retryAfter returns the Retry-After of a rejection: a client that retried at once would meet the cause of its
// rejection again.
func (b *Balancer) retryAfter(class *classState) time.Duration {
	return min(b.config.MaxRetryAfter, class.LatencyObjective)
}

// send starts the next attempt of a request.
func (b *Balancer) send(request *request, endpoint *endpoint) {
	attempt := &attempt{request: request, endpoint: endpoint, sentAt: b.now, number: len(request.attempts)}
	if len(endpoint.inFlight) == 0 {
		endpoint.health.lastAnswerAt = b.now
		b.busyEndpoints = append(b.busyEndpoints, endpoint)
	}
	request.attempts = append(request.attempts, attempt)
	request.inFlight++
	endpoint.inFlight = append(endpoint.inFlight, attempt)
	endpoint.discovery.resumed = false
	b.wake.dueAt(b.now + silenceTimeout(endpoint.inFlight...) + 1)
	if !request.group.primary.known() && request.class.isWrite() {
		request.group.primary.exploratoryWrite = attempt
	}
	if endpoint.health.suspect || endpoint.outlierRecoveryDue(b.now) {
		b.startRecoveryAttempt(endpoint)
	}
	if check := b.checkCredit(request, endpoint); check.covered {
		endpoint.credit.tokens -= check.cost
		endpoint.slowStart.ditherDrawnAt = 0
	}
	b.emit(Send{ID: request.id, Endpoint: endpoint.id, NotAfter: b.writeBy(request, endpoint)})
}

// startRecoveryAttempt records a recovery attempt at a suspect endpoint or an outlier. The backoff to the next one is
// extended, except at a primary that only this instance cannot reach, since no other endpoint accepts its writes.
func (b *Balancer) startRecoveryAttempt(endpoint *endpoint) {
	endpoint.health.reportedSinceAttempt = false
	if endpoint.stillPrimaryForGroup() {
		endpoint.health.setBackoff(minRecoveryBackoff, b.now)
	} else {
		endpoint.health.extendBackoff(b.now)
	}
}

// writeBy returns the time by which an attempt must be written to its connection; 0 = no limit. If a connection has to
// be opened first, the send is delayed, and the decision made now may no longer be valid.
func (b *Balancer) writeBy(request *request, endpoint *endpoint) Time {
	by := never
	readsReplica := request.class.Consistency == ConsistencyBounded && !endpoint.isPrimary()
	if readsReplica && b.config.FreshnessCheck == FreshnessCheckNone {
		by = min(by, endpoint.replication.position+request.class.MaxStaleness) // the bound counts from the position
	}
	if !request.reached {
		by = min(by, request.halfTime()) // until it is written, the request is as good as pending
	}
	if request.mayHaveRun && request.class.Idempotency == IdempotentWithKey {
		by = min(by, request.idempotentUntil()) // later the repeat would not be discarded
	}
	if by == never {
		return 0
	}
	return by
}
