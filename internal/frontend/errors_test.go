package frontend

import (
	"errors"
	"fmt"
	"testing"

	"limeladder/internal/pgwire"
)

// Errors keep the SQLSTATE that they carry, and other errors become protocol violations.
func TestAsProtocolError(t *testing.T) {
	if got := asProtocolError(fmt.Errorf("at sweep: %w", errUnreadLimit)); got != errUnreadLimit {
		t.Errorf("asProtocolError of a wrapped errUnreadLimit = %+v, want errUnreadLimit itself", got)
	}
	want := ProtocolError{SQLSTATE: pgwire.ProtocolViolation, Reason: "other"}
	if got := asProtocolError(errors.New("other")); *got != want {
		t.Errorf("asProtocolError of an untyped error = %+v, want a protocol violation with its text", got)
	}
}
