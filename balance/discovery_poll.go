package balance

import (
	"math/rand/v2"
	"time"
)

const (
	// pollSpacing is the time to allow discovery for the poll of each instance beyond unspacedInstances.
	pollSpacing = 150 * time.Millisecond
	// unspacedInstances is the number of instances that may poll at the same time.
	unspacedInstances = 3
	// maxPollDelay is the longest delay from a failed poll to the next one. A change counts as notified 6 s after
	// discovery had it and was reachable, even if the poll failed. Of the remaining time, a queued poll takes up to 2 s
	// and the network the rest.
	maxPollDelay = 3500 * time.Millisecond
)

// discoveryPoll schedules the polls of the endpoint list. Failed polls are repeated with a backoff, and the polls of
// many instances are spread over time.
type discoveryPoll struct {
	rng        *rand.Rand
	enabled    bool
	spread     time.Duration // the time over which instances spread their polls
	drainGrace time.Duration // Config.DrainGrace

	inFlight bool // a poll is in flight or has become a subscription
	nextAt   Time
	sentAt   Time
	backoff  time.Duration
}

// newDiscoveryPoll returns a schedule whose first poll is due at once.
func newDiscoveryPoll(config *Config, rng *rand.Rand) discoveryPoll {
	return discoveryPoll{
		rng:        rng,
		enabled:    config.PollDiscovery,
		spread:     pollSpread(config),
		drainGrace: config.DrainGrace,
		backoff:    minRecoveryBackoff,
	}
}

// pollSpread returns the time over which instances spread their polls. A poll that is queued for too long fails, and
// costs discovery as much as one that succeeds. Without the spread, many instances that start or lose their
// subscriptions at the same time would make each other's polls fail indefinitely.
//
// An instance that doesn't poll within Config.PollWithin counts as notified of changes that it has not received. The
// spread is a part of that time, so that the first poll and one repetition of each instance fall within it, whatever
// the number of instances.
func pollSpread(config *Config) time.Duration {
	spread := time.Duration(max(0, config.Instances-unspacedInstances)) * pollSpacing
	if config.PollWithin > 0 {
		spread = min(spread, config.PollWithin*2/5)
	}
	return spread
}

// succeeded records that a list arrived.
func (p *discoveryPoll) succeeded(now Time) {
	p.backoff = max(minRecoveryBackoff, p.spread)
	p.sentAt = now
}

// startedFromCache records that the instance starts with the cached list of its last run. The first poll is delayed at
// random within the spread.
func (p *discoveryPoll) startedFromCache(now Time) {
	p.succeeded(now)
	p.nextAt = now + time.Duration(p.rng.Int64N(int64(p.spread)+1))
}

// failed records that a poll returned no list; silent is set if discovery did not answer at all.
func (p *discoveryPoll) failed(now Time, silent bool) {
	p.inFlight = false
	p.nextAt = now + p.retryDelay(now, silent)
}

// retryDelay returns the delay until the next poll after one that returned no list.
func (p *discoveryPoll) retryDelay(now Time, silent bool) time.Duration {
	interval := min(p.backoff, p.drainGrace/2)
	if silent && interval > 0 {
		// A change counts as notified soon after discovery had it even while discovery is silent, and then the drain
		// grace in which sends must end is running. So the poll is repeated within a part of the grace that leaves the
		// poll its 2 s, without increasing the backoff: polls that don't reach discovery cost it nothing.
		return interval/8 + time.Duration(p.rng.Int64N(int64(interval)))*7/8
	}
	// If all instances polled again at once they would overload discovery, so a rejected poll doubles the backoff, with
	// jitter.
	delay := p.backoff/2 + time.Duration(p.rng.Int64N(int64(p.backoff)))
	if delay > maxPollDelay {
		delay = maxPollDelay - time.Duration(p.rng.Int64N(int64(maxPollDelay)*3/7))
	}
	// The delay counts from the poll, so the time that the poll was queued is part of it.
	delay -= min(now-p.sentAt, delay*3/4)
	p.backoff = min(2*p.backoff, max(maxRecoveryBackoff, 2*p.spread))
	return delay
}

// pollDiscovery polls the endpoint list, which subscribes to its changes, when a poll is due.
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
