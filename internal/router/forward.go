package router

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
)

// reasonTruncated is the reason in the audit record of a response that broke off while it was forwarded.
const reasonTruncated = "its answer broke off"

// serve answers a request with a response. code is the SQLSTATE of an error that the response carries, "" = none.
func (r *Router) serve(req *request, response Response, code string) {
	if req.finished {
		return
	}
	r.finish(req)
	r.counts.Served++
	r.auditAnswer(req, audit.Served, audit.Answer{Code: code})
	req.client.Served(response)
	r.release(req)
}

// forwardStart forwards a response that has begun to arrive. From here on neither the request's deadline nor the
// balancer ends the attempt, and no other attempt takes its place: the rest of the response must not be cut off.
func (r *Router) forwardStart(req *request, number int, response Response, flow Flow) {
	req.attempts.responseStarted = true
	req.stopTimer()
	r.notifyBalancer(balance.FirstByte{ID: req.id, Attempt: number})
	if !req.finished {
		req.client.ResponseStarted(response, flow)
	}
}

// truncate ends a request whose response was forwarded in part and stays incomplete.
func (r *Router) truncate(req *request) {
	if req.finished {
		return
	}
	r.finish(req)
	r.counts.Failed++
	r.log.Debug("response truncated", "request", req.ClientRequestID, "class", req.Class, "elapsed", r.age(req))
	r.auditAnswer(req, audit.Cut, audit.Answer{Reason: reasonTruncated})
	req.client.ResponseTruncated()
	r.release(req)
}

// reject answers that no endpoint could take the request and that nothing has run. The reason goes into the debug log.
func (r *Router) reject(req *request, retryAfter time.Duration, reason string) {
	r.answerRejected(req, retryAfter, reason, "")
}

// rejectFor is reject for a reason that goes into the audit record as well.
func (r *Router) rejectFor(req *request, retryAfter time.Duration, reason string) {
	r.answerRejected(req, retryAfter, reason, reason)
}

// answerRejected answers that nothing has run. A rejection always says when to come back: retryAfter 0 stands for the
// default.
func (r *Router) answerRejected(req *request, retryAfter time.Duration, loggedReason, recordedReason string) {
	if req.finished {
		return
	}
	r.finish(req)
	r.counts.Rejected++
	r.log.Debug("request rejected", "request", req.ClientRequestID, "class", req.Class, "attempts", req.attempts.requested,
		"elapsed", r.age(req), "reason", loggedReason)
	if retryAfter <= 0 {
		retryAfter = r.limits.Router.DefaultRetryAfter
	}
	r.auditAnswer(req, audit.Refused, audit.Answer{Retry: retryAfter, Reason: recordedReason})
	req.client.Rejected(retryAfter)
	r.release(req)
}

// fail answers that nothing is promised: the request may have run.
func (r *Router) fail(req *request, reason string) {
	if req.finished {
		return
	}
	r.finish(req)
	r.counts.Failed++
	r.log.Debug("request failed", "request", req.ClientRequestID, "class", req.Class, "attempts", req.attempts.requested,
		"elapsed", r.age(req), "reason", reason)
	r.auditAnswer(req, audit.Failed, audit.Answer{Reason: reason})
	req.client.Failed(reason)
	r.release(req)
}
