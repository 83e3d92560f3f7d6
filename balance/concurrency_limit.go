package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// initialLimit is how many attempts an endpoint gets at a time from all instances, before anything is learned.
	initialLimit = 16.0
	// initialFractionalLimit is the same where the share of one instance is under one attempt: it must fit uneven
	// arrivals, so it starts wider.
	initialFractionalLimit = 24.0
	// minFleetLimit is what overload leaves of the limit at least, over all instances.
	minFleetLimit = 4.0
	// rejectionCut is the part of its limit that an endpoint loses when it rejects an attempt, or when it is slow and
	// its limit is under one attempt.
	rejectionCut = 0.25
	// crowdedRatio is the part of the latency objective that attempts may take in the mean before the endpoint is
	// crowded.
	crowdedRatio = 0.35
	// crowdedFactor is the multiple of its own least ratio that an endpoint must exceed as well, since one that is
	// always slow is not crowded.
	crowdedFactor = 1.5
	// maxCrowdedRatio is the ratio from which an endpoint is crowded however slow it always is.
	maxCrowdedRatio = 0.5
	// fractionalWeight is by how much more a sample weighs where the limit is under one attempt and samples are few.
	fractionalWeight = 3
)

// concurrencyLimit is how many attempts this instance may have in flight at an endpoint. It adapts to the latency of
// the endpoint's answers, as a part of the latency objective of their class.
type concurrencyLimit struct {
	attempts          float64
	latencyRatio      float64 // moving mean of latency / objective
	leastLatencyRatio float64 // the least of it, slowly forgotten
	rejectingUntil    Time    // it rejected an attempt: nothing new before this
	weakReadsFrom     Time    // no weak reads here as primary before this
	weakReadBackoff   time.Duration
}

// newConcurrencyLimit returns a limit with nothing observed.
func newConcurrencyLimit(attempts float64) concurrencyLimit {
	return concurrencyLimit{
		attempts:          attempts,
		latencyRatio:      crowdedRatio / 2,
		leastLatencyRatio: crowdedRatio / 2,
	}
}

// resume starts anew for an endpoint that operators have let back in.
func (l *concurrencyLimit) resume(attempts float64) {
	l.attempts = attempts
	l.rejectingUntil = 0
	l.latencyRatio = crowdedRatio / 2
	l.leastLatencyRatio = crowdedRatio / 2
}

// isFractional says that the share of this instance is under one attempt.
func (l *concurrencyLimit) isFractional() bool { return l.attempts < 1 }

// permits says whether one more attempt keeps within the limit, of which the endpoint has a part while it warms up.
// One attempt is always permitted; fractional limits are kept by the work credit.
func (l *concurrencyLimit) permits(inFlight int, warmup float64) bool {
	return float64(inFlight+1) <= max(1, l.attempts*warmup)
}

// backOff sends nothing new for a while. What was rejected at once would come back at once, and keep the endpoint
// full.
func (l *concurrencyLimit) backOff(until Time) { l.rejectingUntil = until }

// recordRejection lowers the limit of an endpoint that rejected an attempt; of several in a row only once.
func (l *concurrencyLimit) recordRejection(now, until Time, least float64) {
	if now >= l.rejectingUntil {
		l.attempts = max(least, l.attempts*(1-rejectionCut))
	}
	l.backOff(until)
}

// observeLatency takes a latency, as a part of the objective, into the means.
func (l *concurrencyLimit) observeLatency(ratio, weight float64) {
	l.latencyRatio += weight * (ratio - l.latencyRatio)
	l.leastLatencyRatio = min(l.latencyRatio, l.leastLatencyRatio*(1+decay))
}

// isCrowded says that latency has risen so far that the endpoint has too much in flight.
func (l *concurrencyLimit) isCrowded(fractional bool) bool {
	if l.latencyRatio > maxCrowdedRatio {
		return true
	}
	return !fractional && l.latencyRatio > max(crowdedRatio, crowdedFactor*l.leastLatencyRatio)
}

// adaptWeakReadBackoff keeps weak reads off an endpoint, as primary, for a while after an answer that took as long as
// its objective or longer: twice as long each time, half as long after each quick one.
//
// Where no replica of a group is recent enough, the reads of hundreds of instances meet at its primary, one of each
// at a time. That is more than it can do, so all of them are late, and its writes with them. No limit tells this to
// an instance whose share is under one attempt; each learns it from its own few answers, and those that hit a slow
// primary make way for the others.
func (l *concurrencyLimit) adaptWeakReadBackoff(ratio float64, now Time, rng *rand.Rand) {
	if ratio < 1 {
		l.weakReadBackoff /= 2
		return
	}
	l.weakReadBackoff = min(max(minRecoveryBackoff, 2*l.weakReadBackoff), maxRecoveryBackoff)
	l.weakReadsFrom = now + l.weakReadBackoff/2 + time.Duration(rng.Int64N(int64(l.weakReadBackoff)))
}

// initialLimit is the share of one instance in the first limit of an endpoint.
func (c *Config) initialLimit() float64 {
	return max(initialLimit/c.instances(), min(1, initialFractionalLimit/c.instances()))
}

// minLimit is what overload leaves one instance of the limit at least.
func (c *Config) minLimit() float64 { return min(1, minFleetLimit/c.instances()) }

// hasFractionalShare says that the share of one instance in an endpoint is under one attempt.
func (c *Config) hasFractionalShare() bool { return c.initialLimit() < 1 }

// adaptLimit moves the limit of an endpoint after an attempt that took the given part of its latency objective.
func (b *Balancer) adaptLimit(endpoint *endpoint, ratio float64) {
	limit := &endpoint.limit
	if limit.isFractional() {
		b.adaptFractionalLimit(endpoint, ratio)
		return
	}
	limit.observeLatency(ratio, smoothing)
	switch {
	case limit.isCrowded(false):
		// With many instances each sees few answers, and would go on crowding the endpoint for long after it has
		// become slow: each answer cuts more.
		cut := min(smoothing, smoothing/10*max(2, b.config.instances()))
		limit.attempts = max(b.config.minLimit(), limit.attempts*(1-cut))
	case float64(len(endpoint.inFlight)+2) > limit.attempts:
		limit.attempts += max(1/limit.attempts, smoothing/2)
	}
}

// adaptFractionalLimit does the same where the limit is under one attempt.
func (b *Balancer) adaptFractionalLimit(endpoint *endpoint, ratio float64) {
	limit := &endpoint.limit
	limit.adaptWeakReadBackoff(ratio, b.now, b.rng)
	limit.observeLatency(ratio, fractionalWeight*smoothing)
	switch {
	case limit.isCrowded(true):
		if ratio >= maxCrowdedRatio { // one slow answer must not cut the limit several times
			limit.attempts = max(b.config.minLimit(), limit.attempts*(1-rejectionCut))
		}
	case endpoint.credit.tokens < endpoint.credit.burst/2:
		limit.attempts = min(1, limit.attempts+smoothing*b.config.initialLimit())
	}
}
