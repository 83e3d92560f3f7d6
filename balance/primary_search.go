package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// primarySearchInterval is the longest interval between two rounds of health checks for a lost primary, before jitter.
// It is also the time after which an endpoint that was not primary is tried again, since a failover takes a while.
const primarySearchInterval = 500 * time.Millisecond

// primarySearch schedules the rounds of health checks that search for a group's lost primary.
type primarySearch struct {
	nextAt   Time          // when the next round starts
	interval time.Duration // before jitter
}

// start begins a search: the first round is due at once.
func (s *primarySearch) start(now Time) {
	s.nextAt = now
	s.interval = healthCheckInterval
}

// scheduleNextRound schedules the next round, with a doubled interval and jitter.
func (s *primarySearch) scheduleNextRound(now Time, rng *rand.Rand) {
	s.interval = min(primarySearchInterval, max(healthCheckInterval, 2*s.interval))
	s.nextAt = now + s.interval/2 + time.Duration(rng.Int64N(int64(s.interval)))
}

// searchPrimary sends health checks to find the primary of the group. Each round checks every usable endpoint once,
// the least recently checked first: with a fixed order, the small budget of an instance with little traffic would only
// ever reach the first endpoints. If the budget runs out, the round continues when new budget has been earned.
func (b *Balancer) searchPrimary(group *replicaGroup) {
	oldestFirst := slices.Clone(group.endpoints)
	slices.SortStableFunc(oldestFirst, func(x, y *endpoint) int {
		return cmp.Compare(x.check.sentAt, y.check.sentAt)
	})
	for _, endpoint := range oldestFirst {
		if !endpoint.inService() || endpoint.health.suspect {
			continue
		}
		if endpoint.check.sentAt >= group.search.nextAt {
			continue // already checked in this round
		}
		if !b.healthChecks.available() {
			return
		}
		b.sendHealthCheck(endpoint, healthCheckInterval)
	}
	group.search.scheduleNextRound(b.now, b.rng)
}
