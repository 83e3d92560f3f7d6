package router

import (
	"time"

	"limeladder/balance"
)

// Counts is what has happened since the start.
type Counts struct {
	Accepted            uint64 // requests, also those that were rejected at once
	Served              uint64
	Rejected            uint64
	Failed              uint64
	Disconnected        uint64                         // requests whose client left before the answer
	RejectedForSiteLoss uint64                         // of those rejected: shed while a site was lost
	Expired             uint64                         // of those rejected: their time was over before they were admitted
	Attempts            [balance.StatusMiss + 1]uint64 // by status
}

// Counts returns a copy of the counters.
func (r *Router) Counts() Counts { return r.counts }

// recordAttempt records the end of an attempt and reports it to all who learn from it. A response is forwarded on the
// way.
func (r *Router) recordAttempt(req *request, number int, result Result) {
	now := r.loop.Now()
	attempts := &req.attempts
	r.log.Debug("attempt ended", "request", req.ClientRequestID, "class", req.Class, "attempt", number,
		"endpoint", attempts.endpoint, "status", int(result.Status), "role", int(result.Role),
		"elapsed", now-attempts.sentAt)
	if statusMayHaveRun(result.Status) {
		attempts.mayHaveRun = true
	}
	r.auditAttempt(req, result.Status)
	elapsed := attempts.elapsed(now, result.ResponseStartedAt)
	served := result.Status == balance.StatusDone
	if served {
		// The failover queue has to hear of it before the request is released: it lets more queued writes out with
		// each answer, and does not count the answer to a request that it has forgotten.
		r.failoverQueue.attemptEnded(req, &result, elapsed, now)
		r.notifyCommitted(req, &result)
		r.serve(req, result.Response, result.SQLState)
	} else if attempts.responseStarted {
		r.truncate(req)
	}
	r.reportOutcome(req, number, attempts.endpoint, result, elapsed)
	if !served {
		r.failoverQueue.attemptEnded(req, &result, elapsed, now)
	}
	r.release(req)
}

// elapsed is how long the newest attempt took until its response began to arrive, or until it ended without one. The
// time that a slow peer takes to send a long response says nothing of how busy it is.
func (s *attemptState) elapsed(now, responseStartedAt time.Duration) time.Duration {
	if responseStartedAt > 0 {
		return responseStartedAt - s.sentAt
	}
	return now - s.sentAt
}

// notifyCommitted tells the client of a write that was served the position of the write.
func (r *Router) notifyCommitted(req *request, result *Result) {
	committer, ok := req.client.(Committer)
	if !ok || req.finished {
		return
	}
	committed := result.Position > 0 && result.SQLState == ""
	if committed && r.IsWrite(req.Class) {
		committer.Committed(result.Position)
	}
}

// reportOutcome counts the end of an attempt and hands it to the balancer and the site parts.
func (r *Router) reportOutcome(
	req *request, number int, endpoint string, result Result, elapsed time.Duration,
) {
	r.counts.Attempts[result.Status]++
	r.reportToSites(endpoint, &result)
	r.notifyBalancer(balance.AttemptResult{
		ID:       req.id,
		Attempt:  number,
		Endpoint: endpoint,
		Status:   result.Status,
		Elapsed:  elapsed,
		Finished: req.finished,
		Role:     result.Role,
		Position: result.Position,
	})
}

// reportToSites hands the end of an attempt or a health check to the site monitor and to site admission.
func (r *Router) reportToSites(endpoint string, result *Result) {
	r.siteMonitor.recordResult(endpoint, result)
	r.siteAdmission.recordResult(endpoint, result.Status)
}

// release drops a request that is answered and has nothing in flight.
func (r *Router) release(req *request) {
	if !req.isSettled() {
		return
	}
	req.stopTimer()
	delete(r.inFlight, req.id)
	r.failoverQueue.requestDone(req)
}
