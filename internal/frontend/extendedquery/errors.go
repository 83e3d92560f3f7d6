package extendedquery

import (
	"limeladder/internal/frontend"
	"limeladder/internal/pgwire"
)

// SQLSTATEs that are used by this protocol only.
const (
	duplicatePreparedStatement = "42P05"
	duplicateCursor            = "42P03"
)

// Errors of statements that are rejected.
var (
	errMultipleStatements   = unsupported("one statement at a time")
	errUnsupportedStatement = unsupported(
		"transaction blocks, COPY and statements that leave state at a server are not supported")
	errWriteInReadClass = unsupported("a statement that writes needs a class that writes")
	errUnterminated     = unsupported("a quote or comment is not closed")
)

// Errors of messages that are rejected.
var (
	errWriteWithoutSync = unsupported("a write must be followed by Sync")
	errFunctionCall     = unsupported("function calls are not supported")
	errPortalExecuted   = unsupported("a portal can be executed once only")
	errPreparedLimit    = &frontend.ProtocolError{SQLSTATE: pgwire.ProgramLimitExceeded, Reason: "too much is prepared"}
)

func unsupported(reason string) *frontend.ProtocolError {
	return &frontend.ProtocolError{SQLSTATE: pgwire.NotSupported, Reason: reason}
}

func invalidComment(err error) *frontend.ProtocolError {
	return &frontend.ProtocolError{SQLSTATE: pgwire.SyntaxError, Reason: err.Error()}
}

func statementExists(name string) *frontend.ProtocolError {
	return &frontend.ProtocolError{
		SQLSTATE: duplicatePreparedStatement,
		Reason:   "prepared statement " + name + " already exists",
	}
}

func statementUndefined(name string) *frontend.ProtocolError {
	return &frontend.ProtocolError{
		SQLSTATE: pgwire.UndefinedStatement,
		Reason:   "prepared statement " + name + " does not exist",
	}
}

func portalExists(name string) *frontend.ProtocolError {
	return &frontend.ProtocolError{SQLSTATE: duplicateCursor, Reason: "portal " + name + " already exists"}
}

func portalUndefined(name string) *frontend.ProtocolError {
	return &frontend.ProtocolError{SQLSTATE: pgwire.UndefinedPortal, Reason: "portal " + name + " does not exist"}
}
