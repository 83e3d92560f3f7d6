package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// pendingRecheckDivisor says how often pending requests are looked at: again after this part of the time that they
// have waited. What has waited long is looked at less often.
const pendingRecheckDivisor = 20

// bestRank is the highest priority seen lately.
type bestRank struct {
	rank    float64 // slowly forgotten
	latency float64 // of such a request in the mean, seconds
}

// observe takes in the rank of a pending request.
func (r *bestRank) observe(request *request) {
	if request.rank > r.rank {
		r.rank = request.rank
		r.latency = request.class.latency
	}
}

// expire forgets a part, once a second.
func (r *bestRank) expire() { r.rank *= 1 - smoothing }

// deficit is how far a request ranks below half of the best: 0 = not at all, 1 = it has no weight.
func (r *bestRank) deficit(request *request) float64 {
	return max(0, 1-2*request.rank/max(r.rank, math.SmallestNonzeroFloat64))
}

// updateRank sets the priority of a pending request: its weight by the chance of an answer within the objective, per
// work. What is sent too late only adds load.
func (q *request) updateRank(now Time) {
	inTime := 1 - math.Exp(-max(0, (q.objectiveAt-now).Seconds())/q.class.latency)
	q.rank = q.weight / q.class.latency * (inTime + q.class.LateWeightShare*(1-inTime))
}

// compareRanks orders pending requests: the highest rank first, then the one whose objective ends first.
func compareRanks(x, y *request) int {
	return cmp.Or(cmp.Compare(y.rank, x.rank), cmp.Compare(x.objectiveAt, y.objectiveAt))
}

// dispatchPending sends the pending requests of a group that an endpoint can take now, in the order of their
// priority, and rejects those that could no longer be answered in useful time.
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

// dispatch sends or answers a pending request, and says whether it stays pending.
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

// lastUsefulSend is the time from which a send could no longer bring an answer in useful time.
func (b *Balancer) lastUsefulSend(request *request) Time {
	end := request.lastAnswer()
	if request.class.LateWeightShare == 0 {
		end = min(end, request.objectiveAt)
	}
	end -= secondsToDuration(request.class.latency / 2)
	// A write that is pending for its primary is often served after half of its time. Giving it up then pays only
	// where keeping it for longer, in vain, has a price.
	rejectEarly := request.class.Idempotency == Idempotent || b.config.LateRejectCost > 0
	if !request.reached && rejectEarly {
		end = min(end, request.halfTime()-tickInterval)
	}
	return end
}

// giveUp answers a request at once. A rejection says that a retry does no harm.
func (b *Balancer) giveUp(request *request) {
	b.recordShortage(request)
	if request.repeatMayRunTwice() {
		b.emit(Fail{ID: request.id})
	} else {
		b.emit(Reject{ID: request.id, RetryAfter: b.retryAfter(request.class), Reason: request.rejectReason()})
	}
	b.closeRequest(request)
}

// rejectReason is the best that can be told of why a request is rejected now.
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

// retryAfter is what a rejected client is told to wait, wherever it can hear it: one that comes back at once meets
// what rejected it.
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

// startRecoveryAttempt notes that a suspect endpoint or an outlier is tried. The next attempt waits longer, except at
// a primary that only this instance cannot reach: nothing else takes its writes.
func (b *Balancer) startRecoveryAttempt(endpoint *endpoint) {
	endpoint.health.reportedSinceAttempt = false
	if endpoint.stillPrimaryForGroup() {
		endpoint.health.setBackoff(minRecoveryBackoff, b.now)
	} else {
		endpoint.health.extendBackoff(b.now)
	}
}

// writeBy is the time by which an attempt must be written to its connection; 0 = no limit. A connection that has to
// be opened first delays the send, and what was decided now would be wrong later.
func (b *Balancer) writeBy(request *request, endpoint *endpoint) Time {
	by := never
	readsCopy := request.class.Consistency == ConsistencyBounded && !endpoint.isPrimary()
	if readsCopy && b.config.FreshnessCheck == FreshnessCheckNone {
		by = min(by, endpoint.replication.position+request.class.MaxStaleness) // the bound counts from the position
	}
	if !request.reached {
		by = min(by, request.halfTime()) // a request that waits for a connection is pending all the same
	}
	if request.mayHaveRun && request.class.Idempotency == IdempotentWithKey {
		by = min(by, request.idempotentUntil()) // later the repeat would run again, however early it was decided
	}
	if by == never {
		return 0
	}
	return by
}
