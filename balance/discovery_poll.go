package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// pollSpacing is the time that discovery needs for the poll of each instance beyond the first few.
	pollSpacing = 150 * time.Millisecond
	// unspacedInstances is the number of instances that may poll at one time.
	unspacedInstances = 3
	// maxPollDelay is the longest wait from a poll that brought no list to the next one. What changed counts as
	// notified 6 s after discovery had it and could be reached, however the poll ended; a poll that waits for its turn
	// takes 2 s of that, and its way the rest.
	maxPollDelay = 3500 * time.Millisecond
)

// discoveryPoll decides when the endpoint list is polled: again after a failure, with a backoff, and spread over time
// where there are many instances.
type discoveryPoll struct {
	rng        *rand.Rand
	enabled    bool
	spread     time.Duration // the time over which instances spread their polls
	drainGrace time.Duration // Config.DrainGrace

	inFlight bool // the subscription stands, or is being made
	nextAt   Time
	sentAt   Time
	backoff  time.Duration
}

// newDiscoveryPoll returns a poll that is due at once.
func newDiscoveryPoll(config *Config, rng *rand.Rand) discoveryPoll {
	return discoveryPoll{
		rng:        rng,
		enabled:    config.PollDiscovery,
		spread:     pollSpread(config),
		drainGrace: config.DrainGrace,
		backoff:    minRecoveryBackoff,
	}
}

// pollSpread is the time over which instances spread their polls. Polls that wait too long fail, and cost discovery
// all the same: many instances that start at once, or lose their subscriptions at once, would keep each other out for
// good.
//
// An instance that waits for longer than it may go without a poll counts as notified of what it has not received.
// However many there are, the first polls and one more each still fall within that time.
func pollSpread(config *Config) time.Duration {
	spread := time.Duration(max(0, config.Instances-unspacedInstances)) * pollSpacing
	if config.PollWithin > 0 {
		spread = min(spread, config.PollWithin*2/5)
	}
	return spread
}

// succeeded notes that a list came.
func (p *discoveryPoll) succeeded(now Time) {
	p.backoff = max(minRecoveryBackoff, p.spread)
	p.sentAt = now
}

// startedFromCache notes that the instance starts with the list of its last run; the first poll is spread.
func (p *discoveryPoll) startedFromCache(now Time) {
	p.succeeded(now)
	p.nextAt = now + time.Duration(p.rng.Int64N(int64(p.spread)+1))
}

// failed notes that a poll brought no list; silent says that discovery was not heard at all.
func (p *discoveryPoll) failed(now Time, silent bool) {
	p.inFlight = false
	p.nextAt = now + p.retryDelay(now, silent)
}

// retryDelay is how long to wait with the next poll after one that brought no list.
func (p *discoveryPoll) retryDelay(now Time, silent bool) time.Duration {
	interval := min(p.backoff, p.drainGrace/2)
	if silent && interval > 0 {
		// What a silent discovery had to report counts as notified all the same, soon after, and the time in which
		// sends must end runs. So the poll is repeated within a part of that time that leaves it its 2 s, each time:
		// polls that are not heard cost discovery nothing.
		return interval/8 + time.Duration(p.rng.Int64N(int64(interval)))*7/8
	}
	// If all instances polled again at once they would overload discovery: one that was rejected doubles its backoff,
	// with jitter.
	delay := p.backoff/2 + time.Duration(p.rng.Int64N(int64(p.backoff)))
	if delay > maxPollDelay {
		delay = maxPollDelay - time.Duration(p.rng.Int64N(int64(maxPollDelay)*3/7))
	}
	delay -= min(now-p.sentAt, delay*3/4) // it runs from the poll: the time that it was queued is part of it
	p.backoff = min(2*p.backoff, max(maxRecoveryBackoff, 2*p.spread))
	return delay
}

// pollDiscovery subscribes to the endpoint list when that is due.
func (b *Balancer) pollDiscovery() {
	poll := &b.poll
	if !poll.enabled || poll.inFlight {
		return
	}
	if b.now < poll.nextAt {
		b.wake.dueAt(poll.nextAt)
		return
	}
	poll.inFlight = true
	poll.sentAt = b.now
	b.emit(PollEndpointList{})
}
