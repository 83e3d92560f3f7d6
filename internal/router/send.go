package router

import "limeladder/balance"

// send starts the attempt that the module asked for.
func (router *Router) startAttempt(req *request, a balance.Send) {
	leg := req.attemptCount
	req.attemptCount++
	if over := req.finished; over || req.attempt != nil || router.clientDisconnected(req) {
		if over || req.attempt != nil {
			// Guards against two attempts at once, whatever the module says.
			router.log.Error("attempt not sent", "request", req.Label, "over", over, "out", req.attempt != nil)
		}
		router.reportOutcome(req, leg, a.Endpoint, Result{Status: balance.StatusNotSent}, 0)
		return
	}
	req.endpoint, req.sentAt = a.Endpoint, router.loop.Now()
	if leg == 0 {
		req.firstSentAt = req.sentAt
	}
	router.attemptSent(req)
	ended := false // the servers may report the end before Start returns
	call := router.backends.Start(Attempt{Endpoint: a.Endpoint, Job: req.Job, Deadline: req.answerBy, NotAfter: a.NotAfter, OnResponseStarted: func(a Response, f Flow) {
		router.startResponse(req, leg, a, f)
	}, OnResponsePart: func(p []byte) {
		if !req.finished {
			req.client.ResponsePart(p)
		}
	}, Abandoned: func() bool {
		return req.finished || req.client.Disconnected(router.loop.Now()-req.ReceivedAt > connectionCheckAge)
	}}, func(res Result) {
		ended = true
		req.attempt = nil
		router.recordAttempt(req, leg, res)
	})
	if !ended {
		req.attempt = call
	}
}

// cancel gives up the attempt that is out.
func (router *Router) cancel(req *request, as balance.Status) {
	if req.attempt == nil {
		return
	}
	call := req.attempt
	req.attempt = nil
	if !call.Cancel() {
		as = balance.StatusNotSent // never written: it proves that nothing ran
	}
	router.recordAttempt(req, req.attemptCount-1, Result{Status: as})
}

// expire ends a request's time.
func (router *Router) expire(req *request) {
	req.timer = nil
	if req.attempt != nil {
		router.cancel(req, balance.StatusTimedOut)
		return
	}
	if !req.finished {
		// The module ends what it holds well before; this guards against a request that nobody answers.
		router.balancerEvents = append(router.balancerEvents, balance.ClientDisconnected{ID: req.id})
		if req.mayHaveRun && router.classes[req.Class].Idempotency != balance.Idempotent {
			router.fail(req, "its time is over")
		} else {
			router.reject(req, 0)
		}
	}
}

// probe asks for a report that the module wants, or the holder.
func (router *Router) checkHealth(node string, own bool) {
	at := router.loop.Now()
	router.backends.HealthCheck(node, func(res Result) {
		router.recordSiteEvidence(node, res)
		if !own && res.Status != balance.StatusDone {
			// The module waits longer for a member with each probe that fails: the holder's are many more than its own.
			router.healthCheckEnded(node, res)
			return
		}
		router.balancerEvents = append(router.balancerEvents, balance.HealthCheckResult{
			Endpoint: node, Status: res.Status, Elapsed: router.loop.Now() - at,
			Role: res.Role, Position: res.Position,
		})
		router.healthCheckEnded(node, res)
	})
}
