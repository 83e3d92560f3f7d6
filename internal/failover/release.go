package failover

import "time"

// A queue is released with a slow start, because the successor has only just begun to take writes. The limits are
// numbers of requests that are released and not answered.
const (
	initialReleaseLimit = 8.0   // over all routers
	maxReleaseLimit     = 256.0 // per router
)

// releaseWindow bounds the number of requests of a group that are released and not answered.
type releaseWindow struct {
	limit    float64
	inFlight map[string]bool // by request ID
}

func (w *releaseWindow) isFull() bool { return float64(len(w.inFlight)) >= w.limit }

// adapt increases the limit by one for each response, and halves it each time the successor sheds a request.
func (w *releaseWindow) adapt(end AttemptEnd) {
	switch end {
	case EndAnswered:
		w.limit = min(maxReleaseLimit, w.limit+1)
	case EndRejected:
		w.limit = max(1, w.limit/2)
	case EndNotPrimary, EndUnreachable, EndInconclusive: // no evidence about the successor's capacity
	}
}

// startRelease starts to release the queue of a group to its current primary.
func (t *Tracker) startRelease(group *replicaGroup, evidence Evidence, now time.Duration) {
	if group.phase.queuesWrites() && evidence == EvidencePrimaryObserved {
		t.recordFailoverDuration(now - group.failoverSince)
	}
	group.announcedUntil = 0
	group.release.limit = max(1, t.cfg.sharePerInstance(initialReleaseLimit))
	t.transition(group, PhaseSuccessorSeen, evidence, group.primaryID(), now)
	group.phaseSince = now // even if the group was in that phase already
	group.releaseReviewAt = now + settleTime
	t.releasePending(group, now)
}

// releasePending releases as many requests as the window allows, the earliest latestRelease first.
func (t *Tracker) releasePending(group *replicaGroup, now time.Duration) {
	if group.phase != PhaseSuccessorSeen {
		return
	}
	for len(group.pending) > 0 && !group.release.isFull() {
		request := group.pending[0]
		t.pending.remove(request)
		if now >= request.latestRelease {
			t.reject(request, ReasonDeadline, now)
			continue
		}
		group.release.inFlight[request.ID] = true
		t.releasedInFlight++
		group.releasedTotal++
		t.emit(Action{Kind: ActionRelease, ID: request.ID, Group: group.id})
	}
}

// forgetReleased removes a request from the released requests in flight. It reports whether the request was one of
// them.
func (t *Tracker) forgetReleased(group *replicaGroup, requestID string) bool {
	if t.releasedInFlight == 0 || !group.release.inFlight[requestID] {
		return false
	}
	delete(group.release.inFlight, requestID)
	t.releasedInFlight--
	return true
}

// InProgress reports whether any request is queued, or released and not answered.
func (t *Tracker) InProgress() bool { return len(t.pending.byID)+t.releasedInFlight > 0 }

// RequestDone records that a request was answered or that its client has disconnected.
func (t *Tracker) RequestDone(now time.Duration, groupID int64, requestID string) {
	if !t.InProgress() {
		return
	}
	if request := t.pending.byID[requestID]; request != nil {
		t.pending.remove(request)
	}
	group := t.groups[groupID]
	if group != nil && t.forgetReleased(group, requestID) {
		t.releasePending(group, now)
	}
}
