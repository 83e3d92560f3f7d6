package failover

import "time"

// The release of a queue is a slow start: the successor has just begun to take writes.
const (
	initialReleaseLimit = 8.0 // released and not answered at first, over all routers
	maxReleaseLimit     = 256.0
)

// releaseWindow bounds the released requests of a group that are not answered.
type releaseWindow struct {
	limit    float64
	inFlight map[string]bool // by request
}

func (w *releaseWindow) isFull() bool { return float64(len(w.inFlight)) >= w.limit }

// adapt grows the window with each answer, and halves it where the successor sheds load.
func (w *releaseWindow) adapt(end AttemptEnd) {
	switch end {
	case EndAnswered:
		w.limit = min(maxReleaseLimit, w.limit+1)
	case EndRejected:
		w.limit = max(1, w.limit/2)
	case EndNotPrimary, EndUnreachable, EndInconclusive: // say nothing about the successor's capacity
	}
}

// startRelease releases a group's queue to the primary that is known now.
func (t *Tracker) startRelease(group *replicaGroup, evidence Evidence, now time.Duration) {
	if group.phase.queuesWrites() && evidence == EvidencePrimaryObserved {
		t.learnFailoverDuration(now - group.failoverSince)
	}
	group.announcedUntil = 0
	group.release.limit = max(1, t.cfg.sharePerInstance(initialReleaseLimit))
	t.transition(group, PhaseSuccessorSeen, evidence, group.primaryID(), now)
	group.phaseSince = now // also where it was in that phase already
	group.releaseReviewAt = now + settleTime
	t.releasePending(group, now)
}

// releasePending releases as many requests as the window allows, the earliest deadline first.
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

// forgetReleased says whether a request was released and in flight, which it is no longer.
func (t *Tracker) forgetReleased(group *replicaGroup, requestID string) bool {
	if t.releasedInFlight == 0 || !group.release.inFlight[requestID] {
		return false
	}
	delete(group.release.inFlight, requestID)
	t.releasedInFlight--
	return true
}

// InProgress says whether any request is queued, or released and not answered.
func (t *Tracker) InProgress() bool { return len(t.pending.byID)+t.releasedInFlight > 0 }

// RequestDone says that a request is answered, or that its client has disconnected.
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
