package balance

const (
	// creditBurst is how many requests in a row an instance may send if its share is under one attempt, to allow for
	// uneven arrivals.
	creditBurst = 4.0
	// slowRequestBurst is how many requests of the slowest class the burst covers, whichever class is checked. If each
	// class capped the credit at its own burst, requests of fast classes would keep it too low for those of a slow one.
	slowRequestBurst = 2
	// reservedCreditShare is the share of the credit that requests of low rank leave to those of higher rank.
	reservedCreditShare = 0.5
)

// workCredit is a token bucket of work, in seconds, that this instance may send to an endpoint. It applies if the
// share of this instance is under one attempt or the endpoint warms up. One attempt from each of hundreds of
// instances at once would overload an endpoint, and an endpoint that warms up fails under too much load. So a share
// under one attempt is earned over time. The cost is that a burst at one instance waits even though endpoints are
// idle.
type workCredit struct {
	tokens     float64 // seconds of work
	burst      float64 // maximum of tokens
	refilledAt Time    // 0 = not started
}

// reset discards the credit; it has to be started again at its next use.
func (c *workCredit) reset() { c.refilledAt = 0 }

// isStarted reports whether the credit has been started since it was created or reset.
func (c *workCredit) isStarted() bool { return c.refilledAt != 0 }

// start starts the credit with the given tokens.
func (c *workCredit) start(tokens float64, now Time) {
	c.tokens = tokens
	c.refilledAt = now
}

// refill adds the tokens earned since the last refill, at the rate in seconds of work per second, up to the burst.
func (c *workCredit) refill(rate, burst float64, now Time) {
	c.tokens = min(burst, c.tokens+rate*(now-c.refilledAt).Seconds())
	c.refilledAt = now
	c.burst = burst
}

// creditCheck is the result of checking whether the credit of an endpoint covers a request.
type creditCheck struct {
	covered bool
	cost    float64 // of the request, seconds of work
	burst   float64 // maximum of the credit, seconds of work
}

// checkCredit refills the credit of the endpoint and checks whether it covers the request.
func (b *Balancer) checkCredit(request *request, endpoint *endpoint) creditCheck {
	warmup := b.warmupFactor(endpoint)
	if warmup < 1 {
		return b.checkSlowStartCredit(request, endpoint, warmup)
	}
	rate := endpoint.limit.attempts * warmup
	if rate >= 1 && warmup == 1 {
		return creditCheck{covered: true} // the concurrency limit is enough
	}
	cost := request.class.latency
	burst := max(creditBurst*request.class.latency, slowRequestBurst*b.slowestLatency())
	burst = max(burst, cost)
	credit := &endpoint.credit
	if !credit.isStarted() {
		credit.start(burst, b.now)
	}
	credit.refill(rate, burst, b.now)
	// Few attempts are in flight at a time, so a request of less than half the best rank leaves credit for requests of
	// the best rank.
	reserve := min(burst-cost, creditBurst*b.best.latency) * reservedCreditShare * b.best.deficit(request)
	return creditCheck{covered: credit.tokens >= cost+reserve, cost: cost, burst: burst}
}
