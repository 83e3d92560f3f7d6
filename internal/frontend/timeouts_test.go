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

// A message that comes slowly is awaited as long as more of it comes.
func TestSlowMessageIsAwaited(t *testing.T) {
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
		t.Fatalf("%+v", answer)
	}
}

// A client that does not go on is told so and closed, however it has begun.
func TestOverdueClientsAreToldAndClosed(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.StartupTimeout = 100 * time.Millisecond
	lim.Frontend.FirstCommandTimeout = 150 * time.Millisecond
	lim.Frontend.PartialMessageTimeout = 100 * time.Millisecond
	_, _, _, addr := startWith(t, lim)
	start := pgwire.AppendStartup(nil, "user", "x")
	complete := pgwire.AppendQuery(nil, statement("served"))
	for name, message := range map[string][]byte{
		"silent":                nil,
		"half a start":          start[:9],
		"no command":            start,
		"half a command":        slices.Concat(start, complete[:20]),
		"half a second command": slices.Concat(start, complete, complete[:3]),
	} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		write(t, c, message)
		if got, err := io.ReadAll(c); err != nil || !strings.Contains(string(got), "C"+pgwire.ProtocolViolation+"\x00") {
			t.Errorf("%s: %q %v", name, got, err)
		}
	}
}
