package simprotocol

import "strconv"

// ConfigError is a settings fault of one instance; the pipe itself is sound.
type ConfigError struct {
	Who string
	Err error
}

// Error implements error.
func (e *ConfigError) Error() string { return e.Who + ": " + e.Err.Error() }

// Unwrap returns the fault without the instance.
func (e *ConfigError) Unwrap() error { return e.Err }

// FieldError says that a field of an event holds what it may not. Field is its name on the wire.
type FieldError struct {
	Field  string
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// MissingFieldError says that an event lacks a field. Field is its name on the wire.
type MissingFieldError struct{ Field string }

// Error implements error.
func (e *MissingFieldError) Error() string { return e.Field + " is missing" }

// UnknownCommandError says that an event has a command that the protocol does not know.
type UnknownCommandError struct{ Command string }

// Error implements error.
func (e *UnknownCommandError) Error() string { return "unknown command " + strconv.Quote(e.Command) }
