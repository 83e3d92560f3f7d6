package discovery

import "errors"

var (
	errNoAnswer    = errors.New("no response before the deadline")
	errNoEndpoints = errors.New("full list has no endpoints")
	errOutdated    = errors.New("list is older than the newest one received")
)

// CallKind is the kind of list that a call requests.
type CallKind uint8

// The kinds of calls.
const (
	CallSnapshot CallKind = iota // the full list, without waiting
	CallWatch                    // the changes since a version, as soon as there are any
)

// String returns the kind for logs.
func (k CallKind) String() string {
	if k == CallWatch {
		return "watch"
	}
	return "snapshot"
}

// CallFailure is the way in which a call failed.
type CallFailure uint8

// The failures of a call.
const (
	CallRejected   CallFailure = iota // discovery rejected the call, or its response is not valid HTTP
	CallUnanswered                    // no response or only a part of it was received: the link may be broken
	CallInvalid                       // the response was received, but its list can't be used
)

// String returns the failure for logs.
func (f CallFailure) String() string {
	return []string{"rejected", "unanswered", "invalid"}[f]
}

// CallError is the failure of a call to discovery.
type CallError struct {
	Call    CallKind
	Address string
	Failure CallFailure
	Err     error
}

// Error returns the text of the cause alone: the log record has the other fields as attributes.
func (e *CallError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

func (w *Watcher) newCallError(failure CallFailure, cause error) *CallError {
	return &CallError{Call: w.call.kind, Address: w.address, Failure: failure, Err: cause}
}

// callRejected ends a call that discovery has rejected.
func (w *Watcher) callRejected(cause error) { w.callFailed(w.newCallError(CallRejected, cause), false) }

// callUnanswered ends a call without a complete response. A missing response need not mean that discovery is
// overloaded, and discovery counts what it has written as delivered.
func (w *Watcher) callUnanswered(cause error) {
	w.callFailed(w.newCallError(CallUnanswered, cause), true)
}

// callInvalid ends a call whose list can't be used. Discovery counts the list as delivered, so the call is repeated
// soon, like an unanswered one. If discovery keeps sending invalid lists, the calls count as rejected after a few, so
// that the whole fleet doesn't repeat them quickly without end.
func (w *Watcher) callInvalid(cause error) {
	w.invalidAnswers++
	w.callFailed(w.newCallError(CallInvalid, cause), w.invalidAnswers <= maxOutdatedAnswers+1)
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

// logOnce logs an error unless the previous failed call had the same one: while discovery is unavailable, it is called
// many times.
func (w *Watcher) logOnce(err *CallError) {
	text := err.Error()
	if text == w.lastLoggedError {
		return
	}
	w.lastLoggedError = text
	w.log.Warn("discovery call failed",
		"address", err.Address, "call", err.Call.String(), "outcome", err.Failure.String(), "error", err)
}
