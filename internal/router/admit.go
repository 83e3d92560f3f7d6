package router

import "time"

// Reasons for the rejection of a request that was not submitted to the balancer.
const (
	reasonTooManyInFlight = "too many requests are in flight"

	// The following reasons are written to the audit record as well.
	reasonExpiredBeforeAdmission = "its time was over before it could be begun"
	reasonSiteLost               = "a site is lost and there is no place for it"
)

// admit rejects excess and expired requests, and passes the others to the failover queue or to the balancer.
func (r *Router) admit(req *request) {
	if len(r.inFlight) >= r.limits.Router.InFlightRequests {
		// No state is kept for a request above the limit, so that memory use stays bounded.
		r.loop.Post(func() { r.reject(req, 0, reasonTooManyInFlight) })
		return
	}
	if req.answerBy <= r.loop.Now() {
		// The request was queued unread until its deadline, so its client no longer waits for the answer.
		r.counts.Expired++
		r.rejectLater(req, 0, reasonExpiredBeforeAdmission)
		return
	}
	r.siteMonitor.recordDemand(req)
	if retryAfter, rejected := r.siteAdmission.shouldReject(req); rejected {
		r.counts.RejectedForSiteLoss++
		r.rejectLater(req, retryAfter, reasonSiteLost)
		return
	}
	r.inFlight[req.id] = req
	// The balancer answers the requests in its queue before their deadlines. The timer ends attempts in flight, and
	// ensures that every request is answered.
	req.timer = r.loop.AfterFunc(req.answerBy-r.loop.Now(), func() { r.expire(req) })
	req.queueable = r.failoverQueue.queuesClass(req.Class)
	if req.queueable && r.failoverQueue.enqueue(req) {
		return
	}
	r.submit(req)
}

// rejectLater rejects a request after Accept has returned, and records the reason in the audit record.
func (r *Router) rejectLater(req *request, retryAfter time.Duration, reason string) {
	r.loop.Post(func() { r.rejectAndRecordReason(req, retryAfter, reason) })
}
