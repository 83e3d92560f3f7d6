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
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// do runs f in the loop.
func do(l *eventloop.Loop, f func()) {
	done := make(chan bool)
	l.Post(func() { f(); close(done) })
	<-done
}

// only is the one connection of the front.
func only(t *testing.T, f *Front, l *eventloop.Loop) (c *Conn) {
	t.Helper()
	until(t, "one connection", func() bool {
		do(l, func() {
			for k := range f.conns {
				c = k
			}
		})
		return c != nil
	})
	return c
}

// A client that goes has gone at once, however much it has sent ahead: its request is given up, and nothing of the rest is taken.
func TestAClientThatSentAheadAndGoes(t *testing.T) {
	f, k, l, addr := start(t)
	c := testserver.Dial(t, addr)
	c.Send(pgwire.AppendQuery(nil, sql("waits")))
	until(t, "it is taken", func() bool { return k.len() == 1 })
	conn := only(t, f, l)
	ahead := pgwire.AppendQuery(nil, sql("served"))
	c.Send(bytes.Repeat(ahead, 2*f.lim.Frontend.PipelinedBytes/len(ahead)))
	until(t, "it is read no further", func() (held bool) {
		do(l, func() { held = conn.held > f.lim.Frontend.PipelinedBytes })
		return held
	})
	c.Close()
	select {
	case id := <-k.left:
		if id != "i-waits" {
			t.Fatal(id)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("its request is kept")
	}
	if k.len() != 1 {
		t.Fatalf("%d requests taken", k.len())
	}
}

// The answer to a request crosses the end of its client, which had sent another one ahead: that is not begun, though the end has
// yet to be told.
func TestNothingSentAheadIsBegunBehindTheEnd(t *testing.T) {
	f, k, l, addr := start(t)
	c := testserver.Dial(t, addr)
	c.Send(append(pgwire.AppendQuery(nil, sql("waits")), pgwire.AppendQuery(nil, sql("served"))...))
	until(t, "it is taken", func() bool { return k.len() == 1 })
	conn := only(t, f, l)
	until(t, "the other one has come", func() (came bool) {
		do(l, func() { came = len(conn.line) == 2 })
		return came
	})
	busy, free, answered := make(chan bool), make(chan bool), make(chan bool)
	l.Post(func() { close(busy); <-free })
	l.Post(func() { // the answer is in the queue before the end is
		k.clients[0].Served(&backend.Response{})
		close(answered)
	})
	<-busy
	c.Close()
	until(t, "it has gone", func() bool { return conn.sock.Left(true) })
	close(free)
	<-answered
	if k.len() != 1 {
		t.Fatal("a request of a client that has gone is taken")
	}
}

// At the end of a drain what has come in part becomes whole and is answered, and one that has only just connected is waited for;
// one that rests is ended, and a request that crosses that is not taken.
func TestFinishCrossesNothing(t *testing.T) {
	f, k, l, addr := start(t)
	do(l, f.Ready)
	part, fresh, rests := testserver.Dial(t, addr), testserver.Dial(t, addr), testserver.Dial(t, addr)
	rests.Send(pgwire.AppendQuery(nil, sql("served")))
	rests.Until('Z')
	fresh.Send(pgwire.AppendQuery(nil, sql("served")))
	fresh.Until('Z')
	p := pgwire.AppendQuery(nil, sql("served"))
	part.Send(p) // it is no newcomer
	part.Until('Z')
	part.Send(p[:20])
	until(t, "a part has come", func() (came bool) {
		do(l, func() {
			for c := range f.conns {
				came = came || c.reader.Waiting() > 0
			}
		})
		return came
	})
	fresh = testserver.Dial(t, addr)
	do(l, func() { f.Drain(false); f.Finish() })
	part.Send(p[20:])
	fresh.Send(pgwire.AppendQuery(nil, sql("served")))
	for name, c := range map[string]*testserver.Client{"in part": part, "fresh": fresh} {
		if a := c.Until('Z'); a.Types != "TDCZ" {
			t.Errorf("%s: %+v", name, a)
		}
		if a := c.Until('Z'); !a.Ended || a.Cut {
			t.Errorf("%s: %+v", name, a)
		}
	}
	taken := k.len()
	rests.Write(pgwire.AppendQuery(nil, sql("served"))) // it crosses the end
	if a := rests.Until('Z'); !a.Ended || a.Cut {
		t.Errorf("rests: %+v", a)
	}
	if k.len() != taken {
		t.Error("a request behind the end is taken")
	}
	until(t, "all are ended", func() (none bool) {
		do(l, func() { none = f.Open() == 0 })
		return none
	})
}

// A connection that brings nothing does not hold up the end.
func TestFinishWaitsNoLongerThanItMay(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.UnusedIdle = 100 * time.Millisecond
	f, _, l, addr := startWith(t, lim)
	do(l, f.Ready)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	half := testserver.Dial(t, addr)
	half.Send(pgwire.AppendQuery(nil, sql("served"))[:20])
	until(t, "both are there", func() (ok bool) {
		do(l, func() { ok = f.Open() == 2 })
		return ok
	})
	do(l, func() { f.Drain(false); f.Finish() })
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Read(make([]byte, 9)); err != io.EOF {
		t.Fatal(err)
	}
	if a := half.Until('Z'); !a.Ended {
		t.Fatalf("%+v", a)
	}
}
