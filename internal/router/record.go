package router

import (
	"limeladder/balance"
	"limeladder/internal/audit"
)

// What is recorded of a request. Without an Audit none of it costs anything.

func (r *Router) record(e audit.Event) {
	if r.audit != nil {
		r.audit.Record(e)
	}
}

// ended notes the end of the attempt that was out.
func (r *Router) ended(q *request, as balance.Status) {
	if r.audit == nil || q.over {
		return
	}
	took := r.loop.Now() - q.sentAt
	q.worked += took
	q.attempts = append(q.attempts, audit.Attempt{Node: q.node, End: as, Took: took})
}

// answered records a final answer; a says what only its giver knows.
func (r *Router) answered(q *request, o audit.Outcome, a audit.Answer) {
	if r.audit == nil {
		return
	}
	now := r.loop.Now()
	class := r.classes[q.Class]
	a.Request, a.Class, a.Group, a.Tenant, a.Client, a.Node = q.Label, q.Class, q.Group, q.Tenant, q.Client, q.node
	a.Outcome, a.Writes = o, class.Idempotency != balance.Idempotent || class.Consistency == balance.ConsistencyWrite
	a.Attempts, a.Worked, a.Total, a.Queued = q.attempts, q.worked, now-q.ReceivedAt, now-q.ReceivedAt
	if q.tries > 0 {
		a.Queued = q.firstAt - q.ReceivedAt
	}
	if q.call != nil { // it is answered while an attempt is out
		a.Attempts = append(a.Attempts, audit.Attempt{Node: q.node, End: audit.Out, Took: now - q.sentAt})
		a.Worked += now - q.sentAt
	}
	a.MayRun = a.Writes && (q.mayRun || q.call != nil || o == audit.Served || o == audit.Cut)
	r.audit.Record(&a)
}
