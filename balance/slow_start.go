package balance

const (
	// slowStartBudgetShare is the part of the budget of endpoints that warm up that is used: costs are estimates.
	slowStartBudgetShare = 0.6
	// savedCreditShare is the part of what that leaves that may be saved up: the rest is for unequal shares.
	savedCreditShare = 0.75
	// maxSavedRequests is how many requests may be saved up where the share of one instance is small.
	maxSavedRequests = 2
)

// slowStart eases an endpoint in that has just started. Its capacity rises over Config.SlowStartWindow. What all
// instances together may send it within Config.OverloadWindow is a budget of N requests; beyond it twice the root of
// N and two more are chance. Instances keep to the budget without messages between them: each uses its share, as credit
// (see workCredit).
type slowStart struct {
	startedAt     Time    // 0 = long ago
	recoveredAt   Time    // when it answered again after it could not be reached, or was resumed by operators
	dither        float64 // the part of a cost that credit must reach while less than a request can be saved up
	ditherDrawnAt Time    // 0 = the draw has been used
}

// capacity is the part of its capacity that the endpoint has at least, of a scale: 1 for the whole.
func (s *slowStart) capacity(now Time, config *Config, scale float64) float64 {
	from := max(s.startedAt, s.recoveredAt)
	age := now - from
	if from <= 0 || age >= config.SlowStartWindow {
		return scale
	}
	gained := (1 - config.SlowStartFrom) * max(0, age.Seconds()) / config.SlowStartWindow.Seconds()
	return scale * (config.SlowStartFrom + gained)
}

// warmupFactor is the part of its capacity that an endpoint may be used for: less than 1 while it warms up, and while
// the return of its zone is ramped.
func (b *Balancer) warmupFactor(endpoint *endpoint) float64 {
	return endpoint.slowStart.capacity(b.now, &b.config, b.zoneCapacity(endpoint))
}

// zoneCapacity is the part of its capacity that an endpoint may be used for because of its zone.
func (b *Balancer) zoneCapacity(endpoint *endpoint) float64 {
	if part, ok := b.zoneCapacities[endpoint.zone]; ok {
		return part
	}
	return 1
}

// checkSlowStartCredit is checkCredit for an endpoint that warms up. Nothing is known of its capacity but what warm
// endpoints did; each can do one request at a time at least.
func (b *Balancer) checkSlowStartCredit(request *request, endpoint *endpoint, warmup float64) creditCheck {
	rate := endpoint.limit.attempts * warmup
	cost := request.class.latency
	least := slowStartBudgetShare * b.config.OverloadMultiple * warmup * max(b.throughput.peak, 1/b.config.instances())
	if least < rate {
		cost = request.class.serviceTime
		rate = least
	}
	burst := b.slowStartBurst(rate, least, cost)
	covered := b.slowStartCovers(endpoint, rate, burst, cost)
	return creditCheck{
		covered: covered && !b.exceedsSlowStartBudget(request, least),
		cost:    cost,
		burst:   burst,
	}
}

// slowStartBurst is how much work an instance may have saved up for an endpoint that warms up, of requests of the
// given cost. The least is what each instance may send a second, of the part of the budget that is used.
//
// What each of many instances saves up while little is asked for adds up, and all of it comes at once when reads move
// there. Where the share of one instance is a few requests, half of what it gets in the window is little enough.
// Where it is less, all may have saved no more than the budget leaves beside what they get meanwhile. That can be
// less than one request for each: then a draw says which instance may send one (slowStartCovers).
func (b *Balancer) slowStartBurst(rate, least, cost float64) float64 {
	window := b.config.OverloadWindow.Seconds()
	if half := rate * window / 2; half >= cost {
		return half
	}
	budget := least / slowStartBudgetShare * b.config.instances() * window / cost
	unused := budget - rate*b.config.instances()*window/cost
	return cost * min(maxSavedRequests, savedCreditShare*unused/b.config.instances())
}

// slowStartCovers refills the credit of an endpoint that warms up and says whether it covers a request. Of requests
// that cost more than can be saved up, so large a part is sent as the credit is of the cost: which instance sends is
// drawn anew in the time that the savings take to come.
func (b *Balancer) slowStartCovers(endpoint *endpoint, rate, burst, cost float64) bool {
	credit := &endpoint.credit
	slowStart := &endpoint.slowStart
	if !credit.isCounted() {
		credit.start(burst*b.rng.Float64(), b.now) // drawn, so that instances do not all send at once
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

// exceedsSlowStartBudget says that a request alone would take more than half of the budget, and is more than the
// usual work: no share of a budget that is smaller than one such request keeps within it.
func (b *Balancer) exceedsSlowStartBudget(request *request, least float64) bool {
	work := 0.0
	arrivals := 0.0
	for _, configured := range b.config.Classes { // in their order: sums in another order differ
		class := b.classes[configured.Name]
		work += class.arrivals * class.serviceTime
		arrivals += class.arrivals
	}
	half := least * b.config.instances() * b.config.OverloadWindow.Seconds() / 2
	return request.class.serviceTime > max(half, work/max(1, arrivals))
}
