package router

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
)

// The final answers. Each request gets one of them, once.

func (r *Router) serve(q *request, a Response, code string) {
	if q.over {
		return
	}
	r.end(q)
	r.count.Served++
	r.answered(q, audit.Served, audit.Answer{Code: code})
	q.client.Served(a)
	r.forget(q)
}

// begin passes on an answer that has begun to come. From here on no time of the request's own ends it, and no other attempt
// takes its place: what the db machine still gives must not be cut off.
func (r *Router) begin(q *request, leg int, a Response, f Flow) {
	q.began = true
	q.timer.Stop()
	q.timer = nil
	r.pending = append(r.pending, balance.FirstByte{ID: q.id, Attempt: leg})
	if !q.over {
		q.client.ResponseStarted(a, f)
	}
}

// cut ends a request whose answer was passed on and will not become whole.
func (r *Router) cut(q *request) {
	if q.over {
		return
	}
	r.end(q)
	r.count.Failed++
	r.log.Debug("cut", "request", q.Label, "class", q.Class, "after", r.loop.Now()-q.ReceivedAt)
	r.answered(q, audit.Cut, audit.Answer{Why: "its answer broke off"})
	q.client.ResponseTruncated()
	r.forget(q)
}

func (r *Router) refuse(q *request, after time.Duration) { r.refuseFor(q, after, "") }

// refuseFor tells the record why, where it is not that no db machine could take it.
func (r *Router) refuseFor(q *request, after time.Duration, why string) {
	if q.over {
		return
	}
	r.end(q)
	r.count.Rejected++
	r.log.Debug("refused", "request", q.Label, "class", q.Class, "tries", q.tries, "after", r.loop.Now()-q.ReceivedAt, "why", why)
	if after <= 0 {
		after = r.lim.Router.DefaultRetryAfter // a refusal always says when to come back
	}
	r.answered(q, audit.Refused, audit.Answer{Retry: after, Why: why})
	q.client.Rejected(after)
	r.forget(q)
}

func (r *Router) fail(q *request, why string) {
	if q.over {
		return
	}
	r.end(q)
	r.count.Failed++
	r.log.Debug("failed", "request", q.Label, "class", q.Class, "tries", q.tries, "after", r.loop.Now()-q.ReceivedAt, "why", why)
	r.answered(q, audit.Failed, audit.Answer{Why: why})
	q.client.Failed(why)
	r.forget(q)
}
