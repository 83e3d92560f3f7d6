package syslog

import (
	"math/rand/v2"
	"time"
)

// Failover decides which collector to connect to, and when. It is deterministic: it reads no clock, since its callers
// pass now as the time since a fixed start, and its random numbers come from its seed. Earlier collectors are
// preferred. A collector that fails is not tried again before a backoff has passed, which doubles with each failure and
// has jitter, so that many routers do not reconnect to it at once.
type Failover struct {
	rng        *rand.Rand
	minBackoff time.Duration
	maxBackoff time.Duration
	collectors []collectorState
}

type collectorState struct {
	failures int
	retryAt  time.Duration // the collector is not tried before this time, counted like now
}

// NewFailover returns a Failover for n collectors, whose backoffs grow from minBackoff to maxBackoff.
func NewFailover(n int, seed uint64, minBackoff, maxBackoff time.Duration) *Failover {
	return &Failover{
		rng: rand.New(rand.NewPCG(seed, 0x5e1f)), minBackoff: minBackoff, maxBackoff: maxBackoff,
		collectors: make([]collectorState, n),
	}
}

// Next returns the index of the collector to try now, or -1 and how long to wait until one may be tried.
func (f *Failover) Next(now time.Duration) (collector int, wait time.Duration) {
	soonest := -1
	for i, t := range f.collectors {
		if t.retryAt <= now {
			return i, 0
		}
		if soonest < 0 || t.retryAt < f.collectors[soonest].retryAt {
			soonest = i
		}
	}
	if soonest < 0 {
		return -1, f.maxBackoff
	}
	return -1, f.collectors[soonest].retryAt - now
}

// Failed notes that collector i could not be reached, or that its connection broke.
func (f *Failover) Failed(i int, now time.Duration) {
	t := &f.collectors[i]
	wait := f.maxBackoff
	if t.failures < 30 {
		wait = min(f.maxBackoff, f.minBackoff<<t.failures)
	}
	t.failures++
	t.retryAt = now + wait/2 + time.Duration(f.rng.Int64N(int64(wait/2)+1))
}

// ResetBackoff notes that a connection to collector i has lasted: the next failure has the shortest backoff again. An
// accepted connection alone does not reset it, since a flapping collector accepts connections too.
func (f *Failover) ResetBackoff(i int) { f.collectors[i].failures = 0 }

// CanRetryPreferred reports whether a collector that is preferred to collector i may be tried again.
func (f *Failover) CanRetryPreferred(i int, now time.Duration) bool {
	for _, t := range f.collectors[:i] {
		if t.retryAt <= now {
			return true
		}
	}
	return false
}
