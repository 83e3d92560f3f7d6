package failover

import "time"

const (
	minRetryAfter             = 50 * time.Millisecond
	defaultFailoverDuration   = 1500 * time.Millisecond // expected duration before any failover was observed
	failoverDurationSmoothing = 0.2                     // weight of the newest failover in the moving average
)

// recordFailoverDuration updates the moving average of the time until a successor is observed.
func (t *Tracker) recordFailoverDuration(lasted time.Duration) {
	t.averageFailoverDuration += time.Duration(failoverDurationSmoothing * float64(lasted-t.averageFailoverDuration))
}

// retryAfter returns how long a rejected client should wait before it retries: until the expected end of the failover.
// Up to a quarter of that is added at random, so that rejected clients don't all retry at the same time.
func (t *Tracker) retryAfter(group *replicaGroup, now time.Duration) time.Duration {
	wait := max(minRetryAfter, t.expectedRemainingTime(group, now))
	wait += time.Duration(t.rng.Int64N(int64(wait/4) + 1))
	if t.cfg.MaxRetryAfter > 0 {
		wait = min(wait, t.cfg.MaxRetryAfter)
	}
	return wait
}

// expectedRemainingTime returns how much longer the failover of a group is expected to last.
func (t *Tracker) expectedRemainingTime(group *replicaGroup, now time.Duration) time.Duration {
	if !group.phase.queuesWrites() {
		return 0
	}
	lasted := now - group.failoverSince
	if lasted > t.averageFailoverDuration {
		return lasted / 2 // longer than usual: its duration so far is the only estimate
	}
	return t.averageFailoverDuration - lasted
}
