package failover

import "time"

const (
	minRetryAfter             = 50 * time.Millisecond
	defaultFailoverDuration   = 1500 * time.Millisecond // expected until some failovers were seen
	failoverDurationSmoothing = 0.2                     // weight of the newest failover
)

// learnFailoverDuration learns how long it takes until a successor is observed.
func (t *Tracker) learnFailoverDuration(lasted time.Duration) {
	t.usualFailoverDuration += time.Duration(failoverDurationSmoothing * float64(lasted-t.usualFailoverDuration))
}

// retryAfter is when a rejected client may try again: at the expected end of the failover. Up to a quarter is added
// by chance, so that rejected clients don't return all at once.
func (t *Tracker) retryAfter(group *replicaGroup, now time.Duration) time.Duration {
	wait := max(minRetryAfter, t.expectedRemainder(group, now))
	wait += time.Duration(t.rng.Int64N(int64(wait/4) + 1))
	if t.cfg.MaxRetryAfter > 0 {
		wait = min(wait, t.cfg.MaxRetryAfter)
	}
	return wait
}

// expectedRemainder is how long a group's failover is expected to go on.
func (t *Tracker) expectedRemainder(group *replicaGroup, now time.Duration) time.Duration {
	if !group.phase.queuesWrites() {
		return 0
	}
	lasted := now - group.failoverSince
	if lasted > t.usualFailoverDuration {
		return lasted / 2 // longer than usual: nothing is known but its length so far
	}
	return t.usualFailoverDuration - lasted
}
