package frontend

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// until waits for what the test has set in motion.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// do runs f in the loop.
func runInLoop(loop *eventloop.Loop, f func()) {
	done := make(chan bool)
	loop.Post(func() { f(); close(done) })
	<-done
}

// only is the one connection of the front.
func onlyConnection(t *testing.T, frontend *Front, loop *eventloop.Loop) (c *Conn) {
	t.Helper()
	waitUntil(t, "one connection", func() bool {
		runInLoop(loop, func() {
			for k := range frontend.connections {
				c = k
			}
		})
		return c != nil
	})
	return c
}

// A client that goes has gone at once, however much it has sent ahead: its request is given up, and nothing of the rest is taken.
func TestAClientThatSentAheadAndGoes(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, statement("waits")))
	waitUntil(t, "it is taken", func() bool { return fake.accepted() == 1 })
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
		t.Fatal("its request is kept")
	}
	if fake.accepted() != 1 {
		t.Fatalf("%d requests taken", fake.accepted())
	}
}

// The answer to a request crosses the end of its client, which had sent another one ahead: that is not begun, though the end has
// yet to be told.
func TestNothingSentAheadIsBegunBehindTheEnd(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(append(pgwire.AppendQuery(nil, statement("waits")), pgwire.AppendQuery(nil, statement("served"))...))
	waitUntil(t, "it is taken", func() bool { return fake.accepted() == 1 })
	conn := onlyConnection(t, frontend, loop)
	waitUntil(t, "the other one has come", func() (came bool) {
		runInLoop(loop, func() { came = len(conn.pipeline.slots) == 2 })
		return came
	})
	busy, free, answered := make(chan bool), make(chan bool), make(chan bool)
	loop.Post(func() { close(busy); <-free })
	loop.Post(func() { // the answer is in the queue before the end is
		fake.clients[0].Served(&backend.Response{})
		close(answered)
	})
	<-busy
	client.Close()
	waitUntil(t, "it has gone", func() bool { return conn.socket.Left(true) })
	close(free)
	<-answered
	if fake.accepted() != 1 {
		t.Fatal("a request of a client that has gone is taken")
	}
}

// At the end of a drain what has come in part becomes whole and is answered, and one that has only just connected is waited for;
// one that rests is ended, and a request that crosses that is not taken.
func TestFinishCrossesNothing(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	runInLoop(loop, frontend.Ready)
	part, fresh, rests := testserver.Dial(t, addr), testserver.Dial(t, addr), testserver.Dial(t, addr)
	rests.Send(pgwire.AppendQuery(nil, statement("served")))
	rests.Until('Z')
	fresh.Send(pgwire.AppendQuery(nil, statement("served")))
	fresh.Until('Z')
	message := pgwire.AppendQuery(nil, statement("served"))
	part.Send(message) // it is no newcomer
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
	runInLoop(loop, func() { frontend.Drain(false); frontend.Finish() })
	part.Send(message[20:])
	fresh.Send(pgwire.AppendQuery(nil, statement("served")))
	for name, client := range map[string]*testserver.Client{"in part": part, "fresh": fresh} {
		if answer := client.Until('Z'); answer.Types != "TDCZ" {
			t.Errorf("%s: %+v", name, answer)
		}
		if answer := client.Until('Z'); !answer.Ended || answer.Cut {
			t.Errorf("%s: %+v", name, answer)
		}
	}
	taken := fake.accepted()
	rests.Write(pgwire.AppendQuery(nil, statement("served"))) // it crosses the end
	if answer := rests.Until('Z'); !answer.Ended || answer.Cut {
		t.Errorf("rests: %+v", answer)
	}
	if fake.accepted() != taken {
		t.Error("a request behind the end is taken")
	}
	waitUntil(t, "all are ended", func() (none bool) {
		runInLoop(loop, func() { none = frontend.Open() == 0 })
		return none
	})
}

// A connection that brings nothing does not hold up the end.
func TestFinishWaitsNoLongerThanItMay(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.UnusedIdle = 100 * time.Millisecond
	frontend, _, loop, addr := startWith(t, lim)
	runInLoop(loop, frontend.Ready)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	half := testserver.Dial(t, addr)
	half.Send(pgwire.AppendQuery(nil, statement("served"))[:20])
	waitUntil(t, "both are there", func() (ok bool) {
		runInLoop(loop, func() { ok = frontend.Open() == 2 })
		return ok
	})
	runInLoop(loop, func() { frontend.Drain(false); frontend.Finish() })
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Read(make([]byte, 9)); err != io.EOF {
		t.Fatal(err)
	}
	if answer := half.Until('Z'); !answer.Ended {
		t.Fatalf("%+v", answer)
	}
}
