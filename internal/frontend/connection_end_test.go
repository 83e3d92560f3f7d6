package frontend

import (
	"bytes"
	"testing"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// The request of a client that disconnects is cancelled.
func TestDisconnectCancelsRequest(t *testing.T) {
	_, fake, _, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(pgwire.AppendQuery(nil, statement("served")), statement("held")))
	if answer := client.Until('Z'); answer.Types != "TDCZ" { // both are accepted in one loop iteration
		t.Fatalf("response %+v, want types TDCZ", answer)
	}
	client.Close()
	if id := <-fake.disconnects; id != "i-held" {
		t.Fatal(id)
	}
}

// The disconnect of a client is noticed at once, however much it has sent ahead: its request is cancelled, and none of
// the pipelined ones is accepted.
func TestDisconnectAfterPipelinedBytes(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, statement("write")))
	waitUntil(t, "the request is accepted", func() bool { return fake.accepted() == 1 })
	conn := onlyConnection(t, frontend, loop)
	ahead := pgwire.AppendQuery(nil, statement("served"))
	client.Send(bytes.Repeat(ahead, 2*frontend.limits.Frontend.PipelinedBytes/len(ahead)))
	waitUntil(t, "reading from the client has stopped", func() (held bool) {
		runInLoop(loop, func() { held = conn.memory.unparsedBytes > frontend.limits.Frontend.PipelinedBytes })
		return held
	})
	client.Close()
	select {
	case id := <-fake.disconnects:
		if id != "i-write" {
			t.Fatal(id)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the request of a disconnected client is not cancelled within 20 s")
	}
	if fake.accepted() != 1 {
		t.Fatalf("%d requests accepted, want 1", fake.accepted())
	}
}

// A response is sent while its client disconnects with another request pipelined. That request must not be started,
// although the handler has not been notified of the disconnect yet.
func TestNoPipelinedRequestStartsAfterDisconnect(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(append(pgwire.AppendQuery(nil, statement("write")), pgwire.AppendQuery(nil, statement("served"))...))
	waitUntil(t, "the request is accepted", func() bool { return fake.accepted() == 1 })
	conn := onlyConnection(t, frontend, loop)
	waitForSlots(t, loop, conn, 2)
	busy, free, answered := make(chan bool), make(chan bool), make(chan bool)
	loop.Post(func() {
		close(busy)
		<-free
	})
	loop.Post(func() { // the response is in the queue before the disconnect
		fake.clients[0].Served(&backend.Response{})
		close(answered)
	})
	<-busy
	client.Close()
	waitUntil(t, "the client has disconnected", func() bool { return conn.socket.PeerClosed(true) })
	close(free)
	<-answered
	if fake.accepted() != 1 {
		t.Fatal("a request of a disconnected client is accepted")
	}
}

// All requests in flight of a client that disconnects are cancelled, and its queued request is not started.
func TestDisconnectCancelsPipelinedRequests(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(
		queryWithID("a", "any"), queryWithID("b", "any"), queryWithID("w", "write"), queryWithID("c", "any")))
	conn := onlyConnection(t, frontend, loop)
	waitForSlots(t, loop, conn, 3) // the write is queued
	fake.serve("b")
	client.Close()
	select {
	case id := <-fake.disconnects:
		if id != "a" {
			t.Fatalf("request %s is cancelled, want a", id)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the request of a disconnected client is not cancelled within 20 s")
	}
	runInLoop(loop, func() { fake.client("a").Served(valueResponse("a")) }) // too late
	expectAccepted(t, fake, "a", "b")
	waitUntil(t, "all memory is released", func() (none bool) {
		runInLoop(loop, func() { none = frontend.memory.bufferedBytes == 0 && frontend.memory.pipelinedBytes == 0 })
		return none
	})
}

// An invalid message ends the connection in order: the earlier requests are answered, then the error is sent, and no
// later request is accepted.
func TestInvalidMessageAfterPipelinedRequests(t *testing.T) {
	for name, bad := range invalidMessages {
		_, fake, loop, addr := start(t)
		client := testserver.Dial(t, addr)
		client.Send(concat(queryWithID("a", "any"), queryWithID("b", "any"), bad, queryWithID("c", "any")))
		expectAccepted(t, fake, "a", "b")
		fake.serve("b")
		fake.serve("a")
		expectResponses(t, client, "a", "b")
		if answer := client.Until('Z'); !answer.Ended || answer.Types != "E" || answer.Code != pgwire.ProtocolViolation {
			t.Errorf("%s: response %+v, want error 08P01 and the end of the connection", name, answer)
		}
		runInLoop(loop, func() {
			if len(fake.requests) != 2 {
				t.Errorf("%s: %d requests accepted, want 2", name, len(fake.requests))
			}
		})
	}
}

// A client that sends Terminate after its requests still gets their responses before the connection is closed.
func TestTerminateAfterPipelinedRequests(t *testing.T) {
	_, fake, _, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(queryWithID("a", "any"), queryWithID("b", "any"), pgwire.Append(nil, 'X'), queryWithID("c", "any")))
	expectAccepted(t, fake, "a", "b")
	fake.serve("b", "a")
	expectResponses(t, client, "a", "b")
	if answer := client.Until('Z'); !answer.Ended || answer.Truncated {
		t.Fatalf("response %+v, want the end of the connection", answer)
	}
	expectAccepted(t, fake, "a", "b")
}
