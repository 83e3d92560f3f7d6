package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// initialRetryInterval bounds the first delay: an agent that restarts is unavailable for a few milliseconds.
	initialRetryInterval = 10 * time.Millisecond

	// retryRandomStream makes the random numbers of this package independent of those that other packages draw with the
	// same seed.
	retryRandomStream = 0x6c697374
)

// retryBackoff computes the retry delays of a Watcher that follows pushed lists: exponential backoff with jitter, up to
// maxInterval. It has no clock.
type retryBackoff struct {
	maxInterval time.Duration
	interval    time.Duration // upper bound of the next delay, 0 = no call has failed since the last list
	rng         *rand.Rand
}

// nextDelay returns the delay after another failed call.
func (b *retryBackoff) nextDelay() time.Duration {
	interval := min(max(b.interval, initialRetryInterval), b.maxInterval)
	b.interval = 2 * interval
	return interval/2 + time.Duration(b.rng.Int64N(int64(interval/2)+1))
}

// reset starts again with the initial interval, after a list was received.
func (b *retryBackoff) reset() { b.interval = 0 }
