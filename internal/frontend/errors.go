package frontend

import (
	"errors"
	"time"

	"limeladder/internal/pgwire"
)

// ProtocolError is a client error that is answered with an ErrorResponse.
type ProtocolError struct {
	SQLSTATE string // code of the ErrorResponse
	Reason   string // message of the ErrorResponse
}

// Error returns the message of the ErrorResponse.
func (e *ProtocolError) Error() string { return e.Reason }

func (e *ProtocolError) appendFatal() []byte {
	return pgwire.AppendError(nil, pgwire.Error{Fatal: true, Code: e.SQLSTATE, Message: e.Reason})
}

// asProtocolError returns the ProtocolError in err. Any other error becomes a protocol violation with its text.
func asProtocolError(err error) *ProtocolError {
	var typed *ProtocolError
	if errors.As(err, &typed) {
		return typed
	}
	return &ProtocolError{pgwire.ProtocolViolation, err.Error()}
}

// Client errors that are reported to the client.
var (
	errResponsesUnread   = &ProtocolError{pgwire.ProtocolViolation, "answers are not read"}
	errStartupTimeout    = &ProtocolError{pgwire.ProtocolViolation, "no startup message in time"}
	errCommandTimeout    = &ProtocolError{pgwire.ProtocolViolation, "no command in time"}
	errMessageTimeout    = &ProtocolError{pgwire.ProtocolViolation, "a message does not end"}
	errUnitTimeout       = &ProtocolError{pgwire.ProtocolViolation, "a unit of work does not go on"}
	errStartupMessage    = &ProtocolError{pgwire.ProtocolViolation, "unsupported startup message"}
	errUnreadLimit       = &ProtocolError{pgwire.ProgramLimitExceeded, "too much is left unread"}
	errSimpleQueriesOnly = &ProtocolError{pgwire.NotSupported, "simple queries only"}
)

// errNoCapacity is returned when there is no memory to keep a statement. The client did nothing wrong and may retry.
var errNoCapacity = errors.New("no room to keep the statement")

// Times after which a client may retry.
const (
	capacityRetryAfter = 100 * time.Millisecond // after errNoCapacity
	notReadyRetryAfter = 100 * time.Millisecond // after an empty query that was answered with an error
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
