package balance

const (
	// slowStartBudgetShare is the share of an endpoint's slow start budget that is used. The rest is a margin, since
	// the costs of requests are estimates.
	slowStartBudgetShare = 0.6
	// savedCreditShare is the share of the unused budget that may be saved up as credit. The rest is a margin for
	// uneven traffic between instances.
	savedCreditShare = 0.75
	// maxSavedRequests is the most requests that one instance may save up credit for if its share is small.
	maxSavedRequests = 2
)

// slowStart limits the load on an endpoint that has just started. Its capacity rises over Config.SlowStartWindow. All
// instances together may send it a budget of N requests within Config.OverloadWindow; an excess of up to 2*sqrt(N)+2
// is attributed to chance. Instances keep to the budget without communicating: each uses its share as credit (see
// workCredit).
type slowStart struct {
	startedAt     Time    // 0 = long ago
	recoveredAt   Time    // when it answered again after it was unreachable, or when operators resumed it
	dither        float64 // share of a cost that the credit must exceed while the burst is smaller than the cost
	ditherDrawnAt Time    // 0 = a new draw is needed
}

// capacity returns the share of its full capacity that the endpoint has at least, multiplied by scale. It is scale once
// the endpoint is warm.
func (s *slowStart) capacity(now Time, config *Config, scale float64) float64 {
	from := max(s.startedAt, s.recoveredAt)
	age := now - from
	if from <= 0 || age >= config.SlowStartWindow {
		return scale
	}
	gained := (1 - config.SlowStartFrom) * max(0, age.Seconds()) / config.SlowStartWindow.Seconds()
	return scale * (config.SlowStartFrom + gained)
}

// warmupFactor returns the share of its capacity that may be used of an endpoint: less than 1 while it warms up or
// while its zone is limited, as during a recovery ramp.
func (b *Balancer) warmupFactor(endpoint *endpoint) float64 {
	return endpoint.slowStart.capacity(b.now, &b.config, b.zoneCapacity(endpoint))
}

// zoneCapacity returns the share of its capacity that may be used of an endpoint according to the limit of its zone.
func (b *Balancer) zoneCapacity(endpoint *endpoint) float64 {
	if part, ok := b.zoneCapacities[endpoint.zone]; ok {
		return part
	}
	return 1
}

// checkSlowStartCredit is checkCredit for an endpoint that warms up. Its capacity is estimated from the throughput of
// warm endpoints, and as at least one request at a time.
func (b *Balancer) checkSlowStartCredit(request *request, endpoint *endpoint, warmup float64) creditCheck {
	rate := endpoint.limit.attempts * warmup
	cost := request.class.latency
	budgetRate := slowStartBudgetShare * b.config.OverloadMultiple * warmup *
		max(b.throughput.peak, 1/b.config.instances())
	if budgetRate < rate {
		cost = request.class.serviceTime
		rate = budgetRate
	}
	burst := b.slowStartBurst(rate, budgetRate, cost)
	covered := b.slowStartCovers(endpoint, rate, burst, cost)
	return creditCheck{
		covered: covered && !b.exceedsSlowStartBudget(request, budgetRate),
		cost:    cost,
		burst:   burst,
	}
}

// slowStartBurst returns how much work, in seconds, an instance may save up as credit for an endpoint that warms up.
// The rate is that of the credit; budgetRate is the share of this instance in the used part of the budget. Both are in
// seconds of work per second, and cost is in seconds of work per request.
//
// The credit that many instances save up under light load adds up, and all of it can be spent at once when reads move
// to the endpoint. If the share of one instance is a few requests, half of the credit that it earns in the window is
// small enough. If it is less, the saved credit of all instances must fit what the budget leaves beside the credit
// earned meanwhile. That can be less than one request per instance; a random draw then decides which instance may send
// a request (slowStartCovers).
func (b *Balancer) slowStartBurst(rate, budgetRate, cost float64) float64 {
	window := b.config.OverloadWindow.Seconds()
	if half := rate * window / 2; half >= cost {
		return half
	}
	budget := budgetRate / slowStartBudgetShare * b.config.instances() * window / cost
	unused := budget - rate*b.config.instances()*window/cost
	return cost * min(maxSavedRequests, savedCreditShare*unused/b.config.instances())
}

// slowStartCovers refills the credit of an endpoint that warms up and reports whether it covers a request. If the
// request costs more than can be saved up, it is covered with a probability of credit divided by cost, so that
// only some of the instances send. The random draw is repeated after the time in which the whole burst is earned.
func (b *Balancer) slowStartCovers(endpoint *endpoint, rate, burst, cost float64) bool {
	credit := &endpoint.credit
	slowStart := &endpoint.slowStart
	if !credit.isStarted() {
		credit.start(burst*b.rng.Float64(), b.now) // random, so that instances don't all send at once
		slowStart.ditherDrawnAt = 0
	}
	credit.refill(rate, burst, b.now)
	if burst >= cost {
		return credit.tokens >= cost
	}
	expired := b.now-slowStart.ditherDrawnAt >= secondsToDuration(burst/rate)
	if slowStart.ditherDrawnAt == 0 || expired {
		slowStart.dither = b.rng.Float64()
		slowStart.ditherDrawnAt = b.now
	}
	return credit.tokens > slowStart.dither*cost
}

// exceedsSlowStartBudget reports whether a single request would use more than half of the budget and costs more than
// the average request. Sharing out a budget that is smaller than one such request can't keep within it.
func (b *Balancer) exceedsSlowStartBudget(request *request, budgetRate float64) bool {
	work := 0.0
	arrivals := 0.0
	for _, configured := range b.config.Classes { // in configured order, since floating-point sums depend on the order
		class := b.classes[configured.Name]
		work += class.arrivals * class.serviceTime
		arrivals += class.arrivals
	}
	half := budgetRate * b.config.instances() * b.config.OverloadWindow.Seconds() / 2
	return request.class.serviceTime > max(half, work/max(1, arrivals))
}
