package pgwire

import (
	"errors"
	"fmt"
)

// ErrSize says that a message's length is impossible or above the limit. The error itself is a *SizeError.
var ErrSize = errors.New("message length out of bounds")

// ErrFormat says that a message's body does not have its type's form. The decoders return a *FormatError, which says
// which message it was and where.
var ErrFormat = errors.New("malformed message")

// SizeError is a message whose length is impossible or above the limit. Its text reaches clients.
type SizeError struct {
	Length int64 // as the message tells it
	Limit  int   // of the connection at that moment
}

// Error implements error.
func (e *SizeError) Error() string { return fmt.Sprintf("%v: %d bytes", ErrSize, e.Length) }

// Unwrap returns ErrSize.
func (e *SizeError) Unwrap() error { return ErrSize }

// SQLState is the code under which the fault is reported to a client.
func (e *SizeError) SQLState() string { return ProtocolViolation }

// FormatError is a body that does not have its message's form. Its text reaches clients and is the one of ErrFormat;
// the fields are for logs and tests.
type FormatError struct {
	Message string // name of the message in the protocol's documentation
	Offset  int    // in the body, where the first field that does not fit begins
}

// Error implements error.
func (e *FormatError) Error() string { return ErrFormat.Error() }

// Unwrap returns ErrFormat.
func (e *FormatError) Unwrap() error { return ErrFormat }

// SQLState is the code under which the fault is reported to a client.
func (e *FormatError) SQLState() string { return ProtocolViolation }
