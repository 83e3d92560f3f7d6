package router

import (
	"limeladder/balance"
	"limeladder/internal/audit"
)

// What is recorded of a request. Without an Audit none of it costs anything.

func (router *Router) audited(e audit.Event) {
	if router.audit != nil {
		router.audit.Record(e)
	}
}

// ended notes the end of the attempt that was out.
func (router *Router) auditAttempt(req *request, as balance.Status) {
	if router.audit == nil || req.finished {
		return
	}
	took := router.loop.Now() - req.sentAt
	req.attemptTime += took
	req.endedAttempts = append(req.endedAttempts, audit.Attempt{Node: req.endpoint, End: as, Took: took})
}

// answered records a final answer; a says what only its giver knows.
func (router *Router) auditAnswer(req *request, o audit.Outcome, a audit.Answer) {
	if router.audit == nil {
		return
	}
	now := router.loop.Now()
	class := router.classes[req.Class]
	a.Request, a.Class, a.Group, a.Tenant, a.Client, a.Node = req.Label, req.Class, req.Group, req.Tenant, req.Client, req.endpoint
	a.Outcome, a.Writes = o, class.Idempotency != balance.Idempotent || class.Consistency == balance.ConsistencyWrite
	a.Attempts, a.Worked, a.Total, a.Queued = req.endedAttempts, req.attemptTime, now-req.ReceivedAt, now-req.ReceivedAt
	if req.attemptCount > 0 {
		a.Queued = req.firstSentAt - req.ReceivedAt
	}
	if req.attempt != nil { // it is answered while an attempt is out
		a.Attempts = append(a.Attempts, audit.Attempt{Node: req.endpoint, End: audit.Out, Took: now - req.sentAt})
		a.Worked += now - req.sentAt
	}
	a.MayRun = a.Writes && (req.mayHaveRun || req.attempt != nil || o == audit.Served || o == audit.Cut)
	router.audit.Record(&a)
}
