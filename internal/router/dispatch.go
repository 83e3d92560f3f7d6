package router

import (
	"context"
	"log/slog"
	"time"

	"limeladder/balance"
)

// reasonDeadlinePassed is sent to the client if its request was not answered in time and may have been executed.
const reasonDeadlinePassed = "its time is over"

// startAttempt starts an attempt that the balancer requested.
func (r *Router) startAttempt(req *request, action balance.Send) {
	number := req.attempts.nextNumber()
	if !r.mayStartAttempt(req) {
		r.reportOutcome(req, number, action.Endpoint, Result{Status: balance.StatusNotSent}, 0)
		return
	}
	attempts := &req.attempts
	attempts.endpoint = action.Endpoint
	attempts.sentAt = r.loop.Now()
	if number == 0 {
		req.history.firstSentAt = attempts.sentAt
	}
	r.failoverQueue.attemptSent(req)
	callbacks := &attemptCallbacks{router: r, req: req, number: number}
	handle := r.backends.Start(Attempt{
		Endpoint:          action.Endpoint,
		Job:               req.Job,
		Deadline:          req.answerBy,
		NotAfter:          action.NotAfter,
		OnResponseStarted: callbacks.responseStarted,
		OnResponsePart:    callbacks.responsePart,
		Abandoned:         callbacks.abandoned,
	}, callbacks.done)
	if !callbacks.ended {
		attempts.inFlight = handle
	}
}

// mayStartAttempt reports whether another attempt of a request may be started. Even if the balancer requests it, no
// attempt is started while one is in flight: the request could be executed twice.
func (r *Router) mayStartAttempt(req *request) bool {
	if req.finished || req.attempts.isInFlight() {
		r.log.Error("attempt not sent", "request", req.ClientRequestID, "answered", req.finished,
			"in_flight", req.attempts.isInFlight())
		return false
	}
	return !r.detectDisconnect(req)
}

// attemptCallbacks has the functions that the backends call during one attempt.
type attemptCallbacks struct {
	router *Router
	req    *request
	number int
	ended  bool // set by done, which the backends may call before Start returns
}

func (c *attemptCallbacks) responseStarted(response Response, flow FlowController) {
	c.router.forwardResponseStart(c.req, c.number, response, flow)
}

func (c *attemptCallbacks) responsePart(part []byte) {
	if !c.req.finished {
		c.req.client.ResponsePart(part)
	}
}

func (c *attemptCallbacks) abandoned() bool {
	return c.req.finished || c.router.clientDisconnected(c.req)
}

func (c *attemptCallbacks) done(result Result) {
	c.ended = true
	c.req.attempts.inFlight = nil
	c.router.recordAttempt(c.req, c.number, result)
}

// cancelAttempt cancels the attempt in flight, if there is one. The attempt ends with the given status, or with
// StatusNotSent if no byte of it was written, because then it cannot have been executed.
func (r *Router) cancelAttempt(req *request, status balance.Status) {
	handle := req.attempts.inFlight
	if handle == nil {
		return
	}
	req.attempts.inFlight = nil
	if written := handle.Cancel(); !written {
		status = balance.StatusNotSent
	}
	r.recordAttempt(req, req.attempts.newestNumber(), Result{Status: status})
}

// expire handles the deadline of a request.
func (r *Router) expire(req *request) {
	req.timer = nil
	if req.attempts.responseStarted && !req.client.WithholdsResponse() {
		return
	}
	if req.attempts.isInFlight() {
		r.cancelAttempt(req, balance.StatusTimedOut)
		return
	}
	if req.finished {
		return
	}
	// The balancer answers the requests in its queue well before this. A request that it missed is answered here.
	r.withdraw(req)
	if req.attempts.mayHaveRun && !r.isIdempotent(req) {
		r.fail(req, reasonDeadlinePassed)
	} else {
		r.reject(req, 0, reasonDeadlinePassed)
	}
}

// checkHealthForBalancer starts a health check that the balancer requested. Every result is reported to the balancer.
func (r *Router) checkHealthForBalancer(endpoint string) {
	startedAt := r.loop.Now()
	r.backends.HealthCheck(endpoint, func(result Result) {
		r.logHealthCheck(endpoint, startedAt, &result)
		r.reportToSites(endpoint, &result)
		r.reportHealthCheck(endpoint, startedAt, &result)
		r.failoverQueue.healthCheckEnded(endpoint, &result)
	})
}

// checkHealth starts a health check that the failover queue or the site monitor requested. Only successes are reported
// to the balancer: its backoff for an endpoint grows with each failure, and these checks are far more frequent than its
// own.
func (r *Router) checkHealth(endpoint string) {
	startedAt := r.loop.Now()
	r.backends.HealthCheck(endpoint, func(result Result) {
		r.logHealthCheck(endpoint, startedAt, &result)
		r.reportToSites(endpoint, &result)
		if result.Status == balance.StatusDone {
			r.reportHealthCheck(endpoint, startedAt, &result)
		}
		r.failoverQueue.healthCheckEnded(endpoint, &result)
	})
}

// logHealthCheck logs the result of a health check.
func (r *Router) logHealthCheck(endpoint string, startedAt time.Duration, result *Result) {
	if !r.log.Enabled(context.Background(), slog.LevelDebug) {
		return // saves building the attributes
	}
	r.log.Debug("health check ended", "endpoint", endpoint, "status", int(result.Status), "role", int(result.Role),
		"elapsed", r.loop.Now()-startedAt)
}

// reportHealthCheck reports the result of a health check to the balancer.
func (r *Router) reportHealthCheck(endpoint string, startedAt time.Duration, result *Result) {
	r.notifyBalancer(balance.HealthCheckResult{
		Endpoint: endpoint,
		Status:   result.Status,
		Elapsed:  r.loop.Now() - startedAt,
		Role:     result.Role,
		Position: result.Position,
	})
}
