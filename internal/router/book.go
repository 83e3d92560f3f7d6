package router

import (
	"slices"
	"time"

	"limeladder/balance"
)

// Counts is what has happened since the start.
type Counts struct {
	Accepted, Served, Rejected, Failed, Disconnected uint64
	RejectedForSiteLoss                              uint64 // of those refused, at the door while a site was lost
	Expired                                          uint64 // of those refused, because their time was over before they could be begun
	Attempts                                         [balance.StatusMiss + 1]uint64
}

// Counts returns a copy of the counters.
func (r *Router) Counts() Counts { return r.count }

// book enters the end of an attempt and tells the module of it.
func (r *Router) book(q *request, leg int, res Result) {
	now := r.loop.Now()
	r.log.Debug("attempt", "request", q.Label, "class", q.Class, "leg", leg, "node", q.node, "status", int(res.Status),
		"role", int(res.Role), "took", now-q.sentAt)
	if slices.Contains([]balance.Status{balance.StatusError, balance.StatusTimedOut, balance.StatusReset, balance.StatusCancelled}, res.Status) {
		q.mayRun = true
	}
	r.ended(q, res.Status)
	// Guards the module's sight of load: how long a slow peer takes over an answer says nothing of how busy it is.
	took := now - q.sentAt
	if res.ResponseStartedAt > 0 {
		took = res.ResponseStartedAt - q.sentAt
	}
	if res.Status == balance.StatusDone {
		r.heard(q, res, took, now) // before its end is told: an answer that is not counted lets no more out
		if c, ok := q.client.(Committer); ok && !q.over && res.Position > 0 && res.Code == "" && r.IsWrite(q.Class) {
			c.Committed(res.Position)
		}
		r.serve(q, res.Response, res.Code)
	} else if q.began {
		r.cut(q)
	}
	r.outcome(q, leg, q.node, res, took)
	if res.Status != balance.StatusDone {
		r.heard(q, res, took, now)
	}
	r.forget(q)
}

func (r *Router) outcome(q *request, leg int, node string, res Result, took time.Duration) {
	r.count.Attempts[res.Status]++
	r.evidence(node, res)
	r.pending = append(r.pending, balance.AttemptResult{ID: q.id, Attempt: leg, Endpoint: node, Status: res.Status, Elapsed: took,
		Finished: q.over, Role: res.Role, Position: res.Position})
}

func (r *Router) leave(q *request) {
	r.pending = append(r.pending, balance.ClientDisconnected{ID: q.id})
}

// forget drops a request that is answered and has nothing out.
func (r *Router) forget(q *request) {
	if q.over && q.call == nil {
		q.timer.Stop()
		q.timer = nil
		delete(r.inHand, q.id)
		r.released(q)
	}
}
