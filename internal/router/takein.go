package router

import (
	"strconv"
	"time"
)

// Take takes a request from a front and returns its handle, for Leave.
func (r *Router) Take(q Request, c Client) (id string) {
	r.last++
	// Clients' ids are not trusted to be unique: a repeated one must not meet another request's attempt.
	t := &request{Request: q, id: strconv.FormatUint(r.last, 36), client: c}
	r.count.Taken++
	// Guards the order of events: the answer must not come before Take has returned.
	t.dieAt = q.At + q.Deadline - r.answerBefore(q.Deadline)
	r.admit(t)
	return t.id
}

// answerBefore is how long before the client's deadline the answer has to be on its way.
func (r *Router) answerBefore(d time.Duration) time.Duration { return min(r.lim.AnswerBefore, d/4) }

// Leave says that the client of a request has gone. Its attempt runs on, since the db machine is at work on it.
func (r *Router) Leave(id string) {
	q := r.inHand[id]
	if q == nil || q.over {
		return
	}
	q.over = true
	r.count.Left++
	r.leave(q)
	r.forget(q)
}
