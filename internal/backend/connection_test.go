package backend

import (
	"bytes"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
)

// If a client disconnects while the connection for its attempt is being established, the attempt is not written.
func TestNothingIsWrittenForADisconnectedClient(t *testing.T) {
	server, dialed, release := newPausedStartupServer(t)
	lim := testLimits()
	lim.Backend.ConnectTimeout = 10 * time.Second
	lim.Backend.RedialAfter = 20 * time.Second
	p := newTestPool(t, lim, server.Addr)
	var disconnected atomic.Bool
	done := make(chan router.Result, 9)
	notWritten := make(chan bool, 1)
	p.loop.Post(func() {
		requested := router.Attempt{
			Endpoint:  "n",
			Job:       testJob("a"),
			Deadline:  p.loop.Now() + 20*time.Second,
			Abandoned: disconnected.Load,
		}
		handle := p.pool.Start(requested, func(result router.Result) { done <- result })
		notWritten <- handle.NotWritten()
	})
	if !<-notWritten {
		t.Error("NotWritten is false while the attempt waits for a connection, want true")
	}
	<-dialed
	disconnected.Store(true)
	release()
	if result := p.await(done); result.Status != balance.StatusNotSent || server.Runs("a") != 0 {
		t.Fatalf("got %+v and %d runs, want StatusNotSent and none", result, server.Runs("a"))
	}
	if result := p.attempt("b", 0); result.Status != balance.StatusDone { // the next attempt uses its connection
		t.Fatalf("next attempt: got %+v, want StatusDone", result)
	}
}

// An attempt counts as never run only if that is proven: the connection was refused, or ended before the attempt was
// written. An attempt whose connection breaks later may have run.
func TestBrokenConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	refusing := newTestPool(t, testLimits(), listener.Addr().String())
	if result := refusing.attempt("a", 0); result.Status != balance.StatusConnectFailed {
		t.Errorf("refused connection: got %+v, want StatusConnectFailed", result)
	}
	const startup = 0
	for _, test := range []struct {
		name string
		at   byte
		act  testserver.Act
		want balance.Status
		also balance.Status // a second acceptable status, StatusDone = none
	}{
		{
			name: "during the startup", at: startup, act: testserver.Act{CloseConnection: true},
			want: balance.StatusConnectFailed,
		},
		{name: "silent startup", at: startup, act: testserver.Act{Silent: true}, want: balance.StatusConnectFailed},
		{name: "before the response", at: 'Q', act: testserver.Act{CloseConnection: true}, want: balance.StatusReset},
		{name: "within the response", at: 'Q', act: testserver.Act{TruncateAt: 30}, want: balance.StatusReset},
		{name: "before ReadyForQuery", at: 'Q', act: testserver.Act{TruncateAt: 75}, want: balance.StatusReset},
		{name: "after the response", at: 'Q', act: testserver.Act{TruncateAt: 1000}, want: balance.StatusDone},
		{
			name: "after the startup", at: startup, act: testserver.Act{TruncateAt: 1000},
			want: balance.StatusReset, also: balance.StatusConnectFailed,
		},
	} {
		server := testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act {
			if typ == test.at {
				return test.act
			}
			return testserver.Act{}
		})
		result := newTestPool(t, testLimits(), server.Addr).attempt("a", 0)
		isOther := test.also != balance.StatusDone && result.Status == test.also
		if result.Status != test.want && !isOther {
			t.Errorf("%s: unexpected result %+v", test.name, result)
		}
	}
}

// The response to a cancelled attempt must not be taken for the response to the next one.
func TestLateResponseIsDiscarded(t *testing.T) {
	received := make(chan bool, 9)
	server := testserver.NewDB(t, true, func(typ byte, id string) testserver.Act {
		if typ == 'Q' && id == "slow" {
			received <- true
			return testserver.Act{Delay: 30 * time.Millisecond}
		}
		return testserver.Act{}
	})
	p := newTestPool(t, testLimits(), server.Addr)
	p.attempt("first", 0)
	handles := make(chan router.AttemptHandle, 1)
	written := make(chan bool, 1)
	p.loop.Post(func() {
		requested := router.Attempt{Endpoint: "n", Job: testJob("slow"), Deadline: p.loop.Now() + time.Minute}
		handles <- p.pool.Start(requested, func(result router.Result) {
			t.Errorf("the cancelled attempt reported a result: %+v", result)
		})
	})
	handle := <-handles
	<-received
	p.loop.Post(func() { written <- handle.Cancel() })
	if !<-written {
		t.Error("Cancel reported that the attempt was not written, but it was")
	}
	for i := range 5 {
		id := fmt.Sprint(i)
		if result := p.attempt(id, 0); result.Status != balance.StatusDone || server.Runs(id) != 1 {
			t.Fatalf("later attempt: got %+v, want StatusDone after one run", result)
		}
	}
	p.loop.Post(func() { written <- handle.Cancel() })
	if <-written {
		t.Error("the second Cancel returned true, want false")
	}
}

// Bytes that follow a response, in the same segment or a later one, must not be taken for the response to the next
// attempt.
func TestBytesAfterAResponseAreDiscarded(t *testing.T) {
	stray := bytes.Join([][]byte{
		rowDescription(),
		pgwire.Append(nil, 'D', []byte("\x00\x01\x00\x00\x00\x05stray")),
		pgwire.Append(nil, 'C', []byte("SELECT 1\x00")),
		pgwire.AppendReady(nil),
	}, nil)
	for name, act := range map[string]testserver.Act{
		"later":               {Trailing: stray},
		"in the same segment": {Corrupt: func(p []byte) []byte { return append(p, stray...) }},
		"partial message":     {Trailing: stray[:7]},
	} {
		server := testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act {
			if typ == 0 {
				return testserver.Act{}
			}
			return act
		})
		lim := testLimits()
		lim.Backend.ReuseDelay = 100 * time.Millisecond
		p := newTestPool(t, lim, server.Addr)
		for i := range 4 {
			result := p.attempt(fmt.Sprint(i), 0)
			if result.Status != balance.StatusDone || result.Role != balance.RolePrimary {
				t.Fatalf("%s: got %+v, want StatusDone from the primary", name, result)
			}
			if bytes.Contains(result.Response.(*Response).Messages, []byte("stray")) {
				t.Fatalf("%s: the response contains stray bytes: %+v", name, result)
			}
		}
	}
}
