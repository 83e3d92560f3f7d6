package failover

import "time"

// workEstimates holds the expected durations of attempts by class.
type workEstimates struct {
	classes  map[string]Class
	measured map[string]*time.Duration // moving averages
}

func newWorkEstimates(classes map[string]Class) workEstimates {
	return workEstimates{classes: classes, measured: map[string]*time.Duration{}}
}

// record updates the estimate of a class with the duration of an attempt that was served.
func (w *workEstimates) record(class string, elapsed time.Duration) {
	estimate := w.measured[class]
	if estimate == nil {
		configured := w.classes[class].Work
		estimate = &configured
		w.measured[class] = estimate
	}
	*estimate += time.Duration(responseTimeSmoothing * float64(elapsed-*estimate))
}

// expected returns the expected duration of an attempt: the measured one, or the configured one until an attempt was
// measured.
func (w *workEstimates) expected(class string) time.Duration {
	if estimate := w.measured[class]; estimate != nil {
		return *estimate
	}
	return w.classes[class].Work
}

// latestRelease returns the time from which on a release of the request is useless: the client's deadline, minus
// Config.DeadlineMargin, minus the expected duration of the attempt.
func (t *Tracker) latestRelease(request Request) time.Duration {
	return request.Deadline - t.cfg.DeadlineMargin - t.work.expected(request.Class)
}

// rejectExpired rejects the requests of a group that can no longer be served before their deadline, or that were
// queued for too long.
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

// rejectTimedOut rejects the requests of a group that have been queued for MaxPendingTime.
func (t *Tracker) rejectTimedOut(group *replicaGroup, now time.Duration) {
	if now < group.oldestEnqueuedAt+t.cfg.MaxPendingTime {
		return
	}
	var timedOut []*pendingRequest
	group.oldestEnqueuedAt = now
	for _, request := range group.pending {
		if now-request.enqueuedAt >= t.cfg.MaxPendingTime {
			timedOut = append(timedOut, request)
		} else {
			group.oldestEnqueuedAt = min(group.oldestEnqueuedAt, request.enqueuedAt)
		}
	}
	for _, request := range timedOut {
		t.pending.remove(request)
		t.reject(request, ReasonQueueTimeout, now)
	}
}
