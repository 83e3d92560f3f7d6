package balance

import "cmp"

// endpoint is a database server as this instance knows it. Its parts are types of their own, each in the file of its
// concept.
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

	inFlight []*attempt // in the order of their sends, without those whose response streams
}

// newEndpoint returns an endpoint of which nothing is known but what discovery says.
func newEndpoint(entry EndpointEntry, group *replicaGroup, initialLimit float64) *endpoint {
	return &endpoint{
		id:        entry.Endpoint,
		group:     group,
		discovery: discoveryState{state: EndpointReady},
		slowStart: slowStart{startedAt: entry.StartedAt},
		limit:     newConcurrencyLimit(initialLimit),
	}
}

// compareIDs orders endpoints by id, the same at all instances.
func compareIDs(x, y *endpoint) int { return cmp.Compare(x.id, y.id) }

// isPrimary says that the endpoint is the group's primary, or was before it became suspect.
func (e *endpoint) isPrimary() bool { return e.group.primary.endpoint == e }

// inService says that the endpoint may get anything at all.
func (e *endpoint) inService() bool {
	return e.discovery.state == EndpointReady && !e.discovery.suspended
}

// restart forgets what was observed of the endpoint before it started anew.
func (e *endpoint) restart(at Time, initialLimit float64) {
	e.slowStart.startedAt = at
	e.limit.attempts = initialLimit
	e.credit.reset()
}

// resume lets an endpoint back in that operators had suspended. It has been restarted, so it warms up, nothing
// observed before counts against it, and what was in flight will not be answered.
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

// hasLiveAttempt says whether an attempt is in flight whose answer would say something of the endpoint.
func (e *endpoint) hasLiveAttempt() bool {
	for _, attempt := range e.inFlight {
		if !attempt.connectionLost {
			return true
		}
	}
	return false
}

// workRate is the work that an endpoint does for this instance.
type workRate struct {
	sinceMeasured float64 // seconds of work done since the last measurement
	perSecond     float64 // moving mean
}

// measure takes the work of the last interval into the mean.
func (w *workRate) measure(seconds, weight float64) {
	w.perSecond += weight * (w.sinceMeasured/max(1, seconds) - w.perSecond)
	w.sinceMeasured = 0
}
