package router

import "limeladder/balance"

// send starts the attempt that the module asked for.
func (r *Router) send(q *request, a balance.Send) {
	leg := q.tries
	q.tries++
	if over := q.over; over || q.call != nil || r.gone(q) {
		if over || q.call != nil {
			// Guards against two attempts at once, whatever the module says.
			r.log.Error("attempt not sent", "request", q.Label, "over", over, "out", q.call != nil)
		}
		r.outcome(q, leg, a.Endpoint, Result{Status: balance.StatusNotSent}, 0)
		return
	}
	q.node, q.sentAt = a.Endpoint, r.loop.Now()
	if leg == 0 {
		q.firstAt = q.sentAt
	}
	r.sent(q)
	ended := false // the servers may report the end before Start returns
	call := r.servers.Start(Attempt{Endpoint: a.Endpoint, Job: q.Job, Deadline: q.dieAt, NotAfter: a.NotAfter, OnResponseStarted: func(a Response, f Flow) {
		r.begin(q, leg, a, f)
	}, OnResponsePart: func(p []byte) {
		if !q.over {
			q.client.ResponsePart(p)
		}
	}, Abandoned: func() bool { return q.over || q.client.Disconnected(r.loop.Now()-q.ReceivedAt > waitedFor) }}, func(res Result) {
		ended = true
		q.call = nil
		r.book(q, leg, res)
	})
	if !ended {
		q.call = call
	}
}

// cancel gives up the attempt that is out.
func (r *Router) cancel(q *request, as balance.Status) {
	if q.call == nil {
		return
	}
	call := q.call
	q.call = nil
	if !call.Cancel() {
		as = balance.StatusNotSent // never written: it proves that nothing ran
	}
	r.book(q, q.tries-1, Result{Status: as})
}

// expire ends a request's time.
func (r *Router) expire(q *request) {
	q.timer = nil
	if q.call != nil {
		r.cancel(q, balance.StatusTimedOut)
		return
	}
	if !q.over {
		// The module ends what it holds well before; this guards against a request that nobody answers.
		r.pending = append(r.pending, balance.ClientDisconnected{ID: q.id})
		if q.mayRun && r.classes[q.Class].Idempotency != balance.Idempotent {
			r.fail(q, "its time is over")
		} else {
			r.refuse(q, 0)
		}
	}
}

// probe asks for a report that the module wants, or the holder.
func (r *Router) probe(node string, own bool) {
	at := r.loop.Now()
	r.servers.HealthCheck(node, func(res Result) {
		r.evidence(node, res)
		if !own && res.Status != balance.StatusDone {
			// The module waits longer for a member with each probe that fails: the holder's are many more than its own.
			r.reported(node, res)
			return
		}
		r.pending = append(r.pending, balance.HealthCheckResult{Endpoint: node, Status: res.Status, Elapsed: r.loop.Now() - at,
			Role: res.Role, Position: res.Position})
		r.reported(node, res)
	})
}
