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

// A frontend that is full of idle clients, with and without an earlier request, still accepts a client with a request.
// Neither that client nor one with a request in flight is closed.
func TestIdleConnectionsAreEvicted(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.Connections = 6
	lim.Frontend.SoftLimit = 3
	lim.Frontend.HardLimit = 6
	lim.Frontend.SoftLimitIdle = 200 * time.Millisecond
	testEviction(t, lim)
	// New clients need not wait for the long idle time: above the hard limit a shorter one applies.
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
			t.Fatalf("response %+v, want types TDCZ", answer)
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
		t.Fatalf("response %+v, want types TDCZ", answer)
	}
	if len(fake.disconnects) > 0 {
		t.Fatal("a connection with a request in flight was closed")
	}
}

// countSweeps counts the sweeps during d.
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

// An idle frontend sweeps a few times per second, and not at the short interval: eighty routers that each wake twenty
// times per second without need use up their share of a core. A client that sends nothing is still closed in time.
func TestIdleFrontendSweepsRarely(t *testing.T) {
	lim := defaultLimits()
	frontend, _, loop, addr := startWith(t, lim)
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, statement("served")))
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("response %+v, want types TDCZ", answer)
	}
	if count := countSweeps(loop, frontend, time.Second); count > 4 {
		t.Errorf("an idle frontend swept %d times in one second, want at most 4", count)
	}
	silent, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	silent.SetDeadline(time.Now().Add(lim.Frontend.StartupTimeout + time.Second))
	if got, err := io.ReadAll(silent); err != nil || !strings.Contains(string(got), "C"+pgwire.ProtocolViolation+"\x00") {
		t.Errorf("a client that sends nothing received %q, error %v, want error 08P01", got, err)
	}
}

// Sweeps come at the short interval as soon as there are more connections than may stay idle.
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
		t.Errorf("a full frontend swept %d times in 500 ms, want at least 6", count)
	}
}

// Unread responses cause sweeps at the short interval, since they count towards the limit of all clients.
func TestUnreadResponsesMakeFrontendSweepOften(t *testing.T) {
	frontend, _, loop, addr := start(t)
	slow := dialSlowReader(t, addr, pgwire.AppendStartup(nil, "user", "x"))
	defer slow.Close()
	time.Sleep(50 * time.Millisecond) // so that the query is read separately, and no part of it waits
	write(t, slow, pgwire.AppendQuery(nil, statement("long")))
	time.Sleep(100 * time.Millisecond)
	if count := countSweeps(loop, frontend, 500*time.Millisecond); count < 6 {
		t.Errorf("a frontend with unread responses swept %d times in 500 ms, want at least 6", count)
	}
}
