package balance

const (
	// retryBudgetPerRequest is the number of retries that each request adds to the budget. It limits the load that
	// retries add to an overload.
	retryBudgetPerRequest = 0.1
	// maxRetryBudget is the number of retries that may be saved up for a sudden failure.
	maxRetryBudget = 20.0
)

// retryBudget limits retries to a share of the requests.
type retryBudget struct{ tokens float64 }

// newRetryBudget returns a full budget.
func newRetryBudget() retryBudget { return retryBudget{tokens: maxRetryBudget} }

// earn adds the share of one request to the budget.
func (r *retryBudget) earn() { r.tokens = min(maxRetryBudget, r.tokens+retryBudgetPerRequest) }

// covers reports whether the budget covers the cost.
func (r *retryBudget) covers(cost float64) bool { return r.tokens >= cost }

// spend deducts the cost of a retry.
func (r *retryBudget) spend(cost float64) { r.tokens -= cost }

// idempotentUntil returns the time until which endpoints discard repeats of a request with an idempotency key. The
// idempotency window starts with the first attempt that may have run; a tick is kept as a margin.
func (q *request) idempotentUntil() Time {
	return q.firstRunAt + q.class.IdempotencyWindow - tickInterval
}

// repeatMayRunTwice reports whether a client's retry could run the request a second time. Such a request must not be
// rejected, since a rejection promises that a retry is safe.
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

// recordRun records that an attempt may have run. Only the first such attempt counts.
func (q *request) recordRun(attempt *attempt) {
	if q.mayHaveRun {
		return
	}
	q.mayHaveRun = true
	q.firstRunAt = attempt.sentAt
	q.firstRunZone = attempt.endpoint.zone
}

// retryOrAbandon queues a request again after an attempt without an answer. If a retry is not allowed, it marks the
// request as abandoned: it is answered at the end of the step, after all events, since one of them may report that the
// client has disconnected. The cost is deducted from the retry budget.
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

// mayRetry reports whether another attempt is safe, within the limit of attempts, and covered by the retry budget.
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
