package simprotocol

import "strconv"

// ConfigError reports invalid settings of one instance. The batch itself is well-formed.
type ConfigError struct {
	Instance string
	Err      error
}

// Error implements error.
func (e *ConfigError) Error() string { return e.Instance + ": " + e.Err.Error() }

// Unwrap returns the error in the settings.
func (e *ConfigError) Unwrap() error { return e.Err }

// FieldError reports an invalid value in a field of an event. Field is the name of the field on the wire.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// MissingFieldError reports that a field of an event is missing. Field is the name of the field on the wire.
type MissingFieldError struct{ Field string }

// Error implements error.
func (e *MissingFieldError) Error() string { return e.Field + " is missing" }

// UnknownCommandError reports an event with a command that is not part of the protocol.
type UnknownCommandError struct{ Command string }

// Error implements error.
func (e *UnknownCommandError) Error() string { return "unknown command " + strconv.Quote(e.Command) }
