package router

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
)

// request is one that is owed an answer, or whose attempt is still in flight.
type request struct {
	Request
	id       string // the router's own, never used twice
	client   Client
	answerBy time.Duration    // the answer has to be on its way by then
	timer    *eventloop.Timer // fires at answerBy; nil once it has fired or a response has started
	finished bool             // answered, or its client has left

	queueable bool // its class is one that the failover queue takes
	queued    bool // in the failover queue: the balancer does not know of it

	attempts attemptState
	history  attemptHistory
}

// canBeWithdrawn says whether the request may go from the balancer to the failover queue without a risk that it
// runs twice.
func (req *request) canBeWithdrawn() bool {
	if req.finished || req.queued {
		return false
	}
	return req.attempts.provedNotToHaveRun()
}

// isSettled says that the request is answered and nothing of it is in flight.
func (req *request) isSettled() bool { return req.finished && !req.attempts.isInFlight() }

// acceptsCancel says whether the balancer's cancellation of an attempt still applies: the attempt is the newest one,
// and none of its response was forwarded.
func (req *request) acceptsCancel(number int) bool {
	return req.attempts.newest() == number && !req.attempts.responseStarted
}

// stopTimer stops the request's deadline.
func (req *request) stopTimer() {
	req.timer.Stop()
	req.timer = nil
}

// attemptState is what has become of a request's attempts. At most one of them is in flight.
type attemptState struct {
	requested       int           // by the balancer since the request was last submitted to it
	prior           int           // requested before that; none of them ran
	inFlight        AttemptHandle // nil = none
	endpoint        string        // of the newest attempt that was started
	sentAt          time.Duration // of the same
	mayHaveRun      bool          // one was written and is not proved to have had no effect
	responseStarted bool          // its response is forwarded while it arrives
}

func (s *attemptState) isInFlight() bool { return s.inFlight != nil }

// newest is the number of the attempt that was requested last.
func (s *attemptState) newest() int { return s.requested - 1 }

// request returns the number of another attempt.
func (s *attemptState) request() (number int) {
	s.requested++
	return s.newest()
}

// resubmit starts the numbers of attempts anew, as the balancer does with a request that is submitted again.
func (s *attemptState) resubmit() {
	s.prior += s.requested
	s.requested = 0
}

// isUnwritten says that an attempt is in flight of which nothing was written yet.
func (s *attemptState) isUnwritten() bool { return s.inFlight != nil && s.inFlight.NotWritten() }

// provedNotToHaveRun says that nothing of the request has run or still can run.
func (s *attemptState) provedNotToHaveRun() bool {
	return s.inFlight == nil && !s.mayHaveRun && !s.responseStarted
}

// attemptHistory is what the audit record of an answer says of its attempts.
type attemptHistory struct {
	ended       []audit.Attempt // only where there is an audit
	firstSentAt time.Duration
	duration    time.Duration // of all ended attempts together
}

// statusMayHaveRun says whether an attempt that ended so may have had an effect.
func statusMayHaveRun(status balance.Status) bool {
	switch status {
	case balance.StatusError, balance.StatusTimedOut, balance.StatusReset, balance.StatusCancelled:
		return true
	default:
		return false
	}
}
