package router

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
)

// reasonTruncated is recorded in the audit record for a response that was truncated while it was forwarded.
const reasonTruncated = "its answer broke off"

// serve answers a request with a response. code is the SQLSTATE of an error in the response, "" = no error.
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

// forwardResponseStart starts forwarding a response that has begun to arrive. From then on neither the balancer nor,
// unless the client withholds the response, the request's deadline ends the attempt, and no other attempt replaces it,
// so that the response is not truncated. If too many responses are being forwarded, the request is rejected instead.
func (r *Router) forwardResponseStart(req *request, number int, response Response, flow FlowController) {
	endpoint := req.attempts.endpoint
	if !req.finished && r.isIdempotent(req) && !r.hasRoomForStream(endpoint) {
		r.rejectStream(req)
		return
	}
	req.attempts.responseStarted = true
	r.streamed.started(endpoint)
	r.notifyBalancer(balance.FirstByte{ID: req.id, Attempt: number})
	if !req.finished {
		req.client.ResponseStarted(response, flow)
	}
}

// truncate finishes a request whose response was forwarded only in part.
func (r *Router) truncate(req *request) {
	if req.finished {
		return
	}
	r.finish(req)
	r.counts.Failed++
	r.log.Debug("response truncated", "request", req.ClientRequestID, "class", req.Class, "elapsed", r.age(req))
	r.auditAnswer(req, audit.Truncated, audit.Answer{Reason: reasonTruncated})
	req.client.ResponseTruncated()
	r.release(req)
}

// reject rejects a request that was not executed. The reason goes only into the debug log.
func (r *Router) reject(req *request, retryAfter time.Duration, reason string) {
	r.answerRejected(req, retryAfter, reason, "")
}

// rejectAndRecordReason rejects a request like reject, but also writes the reason to the audit record.
func (r *Router) rejectAndRecordReason(req *request, retryAfter time.Duration, reason string) {
	r.answerRejected(req, retryAfter, reason, reason)
}

// answerRejected rejects a request that was not executed. Each rejection has a Retry-After; retryAfter 0 selects the
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
	r.auditAnswer(req, audit.Rejected, audit.Answer{Retry: retryAfter, Reason: recordedReason})
	req.client.Rejected(retryAfter)
	r.release(req)
}

// fail answers that the outcome of the request is unknown: it may have been executed.
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
