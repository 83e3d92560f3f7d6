package failover

import "time"

// AttemptEnd is how an attempt ended, as far as a failover is concerned.
type AttemptEnd uint8

// The ends.
const (
	EndAnswered     AttemptEnd = iota // the endpoint answered
	EndNotPrimary                     // it rejected a write because it is no primary
	EndUnreachable                    // the connection was refused or broke: nothing is known of what stands behind it
	EndInconclusive                   // cancelled or timed out: says nothing by itself
	EndRejected                       // it shed the request
)

// Role is what an answer or a load report says of its sender.
type Role uint8

// The roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// AttemptSent records an attempt at an endpoint.
func (t *Tracker) AttemptSent(now time.Duration, endpointID, requestID string) {
	endpoint := t.endpoints[endpointID]
	if endpoint != nil && endpoint.isPrimary() {
		endpoint.silence.attemptSent(requestID, now)
	}
}

// AttemptEnded records the end of an attempt. The position is the one that the answer told, 0 = none; class and
// elapsed are those of a request that was served.
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
			t.sendHealthCheck(endpoint, now) // the decision module believes a load report sooner than an answer
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

// endpointAnswered refutes the suspicion of a primary that answers.
func (t *Tracker) endpointAnswered(endpoint *trackedEndpoint, now time.Duration) {
	endpoint.silence.lastAnswerAt = now
	endpoint.connectFailures = 0
	if endpoint.answerRefutesLoss() {
		endpoint.silence.suspectedWrongly()
		t.startRelease(endpoint.group, EvidenceAnswered, now)
	}
}

// answerRefutesLoss says whether an answer of the endpoint shows that its group has not lost its primary.
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

// endpointUnreachable suspects a primary that can't be reached, and takes it for lost the second time.
func (t *Tracker) endpointUnreachable(endpoint *trackedEndpoint, now time.Duration) {
	endpoint.connectFailures++
	if !endpoint.isPrimary() {
		return
	}
	group := endpoint.group
	switch {
	case !group.phase.queuesWrites():
		t.transition(group, PhaseSuspected, EvidenceConnectionRefused, endpoint.id, now)
		t.sendHealthCheck(endpoint, now)
	case group.phase == PhaseSuspected && endpoint.connectFailures > 1:
		t.transition(group, PhasePrimaryLost, EvidenceConnectionRefused, endpoint.id, now)
	}
}
