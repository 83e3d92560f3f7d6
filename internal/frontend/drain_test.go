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

// During a shutdown an idle connection is closed, and a new one is closed behind its first response.
func TestShutdownClosesIdleAndAnsweredConnections(t *testing.T) {
	frontend, _, loop, addr := start(t)
	idle, busy := testserver.Dial(t, addr), testserver.Dial(t, addr)
	loop.Post(func() { frontend.Shutdown(false) })
	if answer := idle.Until('Z'); !answer.Ended {
		t.Fatalf("%+v", answer)
	}
	if answer := busy.Until('Z'); !answer.Ended {
		t.Fatalf("%+v", answer)
	}
	late := testserver.Dial(t, addr)
	late.Send(pgwire.AppendQuery(nil, statement("served")))
	if answer := late.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("%+v", answer)
	}
	if answer := late.Until('Z'); !answer.Ended {
		t.Fatalf("%+v", answer)
	}
}

// When idle connections are closed, a message that has come in part becomes complete and is answered, and a new
// connection may bring its first request. A connection at rest is closed, and a request that crosses the close is not
// accepted.
func TestClosingIdleConnectionsCrossesNoRequest(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	runInLoop(loop, frontend.SetReady)
	part, fresh, rests := testserver.Dial(t, addr), testserver.Dial(t, addr), testserver.Dial(t, addr)
	rests.Send(pgwire.AppendQuery(nil, statement("served")))
	rests.Until('Z')
	fresh.Send(pgwire.AppendQuery(nil, statement("served")))
	fresh.Until('Z')
	message := pgwire.AppendQuery(nil, statement("served"))
	part.Send(message) // so that the connection is not a new one
	part.Until('Z')
	part.Send(message[:20])
	waitUntil(t, "a part has come", func() (came bool) {
		runInLoop(loop, func() {
			for c := range frontend.connections {
				came = came || c.input.reader.Waiting() > 0
			}
		})
		return came
	})
	fresh = testserver.Dial(t, addr)
	runInLoop(loop, func() {
		frontend.Shutdown(false)
		frontend.CloseIdleConnections()
	})
	part.Send(message[20:])
	fresh.Send(pgwire.AppendQuery(nil, statement("served")))
	for name, client := range map[string]*testserver.Client{"in part": part, "fresh": fresh} {
		if answer := client.Until('Z'); answer.Types != "TDCZ" {
			t.Errorf("%s: %+v", name, answer)
		}
		if answer := client.Until('Z'); !answer.Ended || answer.Truncated {
			t.Errorf("%s: %+v", name, answer)
		}
	}
	accepted := fake.accepted()
	_ = rests.Write(pgwire.AppendQuery(nil, statement("served"))) // it crosses the close, and may fail
	if answer := rests.Until('Z'); !answer.Ended || answer.Truncated {
		t.Errorf("rests: %+v", answer)
	}
	if fake.accepted() != accepted {
		t.Error("a request behind the close is accepted")
	}
	waitUntil(t, "all are ended", func() (none bool) {
		runInLoop(loop, func() { none = frontend.ConnectionCount() == 0 })
		return none
	})
}

// Connections that bring nothing do not hold up the shutdown.
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
	waitUntil(t, "both are there", func() (ok bool) {
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
		t.Fatalf("%+v", answer)
	}
}

// During a shutdown everything that was sent ahead is answered, and then the connection is closed.
func TestShutdownAnswersPipelinedRequests(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(labelled("a", "free"), labelled("w", "waits"), labelled("b", "free")))
	expectAccepted(t, fake, "a")
	runInLoop(loop, func() {
		frontend.Shutdown(false)
		frontend.CloseIdleConnections()
	})
	client.Send(labelled("c", "free"))
	fake.serve("a")
	expectAccepted(t, fake, "a", "w", "b", "c")
	fake.serve("c", "b", "w")
	expectAnswers(t, client, "a", "w", "b", "c")
	if answer := client.Until('Z'); !answer.Ended || answer.Truncated {
		t.Fatalf("%+v", answer)
	}
}

// A connection that has requests in flight and nothing else on its way is not cut off either.
func TestClosingIdleConnectionsSparesRequestsInFlight(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(labelled("a", "free"), labelled("b", "free")))
	expectAccepted(t, fake, "a", "b")
	runInLoop(loop, func() {
		frontend.Shutdown(false)
		frontend.CloseIdleConnections()
	})
	fake.serve("b", "a")
	expectAnswers(t, client, "a", "b")
	if answer := client.Until('Z'); !answer.Ended || answer.Truncated {
		t.Fatalf("%+v", answer)
	}
}
