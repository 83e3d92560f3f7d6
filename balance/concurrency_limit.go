package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// initialLimit is the first concurrency limit of an endpoint, in attempts over all instances.
	initialLimit = 16.0
	// initialFractionalLimit replaces initialLimit if the share of one instance is under one attempt. It is higher to
	// allow for uneven arrivals.
	initialFractionalLimit = 24.0
	// minFleetLimit is the lowest limit to which overload reduces an endpoint, in attempts over all instances.
	minFleetLimit = 4.0
	// limitDecrease is the share by which the limit decreases when the endpoint rejects an attempt, or when it is slow
	// and its limit is under one attempt.
	limitDecrease = 0.25
	// congestedRatio is the share of the latency objective that attempts may take on average before the endpoint counts
	// as congested.
	congestedRatio = 0.35
	// congestedFactor is the multiple of its own lowest latency ratio that a congested endpoint must exceed as well,
	// since an endpoint that is always slow is not congested.
	congestedFactor = 1.5
	// alwaysCongestedRatio is the latency ratio above which an endpoint counts as congested even if it is always slow.
	alwaysCongestedRatio = 0.5
	// fractionalSampleFactor multiplies the weight of a sample if the limit is under one attempt, since samples are few
	// then.
	fractionalSampleFactor = 3
)

// concurrencyLimit limits the attempts that this instance may have in flight at an endpoint. It adapts to the
// endpoint's latency, measured as a share of the latency objective of the request's class.
type concurrencyLimit struct {
	attempts        float64 // the limit; under 1 for a fractional share
	latencyRatio    float64 // moving mean of latency / objective
	minLatencyRatio float64 // minimum of latencyRatio, which rises slowly over time
	rejectingUntil  Time    // no new attempt before this time, since the endpoint rejected one
	weakReadsFrom   Time    // as primary, it gets no weak reads before this time
	weakReadBackoff time.Duration
}

// newConcurrencyLimit returns a limit of the given attempts, with no latency observed yet.
func newConcurrencyLimit(attempts float64) concurrencyLimit {
	return concurrencyLimit{
		attempts:        attempts,
		latencyRatio:    congestedRatio / 2,
		minLatencyRatio: congestedRatio / 2,
	}
}

// resume resets the limit of an endpoint that operators have resumed.
func (l *concurrencyLimit) resume(attempts float64) {
	l.attempts = attempts
	l.rejectingUntil = 0
	l.latencyRatio = congestedRatio / 2
	l.minLatencyRatio = congestedRatio / 2
}

// isFractional reports whether the limit of this instance is under one attempt.
func (l *concurrencyLimit) isFractional() bool { return l.attempts < 1 }

// permits reports whether one more attempt stays within the limit, which is scaled by warmup (0 to 1) while the
// endpoint warms up. One attempt is always permitted: the work credit enforces fractional limits.
func (l *concurrencyLimit) permits(inFlight int, warmup float64) bool {
	return float64(inFlight+1) <= max(1, l.attempts*warmup)
}

// backOff pauses new attempts until the given time. A full endpoint rejects at once, so an immediate retry would keep
// it full.
func (l *concurrencyLimit) backOff(until Time) { l.rejectingUntil = until }

// recordRejection lowers the limit, but not below minAttempts, after the endpoint rejected an attempt. Several
// rejections during one backoff lower it only once.
func (l *concurrencyLimit) recordRejection(now, until Time, minAttempts float64) {
	if now >= l.rejectingUntil {
		l.attempts = max(minAttempts, l.attempts*(1-limitDecrease))
	}
	l.backOff(until)
}

// observeLatency updates the moving means with a latency given as a share of the objective.
func (l *concurrencyLimit) observeLatency(ratio, weight float64) {
	l.latencyRatio += weight * (ratio - l.latencyRatio)
	l.minLatencyRatio = min(l.latencyRatio, l.minLatencyRatio*(1+decay))
}

// isCongested reports whether latency is so high that the endpoint must have too many attempts in flight.
func (l *concurrencyLimit) isCongested(fractional bool) bool {
	if l.latencyRatio > alwaysCongestedRatio {
		return true
	}
	return !fractional && l.latencyRatio > max(congestedRatio, congestedFactor*l.minLatencyRatio)
}

// adaptWeakReadBackoff backs weak reads off from an endpoint, in its role as primary, after a response that took at
// least its latency objective. The backoff doubles with each slow response and halves with each fast one.
//
// If no replica of a group is recent enough, hundreds of instances send their reads to its primary, each instance one
// at a time. That overloads the primary, so all of these reads are late, and its writes as well. The concurrency limit
// can't prevent this if the share of an instance is under one attempt. So each instance reacts to its own few
// responses, and the instances whose reads were slow leave the primary to the others.
func (l *concurrencyLimit) adaptWeakReadBackoff(ratio float64, now Time, rng *rand.Rand) {
	if ratio < 1 {
		l.weakReadBackoff /= 2
		return
	}
	l.weakReadBackoff = min(max(minRecoveryBackoff, 2*l.weakReadBackoff), maxRecoveryBackoff)
	l.weakReadsFrom = now + l.weakReadBackoff/2 + time.Duration(rng.Int64N(int64(l.weakReadBackoff)))
}

// initialLimit returns the share of one instance in the first limit of an endpoint, in attempts.
func (c *Config) initialLimit() float64 {
	return max(initialLimit/c.instances(), min(1, initialFractionalLimit/c.instances()))
}

// minLimit returns the lowest limit of one instance under overload, in attempts.
func (c *Config) minLimit() float64 { return min(1, minFleetLimit/c.instances()) }

// hasFractionalShare reports whether the share of one instance in an endpoint is under one attempt.
func (c *Config) hasFractionalShare() bool { return c.initialLimit() < 1 }

// adaptLimit adjusts the limit of an endpoint after an attempt that took the given share of its latency objective.
func (b *Balancer) adaptLimit(endpoint *endpoint, ratio float64) {
	limit := &endpoint.limit
	if limit.isFractional() {
		b.adaptFractionalLimit(endpoint, ratio)
		return
	}
	limit.observeLatency(ratio, smoothing)
	switch {
	case limit.isCongested(false):
		// Each of many instances sees few responses and would congest the endpoint for long after it has become slow,
		// so each response reduces the limit by more.
		cut := min(smoothing, smoothing/10*max(2, b.config.instances()))
		limit.attempts = max(b.config.minLimit(), limit.attempts*(1-cut))
	case float64(len(endpoint.inFlight)+2) > limit.attempts:
		limit.attempts += max(1/limit.attempts, smoothing/2)
	}
}

// adaptFractionalLimit is adaptLimit for a limit under one attempt.
func (b *Balancer) adaptFractionalLimit(endpoint *endpoint, ratio float64) {
	limit := &endpoint.limit
	limit.adaptWeakReadBackoff(ratio, b.now, b.rng)
	limit.observeLatency(ratio, fractionalSampleFactor*smoothing)
	switch {
	case limit.isCongested(true):
		if ratio >= alwaysCongestedRatio { // one slow response must not reduce the limit several times
			limit.attempts = max(b.config.minLimit(), limit.attempts*(1-limitDecrease))
		}
	case endpoint.credit.tokens < endpoint.credit.burst/2:
		limit.attempts = min(1, limit.attempts+smoothing*b.config.initialLimit())
	}
}
