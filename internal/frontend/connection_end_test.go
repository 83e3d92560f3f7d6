package frontend

import (
	"bytes"
	"testing"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// The request of a client that disconnects is given up.
func TestDisconnectGivesUpTheRequest(t *testing.T) {
	_, fake, _, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(pgwire.AppendQuery(nil, statement("served")), statement("held")))
	if answer := client.Until('Z'); answer.Types != "TDCZ" { // the held one is accepted in the same round of the loop
		t.Fatalf("%+v", answer)
	}
	client.Close()
	if id := <-fake.disconnects; id != "i-held" {
		t.Fatal(id)
	}
}

// A client that disconnects has gone at once, however much it has sent ahead: its request is given up, and nothing of
// the rest is accepted.
func TestDisconnectBehindPipelinedBytes(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, statement("waits")))
	waitUntil(t, "it is accepted", func() bool { return fake.accepted() == 1 })
	conn := onlyConnection(t, frontend, loop)
	ahead := pgwire.AppendQuery(nil, statement("served"))
	client.Send(bytes.Repeat(ahead, 2*frontend.limits.Frontend.PipelinedBytes/len(ahead)))
	waitUntil(t, "it is read no further", func() (held bool) {
		runInLoop(loop, func() { held = conn.memory.unparsedBytes > frontend.limits.Frontend.PipelinedBytes })
		return held
	})
	client.Close()
	select {
	case id := <-fake.disconnects:
		if id != "i-waits" {
			t.Fatal(id)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("its request is not given up")
	}
	if fake.accepted() != 1 {
		t.Fatalf("%d requests accepted", fake.accepted())
	}
}

// The response to a request crosses the disconnect of its client, which had sent another request ahead. That one is
// not begun, although the handler has yet to be told of the disconnect.
func TestNoPipelinedRequestBeginsAfterDisconnect(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(append(pgwire.AppendQuery(nil, statement("waits")), pgwire.AppendQuery(nil, statement("served"))...))
	waitUntil(t, "it is accepted", func() bool { return fake.accepted() == 1 })
	conn := onlyConnection(t, frontend, loop)
	waitForSlots(t, loop, conn, 2)
	busy, free, answered := make(chan bool), make(chan bool), make(chan bool)
	loop.Post(func() {
		close(busy)
		<-free
	})
	loop.Post(func() { // the response is in the queue before the disconnect is
		fake.clients[0].Served(&backend.Response{})
		close(answered)
	})
	<-busy
	client.Close()
	waitUntil(t, "it has gone", func() bool { return conn.socket.PeerClosed(true) })
	close(free)
	<-answered
	if fake.accepted() != 1 {
		t.Fatal("a request of a client that has gone is accepted")
	}
}

// A client that disconnects takes with it all that it has in flight, and what waits is not begun.
func TestDisconnectGivesUpPipelinedRequests(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(labelled("a", "free"), labelled("b", "free"), labelled("w", "waits"), labelled("c", "free")))
	conn := onlyConnection(t, frontend, loop)
	waitForSlots(t, loop, conn, 3) // the write waits
	fake.serve("b")
	client.Close()
	select {
	case id := <-fake.disconnects:
		if id != "a" {
			t.Fatalf("%s is given up", id)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("its request is not given up")
	}
	runInLoop(loop, func() { fake.client("a").Served(valueResponse("a")) }) // too late
	expectAccepted(t, fake, "a", "b")
	waitUntil(t, "nothing of it is counted", func() (none bool) {
		runInLoop(loop, func() { none = frontend.memory.bufferedBytes == 0 && frontend.memory.pipelinedBytes == 0 })
		return none
	})
}

// An invalid message ends the connection in order: the requests before it are answered, then comes the error, and
// nothing behind it is accepted.
func TestInvalidMessageBehindPipelinedRequests(t *testing.T) {
	for name, bad := range invalidMessages {
		_, fake, loop, addr := start(t)
		client := testserver.Dial(t, addr)
		client.Send(concat(labelled("a", "free"), labelled("b", "free"), bad, labelled("c", "free")))
		expectAccepted(t, fake, "a", "b")
		fake.serve("b")
		fake.serve("a")
		expectAnswers(t, client, "a", "b")
		if answer := client.Until('Z'); !answer.Ended || answer.Types != "E" || answer.Code != pgwire.ProtocolViolation {
			t.Errorf("%s: %+v", name, answer)
		}
		runInLoop(loop, func() {
			if len(fake.requests) != 2 {
				t.Errorf("%s: %d accepted", name, len(fake.requests))
			}
		})
	}
}

// A client that sends Terminate behind its requests still gets their responses, and then the end.
func TestTerminateBehindPipelinedRequests(t *testing.T) {
	_, fake, _, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(labelled("a", "free"), labelled("b", "free"), pgwire.Append(nil, 'X'), labelled("c", "free")))
	expectAccepted(t, fake, "a", "b")
	fake.serve("b", "a")
	expectAnswers(t, client, "a", "b")
	if answer := client.Until('Z'); !answer.Ended || answer.Truncated {
		t.Fatalf("%+v", answer)
	}
	expectAccepted(t, fake, "a", "b")
}
