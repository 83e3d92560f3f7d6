package router

import (
	"errors"
	"strconv"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
)

// Errors returned by Accept. The router keeps no state of such a request and never calls its Client.
var (
	ErrUnknownClass     = errors.New("no class of that name")
	ErrNoTimeLeft       = errors.New("no time is left to answer in")
	ErrDuplicateRequest = errors.New("a request of that id is open") // or may have run for a client that has left
)

// connectionCheckAge is the request age above which the operating system is asked whether the client is still
// connected. For younger requests the poller has already reported a disconnect, and each check costs a system call.
const connectionCheckAge = 20 * time.Millisecond

// Accept accepts a request from a frontend and returns the id to be passed to Disconnect. No method that answers the
// request is called on client before Accept has returned.
func (r *Router) Accept(received Request, client Client) (id string, err error) {
	if err := r.validate(&received); err != nil {
		return "", err
	}
	// The client timeout of the class also applies to a request that specifies a longer one.
	received.ClientTimeout = min(received.ClientTimeout, r.classes[received.Class].ClientTimeout)
	if received.ClientRequestID != "" {
		r.openClientRequestIDs[received.ClientRequestID] = true
	}
	r.lastRequestNumber++
	req := &request{
		Request: received,
		// Ids assigned by clients need not be unique, and a repeated one must not match another request's attempt.
		id:       strconv.FormatUint(r.lastRequestNumber, 36),
		client:   client,
		answerBy: r.answerBy(received.ReceivedAt, received.ClientTimeout),
	}
	r.counts.Accepted++
	r.log.Debug("request accepted", "request", req.ClientRequestID, "class", req.Class, "deadline", req.ClientTimeout,
		"queued", r.age(req))
	r.admit(req)
	return req.id, nil
}

// validate returns an error for a request that can't be accepted. It claims the id of any other request.
func (r *Router) validate(received *Request) error {
	if _, known := r.classes[received.Class]; !known {
		return ErrUnknownClass
	}
	if received.ClientTimeout <= 0 {
		return ErrNoTimeLeft
	}
	if r.openClientRequestIDs[received.ClientRequestID] {
		// A client that reuses the id of another client's request must neither receive nor affect its answer.
		return ErrDuplicateRequest
	}
	if r.mustRunOnce(received.Class) && r.departedWrites.contains(received.ClientRequestID, r.loop.Now()) {
		return ErrDuplicateRequest
	}
	if !r.claimID(received) {
		return ErrDuplicateRequest
	}
	return nil
}

// answerBy returns the latest time at which the answer to a request may be sent.
func (r *Router) answerBy(receivedAt, clientTimeout time.Duration) time.Duration {
	at := receivedAt + clientTimeout - r.answerMargin(clientTimeout)
	if r.shutdownDeadline > 0 {
		at = min(at, r.shutdownDeadline)
	}
	return at
}

// answerMargin returns how long before the end of the client's timeout the answer has to be sent.
func (r *Router) answerMargin(clientTimeout time.Duration) time.Duration {
	return min(r.limits.Router.DeadlineMargin, clientTimeout/4)
}

// age returns the time since a request was received.
func (r *Router) age(req *request) time.Duration { return r.loop.Now() - req.ReceivedAt }

// RecordRejection counts and records a request that its frontend has rejected for lack of capacity, so that every
// answer to a client is recorded.
func (r *Router) RecordRejection(received Request, retryAfter time.Duration) {
	r.counts.Accepted++
	r.counts.Rejected++
	r.auditAnswer(&request{Request: received}, audit.Rejected, audit.Answer{Retry: retryAfter})
}

// Disconnect handles the disconnect of a request's client. The attempt of an idempotent request is cancelled: its
// response is no longer needed, and other requests wait for the endpoint. An attempt that may change data continues if
// any of it was written; otherwise it is cancelled too, because nothing is started for a disconnected client.
func (r *Router) Disconnect(id string) {
	req := r.inFlight[id]
	if req == nil || req.finished {
		return
	}
	// While an attempt runs on, the id stays taken: the same request must not be attempted twice at a time.
	req.keepsID = r.mustRunOnce(req.Class) && req.ClientRequestID != "" && !req.attempts.provablyNotRun()
	r.finish(req)
	r.counts.Disconnected++
	r.auditAnswer(req, audit.Disconnected, audit.Answer{})
	if !req.queued {
		r.withdraw(req)
	}
	if r.isIdempotent(req) || req.attempts.isUnwritten() {
		r.cancelAttempt(req, balance.StatusCancelled)
	}
	r.release(req)
}

// detectDisconnect reports whether the client of a request has disconnected, and if so handles it as Disconnect does.
//
// A router that is short of CPU time learns of a closed connection late. An attempt started in the meantime would be
// wasted, and a client that has reconnected may have another attempt in flight.
func (r *Router) detectDisconnect(req *request) bool {
	if !req.finished && r.clientDisconnected(req) {
		r.Disconnect(req.id)
	}
	return req.finished
}

// clientDisconnected asks the frontend whether the client of a request has disconnected.
func (r *Router) clientDisconnected(req *request) bool {
	askSystem := r.age(req) > connectionCheckAge
	return req.client.Disconnected(askSystem)
}

// finish marks a request as finished: its client gets no further answer.
func (r *Router) finish(req *request) {
	req.finished = true
	if !req.keepsID {
		delete(r.openClientRequestIDs, req.ClientRequestID)
		r.releaseClaim(&req.Request)
	}
}
