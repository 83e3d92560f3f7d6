package router

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
)

// The final answers. Each request gets one of them, once.

func (router *Router) forwardResponse(req *request, a Response, code string) {
	if req.finished {
		return
	}
	router.finish(req)
	router.counts.Served++
	router.auditAnswer(req, audit.Served, audit.Answer{Code: code})
	req.client.Served(a)
	router.release(req)
}

// begin passes on an answer that has begun to come. From here on no time of the request's own ends it, and no other attempt
// takes its place: what the db machine still gives must not be cut off.
func (router *Router) startResponse(req *request, leg int, a Response, f Flow) {
	req.responseStarted = true
	req.timer.Stop()
	req.timer = nil
	router.balancerEvents = append(router.balancerEvents, balance.FirstByte{ID: req.id, Attempt: leg})
	if !req.finished {
		req.client.ResponseStarted(a, f)
	}
}

// cut ends a request whose answer was passed on and will not become whole.
func (router *Router) truncate(req *request) {
	if req.finished {
		return
	}
	router.finish(req)
	router.counts.Failed++
	router.log.Debug("cut", "request", req.Label, "class", req.Class, "after", router.loop.Now()-req.ReceivedAt)
	router.auditAnswer(req, audit.Cut, audit.Answer{Why: "its answer broke off"})
	req.client.ResponseTruncated()
	router.release(req)
}

func (router *Router) reject(req *request, after time.Duration) { router.rejectFor(req, after, "") }

// refuseFor tells the record why, where it is not that no db machine could take it.
func (router *Router) rejectFor(req *request, after time.Duration, why string) {
	if req.finished {
		return
	}
	router.finish(req)
	router.counts.Rejected++
	router.log.Debug("refused", "request", req.Label, "class", req.Class, "tries", req.attemptCount, "after", router.loop.Now()-req.ReceivedAt, "why", why)
	if after <= 0 {
		after = router.limits.Router.DefaultRetryAfter // a refusal always says when to come back
	}
	router.auditAnswer(req, audit.Refused, audit.Answer{Retry: after, Why: why})
	req.client.Rejected(after)
	router.release(req)
}

func (router *Router) fail(req *request, why string) {
	if req.finished {
		return
	}
	router.finish(req)
	router.counts.Failed++
	router.log.Debug("failed", "request", req.Label, "class", req.Class, "tries", req.attemptCount, "after", router.loop.Now()-req.ReceivedAt, "why", why)
	router.auditAnswer(req, audit.Failed, audit.Answer{Why: why})
	req.client.Failed(why)
	router.release(req)
}
