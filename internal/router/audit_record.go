package router

import (
	"limeladder/balance"
	"limeladder/internal/audit"
)

// auditLog passes audit events to an optional sink. Without a sink nothing is recorded or collected.
type auditLog struct{ sink Audit }

func (l auditLog) enabled() bool { return l.sink != nil }

func (l auditLog) record(event audit.Event) {
	if l.sink != nil {
		l.sink.Record(event)
	}
}

// auditAttempt adds an ended attempt to the history that auditAnswer records.
func (r *Router) auditAttempt(req *request, status balance.Status) {
	if !r.audit.enabled() || req.finished {
		return
	}
	duration := r.loop.Now() - req.attempts.sentAt
	req.history.duration += duration
	req.history.ended = append(req.history.ended, audit.Attempt{
		Endpoint: req.attempts.endpoint,
		End:      status,
		Took:     duration,
	})
}

// auditAnswer records a final answer. The caller has set the fields of answer that cannot be derived from the request.
func (r *Router) auditAnswer(req *request, outcome audit.Outcome, answer audit.Answer) {
	if !r.audit.enabled() {
		return
	}
	now := r.loop.Now()
	answer.Request = req.ClientRequestID
	answer.Class = req.Class
	answer.Group = req.Group
	answer.Tenant = req.Tenant
	answer.Client = req.ClientAddress
	answer.Endpoint = req.attempts.endpoint
	answer.Outcome = outcome
	answer.Writes = r.IsWrite(req.Class)
	answer.Attempts = req.history.ended
	answer.Worked = req.history.duration
	answer.Total = now - req.ReceivedAt
	answer.Queued = answer.Total
	if req.attempts.requested > 0 {
		answer.Queued = req.history.firstSentAt - req.ReceivedAt
	}
	if req.attempts.isInFlight() {
		duration := now - req.attempts.sentAt
		answer.Attempts = append(answer.Attempts, audit.Attempt{
			Endpoint: req.attempts.endpoint,
			End:      audit.InFlight,
			Took:     duration,
		})
		answer.Worked += duration
	}
	answer.MayHaveExecuted = answer.Writes && req.mayHaveRun(outcome)
	r.audit.record(&answer)
}

// mayHaveRun reports whether a request with this outcome was, may have been or may still be executed.
func (req *request) mayHaveRun(outcome audit.Outcome) bool {
	if outcome == audit.Served || outcome == audit.Truncated {
		return true
	}
	return req.attempts.mayHaveRun || req.attempts.isInFlight()
}
