package router

import (
	"hash/fnv"

	"limeladder/balance"
)

// admit turns away what is too much and hands the rest to the decision module.
func (router *Router) admit(req *request) {
	if len(router.inFlight) >= router.limits.Router.InFlightRequests {
		// Guards memory: what is beyond the limit is turned away before anything is kept of it.
		router.loop.Post(func() { router.reject(req, 0) })
		return
	}
	if req.answerBy <= router.loop.Now() {
		// It waited unread behind others for all of its time: nobody waits for what it would run.
		router.counts.Expired++
		router.loop.Post(func() { router.rejectFor(req, 0, "its time was over before it could be begun") })
		return
	}
	router.recordDemand(req)
	if after, refused := router.rejectedForSiteLoss(req); refused {
		router.counts.RejectedForSiteLoss++
		router.loop.Post(func() { router.rejectFor(req, after, "a site is lost and there is no place for it") })
		return
	}
	router.inFlight[req.id] = req
	// The module ends what it holds in time; the timer is for attempts that are out, and guards against a
	// request that would stay without any answer.
	req.timer = router.loop.AfterFunc(req.answerBy-router.loop.Now(), func() { router.expire(req) })
	if router.failoverQueue != nil {
		_, req.queueable = router.failoverQueue.classes[req.Class]
	}
	if !req.queueable || !router.enqueue(req) {
		router.submit(req)
	}
}

// enter hands a request to the module.
func (router *Router) submit(req *request) {
	c, now := router.classes[req.Class], router.loop.Now()
	e := balance.Request{ID: req.id, Class: req.Class, Group: req.Group, TimeLeft: max(0, req.answerBy-now), Retry: req.Retry, PriorAttempts: req.priorAttempts}
	if req.Session != "" && (c.Consistency == balance.ConsistencySession || c.Consistency == balance.ConsistencyWrite) {
		h := fnv.New64a()
		h.Write([]byte(req.Session))
		e.SessionID = int64(h.Sum64()>>11) | 1
	}
	if req.MinPosition > 0 {
		e.SinceSessionWrite = max(1, now-req.MinPosition)
	}
	router.balancerEvents = append(router.balancerEvents, e)
}
