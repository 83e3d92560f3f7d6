package backend

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
	"limeladder/internal/router"
)

// attempt is an attempt of a request, or a health check. It waits for a connection, is written to it, then waits for
// the response; it ends exactly once. It implements router.AttemptHandle, and router.FlowController for its response.
type attempt struct {
	pool     *Pool
	endpoint *endpoint // nil until the endpoint has been looked up
	job      Job
	deadline time.Duration // when the client stops waiting for the response
	notAfter time.Duration // the attempt must not be written later than this; 0 = no such limit

	onResponseStarted func(router.Response, router.FlowController) // nil = the response is buffered until it is complete
	onResponsePart    func(p []byte)
	abandoned         func() bool // reports whether the client has disconnected; nil = it never does
	done              func(router.Result)

	connection   *connection      // nil until the attempt is written
	connectTimer *eventloop.Timer // limits the wait for a connection; nil = the attempt never waited
	redialTimer  *eventloop.Timer // dials another connection during the wait
	timeoutTimer *eventloop.Timer // limits a health check
	ended        bool
}

// isLate reports whether it is too late to write the attempt: the data that it may read would be too stale, or its
// client no longer waits. This happens to attempts that wait for a connection that is slow to come up.
func (a *attempt) isLate(now time.Duration) bool {
	return a.notAfter > 0 && now > a.notAfter || now >= a.deadline
}

// isLateOrAbandoned reports whether it is too late to write the attempt or its client has disconnected.
func (a *attempt) isLateOrAbandoned(now time.Duration) bool {
	return a.isLate(now) || a.abandoned != nil && a.abandoned()
}

// finish ends the attempt and reports its result, unless it has ended already.
func (a *attempt) finish(result router.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.connectTimer.Stop()
	a.redialTimer.Stop()
	a.done(result)
}

// postNotSent ends the attempt as not sent in a later turn of the loop: the caller of Start does not expect the result
// before Start has returned.
func (a *attempt) postNotSent() {
	a.pool.loop.Post(func() { a.finish(router.Result{Status: balance.StatusNotSent}) })
}

// NotWritten reports whether the attempt is still waiting, with no part of it written. It implements
// router.AttemptHandle.
func (a *attempt) NotWritten() bool { return !a.ended && a.connection == nil }

// Cancel gives the attempt up and reports whether it was written completely. It implements router.AttemptHandle.
func (a *attempt) Cancel() (written bool) {
	if a.ended {
		return false
	}
	a.ended = true
	a.connectTimer.Stop()
	a.redialTimer.Stop()
	a.timeoutTimer.Stop()
	if a.connection != nil {
		// The connection is closed too, so that a late response cannot be taken for the response to a later attempt.
		socket := a.connection.socket
		a.connection.close()
		return socket.Flushed()
	}
	if a.endpoint != nil {
		a.endpoint.removeWaiting(a)
	}
	return false
}

// BytesToCome returns how many bytes of the row that is being streamed have not been forwarded. It implements
// router.FlowController.
func (a *attempt) BytesToCome() int {
	if a.connection == nil || a.connection.incoming.streamedRow == nil {
		return 0
	}
	return a.connection.incoming.streamedRow.BytesLeft
}

// LimitParts limits how much of the response is read at a time. It implements router.FlowController.
func (a *attempt) LimitParts(bytes int) {
	if a.connection != nil {
		a.connection.socket.LimitInbox(bytes)
	}
}

// SetPaused pauses or resumes the reading of the response. It implements router.FlowController.
func (a *attempt) SetPaused(paused bool) {
	if a.connection != nil {
		a.connection.setPaused(paused)
	}
}
