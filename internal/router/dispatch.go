package router

import (
	"context"
	"log/slog"
	"time"

	"limeladder/balance"
)

// reasonDeadlinePassed is what a client reads whose request may have run and was not answered in time.
const reasonDeadlinePassed = "its time is over"

// startAttempt starts the attempt that the balancer has asked for.
func (r *Router) startAttempt(req *request, action balance.Send) {
	number := req.attempts.request()
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

// mayStartAttempt says whether a request still needs an attempt. A second one beside the first is never started,
// whatever the balancer says: the request could run twice.
func (r *Router) mayStartAttempt(req *request) bool {
	if req.finished || req.attempts.isInFlight() {
		r.log.Error("attempt not sent", "request", req.ClientRequestID, "answered", req.finished,
			"in_flight", req.attempts.isInFlight())
		return false
	}
	return !r.detectDisconnect(req)
}

// attemptCallbacks is what the backends call during one attempt.
type attemptCallbacks struct {
	router *Router
	req    *request
	number int
	ended  bool // the backends may report the end before Start returns
}

func (c *attemptCallbacks) responseStarted(response Response, flow Flow) {
	c.router.forwardStart(c.req, c.number, response, flow)
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

// cancelAttempt gives up the attempt in flight, if there is one. It ends with the status, or with StatusNotSent where
// nothing of it was written, which proves that nothing has run.
func (r *Router) cancelAttempt(req *request, status balance.Status) {
	handle := req.attempts.inFlight
	if handle == nil {
		return
	}
	req.attempts.inFlight = nil
	if written := handle.Cancel(); !written {
		status = balance.StatusNotSent
	}
	r.recordAttempt(req, req.attempts.newest(), Result{Status: status})
}

// expire ends the time of a request.
func (r *Router) expire(req *request) {
	req.timer = nil
	if req.attempts.isInFlight() {
		r.cancelAttempt(req, balance.StatusTimedOut)
		return
	}
	if req.finished {
		return
	}
	// The balancer ends well before this what it has queued. A request that nobody answers must not stay.
	r.withdraw(req)
	if req.attempts.mayHaveRun && !r.isIdempotent(req) {
		r.fail(req, reasonDeadlinePassed)
	} else {
		r.reject(req, 0, reasonDeadlinePassed)
	}
}

// checkHealthForBalancer starts a health check that the balancer has asked for. It hears of every result.
func (r *Router) checkHealthForBalancer(endpoint string) {
	startedAt := r.loop.Now()
	r.backends.HealthCheck(endpoint, func(result Result) {
		r.logHealthCheck(endpoint, startedAt, &result)
		r.reportToSites(endpoint, &result)
		r.reportHealthCheck(endpoint, startedAt, &result)
		r.failoverQueue.healthCheckEnded(endpoint, &result)
	})
}

// checkHealth starts a health check that the failover queue or the site monitor has asked for. The balancer hears of
// success only: its backoff for an endpoint grows with each failure, and these checks are many more than its own.
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

// logHealthCheck logs how a health check has ended.
func (r *Router) logHealthCheck(endpoint string, startedAt time.Duration, result *Result) {
	if !r.log.Enabled(context.Background(), slog.LevelDebug) {
		return // nothing is built for the log
	}
	r.log.Debug("health check ended", "endpoint", endpoint, "status", int(result.Status), "role", int(result.Role),
		"elapsed", r.loop.Now()-startedAt)
}

// reportHealthCheck hands the balancer the result of a health check.
func (r *Router) reportHealthCheck(endpoint string, startedAt time.Duration, result *Result) {
	r.notifyBalancer(balance.HealthCheckResult{
		Endpoint: endpoint,
		Status:   result.Status,
		Elapsed:  r.loop.Now() - startedAt,
		Role:     result.Role,
		Position: result.Position,
	})
}
