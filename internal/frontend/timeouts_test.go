package frontend

import (
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// A message that arrives slowly is read to its end as long as more of it arrives.
func TestSlowMessageIsReadToItsEnd(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.FirstCommandTimeout = 200 * time.Millisecond
	lim.Frontend.PartialMessageTimeout = 200 * time.Millisecond
	_, _, _, addr := startWith(t, lim)
	client := testserver.Dial(t, addr)
	message := pgwire.AppendQuery(nil, statement("served"))
	for len(message) > 0 {
		count := min(len(message), 7)
		client.Send(message[:count])
		message = message[count:]
		time.Sleep(60 * time.Millisecond)
	}
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("response %+v, want types TDCZ", answer)
	}
}

// A client that does not continue gets an error and is closed, whatever it has sent before.
func TestOverdueClientsGetErrorAndAreClosed(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.StartupTimeout = 100 * time.Millisecond
	lim.Frontend.FirstCommandTimeout = 150 * time.Millisecond
	lim.Frontend.PartialMessageTimeout = 100 * time.Millisecond
	_, _, _, addr := startWith(t, lim)
	start := pgwire.AppendStartup(nil, "user", "x")
	complete := pgwire.AppendQuery(nil, statement("served"))
	for name, message := range map[string][]byte{
		"nothing sent":               nil,
		"incomplete startup message": start[:9],
		"no command":                 start,
		"incomplete command":         slices.Concat(start, complete[:20]),
		"incomplete second command":  slices.Concat(start, complete, complete[:3]),
	} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		write(t, c, message)
		if got, err := io.ReadAll(c); err != nil || !strings.Contains(string(got), "C"+pgwire.ProtocolViolation+"\x00") {
			t.Errorf("%s: received %q, error %v, want error 08P01", name, got, err)
		}
	}
}
