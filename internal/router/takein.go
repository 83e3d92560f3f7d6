package router

import (
	"errors"
	"strconv"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
)

// What makes a request unfit: it is turned away before anything is kept of it.
var (
	ErrUnknownClass     = errors.New("no class of that name")
	ErrNoTimeLeft       = errors.New("no time is left to answer in")
	ErrDuplicateRequest = errors.New("a request of that id is open")
)

// Take takes a request from a front and returns its handle, for Leave.
func (r *Router) Accept(q Request, c Client) (id string, err error) {
	class, ok := r.classes[q.Class]
	switch {
	case !ok:
		return "", ErrUnknownClass
	case q.Deadline <= 0:
		return "", ErrNoTimeLeft
	case r.open[q.Label]:
		// Guards against one client getting, or spoiling, what another has asked for.
		return "", ErrDuplicateRequest
	}
	q.Deadline = min(q.Deadline, class.ClientTimeout) // no client of the class waits longer, whatever this one says
	if q.Label != "" {
		r.open[q.Label] = true
	}
	r.last++
	// Clients' ids are not trusted to be unique: a repeated one must not meet another request's attempt.
	t := &request{Request: q, id: strconv.FormatUint(r.last, 36), client: c}
	r.count.Accepted++
	// Guards the order of events: the answer must not come before Take has returned.
	t.dieAt = q.ReceivedAt + q.Deadline - r.answerBefore(q.Deadline)
	if r.endAt > 0 {
		t.dieAt = min(t.dieAt, r.endAt)
	}
	r.log.Debug("taken", "request", q.Label, "class", q.Class, "deadline", q.Deadline, "waited", r.loop.Now()-q.ReceivedAt)
	r.admit(t)
	return t.id, nil
}

// Turn enters a request that its front has refused for want of room: no client's answer goes unrecorded.
func (r *Router) RecordRejection(q Request, after time.Duration) {
	r.count.Accepted++
	r.count.Rejected++
	r.answered(&request{Request: q}, audit.Refused, audit.Answer{Retry: after})
}

// end notes that a request is owed nothing any more.
func (r *Router) end(q *request) {
	q.over = true
	delete(r.open, q.Label)
}

// answerBefore is how long before the client's deadline the answer has to be on its way.
func (r *Router) answerBefore(d time.Duration) time.Duration {
	return min(r.lim.Router.DeadlineMargin, d/4)
}

// Leave says that the client of a request has gone. A read's attempt is given up: nobody waits for it, and others wait for
// the db machine. What may change data runs on, but only if something of it was written: nothing is begun for a client that has gone.
func (r *Router) Disconnect(id string) {
	q := r.inHand[id]
	if q == nil || q.over {
		return
	}
	r.end(q)
	r.count.Disconnected++
	r.answered(q, audit.Left, audit.Answer{})
	if !q.parked {
		r.leave(q)
	}
	if r.classes[q.Class].Idempotency == balance.Idempotent || q.call != nil && q.call.NotWritten() {
		r.cancel(q, balance.StatusCancelled)
	}
	r.forget(q)
}

// waitedFor is how long a request has waited when the system is asked whether its client is still there: before that the poller will
// have told, and asking for each costs a call.
const waitedFor = 20 * time.Millisecond

// gone says whether the client of a request has left, whether or not Leave has been called, and treats it so.
//
// Danger: a router short of its share of a core learns of a close long after it came. An attempt that begins meanwhile is for
// nobody, and a client that comes again has another one out.
func (r *Router) gone(q *request) bool {
	if !q.over && q.client.Disconnected(r.loop.Now()-q.ReceivedAt > waitedFor) {
		r.Disconnect(q.id)
	}
	return q.over
}
