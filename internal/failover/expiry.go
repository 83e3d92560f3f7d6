package failover

import "time"

// workEstimates are the expected times of attempts, by class.
type workEstimates struct {
	classes  map[string]Class
	measured map[string]*time.Duration // smoothed
}

func newWorkEstimates(classes map[string]Class) workEstimates {
	return workEstimates{classes: classes, measured: map[string]*time.Duration{}}
}

// record learns from an attempt that was served.
func (w *workEstimates) record(class string, elapsed time.Duration) {
	estimate := w.measured[class]
	if estimate == nil {
		configured := w.classes[class].Work
		estimate = &configured
		w.measured[class] = estimate
	}
	*estimate += time.Duration(responseTimeSmoothing * float64(elapsed-*estimate))
}

// expected is the time that an attempt takes: as measured, or as configured until one was.
func (w *workEstimates) expected(class string) time.Duration {
	if estimate := w.measured[class]; estimate != nil {
		return *estimate
	}
	return w.classes[class].Work
}

// latestRelease is the last moment at which a release is useful: the client's deadline, less the way of the answer,
// less the expected time of the attempt.
func (t *Tracker) latestRelease(request Request) time.Duration {
	return request.Deadline - t.cfg.DeadlineMargin - t.work.expected(request.Class)
}

// rejectExpired rejects a group's requests that can't be answered in time any more, or were queued for too long.
func (t *Tracker) rejectExpired(group *replicaGroup, now time.Duration) {
	for len(group.pending) > 0 && now >= group.pending[0].latestRelease {
		request := group.pending[0]
		t.pending.remove(request)
		t.reject(request, ReasonDeadline, now)
	}
	if t.cfg.MaxPendingTime > 0 && len(group.pending) > 0 {
		t.rejectTimedOut(group, now)
	}
}

// rejectTimedOut rejects a group's requests that were queued for MaxPendingTime.
func (t *Tracker) rejectTimedOut(group *replicaGroup, now time.Duration) {
	if now < group.oldestPending+t.cfg.MaxPendingTime {
		return
	}
	var timedOut []*pendingRequest
	group.oldestPending = now
	for _, request := range group.pending {
		if now-request.enqueuedAt >= t.cfg.MaxPendingTime {
			timedOut = append(timedOut, request)
		} else {
			group.oldestPending = min(group.oldestPending, request.enqueuedAt)
		}
	}
	for _, request := range timedOut {
		t.pending.remove(request)
		t.reject(request, ReasonQueueTimeout, now)
	}
}
