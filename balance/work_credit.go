package balance

const (
	// creditBurst is how many requests in a row an instance may send where its share is under one attempt: arrivals
	// are uneven.
	creditBurst = 4.0
	// slowRequestsSaved is how many attempts of the slowest class can be saved up. Cut to what a fast class saves up,
	// there would never be enough for a slow one.
	slowRequestsSaved = 2
	// reservedCreditShare is the part of the credit that low-priority requests leave to better ones.
	reservedCreditShare = 0.5
)

// workCredit is work, in seconds, that may be sent to an endpoint at once, where the share of this instance is under
// one attempt or the endpoint warms up. One attempt of each of hundreds of instances at once would be a flood, and an
// endpoint that warms up fails when all together send it too much. So a share under one attempt is earned over time.
// The price is that a burst at one instance waits though endpoints are idle.
type workCredit struct {
	tokens     float64
	burst      float64 // what can be saved up
	refilledAt Time    // 0 = not counted yet
}

// reset forgets the credit: it is counted anew at its next use.
func (c *workCredit) reset() { c.refilledAt = 0 }

// isCounted says whether the credit has been started since it was reset.
func (c *workCredit) isCounted() bool { return c.refilledAt != 0 }

// start begins to count with so much saved up.
func (c *workCredit) start(tokens float64, now Time) {
	c.tokens = tokens
	c.refilledAt = now
}

// refill adds what was earned since the last time.
func (c *workCredit) refill(rate, burst float64, now Time) {
	c.tokens = min(burst, c.tokens+rate*(now-c.refilledAt).Seconds())
	c.refilledAt = now
	c.burst = burst
}

// creditCheck says whether the credit of an endpoint covers a request.
type creditCheck struct {
	covered bool
	cost    float64 // of the request, seconds of work
	burst   float64 // the most that can be saved up
}

// checkCredit refills the credit of the endpoint and says whether it covers the request.
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
	burst := max(creditBurst*request.class.latency, slowRequestsSaved*b.slowestLatency())
	burst = max(burst, cost)
	credit := &endpoint.credit
	if !credit.isCounted() {
		credit.start(burst, b.now)
	}
	credit.refill(rate, burst, b.now)
	// Few attempts are in flight at a time: a request of less than half the best priority leaves credit that the best
	// could use.
	reserve := min(burst-cost, creditBurst*b.best.latency) * reservedCreditShare * b.best.deficit(request)
	return creditCheck{covered: credit.tokens >= cost+reserve, cost: cost, burst: burst}
}
