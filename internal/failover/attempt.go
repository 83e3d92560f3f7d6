package failover

import "time"

// AttemptEnd is the result of an attempt, as far as it matters for a failover.
type AttemptEnd uint8

// The results of an attempt.
const (
	EndAnswered     AttemptEnd = iota // the endpoint responded
	EndNotPrimary                     // the endpoint rejected a write because it isn't the primary
	EndUnreachable                    // the connection was refused or broke; the state of the server is unknown
	EndInconclusive                   // cancelled or timed out, which is no evidence on its own
	EndRejected                       // the endpoint shed the request
)

// Role is the role of an endpoint according to its response or load report.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// AttemptSent records that an attempt was sent to an endpoint.
func (t *Tracker) AttemptSent(now time.Duration, endpointID, requestID string) {
	endpoint := t.endpoints[endpointID]
	if endpoint != nil && endpoint.isPrimary() {
		endpoint.silence.attemptSent(requestID, now)
	}
}

// AttemptEnded records the result of an attempt. position is the replication position in the response, a time on the
// caller's clock, 0 if it had none. class and elapsed are the class of the request and the duration of the attempt;
// they are set only if the request was served.
func (t *Tracker) AttemptEnded(now time.Duration, endpointID, requestID string, end AttemptEnd, role Role,
	position time.Duration, class string, elapsed time.Duration,
) {
	endpoint := t.endpoints[endpointID]
	if endpoint == nil {
		return
	}
	group := endpoint.group
	endpoint.silence.attemptEnded(requestID)
	endpoint.recordPosition(position, now)
	if t.forgetReleased(group, requestID) {
		group.release.adapt(end)
	}
	switch end {
	case EndAnswered:
		if elapsed > 0 && class != "" {
			endpoint.silence.recordResponseTime(elapsed)
			t.work.record(class, elapsed)
		}
		t.endpointAnswered(endpoint, now)
		if role == RolePrimary && group.phase.queuesWrites() && !endpoint.isPrimary() {
			t.sendHealthCheck(endpoint, now) // the decision module accepts a load report sooner than a response
		}
	case EndRejected:
		t.endpointAnswered(endpoint, now)
	case EndNotPrimary:
		endpoint.silence.lastAnswerAt = now
		t.startSwitchover(endpoint, EvidenceNotPrimary, now)
	case EndUnreachable:
		t.endpointUnreachable(endpoint, now)
	case EndInconclusive:
	}
	t.releasePending(group, now)
}

// endpointAnswered records a response of an endpoint. If the endpoint is a primary under suspicion, the response
// refutes that.
func (t *Tracker) endpointAnswered(endpoint *trackedEndpoint, now time.Duration) {
	endpoint.silence.lastAnswerAt = now
	endpoint.consecutiveFailures = 0
	if endpoint.answerRefutesLoss() {
		endpoint.silence.recordWrongSuspicion()
		t.startRelease(endpoint.group, EvidenceAnswered, now)
	}
}

// answerRefutesLoss reports whether a response of the endpoint proves that its group has not lost its primary.
func (e *trackedEndpoint) answerRefutesLoss() bool {
	if !e.isPrimary() {
		return false
	}
	switch e.group.phase {
	case PhaseSuspected:
		return true
	case PhasePrimaryLost:
		return e.inService() && !e.group.primarySuspect
	default:
		return false
	}
}

// endpointUnreachable records a refused or broken connection. A primary is suspected after the first one, and
// considered lost after the second one in a row.
func (t *Tracker) endpointUnreachable(endpoint *trackedEndpoint, now time.Duration) {
	endpoint.consecutiveFailures++
	if !endpoint.isPrimary() {
		return
	}
	group := endpoint.group
	switch {
	case !group.phase.queuesWrites():
		t.transition(group, PhaseSuspected, EvidenceConnectionRefused, endpoint.id, now)
		t.sendHealthCheck(endpoint, now)
	case group.phase == PhaseSuspected && endpoint.consecutiveFailures > 1:
		t.transition(group, PhasePrimaryLost, EvidenceConnectionRefused, endpoint.id, now)
	}
}
