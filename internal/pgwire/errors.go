package pgwire

import (
	"errors"
	"fmt"
)

// ErrSize means that a message's length is impossible or above the limit. It is wrapped by a *SizeError.
var ErrSize = errors.New("message length out of bounds")

// ErrFormat means that a message body is not well formed. The decoders return a *FormatError, which contains the name
// of the message and the offset of the error.
var ErrFormat = errors.New("malformed message")

// SizeError is the error for a message whose length is impossible or above the limit. Its text is sent to clients.
type SizeError struct {
	Length int64 // length in bytes, as stated in the message
	Limit  int   // limit in bytes that applied to the message
}

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("%v: %d bytes", ErrSize, e.Length) }

// Unwrap returns ErrSize.
func (e *SizeError) Unwrap() error { return ErrSize }

// SQLState returns the code that is reported to a client.
func (e *SizeError) SQLState() string { return ProtocolViolation }

// FormatError is the error for a message body that is not well formed. Its text is that of ErrFormat and is sent to
// clients; the fields are for logs and tests.
type FormatError struct {
	Message string // name of the message in the protocol's documentation
	Offset  int    // in bytes from the start of the body, where the first malformed field starts
}

// Error implements error.
func (e *FormatError) Error() string { return ErrFormat.Error() }

// Unwrap returns ErrFormat.
func (e *FormatError) Unwrap() error { return ErrFormat }

// SQLState returns the code that is reported to a client.
func (e *FormatError) SQLState() string { return ProtocolViolation }
