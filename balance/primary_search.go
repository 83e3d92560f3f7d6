package balance

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// primarySearchInterval is the longest interval between two rounds of health checks for a lost primary, and the time
// after which an endpoint that was no primary is tried again: a successor takes a while to take over.
const primarySearchInterval = 500 * time.Millisecond

// primarySearch paces the rounds of health checks that look for a group's lost primary.
type primarySearch struct {
	nextAt   Time // when the next round starts
	interval time.Duration
}

// start begins a search: the first round is due at once.
func (s *primarySearch) start(now Time) {
	s.nextAt = now
	s.interval = healthCheckInterval
}

// roundSent schedules the next round, later each time and with jitter.
func (s *primarySearch) roundSent(now Time, rng *rand.Rand) {
	s.interval = min(primarySearchInterval, max(healthCheckInterval, 2*s.interval))
	s.nextAt = now + s.interval/2 + time.Duration(rng.Int64N(int64(s.interval)))
}

// searchPrimary sends health checks to find the primary of the group: to each endpoint once a round, to the one not
// checked for longest first. In a fixed order, only the first would ever be checked out of what a small instance
// earns. A round goes on as checks are earned.
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
			continue // it was checked in this round
		}
		if !b.healthChecks.available() {
			return
		}
		b.sendHealthCheck(endpoint, healthCheckInterval)
	}
	group.search.roundSent(b.now, b.rng)
}
