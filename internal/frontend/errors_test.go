package frontend

import (
	"errors"
	"fmt"
	"testing"

	"limeladder/internal/pgwire"
)

// Errors keep the SQLSTATE that they carry, and others violate the protocol.
func TestProtocolErrorOf(t *testing.T) {
	if got := protocolErrorOf(fmt.Errorf("at sweep: %w", errTooMuchUnread)); got != errTooMuchUnread {
		t.Errorf("%+v", got)
	}
	want := ProtocolError{pgwire.ProtocolViolation, "other"}
	if got := protocolErrorOf(errors.New("other")); *got != want {
		t.Errorf("%+v", got)
	}
}
