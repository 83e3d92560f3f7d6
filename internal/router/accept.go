package router

import (
	"errors"
	"strconv"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
)

// Errors of Accept: nothing is kept of such a request, and its client gets no call.
var (
	ErrUnknownClass     = errors.New("no class of that name")
	ErrNoTimeLeft       = errors.New("no time is left to answer in")
	ErrDuplicateRequest = errors.New("a request of that id is open")
)

// connectionCheckAge is the age from which the operating system is asked whether a request's client is still
// connected. Earlier the poller has reported it, and each question costs a system call.
const connectionCheckAge = 20 * time.Millisecond

// Accept takes a request from a frontend and returns its id, for Disconnect. The answer never comes before Accept has
// returned.
func (r *Router) Accept(received Request, client Client) (id string, err error) {
	if err := r.validate(&received); err != nil {
		return "", err
	}
	// No client of the class waits longer than this, whatever the request says.
	received.Deadline = min(received.Deadline, r.classes[received.Class].ClientTimeout)
	if received.ClientRequestID != "" {
		r.openLabels[received.ClientRequestID] = true
	}
	r.lastRequestNumber++
	req := &request{
		Request: received,
		// Labels of clients need not be unique: a repeated one must not meet another request's attempt.
		id:       strconv.FormatUint(r.lastRequestNumber, 36),
		client:   client,
		answerBy: r.answerBy(received.ReceivedAt, received.Deadline),
	}
	r.counts.Accepted++
	r.log.Debug("request accepted", "request", req.ClientRequestID, "class", req.Class, "deadline", req.Deadline,
		"queued", r.age(req))
	r.admit(req)
	return req.id, nil
}

func (r *Router) validate(received *Request) error {
	if _, known := r.classes[received.Class]; !known {
		return ErrUnknownClass
	}
	if received.Deadline <= 0 {
		return ErrNoTimeLeft
	}
	if r.openLabels[received.ClientRequestID] {
		// A client that uses the label of another one's request must not get, or spoil, its answer.
		return ErrDuplicateRequest
	}
	return nil
}

// answerBy is the moment by which the answer to a request has to be on its way.
func (r *Router) answerBy(receivedAt, deadline time.Duration) time.Duration {
	at := receivedAt + deadline - r.answerMargin(deadline)
	if r.shutdownDeadline > 0 {
		at = min(at, r.shutdownDeadline)
	}
	return at
}

// answerMargin is how long before the client's deadline the answer has to be on its way.
func (r *Router) answerMargin(deadline time.Duration) time.Duration {
	return min(r.limits.Router.DeadlineMargin, deadline/4)
}

// age is how long ago a request was received.
func (r *Router) age(req *request) time.Duration { return r.loop.Now() - req.ReceivedAt }

// RecordRejection counts and records a request that its frontend has rejected for lack of capacity, so that every
// answer to a client is recorded.
func (r *Router) RecordRejection(received Request, retryAfter time.Duration) {
	r.counts.Accepted++
	r.counts.Rejected++
	r.auditAnswer(&request{Request: received}, audit.Refused, audit.Answer{Retry: retryAfter})
}

// Disconnect says that the client of a request has left. The attempt of an idempotent request is cancelled: nobody
// waits for it, and others wait for the endpoint. What may change data runs on, but only if some of it was written:
// nothing is started for a client that has left.
func (r *Router) Disconnect(id string) {
	req := r.inFlight[id]
	if req == nil || req.finished {
		return
	}
	r.finish(req)
	r.counts.Disconnected++
	r.auditAnswer(req, audit.Left, audit.Answer{})
	if !req.queued {
		r.withdraw(req)
	}
	if r.isIdempotent(req) || req.attempts.isUnwritten() {
		r.cancelAttempt(req, balance.StatusCancelled)
	}
	r.release(req)
}

// detectDisconnect says whether the client of a request has left, and handles that like a call of Disconnect.
//
// A router that is short of CPU time learns of a closed connection long after the fact. An attempt that starts in the
// meantime is for nobody, while a client that came back has another one in flight.
func (r *Router) detectDisconnect(req *request) bool {
	if !req.finished && r.clientDisconnected(req) {
		r.Disconnect(req.id)
	}
	return req.finished
}

// clientDisconnected asks the frontend whether the client of a request has left.
func (r *Router) clientDisconnected(req *request) bool {
	askSystem := r.age(req) > connectionCheckAge
	return req.client.Disconnected(askSystem)
}

// finish notes that a request is owed nothing any more.
func (r *Router) finish(req *request) {
	req.finished = true
	delete(r.openLabels, req.ClientRequestID)
}
