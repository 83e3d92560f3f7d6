package backend

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
	"limeladder/internal/router"
)

// attempt is an attempt of a request, or a health check. It waits for a connection, is written to it, then waits for
// the response; it ends once. It implements router.AttemptHandle, and router.Flow for its response.
type attempt struct {
	pool     *Pool
	endpoint *endpoint // nil until it is known
	job      Job
	deadline time.Duration // nobody waits for the response any more then
	notAfter time.Duration // it is not written later than this; 0 = no such limit

	onResponseStarted func(router.Response, router.Flow) // nil = the response is buffered until it is complete
	onResponsePart    func(p []byte)
	abandoned         func() bool // reports whether its client has gone; nil = it cannot go
	done              func(router.Result)

	connection   *connection      // nil until the attempt is written
	connectTimer *eventloop.Timer // limits the wait for a connection; nil = it did not wait
	redialTimer  *eventloop.Timer
	timeoutTimer *eventloop.Timer // limits a health check
	ended        bool
}

// isLate reports whether the attempt must not be written any more: the data it may read would be too old, or its client
// has given up. A slow connection holds attempts up that long.
func (a *attempt) isLate(now time.Duration) bool {
	return a.notAfter > 0 && now > a.notAfter || now >= a.deadline
}

// isPointless reports whether the attempt is late or its client has gone.
func (a *attempt) isPointless(now time.Duration) bool {
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

// postNotSent ends the attempt as not sent in a later turn of the loop: whoever started it does not expect its end
// before Start has returned.
func (a *attempt) postNotSent() {
	a.pool.loop.Post(func() { a.finish(router.Result{Status: balance.StatusNotSent}) })
}

// NotWritten reports whether nothing of the attempt was written yet. It implements router.AttemptHandle.
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
		// The connection is closed with it, so that a late response cannot be taken for that of a later attempt.
		socket := a.connection.socket
		a.connection.close()
		return socket.Flushed()
	}
	if a.endpoint != nil {
		a.endpoint.removeWaiting(a)
	}
	return false
}

// SetPaused stops the reading of the response, or goes on with it. It implements router.Flow.
func (a *attempt) SetPaused(paused bool) {
	if a.connection != nil {
		a.connection.setPaused(paused)
	}
}
