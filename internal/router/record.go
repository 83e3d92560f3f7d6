package router

import (
	"time"

	"limeladder/balance"
)

// Counts has the counters since the start of the process.
type Counts struct {
	Accepted            uint64 // requests, including those that were rejected immediately
	Served              uint64
	Rejected            uint64
	Failed              uint64
	Disconnected        uint64                         // requests whose client disconnected before the answer
	RejectedForSiteLoss uint64                         // subset of Rejected: shed while a site was lost
	Expired             uint64                         // subset of Rejected: the deadline had passed before admission
	Attempts            [balance.StatusMiss + 1]uint64 // by status
}

// Counts returns a copy of the counters.
func (r *Router) Counts() Counts { return r.counts }

// reasonNoRoomForResponse is recorded for a request whose response could not be kept until its client reads it.
const reasonNoRoomForResponse = "its client reads slowly, and there is no room for the answer"

// recordAttempt records the end of an attempt, forwards its response, and reports the result to the components that use
// it.
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
	if attempts.responseStarted {
		r.streamed.ended(attempts.endpoint)
	}
	elapsed := attempts.elapsed(now, result.ResponseStartedAt)
	served := result.Status == balance.StatusDone
	attempts.hasSucceeded = attempts.hasSucceeded || served
	if served {
		// The failover queue has to be notified before the request is released: it releases more queued writes with
		// each answer, and would not count the answer to a request that it no longer tracks.
		r.failoverQueue.attemptEnded(req, &result, elapsed, now)
		r.notifyCommitted(req, &result)
		if r.isIdempotent(req) && !attempts.responseStarted && !req.finished && !req.client.HasRoomFor(result.Response) {
			r.rejectAndRecordReason(req, 0, reasonNoRoomForResponse)
		} else {
			r.serve(req, result.Response, result.SQLState)
		}
	} else if attempts.responseStarted {
		r.truncate(req)
	}
	r.reportOutcome(req, number, attempts.endpoint, result, elapsed)
	if !served {
		r.failoverQueue.attemptEnded(req, &result, elapsed, now)
	}
	r.release(req)
}

// elapsed returns the time that the newest attempt took until its response began to arrive, or until it ended without a
// response. The transfer time of a long response is excluded because it does not show how busy the endpoint is.
func (s *attemptState) elapsed(now, responseStartedAt time.Duration) time.Duration {
	if responseStartedAt > 0 {
		return responseStartedAt - s.sentAt
	}
	return now - s.sentAt
}

// notifyCommitted passes the replication position of a successful write to its client.
func (r *Router) notifyCommitted(req *request, result *Result) {
	observer, ok := req.client.(CommitObserver)
	if !ok || req.finished {
		return
	}
	committed := result.Position > 0 && result.SQLState == ""
	if committed && r.IsWrite(req.Class) {
		observer.Committed(result.Position)
	}
}

// reportOutcome counts the end of an attempt and reports it to the balancer, the site monitor and site admission.
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

// reportToSites reports the result of an attempt or a health check to the site monitor and to site admission.
func (r *Router) reportToSites(endpoint string, result *Result) {
	r.siteMonitor.recordResult(endpoint, result)
	r.siteAdmission.recordResult(endpoint, result.Status)
}

// release removes a request that is finished and has no attempt in flight.
func (r *Router) release(req *request) {
	if !req.canBeReleased() {
		return
	}
	req.stopTimer()
	delete(r.inFlight, req.id)
	r.releaseID(req)
	r.failoverQueue.requestDone(req)
}

// releaseID frees the client request id of a write whose client has disconnected. If the write may have run, its id is
// remembered.
func (r *Router) releaseID(req *request) {
	if !req.keepsID {
		return
	}
	delete(r.openClientRequestIDs, req.ClientRequestID)
	if req.attempts.mayHaveRun || req.attempts.hasSucceeded {
		r.departedWrites.add(req.ClientRequestID, r.loop.Now())
		r.keepClaim(&req.Request)
	} else {
		r.releaseClaim(&req.Request)
	}
}
