package discovery

import "errors"

var (
	errNoAnswer    = errors.New("no answer in time")
	errNoEndpoints = errors.New("the whole list is empty")
	errOutdated    = errors.New("the list is older than the one that is known")
)

// CallKind is what a call asks discovery for.
type CallKind uint8

// The kinds of calls.
const (
	CallSnapshot CallKind = iota // the full list, at once
	CallWatch                    // what has changed since a version, when there is something
)

// String returns the kind for logs.
func (k CallKind) String() string {
	if k == CallWatch {
		return "watch"
	}
	return "snapshot"
}

// CallFailure is how a call failed.
type CallFailure uint8

// The failures.
const (
	CallRejected   CallFailure = iota // discovery has rejected the call, or answered something else than HTTP
	CallUnanswered                    // the answer didn't come, or not all of it: the link may be broken
	CallInvalid                       // the answer came, and its list can't be used
)

// String returns the failure for logs.
func (f CallFailure) String() string {
	return []string{"rejected", "unanswered", "invalid"}[f]
}

// CallError is the failure of a call of discovery.
type CallError struct {
	Call    CallKind
	Address string
	Failure CallFailure
	Err     error
}

// Error returns the cause alone: the log line has the rest as attributes.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

func (w *Watcher) newCallError(failure CallFailure, cause error) *CallError {
	return &CallError{Call: w.call.kind, Address: w.address, Failure: failure, Err: cause}
}

// callRejected ends a call that discovery has rejected.
func (w *Watcher) callRejected(cause error) { w.callFailed(w.newCallError(CallRejected, cause), false) }

// callUnanswered ends a call without an answer. Discovery need not be overloaded, and it counts as delivered
// what it has written.
func (w *Watcher) callUnanswered(cause error) {
	w.callFailed(w.newCallError(CallUnanswered, cause), true)
}

// callInvalid ends a call whose list can't be used. Discovery counts it as delivered, so the call is repeated soon,
// as an unanswered one; but not by all routers for ever, where discovery goes on like that.
func (w *Watcher) callInvalid(cause error) {
	w.invalidAnswers++
	w.callFailed(w.newCallError(CallInvalid, cause), w.invalidAnswers <= maxOlderAnswers+1)
}

func (w *Watcher) callFailed(err *CallError, unanswered bool) {
	w.logOnce(err)
	w.abandonCall()
	if w.stopped {
		return
	}
	if w.retry != nil {
		w.nextCall = w.loop.AfterFunc(w.retry.nextDelay(), w.Poll)
	}
	w.listener.PollFailed(unanswered)
}

// logOnce logs an error that is not the one of the call before: a discovery that is away is called many times.
func (w *Watcher) logOnce(err *CallError) {
	text := err.Error()
	if text == w.lastLoggedError {
		return
	}
	w.lastLoggedError = text
	w.log.Warn("discovery call failed",
		"address", err.Address, "call", err.Call.String(), "outcome", err.Failure.String(), "error", err)
}
