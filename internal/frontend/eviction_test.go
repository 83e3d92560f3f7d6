package frontend

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// A table full of clients that say nothing, or have asked once and stay, has a place for one that asks. Neither that
// one nor one whose request is in flight is closed for it.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.Connections = 6
	lim.Frontend.SoftLimit = 3
	lim.Frontend.HardLimit = 6
	lim.Frontend.SoftLimitIdle = 200 * time.Millisecond
	testEviction(t, lim)
	// Newcomers need not wait out the long idle time: places are taken much faster than that.
	lim.Frontend.HardLimit = 5
	lim.Frontend.SoftLimitIdle = time.Hour
	testEviction(t, lim)
}

func testEviction(t *testing.T, lim limits.Limits) {
	t.Helper()
	_, fake, _, addr := startWith(t, lim)
	busy := testserver.Dial(t, addr)
	busy.Send(pgwire.AppendQuery(nil, statement("held")))
	for range 8 {
		client := testserver.Dial(t, addr)
		client.Send(pgwire.AppendQuery(nil, statement("served")))
		if answer := client.Until('Z'); answer.Types != "TDCZ" {
			t.Fatalf("%+v", answer)
		}
	}
	for range 20 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, statement("served")))
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("%+v", answer)
	}
	if len(fake.disconnects) > 0 {
		t.Fatal("a connection with a request in flight was closed")
	}
}

// countSweeps counts the sweeps within a time.
func countSweeps(loop *eventloop.Loop, frontend *Frontend, d time.Duration) int {
	at := func() int {
		got := make(chan int)
		loop.Post(func() { got <- frontend.sweepCount })
		return <-got
	}
	from := at()
	time.Sleep(d)
	return at() - from
}

// An idle frontend sweeps a few times a second, not at the short interval: eighty routers that each wake twenty times
// a second for nothing spend their share of a core on it. A client that says nothing is still closed within its time.
func TestIdleFrontendSweepsRarely(t *testing.T) {
	lim := defaultLimits()
	frontend, _, loop, addr := startWith(t, lim)
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, statement("served")))
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("%+v", answer)
	}
	if count := countSweeps(loop, frontend, time.Second); count > 4 {
		t.Errorf("an idle frontend swept %d times in a second, at most 4 wanted", count)
	}
	silent, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	silent.SetDeadline(time.Now().Add(lim.Frontend.StartupTimeout + time.Second))
	if got, err := io.ReadAll(silent); err != nil || !strings.Contains(string(got), "C"+pgwire.ProtocolViolation+"\x00") {
		t.Errorf("a silent client: %q %v", got, err)
	}
}

// Where there are more connections than may stay idle, the sweeps come at the short interval at once.
func TestFullFrontendSweepsOften(t *testing.T) {
	tight := defaultLimits()
	tight.Frontend.SoftLimit = 1
	tight.Frontend.HardLimit = 2
	frontend, _, loop, addr := startWith(t, tight)
	for range 3 {
		client := testserver.Dial(t, addr)
		client.Send(pgwire.AppendQuery(nil, statement("served")))
		client.Until('Z')
	}
	if count := countSweeps(loop, frontend, 500*time.Millisecond); count < 6 {
		t.Errorf("a full frontend swept %d times in half a second, 6 or more wanted", count)
	}
}

// Responses that are not read count against the bound of all clients together, which needs the short interval.
func TestUnreadResponsesMakeFrontendSweepOften(t *testing.T) {
	frontend, _, loop, addr := start(t)
	slow := dialSlow(t, addr, pgwire.AppendStartup(nil, "user", "x"))
	defer slow.Close()
	time.Sleep(50 * time.Millisecond) // so that the query is read apart, and nothing of it waits
	write(t, slow, pgwire.AppendQuery(nil, statement("long")))
	time.Sleep(100 * time.Millisecond)
	if count := countSweeps(loop, frontend, 500*time.Millisecond); count < 6 {
		t.Errorf("with unread responses the frontend swept %d times in half a second, 6 or more wanted", count)
	}
}
