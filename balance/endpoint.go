package balance

import "cmp"

// endpoint is the state that this instance keeps of a database server. Each aspect of it has its own type, declared
// in the file for that aspect.
type endpoint struct {
	id    string
	zone  string
	group *replicaGroup

	discovery   discoveryState
	role        roleEvidence
	replication replicationState
	health      endpointHealth
	check       healthCheckState
	outlier     outlierStats
	limit       concurrencyLimit
	slowStart   slowStart
	credit      workCredit
	work        workRate

	inFlight []*attempt // in send order; attempts whose response is being streamed are left out
}

// newEndpoint returns an endpoint for a newly listed entry, with nothing observed yet.
func newEndpoint(entry EndpointEntry, group *replicaGroup, initialLimit float64) *endpoint {
	return &endpoint{
		id:        entry.Endpoint,
		group:     group,
		discovery: discoveryState{state: EndpointReady},
		slowStart: slowStart{startedAt: entry.StartedAt},
		limit:     newConcurrencyLimit(initialLimit),
	}
}

// compareIDs orders endpoints by id, which gives the same order at all instances.
func compareIDs(x, y *endpoint) int { return cmp.Compare(x.id, y.id) }

// isPrimary reports whether the endpoint is cached as its group's primary, suspect or not.
func (e *endpoint) isPrimary() bool { return e.group.primary.endpoint == e }

// inService reports whether the endpoint is ready and not suspended by operators.
func (e *endpoint) inService() bool {
	return e.discovery.state == EndpointReady && !e.discovery.suspended
}

// restart records that the endpoint restarted at the given time, and resets its work credit and the attempts of its
// concurrency limit.
func (e *endpoint) restart(at Time, initialLimit float64) {
	e.slowStart.startedAt = at
	e.limit.attempts = initialLimit
	e.credit.reset()
}

// resume puts an endpoint that operators had suspended back into service. It has been restarted meanwhile, so it warms
// up, earlier observations are discarded, and attempts that were in flight count as lost.
func (e *endpoint) resume(now Time, initialLimit float64) {
	e.discovery.resumed = true
	e.slowStart.recoveredAt = now
	e.credit.reset()
	e.limit.resume(initialLimit)
	e.health.reset()
	e.check.inFlight = false
	e.outlier = outlierStats{}
	for _, attempt := range e.inFlight {
		attempt.connectionLost = true
	}
}

// hasLiveAttempt reports whether an attempt is in flight whose connection isn't lost.
func (e *endpoint) hasLiveAttempt() bool {
	for _, attempt := range e.inFlight {
		if !attempt.connectionLost {
			return true
		}
	}
	return false
}

// workRate measures the work that an endpoint does for this instance.
type workRate struct {
	sinceMeasured float64 // seconds of work done since the last measurement
	perSecond     float64 // moving mean, seconds of work per second
}

// measure updates the mean with the work of the last interval, which lasted the given seconds.
func (w *workRate) measure(seconds, weight float64) {
	w.perSecond += weight * (w.sinceMeasured/max(1, seconds) - w.perSecond)
	w.sinceMeasured = 0
}
