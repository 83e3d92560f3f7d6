package failover

import (
	"cmp"
	"slices"
	"time"
)

// Rounds of health checks look for the successor. Queued requests pay for dense rounds; without any they are rare,
// because all routers that share a group check its endpoints at once.
const (
	firstHealthCheckInterval  = 15 * time.Millisecond // between paid rounds, at first
	maxHealthCheckInterval    = 50 * time.Millisecond // later: a successor is to be found in 60 ms at the median
	healthCheckIntervalGrowth = 1.15                  // from round to round

	// healthCheckRoundsPerRequest are the rounds that each queued request pays for, over all routers.
	healthCheckRoundsPerRequest = 20.0

	// unpaidHealthCheckInterval is the interval of rounds that no request pays for, and
	// unpaidHealthCheckIntervalPerRouter, times the number of routers, where that is longer.
	unpaidHealthCheckInterval          = 250 * time.Millisecond
	unpaidHealthCheckIntervalPerRouter = 50 * time.Millisecond

	// healthCheckTimeout is when a health check without an answer no longer stops another one.
	healthCheckTimeout = 400 * time.Millisecond
)

// healthCheckSchedule says when a group's next round of health checks is due.
type healthCheckSchedule struct {
	nextRound  time.Duration
	interval   time.Duration // of paid rounds
	paidRounds float64
}

func (s *healthCheckSchedule) start(firstRound time.Duration) {
	s.interval = firstHealthCheckInterval
	s.paidRounds = 0
	s.nextRound = firstRound
}

// firstRoundDelay draws when the first round of a failover begins, so that routers don't all begin at once.
func (t *Tracker) firstRoundDelay() time.Duration {
	routers := time.Duration(1 + t.cfg.Instances)
	bound := min(unpaidHealthCheckInterval, unpaidHealthCheckIntervalPerRouter/10*routers)
	return time.Duration(t.rng.Int64N(int64(bound)))
}

// jitter draws from an interval, a quarter more or less.
func (t *Tracker) jitter(interval time.Duration) time.Duration {
	return interval*3/4 + time.Duration(t.rng.Int64N(int64(interval/2)))
}

// canPayHealthCheckRound says whether queued requests pay for another round of health checks.
func (g *replicaGroup) canPayHealthCheckRound() bool {
	return len(g.pending) > 0 && g.healthChecks.paidRounds >= 1
}

// payHealthChecks adds the rounds that a request pays for which was just enqueued, and brings the next round forward.
func (t *Tracker) payHealthChecks(group *replicaGroup, now time.Duration) {
	schedule := &group.healthChecks
	schedule.paidRounds += t.cfg.sharePerInstance(healthCheckRoundsPerRequest)
	if group.phase.queuesWrites() && group.canPayHealthCheckRound() {
		schedule.nextRound = min(schedule.nextRound, now+t.jitter(schedule.interval))
	}
}

// runHealthCheckRound checks all endpoints that might be the successor, when the next round is due. Rounds are
// bounded by what queued requests pay for: at a fixed rate, many routers with a write or two each would keep the
// group busy with load reports.
func (t *Tracker) runHealthCheckRound(group *replicaGroup, now time.Duration) {
	schedule := &group.healthChecks
	if now < schedule.nextRound {
		return
	}
	interval := schedule.interval
	if group.canPayHealthCheckRound() {
		schedule.paidRounds--
	} else {
		perRouter := unpaidHealthCheckIntervalPerRouter * time.Duration(t.cfg.Instances)
		interval = max(unpaidHealthCheckInterval, perRouter)
	}
	grown := time.Duration(healthCheckIntervalGrowth * float64(schedule.interval))
	schedule.interval = min(maxHealthCheckInterval, grown)
	schedule.nextRound = now + t.jitter(interval)
	for _, endpoint := range group.healthCheckCandidates() {
		t.sendHealthCheck(endpoint, now)
	}
}

// healthCheckCandidates are the endpoints that may be checked, the likeliest successor first: by replication
// position, and among equals the one that told its position last. A suspected primary comes first, a lost one last.
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

// HealthCheckEnded records the end of a health check, with the role and the replication position of the load report.
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
	endpoint.connectFailures++
	if endpoint.group.phase == PhaseSuspected {
		t.transition(endpoint.group, PhasePrimaryLost, EvidenceHealthCheckFailed, endpoint.id, now)
	}
}

// primaryReportedReplica starts a switchover, since the primary says itself that it has lost its role.
func (t *Tracker) primaryReportedReplica(primary *trackedEndpoint, now time.Duration) {
	primary.silence.lastAnswerAt = now
	group := primary.group
	if !group.phase.queuesWrites() || group.phase == PhaseSuspected {
		t.transition(group, PhaseSwitchover, EvidenceNotPrimary, primary.id, now)
	}
}
