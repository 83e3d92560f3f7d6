package failover

import (
	"cmp"
	"slices"
	"time"
)

// Health checks are sent in rounds to find the successor. Each queued request adds to a budget of rounds at short
// intervals. Without a budget rounds are rare, because all routers that share a group check its endpoints at the same
// time.
const (
	firstHealthCheckInterval  = 15 * time.Millisecond // between the first rounds on a budget
	maxHealthCheckInterval    = 50 * time.Millisecond // later, so that a successor is found within 60 ms at the median
	healthCheckIntervalGrowth = 1.15                  // factor of the interval from one round to the next

	// healthCheckRoundsPerRequest is the number of rounds, over all routers, that a queued request adds to the budget.
	healthCheckRoundsPerRequest = 20.0

	// Without a budget the interval between rounds is unbudgetedHealthCheckInterval, or
	// unbudgetedHealthCheckIntervalPerRouter times the number of routers if that is longer.
	unbudgetedHealthCheckInterval          = 250 * time.Millisecond
	unbudgetedHealthCheckIntervalPerRouter = 50 * time.Millisecond

	// healthCheckTimeout is the time after which an endpoint may get another health check though the last one has not
	// ended.
	healthCheckTimeout = 400 * time.Millisecond
)

// healthCheckSchedule determines when the next round of health checks of a group is due.
type healthCheckSchedule struct {
	nextRound   time.Duration
	interval    time.Duration // between rounds on the budget
	roundBudget float64       // rounds that may still be sent at short intervals
}

func (s *healthCheckSchedule) start(firstRound time.Duration) {
	s.interval = firstHealthCheckInterval
	s.roundBudget = 0
	s.nextRound = firstRound
}

// firstRoundDelay returns a random delay before the first round of a failover, so that routers don't all start at the
// same time.
func (t *Tracker) firstRoundDelay() time.Duration {
	routers := time.Duration(1 + t.cfg.Instances)
	bound := min(unbudgetedHealthCheckInterval, unbudgetedHealthCheckIntervalPerRouter/10*routers)
	return time.Duration(t.rng.Int64N(int64(bound)))
}

// jitter returns a random duration between 3/4 and 5/4 of an interval.
func (t *Tracker) jitter(interval time.Duration) time.Duration {
	return interval*3/4 + time.Duration(t.rng.Int64N(int64(interval/2)))
}

// hasRoundBudget reports whether requests are queued and the budget allows another round of health checks.
func (g *replicaGroup) hasRoundBudget() bool {
	return len(g.pending) > 0 && g.healthChecks.roundBudget >= 1
}

// addRoundBudget adds to the budget for a request that was just enqueued, and brings the next round forward.
func (t *Tracker) addRoundBudget(group *replicaGroup, now time.Duration) {
	schedule := &group.healthChecks
	schedule.roundBudget += t.cfg.sharePerInstance(healthCheckRoundsPerRequest)
	if group.phase.queuesWrites() && group.hasRoundBudget() {
		schedule.nextRound = min(schedule.nextRound, now+t.jitter(schedule.interval))
	}
}

// runHealthCheckRound sends a health check to each endpoint that may be the successor, if a round is due. The budget
// bounds the number of rounds at short intervals: at a fixed rate, many routers with one or two queued writes each
// would keep the group busy with load reports.
func (t *Tracker) runHealthCheckRound(group *replicaGroup, now time.Duration) {
	schedule := &group.healthChecks
	if now < schedule.nextRound {
		return
	}
	interval := schedule.interval
	if group.hasRoundBudget() {
		schedule.roundBudget--
	} else {
		perRouter := unbudgetedHealthCheckIntervalPerRouter * time.Duration(t.cfg.Instances)
		interval = max(unbudgetedHealthCheckInterval, perRouter)
	}
	grown := time.Duration(healthCheckIntervalGrowth * float64(schedule.interval))
	schedule.interval = min(maxHealthCheckInterval, grown)
	schedule.nextRound = now + t.jitter(interval)
	for _, endpoint := range group.healthCheckCandidates() {
		t.sendHealthCheck(endpoint, now)
	}
}

// healthCheckCandidates returns the endpoints in service, the most likely successor first: sorted by replication
// position, and those with the same position by the time at which they reported it, the newest first. A suspected
// primary comes first, a lost one last.
func (g *replicaGroup) healthCheckCandidates() []*trackedEndpoint {
	var candidates []*trackedEndpoint
	for _, endpoint := range g.endpoints {
		if endpoint.inService() {
			candidates = append(candidates, endpoint)
		}
	}
	primaryRank := 1
	if g.phase == PhaseSuspected {
		primaryRank = -1
	}
	slices.SortStableFunc(candidates, func(a, b *trackedEndpoint) int {
		switch {
		case a == g.primary && b != g.primary:
			return primaryRank
		case b == g.primary && a != g.primary:
			return -primaryRank
		}
		return cmp.Or(cmp.Compare(b.position, a.position), cmp.Compare(b.positionAt, a.positionAt))
	})
	return candidates
}

func (t *Tracker) sendHealthCheck(endpoint *trackedEndpoint, now time.Duration) {
	awaitsReport := endpoint.healthCheckInFlight && now-endpoint.healthCheckSentAt < healthCheckTimeout
	if awaitsReport || !endpoint.inService() {
		return
	}
	endpoint.healthCheckInFlight = true
	endpoint.healthCheckSentAt = now
	t.emit(Action{Kind: ActionHealthCheck, Endpoint: endpoint.id})
}

// HealthCheckEnded records the result of a health check. role and position are the role and the replication position
// in the load report; they are ignored if the endpoint didn't answer.
func (t *Tracker) HealthCheckEnded(now time.Duration, endpointID string, answered bool, role Role,
	position time.Duration,
) {
	endpoint := t.endpoints[endpointID]
	if endpoint == nil {
		return
	}
	endpoint.healthCheckInFlight = false
	if !answered {
		t.healthCheckFailed(endpoint, now)
		return
	}
	endpoint.recordPosition(position, now)
	if endpoint.isPrimary() && role == RoleReplica {
		t.primaryReportedReplica(endpoint, now)
		return
	}
	t.endpointAnswered(endpoint, now)
}

func (t *Tracker) healthCheckFailed(endpoint *trackedEndpoint, now time.Duration) {
	if !endpoint.isPrimary() {
		return
	}
	endpoint.consecutiveFailures++
	if endpoint.group.phase == PhaseSuspected {
		t.transition(endpoint.group, PhasePrimaryLost, EvidenceHealthCheckFailed, endpoint.id, now)
	}
}

// primaryReportedReplica starts a switchover, because the primary itself reports that it has become a replica.
func (t *Tracker) primaryReportedReplica(primary *trackedEndpoint, now time.Duration) {
	primary.silence.lastAnswerAt = now
	group := primary.group
	if !group.phase.queuesWrites() || group.phase == PhaseSuspected {
		t.transition(group, PhaseSwitchover, EvidenceNotPrimary, primary.id, now)
	}
}
