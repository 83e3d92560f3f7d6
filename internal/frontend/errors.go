package frontend

import (
	"errors"
	"time"

	"limeladder/internal/pgwire"
)

// ProtocolError is a client error that is answered with an ErrorResponse.
type ProtocolError struct {
	SQLSTATE   string        // code of the ErrorResponse
	Reason     string        // message of the ErrorResponse
	RetryAfter time.Duration // the client may retry after this time, 0 = the ErrorResponse does not say when
}

// Error returns the message of the ErrorResponse.
func (e *ProtocolError) Error() string { return e.Reason }

func (e *ProtocolError) appendFatal() []byte {
	return pgwire.AppendError(nil, pgwire.Error{
		Fatal:      true,
		Code:       e.SQLSTATE,
		Message:    e.Reason,
		RetryAfter: e.RetryAfter,
	})
}

// asProtocolError returns the ProtocolError in err. Any other error becomes a protocol violation with its text.
func asProtocolError(err error) *ProtocolError {
	var typed *ProtocolError
	if errors.As(err, &typed) {
		return typed
	}
	return violation(err.Error())
}

// violation returns the error of a client that violates the protocol.
func violation(reason string) *ProtocolError {
	return &ProtocolError{SQLSTATE: pgwire.ProtocolViolation, Reason: reason}
}

// Client errors that are reported to the client.
var (
	errResponsesUnread   = violation("answers are not read")
	errStartupTimeout    = violation("no startup message in time")
	errCommandTimeout    = violation("no command in time")
	errMessageTimeout    = violation("a message does not end")
	errUnitTimeout       = violation("a unit of work does not go on")
	errStartupMessage    = violation("unsupported startup message")
	errUnreadLimit       = &ProtocolError{SQLSTATE: pgwire.ProgramLimitExceeded, Reason: "too much is left unread"}
	errTooFarAhead       = &ProtocolError{SQLSTATE: pgwire.ProgramLimitExceeded, Reason: "too much is sent ahead"}
	errSimpleQueriesOnly = &ProtocolError{SQLSTATE: pgwire.NotSupported, Reason: "simple queries only"}
)

// errShuttingDown ends a unit of work that is still open when the process is about to exit.
var errShuttingDown = &ProtocolError{
	SQLSTATE:   pgwire.TooManyConnections,
	Reason:     "refused: the router is shutting down, a repeat does no harm",
	RetryAfter: notReadyRetryAfter,
}

// errNoCapacity is returned when there is no memory to keep a statement. The client did nothing wrong and may retry.
var errNoCapacity = errors.New("no room to keep the statement")

// Times after which a client may retry.
const (
	capacityRetryAfter = 100 * time.Millisecond // after errNoCapacity
	notReadyRetryAfter = 100 * time.Millisecond // after an empty query that was answered with an error, or a shutdown
)

// RejectionError returns the error of a request that has not run and may be retried after the given time.
func RejectionError(retryAfter time.Duration) pgwire.Error {
	return pgwire.Error{
		Code:       pgwire.TooManyConnections,
		Message:    "refused: a repeat does no harm, come again",
		RetryAfter: retryAfter,
	}
}

// CapacityError returns the error of a request that has not run because there is no memory to keep it.
func CapacityError() pgwire.Error { return RejectionError(capacityRetryAfter) }

// FailureError returns the error of a request that may have run.
func FailureError(reason string) pgwire.Error {
	return pgwire.Error{Code: pgwire.UnknownOutcome, Message: "failed: " + reason}
}

// InvalidRequestError returns the error of a request that was not accepted for the reason given by Conn.Submit.
func InvalidRequestError(err error) pgwire.Error {
	if errors.Is(err, errNoCapacity) {
		return CapacityError()
	}
	return pgwire.Error{Code: pgwire.SyntaxError, Message: err.Error()}
}
