package balance

const (
	// retryBudgetPerRequest is the part of a retry that each request earns: retries cannot add more than this to an
	// overload.
	retryBudgetPerRequest = 0.1
	// maxRetryBudget is how many retries may be saved up for a sudden failure.
	maxRetryBudget = 20.0
)

// retryBudget limits retries to a part of the requests.
type retryBudget struct{ tokens float64 }

// newRetryBudget returns a full budget.
func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryBudget} }

// earn adds what one request brings.
func (r *retryBudget) earn() { r.tokens = min(maxRetryBudget, r.tokens+retryBudgetPerRequest) }

// covers says whether the budget has so much.
func (r *retryBudget) covers(cost float64) bool { return r.tokens >= cost }

// spend pays for a retry.
func (r *retryBudget) spend(cost float64) { r.tokens -= cost }

// idempotentUntil is until when a repeat of a request with an idempotency key is discarded if the request has run.
// The window is counted from the first attempt that may have run.
func (q *request) idempotentUntil() Time {
	return q.firstRunAt + q.class.IdempotencyWindow - tickInterval
}

// repeatMayRunTwice says that a client's retry of the request might run it a second time, so that the request must
// not be rejected as if nothing had happened.
func (q *request) repeatMayRunTwice() bool {
	if !q.mayHaveRun {
		return false
	}
	switch q.class.Idempotency {
	case NonIdempotent:
		return true
	case IdempotentWithKey:
		return q.class.IdempotencyScope != ScopeAll
	}
	return false
}

// recordRun notes that an attempt may have run; the first one counts.
func (q *request) recordRun(attempt *attempt) {
	if q.mayHaveRun {
		return
	}
	q.mayHaveRun = true
	q.firstRunAt = attempt.sentAt
	q.firstRunZone = attempt.endpoint.zone
}

// retryOrAbandon queues a request again whose attempt ended without an answer, or gives it up: that is answered in
// this step, once all events are read, since the client may have disconnected. The cost is what the retry takes from
// the budget; a rejected attempt or a miss costs nothing.
func (b *Balancer) retryOrAbandon(request *request, cost float64) {
	if request.answered || request.inFlight > 0 {
		return
	}
	if b.mayRetry(request, cost) {
		b.retries.spend(cost)
	} else {
		request.abandoned = true
	}
	request.group.pending = append(request.group.pending, request)
}

// mayRetry says whether another attempt is safe, within the limit of attempts, and covered by the budget.
func (b *Balancer) mayRetry(request *request, cost float64) bool {
	if request.mayHaveRun && request.class.Idempotency == NonIdempotent {
		return false
	}
	limit := b.config.MaxAttempts
	if limit > 0 && request.attemptsUsed() >= limit {
		return false
	}
	return b.retries.covers(cost)
}
