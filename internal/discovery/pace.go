package discovery

import (
	"math/rand/v2"
	"time"
)

// pace is how soon a watch that goes on by itself calls again after calls that brought no list: longer each time, with jitter,
// up to a bound. It has no clock.
type retryBackoff struct {
	maxInterval time.Duration
	interval    time.Duration // the longest that the next wait may be, 0 = none has failed since the last list
	rng         *rand.Rand
}

// paceFirst is the longest first wait: an agent that restarts is away for some milliseconds.
const initialRetryInterval = 10 * time.Millisecond

// failed returns the wait after one more call that brought no list.
func (p *retryBackoff) nextDelay() time.Duration {
	gap := min(max(p.interval, initialRetryInterval), p.maxInterval)
	p.interval = 2 * gap
	return gap/2 + time.Duration(p.rng.Int64N(int64(gap/2)+1))
}

// heard notes a list.
func (p *retryBackoff) reset() { p.interval = 0 }
