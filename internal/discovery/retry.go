package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// initialRetryInterval bounds the first delay: an agent that restarts is away for some milliseconds.
	initialRetryInterval = 10 * time.Millisecond

	// retryRandomStream keeps the draws of this package apart from those of others with the same seed.
	retryRandomStream = 0x6c697374
)

// retryBackoff is the delay of a Watcher that retries by itself: longer after each failure, with jitter, up to a
// bound. It has no clock.
type retryBackoff struct {
	maxInterval time.Duration
	interval    time.Duration // bound of the next delay, 0 = no call has failed since the last list
	rng         *rand.Rand
}

// nextDelay returns the delay after one more failed call.
func (b *retryBackoff) nextDelay() time.Duration {
	interval := min(max(b.interval, initialRetryInterval), b.maxInterval)
	b.interval = 2 * interval
	return interval/2 + time.Duration(b.rng.Int64N(int64(interval/2)+1))
}

// reset says that a list was received.
func (b *retryBackoff) reset() { b.interval = 0 }
