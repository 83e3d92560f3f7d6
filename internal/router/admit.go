package router

import (
	"hash/fnv"

	"limeladder/balance"
)

// admit turns away what is too much and hands the rest to the decision module.
func (r *Router) admit(q *request) {
	if len(r.inHand) >= r.lim.Router.InFlightRequests {
		// Guards memory: what is beyond the limit is turned away before anything is kept of it.
		r.loop.Post(func() { r.refuse(q, 0) })
		return
	}
	if q.dieAt <= r.loop.Now() {
		// It waited unread behind others for all of its time: nobody waits for what it would run.
		r.count.Expired++
		r.loop.Post(func() { r.refuseFor(q, 0, "its time was over before it could be begun") })
		return
	}
	r.asks(q)
	if after, refused := r.turnedAway(q); refused {
		r.count.RejectedForSiteLoss++
		r.loop.Post(func() { r.refuseFor(q, after, "a site is lost and there is no place for it") })
		return
	}
	r.inHand[q.id] = q
	// The module ends what it holds in time; the timer is for attempts that are out, and guards against a
	// request that would stay without any answer.
	q.timer = r.loop.AfterFunc(q.dieAt-r.loop.Now(), func() { r.expire(q) })
	if r.holder != nil {
		_, q.waits = r.holder.classes[q.Class]
	}
	if !q.waits || !r.holds(q) {
		r.enter(q)
	}
}

// enter hands a request to the module.
func (r *Router) enter(q *request) {
	c, now := r.classes[q.Class], r.loop.Now()
	e := balance.Request{ID: q.id, Class: q.Class, Group: q.Group, TimeLeft: max(0, q.dieAt-now), Retry: q.Retry, PriorAttempts: q.before}
	if q.Session != "" && (c.Consistency == balance.ConsistencySession || c.Consistency == balance.ConsistencyWrite) {
		h := fnv.New64a()
		h.Write([]byte(q.Session))
		e.SessionID = int64(h.Sum64()>>11) | 1
	}
	if q.MinPosition > 0 {
		e.SinceSessionWrite = max(1, now-q.MinPosition)
	}
	r.pending = append(r.pending, e)
}
