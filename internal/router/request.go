package router

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
)

// request is the state of a request that is unanswered or has an attempt in flight.
type request struct {
	Request
	id       string // assigned by the router, never reused
	client   Client
	answerBy time.Duration    // latest time at which the answer may be sent
	timer    *eventloop.Timer // fires at answerBy; nil once it has fired
	finished bool             // answered, or its client has disconnected
	keepsID  bool             // its client has disconnected, and its id stays taken until its attempts have ended

	queueable bool // the failover queue accepts its class
	queued    bool // in the failover queue, so not submitted to the balancer

	attempts attemptState
	history  attemptHistory
}

// canBeWithdrawn reports whether the request may be moved from the balancer to the failover queue without the risk of
// being executed twice.
func (req *request) canBeWithdrawn() bool {
	if req.finished || req.queued {
		return false
	}
	return req.attempts.provablyNotRun()
}

// canBeReleased reports whether the request is finished and has no attempt in flight.
func (req *request) canBeReleased() bool { return req.finished && !req.attempts.isInFlight() }

// acceptsCancel reports whether the balancer may still cancel the attempt with this number: it is the newest attempt,
// and no part of its response has been forwarded.
func (req *request) acceptsCancel(number int) bool {
	return req.attempts.newestNumber() == number && !req.attempts.responseStarted
}

// stopTimer stops the timer of the request's deadline.
func (req *request) stopTimer() {
	req.timer.Stop()
	req.timer = nil
}

// attemptState is the state of a request's attempts. At most one of them is in flight.
type attemptState struct {
	requested       int           // number of attempts requested by the balancer since the last submit
	priorAttempts   int           // number requested before that; none of them was executed
	inFlight        AttemptHandle // nil = none
	endpoint        string        // of the last attempt that was started
	sentAt          time.Duration // of the last attempt that was started
	mayHaveRun      bool          // an attempt was written and may have had an effect
	hasSucceeded    bool          // an attempt has ended with a complete response
	responseStarted bool          // a response is being forwarded while it arrives
}

func (s *attemptState) isInFlight() bool { return s.inFlight != nil }

// newestNumber returns the number of the attempt that was requested last.
func (s *attemptState) newestNumber() int { return s.requested - 1 }

// nextNumber counts a newly requested attempt and returns its number.
func (s *attemptState) nextNumber() (number int) {
	s.requested++
	return s.newestNumber()
}

// resetNumbers restarts the attempt numbers at 0, as the balancer does for a request that is submitted again.
func (s *attemptState) resetNumbers() {
	s.priorAttempts += s.requested
	s.requested = 0
}

// isUnwritten reports whether an attempt is in flight of which no byte has been written.
func (s *attemptState) isUnwritten() bool { return s.inFlight != nil && s.inFlight.NotWritten() }

// provablyNotRun reports whether it is certain that no attempt was executed or still can be.
func (s *attemptState) provablyNotRun() bool {
	return s.inFlight == nil && !s.mayHaveRun && !s.responseStarted
}

// attemptHistory is the part of the audit record that describes the attempts of a request.
type attemptHistory struct {
	ended       []audit.Attempt // empty if auditing is disabled
	firstSentAt time.Duration
	duration    time.Duration // total of all ended attempts
}

// statusMayHaveRun reports whether an attempt that ended with this status may have had an effect.
func statusMayHaveRun(status balance.Status) bool {
	switch status {
	case balance.StatusError, balance.StatusTimedOut, balance.StatusReset, balance.StatusCancelled:
		return true
	default:
		return false
	}
}
