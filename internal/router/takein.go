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
func (router *Router) Accept(req Request, c Client) (id string, err error) {
	class, ok := router.classes[req.Class]
	switch {
	case !ok:
		return "", ErrUnknownClass
	case req.Deadline <= 0:
		return "", ErrNoTimeLeft
	case router.openRequestIDs[req.Label]:
		// Guards against one client getting, or spoiling, what another has asked for.
		return "", ErrDuplicateRequest
	}
	req.Deadline = min(req.Deadline, class.ClientTimeout) // no client of the class waits longer, whatever this one says
	if req.Label != "" {
		router.openRequestIDs[req.Label] = true
	}
	router.lastRequestNumber++
	// Clients' ids are not trusted to be unique: a repeated one must not meet another request's attempt.
	t := &request{Request: req, id: strconv.FormatUint(router.lastRequestNumber, 36), client: c}
	router.counts.Accepted++
	// Guards the order of events: the answer must not come before Take has returned.
	t.answerBy = req.ReceivedAt + req.Deadline - router.answerMargin(req.Deadline)
	if router.shutdownDeadline > 0 {
		t.answerBy = min(t.answerBy, router.shutdownDeadline)
	}
	router.log.Debug("taken", "request", req.Label, "class", req.Class, "deadline", req.Deadline, "waited", router.loop.Now()-req.ReceivedAt)
	router.admit(t)
	return t.id, nil
}

// Turn enters a request that its front has refused for want of room: no client's answer goes unrecorded.
func (router *Router) RecordRejection(req Request, after time.Duration) {
	router.counts.Accepted++
	router.counts.Rejected++
	router.auditAnswer(&request{Request: req}, audit.Refused, audit.Answer{Retry: after})
}

// end notes that a request is owed nothing any more.
func (router *Router) finish(req *request) {
	req.finished = true
	delete(router.openRequestIDs, req.Label)
}

// answerBefore is how long before the client's deadline the answer has to be on its way.
func (router *Router) answerMargin(d time.Duration) time.Duration {
	return min(router.limits.Router.DeadlineMargin, d/4)
}

// Leave says that the client of a request has gone. A read's attempt is given up: nobody waits for it, and others wait for
// the db machine. What may change data runs on, but only if something of it was written: nothing is begun for a client that has gone.
func (router *Router) Disconnect(id string) {
	req := router.inFlight[id]
	if req == nil || req.finished {
		return
	}
	router.finish(req)
	router.counts.Disconnected++
	router.auditAnswer(req, audit.Left, audit.Answer{})
	if !req.queued {
		router.withdrawFromBalancer(req)
	}
	if router.classes[req.Class].Idempotency == balance.Idempotent || req.attempt != nil && req.attempt.NotWritten() {
		router.cancel(req, balance.StatusCancelled)
	}
	router.release(req)
}

// waitedFor is how long a request has waited when the system is asked whether its client is still there: before that the poller will
// have told, and asking for each costs a call.
const connectionCheckAge = 20 * time.Millisecond

// gone says whether the client of a request has left, whether or not Leave has been called, and treats it so.
//
// Danger: a router short of its share of a core learns of a close long after it came. An attempt that begins meanwhile is for
// nobody, and a client that comes again has another one out.
func (router *Router) clientDisconnected(req *request) bool {
	if !req.finished && req.client.Disconnected(router.loop.Now()-req.ReceivedAt > connectionCheckAge) {
		router.Disconnect(req.id)
	}
	return req.finished
}
