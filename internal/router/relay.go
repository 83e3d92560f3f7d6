package router

import "time"

// The final answers. Each request gets one of them, once.

func (r *Router) serve(q *request, a Answer) {
	if q.over {
		return
	}
	r.end(q)
	r.count.Served++
	q.client.Served(a)
	r.forget(q)
}

func (r *Router) refuse(q *request, after time.Duration) {
	if q.over {
		return
	}
	r.end(q)
	r.count.Refused++
	r.log.Debug("refused", "request", q.Label, "class", q.Class, "tries", q.tries, "after", r.loop.Now()-q.At)
	if after <= 0 {
		after = r.lim.ComeAgain // a refusal always says when to come back
	}
	q.client.Refused(after)
	r.forget(q)
}

func (r *Router) fail(q *request, why string) {
	if q.over {
		return
	}
	r.end(q)
	r.count.Failed++
	r.log.Debug("failed", "request", q.Label, "class", q.Class, "tries", q.tries, "after", r.loop.Now()-q.At, "why", why)
	r.events.Event("failed", "request", q.Label, "class", q.Class, "why", why)
	q.client.Failed(why)
	r.forget(q)
}
