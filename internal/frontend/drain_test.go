package frontend

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// A shutdown closes idle connections, and new ones after their first response.
func TestShutdownClosesIdleAndAnsweredConnections(t *testing.T) {
	frontend, _, loop, addr := start(t)
	first, second := testserver.Dial(t, addr), testserver.Dial(t, addr)
	loop.Post(func() { frontend.Shutdown(false) })
	if answer := first.Until('Z'); !answer.Ended {
		t.Fatalf("response %+v on the first idle connection, want its end", answer)
	}
	if answer := second.Until('Z'); !answer.Ended {
		t.Fatalf("response %+v on the second idle connection, want its end", answer)
	}
	late := testserver.Dial(t, addr)
	late.Send(pgwire.AppendQuery(nil, statement("served")))
	if answer := late.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("response %+v on a new connection, want types TDCZ", answer)
	}
	if answer := late.Until('Z'); !answer.Ended {
		t.Fatalf("response %+v after the first response of a new connection, want its end", answer)
	}
}

// Closing idle connections loses no request: an incomplete message becomes complete and is answered, and a new
// connection may send its first request. A connection that is between requests is closed, and a request that its client
// sends after the close is not accepted.
func TestClosingIdleConnectionsLosesNoRequest(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	runInLoop(loop, frontend.SetReady)
	partial, fresh, idle := testserver.Dial(t, addr), testserver.Dial(t, addr), testserver.Dial(t, addr)
	idle.Send(pgwire.AppendQuery(nil, statement("served")))
	idle.Until('Z')
	fresh.Send(pgwire.AppendQuery(nil, statement("served")))
	fresh.Until('Z')
	message := pgwire.AppendQuery(nil, statement("served"))
	partial.Send(message) // so that the connection counts as used
	partial.Until('Z')
	partial.Send(message[:20])
	waitUntil(t, "part of the message has arrived", func() (arrived bool) {
		runInLoop(loop, func() {
			for c := range frontend.connections {
				arrived = arrived || c.input.reader.Buffered() > 0
			}
		})
		return arrived
	})
	fresh = testserver.Dial(t, addr)
	runInLoop(loop, func() {
		frontend.Shutdown(false)
		frontend.CloseIdleConnections()
	})
	partial.Send(message[20:])
	fresh.Send(pgwire.AppendQuery(nil, statement("served")))
	for name, client := range map[string]*testserver.Client{"incomplete message": partial, "new connection": fresh} {
		if answer := client.Until('Z'); answer.Types != "TDCZ" {
			t.Errorf("%s: response %+v, want types TDCZ", name, answer)
		}
		if answer := client.Until('Z'); !answer.Ended || answer.Truncated {
			t.Errorf("%s: response %+v, want the end of the connection", name, answer)
		}
	}
	accepted := fake.accepted()
	_ = idle.Write(pgwire.AppendQuery(nil, statement("served"))) // sent after the close, so the write may fail
	if answer := idle.Until('Z'); !answer.Ended || answer.Truncated {
		t.Errorf("idle connection: response %+v, want its end", answer)
	}
	if fake.accepted() != accepted {
		t.Error("a request sent after the close is accepted")
	}
	waitUntil(t, "all connections are closed", func() (none bool) {
		runInLoop(loop, func() { none = frontend.ConnectionCount() == 0 })
		return none
	})
}

// Connections without a complete request do not delay the shutdown for longer than UnusedIdle.
func TestClosingIdleConnectionsIsBounded(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.UnusedIdle = 100 * time.Millisecond
	frontend, _, loop, addr := startWith(t, lim)
	runInLoop(loop, frontend.SetReady)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	half := testserver.Dial(t, addr)
	half.Send(pgwire.AppendQuery(nil, statement("served"))[:20])
	waitUntil(t, "both connections are accepted", func() (ok bool) {
		runInLoop(loop, func() { ok = frontend.ConnectionCount() == 2 })
		return ok
	})
	runInLoop(loop, func() {
		frontend.Shutdown(false)
		frontend.CloseIdleConnections()
	})
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Read(make([]byte, 9)); !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	if answer := half.Until('Z'); !answer.Ended {
		t.Fatalf("response %+v on the connection with an incomplete message, want its end", answer)
	}
}

// During a shutdown all pipelined requests are answered before the connection is closed.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(queryWithID("a", "any"), queryWithID("w", "write"), queryWithID("b", "any")))
	expectAccepted(t, fake, "a")
	runInLoop(loop, func() {
		frontend.Shutdown(false)
		frontend.CloseIdleConnections()
	})
	client.Send(queryWithID("c", "any"))
	fake.serve("a")
	expectAccepted(t, fake, "a", "w", "b", "c")
	fake.serve("c", "b", "w")
	expectResponses(t, client, "a", "w", "b", "c")
	if answer := client.Until('Z'); !answer.Ended || answer.Truncated {
		t.Fatalf("response %+v, want the end of the connection", answer)
	}
}

// Closing idle connections does not cut off a connection that has requests in flight and has sent nothing else.
func TestClosingIdleConnectionsSparesRequestsInFlight(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(queryWithID("a", "any"), queryWithID("b", "any")))
	expectAccepted(t, fake, "a", "b")
	runInLoop(loop, func() {
		frontend.Shutdown(false)
		frontend.CloseIdleConnections()
	})
	fake.serve("b", "a")
	expectResponses(t, client, "a", "b")
	if answer := client.Until('Z'); !answer.Ended || answer.Truncated {
		t.Fatalf("response %+v, want the end of the connection", answer)
	}
}
