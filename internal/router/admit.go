package router

import "time"

// Reasons for the rejection of a request of which the balancer has not heard.
const (
	reasonTooManyInFlight = "too many requests are in flight"

	// These go into the audit record as well.
	reasonExpiredUnread = "its time was over before it could be begun"
	reasonSiteLost      = "a site is lost and there is no place for it"
)

// admit sheds what is too much, and hands the rest to the failover queue or to the balancer.
func (r *Router) admit(req *request) {
	if len(r.inFlight) >= r.limits.Router.InFlightRequests {
		// Nothing is kept of a request beyond the limit, so that memory stays bounded.
		r.loop.Post(func() { r.reject(req, 0, reasonTooManyInFlight) })
		return
	}
	if req.answerBy <= r.loop.Now() {
		// It was queued unread behind others for all of its time: nobody waits for the answer any more.
		r.counts.Expired++
		r.rejectLater(req, 0, reasonExpiredUnread)
		return
	}
	r.siteMonitor.recordDemand(req)
	if retryAfter, rejected := r.siteAdmission.shouldReject(req); rejected {
		r.counts.RejectedForSiteLoss++
		r.rejectLater(req, retryAfter, reasonSiteLost)
		return
	}
	r.inFlight[req.id] = req
	// The balancer ends in time what it has queued. The timer is for attempts in flight, and makes sure that no
	// request stays without an answer.
	req.timer = r.loop.AfterFunc(req.answerBy-r.loop.Now(), func() { r.expire(req) })
	req.queueable = r.failoverQueue.takesClass(req.Class)
	if req.queueable && r.failoverQueue.enqueue(req) {
		return
	}
	r.submit(req)
}

// rejectLater rejects a request once Accept has returned.
func (r *Router) rejectLater(req *request, retryAfter time.Duration, reason string) {
	r.loop.Post(func() { r.rejectFor(req, retryAfter, reason) })
}
