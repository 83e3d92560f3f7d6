package syslog

import (
	"math/rand/v2"
	"time"
)

// Failover decides which collector is tried when. It is pure: it holds no clock, and its draws come from its seed. The
// first collector is preferred; one that fails is left alone for a time that doubles, with jitter, so that many routers
// do not come back to it at once.
type Failover struct {
	rng   *rand.Rand
	first time.Duration
	last  time.Duration
	tries []trial
}

type trial struct {
	fails int
	until time.Duration // not before this
}

// NewFailover returns one over n collectors, whose waits grow from first to last.
func NewFailover(n int, seed uint64, first, last time.Duration) *Failover {
	return &Failover{rng: rand.New(rand.NewPCG(seed, 0x5e1f)), first: first, last: last, tries: make([]trial, n)}
}

// Next says which collector to try now, or how long to wait until one may be tried.
func (f *Failover) Next(now time.Duration) (collector int, wait time.Duration) {
	best := -1
	for i, t := range f.tries {
		if t.until <= now {
			return i, 0
		}
		if best < 0 || t.until < f.tries[best].until {
			best = i
		}
	}
	if best < 0 {
		return -1, f.last
	}
	return -1, f.tries[best].until - now
}

// Failed says that a collector could not be reached, or broke off.
func (f *Failover) Failed(i int, now time.Duration) {
	t := &f.tries[i]
	wait := f.last
	if t.fails < 30 {
		wait = min(f.last, f.first<<t.fails)
	}
	t.fails++
	t.until = now + wait/2 + time.Duration(f.rng.Int64N(int64(wait/2)+1))
}

// Held says that a connection has stood for a while: the next failure is the first again. Guards against one that flaps:
// to be accepted alone proves nothing.
func (f *Failover) Held(i int) { f.tries[i].fails = 0 }

// Better says whether a collector in front of i may be tried again.
func (f *Failover) Better(i int, now time.Duration) bool {
	for _, t := range f.tries[:i] {
		if t.until <= now {
			return true
		}
	}
	return false
}
