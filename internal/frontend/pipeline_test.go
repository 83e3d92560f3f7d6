package frontend

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
)

// Classes of the test's core that it does not answer by itself: "free" reads wait for nothing, "sees" waits for writes, "own" for those of
// its session, "waits" is a write.

func ask(id, class string) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=%s,d=900,cluster=1 */ SELECT 1", id, class))
}

func value(text string) *backend.Response {
	p := pgwire.Append(nil, 'T', []byte{0, 0})
	p = pgwire.Append(p, 'D', []byte{0, 1, 0, 0, byte(len(text) >> 8), byte(len(text))}, []byte(text))
	return &backend.Response{Messages: pgwire.Append(p, 'C', []byte("SELECT 1\x00"))}
}

// labels are the ids of what the core was given so far, in order.
func (k *core) labels() (ids []string) {
	do(k.loop, func() {
		for _, q := range k.asked {
			ids = append(ids, q.Label)
		}
	})
	return ids
}

// client is the one of the request with that id.
func (k *core) client(id string) (c router.Client) {
	for i, q := range k.asked {
		if q.Label == id {
			c = k.clients[i]
		}
	}
	return c
}

func (k *core) serve(ids ...string) {
	do(k.loop, func() {
		for _, id := range ids {
			k.client(id).Served(value(id))
		}
	})
}

// taken waits until the core was given just these, in any order, and the connection reads no further.
func taken(t *testing.T, k *core, want ...string) {
	t.Helper()
	slices.Sort(want)
	until(t, "taken: "+strings.Join(want, " "), func() bool { return len(k.labels()) >= len(want) })
	if got := k.labels(); !slices.Equal(slices.Sorted(slices.Values(got)), want) {
		t.Fatalf("taken %v, not %v", got, want)
	}
}

// told reads the values that come, by their ids, or the codes of errors.
func told(t *testing.T, c *testserver.Client, want ...string) {
	t.Helper()
	for i, w := range want {
		a := c.Until('Z')
		if got := a.Code + strings.Map(func(r rune) rune {
			if r < ' ' {
				return -1
			}
			return r
		}, a.Value); got != w {
			a.Value = a.Value[:min(len(a.Value), 20)]
			t.Fatalf("answer %d of %d, wanted %.20s, is %+v", i, len(want), w, a)
		}
	}
}

func batch(parts ...[]byte) []byte { return slices.Concat(parts...) }

// A request that waited behind another one came when its last byte did: its client's time runs from then, not from its turn.
func TestTheTimeOfWhatWaitsRunsFromWhenItCame(t *testing.T) {
	f, k, l, addr := start(t)
	c := testserver.Dial(t, addr)
	c.Send(append(pgwire.AppendQuery(nil, sql("waits")), pgwire.AppendQuery(nil, sql("served"))...))
	until(t, "the head is taken", func() bool { return k.len() == 1 })
	conn := only(t, f, l)
	until(t, "the other one has come", func() (came bool) {
		do(l, func() { came = len(conn.line) == 2 })
		return came
	})
	came := l.Now()
	until(t, "time has passed", func() bool { return l.Now() > came+50*time.Millisecond })
	do(l, func() { k.clients[0].Served(&backend.Response{}) })
	c.Until('Z')
	if q := k.newest.Load(); q.Class != "served" || q.ReceivedAt > came {
		t.Fatalf("%s counts from %v behind its coming", q.Class, q.ReceivedAt-came)
	}
}

// The same of what lies in the reader, since the one before it waits.
func TestTheTimeOfWhatIsNotCutYetRunsFromWhenItCame(t *testing.T) {
	f, k, l, addr := start(t)
	c := testserver.Dial(t, addr)
	c.Send(batch(ask("a", "free"), ask("b", "waits"), ask("c", "free")))
	taken(t, k, "a")
	conn := only(t, f, l)
	until(t, "all has come", func() (came bool) {
		do(l, func() { came = len(conn.line) == 2 && conn.reader.Waiting() == len(ask("c", "free")) })
		return came
	})
	came := l.Now()
	until(t, "time has passed", func() bool { return l.Now() > came+50*time.Millisecond })
	k.serve("a")
	taken(t, k, "a", "b", "c")
	do(l, func() {
		for _, q := range k.asked {
			if q.ReceivedAt > came {
				t.Errorf("%s counts from %v behind its coming", q.Label, q.ReceivedAt-came)
			}
		}
	})
}

// Reads sent in one write are in hand together, though the first is held for ever; their answers leave in order, each its own.
func TestReadsOfOneConnectionAreInHandTogether(t *testing.T) {
	for _, n := range []int{10, 100} {
		_, k, l, addr := start(t)
		c := testserver.Dial(t, addr)
		var all []byte
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("r%02d", i))
			all = append(all, ask(ids[i], "free")...)
		}
		c.Send(all)
		most := min(n, limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second).Frontend.ConcurrentRequests)
		taken(t, k, ids[:most]...)
		r := rand.New(rand.NewPCG(1, uint64(n)))
		go func() {
			open := map[string]bool{}
			for done := 0; done < n; {
				for _, id := range k.labels() {
					if _, known := open[id]; !known {
						open[id] = true
					}
				}
				var now []string
				for id, is := range open {
					if is {
						now = append(now, id)
					}
				}
				slices.Sort(now)
				r.Shuffle(len(now), func(i, j int) { now[i], now[j] = now[j], now[i] })
				for _, id := range now[:(len(now)+1)/2] {
					open[id] = false
					done++
					k.serve(id)
				}
			}
		}()
		told(t, c, ids...)
		do(l, func() {
			if len(k.asked) != n {
				t.Errorf("%d taken of %d", len(k.asked), n)
			}
		})
	}
}

// What is done is what would be done one after the other: a write waits for all before it, and reads that have to see it wait for it.
// Others go on beside it.
func TestOrderOfEffects(t *testing.T) {
	f, k, l, addr := start(t)
	c := testserver.Dial(t, addr)
	c.Send(batch(ask("a", "free"), ask("b", "free"), ask("w", "waits"), ask("d", "free"), ask("s", "sees"), ask("e", "free")))
	conn := only(t, f, l)
	waits := func(what string) {
		t.Helper()
		until(t, what+" waits", func() (is bool) {
			do(l, func() {
				n := len(conn.line)
				is = n > 0 && conn.line[n-1].state == waiting && conn.line[n-1].q.Label == what
			})
			return is
		})
	}
	waits("w")
	taken(t, k, "a", "b")
	k.serve("b")
	waits("w")
	taken(t, k, "a", "b")
	k.serve("a")
	waits("s")
	taken(t, k, "a", "b", "w", "d")
	k.serve("d")
	waits("s")
	taken(t, k, "a", "b", "w", "d")
	k.serve("w")
	taken(t, k, "a", "b", "w", "d", "s", "e")
	k.serve("e", "s")
	told(t, c, "a", "b", "w", "d", "s", "e")
}

// A read of a session that was sent behind a write of it gets the write's position, which its client could not know; others don't.
func TestAPipelinedReadSeesItsSessionsWrite(t *testing.T) {
	_, k, l, addr := start(t)
	c := testserver.Dial(t, addr)
	of := func(id, class, session string) []byte {
		return pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=%s,d=900,cluster=1,after=5 */ SELECT data FROM facts WHERE code = '%s'", id, class, session))
	}
	c.Send(batch(of("w", "waits", "mine"), of("other", "own", "another"), of("own", "own", "mine"), of("more", "own", "another")))
	taken(t, k, "w", "other")
	do(l, func() {
		w := k.client("w")
		w.(router.Committer).Committed(7 * time.Second)
		w.Served(value("w"))
	})
	taken(t, k, "w", "other", "own", "more")
	do(l, func() {
		for _, q := range k.asked {
			want := 5 * time.Millisecond
			if q.Label == "own" {
				want = 7 * time.Second
			}
			if q.MinPosition != want {
				t.Errorf("%s has to see %v, not %v", q.Label, q.MinPosition, want)
			}
		}
	})
	k.serve("own", "other", "more")
	told(t, c, "w", "other", "own", "more")
	// The answer to the write has left and nothing of the connection waits: a read that crosses it on the way has the position of before.
	at := func(id string, ms int) []byte {
		return pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=own,d=900,cluster=1,after=%d */ SELECT data FROM facts WHERE code = 'mine'", id, ms))
	}
	for i, later := range []struct {
		id         string
		tells      int
		sees       time.Duration
		afterwards string
	}{
		{"crossing", 5, 7 * time.Second, "it says that it knows of none"},
		{"another", 6, 7 * time.Second, "again"},
		{"knows", 7000, 7 * time.Second, "it says that it knows"},
		{"free", 5, 5 * time.Millisecond, "its own word counts from then on"},
	} {
		c.Send(at(later.id, later.tells))
		until(t, later.id, func() bool { return k.len() == 5+i })
		do(l, func() {
			if q := k.asked[4+i]; q.MinPosition != later.sees {
				t.Errorf("%s has to see %v, not %v: %s", later.id, q.MinPosition, later.sees, later.afterwards)
			}
		})
		k.serve(later.id)
		told(t, c, later.id)
	}
}

// The writes of more sessions on one connection than are told apart are still seen, each group's by the reads of that group, and what is kept
// is bounded.
func TestWritesOfManySessionsAreSeen(t *testing.T) {
	var m commits
	const n = 40 * commitsMost
	for i := range n {
		m.note(fmt.Sprint("s", i), int64(i%4), time.Duration(i+1)*time.Second)
	}
	for i := range n {
		q := router.Request{Session: fmt.Sprint("s", i), Group: int64(i % 4), MinPosition: 1}
		if got, most := m.see(&q), time.Duration(n)*time.Second; got < time.Duration(i+1)*time.Second || got > most || got/time.Second%4 != time.Duration(i+1)%4 {
			t.Fatalf("session %d has to see %v", i, got)
		}
	}
	if q := (router.Request{Session: "s1", Group: 77, MinPosition: 5}); m.see(&q) != 5 {
		t.Error("another group's writes are asked of it")
	}
	if len(m.own) > commitsMost || len(m.groups) != 4 {
		t.Errorf("%d sessions and %d groups are kept", len(m.own), len(m.groups))
	}
	for i := range n { // all that are told apart show that they know of theirs; the others have not
		m.see(&router.Request{Session: fmt.Sprint("s", i), Group: int64(i % 4), MinPosition: time.Duration(n) * time.Second})
	}
	if q := (router.Request{Session: "s0", Group: 0, MinPosition: 1}); len(m.own) != 0 || m.see(&q) < time.Second {
		t.Errorf("with %d sessions told apart another one has to see %v", len(m.own), m.see(&q))
	}
}

// One that is refused, unfit or failed, an empty query, and a SET, each in its place, spoil none behind them.
func TestFaultsAmongPipelinedRequests(t *testing.T) {
	f, k, l, addr := start(t)
	do(l, f.Ready)
	c := testserver.Dial(t, addr)
	c.Send(batch(ask("a", "free"), ask("x", "odd"), pgwire.AppendQuery(nil, ""), ask("b", "free"), pgwire.AppendQuery(nil, "SET a = 1"),
		ask("c", "free"), ask("d", "free"), ask("e", "waits")))
	taken(t, k, "a", "b", "c", "d")
	do(l, func() { k.client("c").Rejected(time.Second); k.client("b").Failed("why") })
	k.serve("d", "a")
	for i, want := range []string{"TDCZ", "EZ42601", "IZ", "EZ08007", "EZ42601", "EZ53300", "TDCZ"} {
		if a := c.Until('Z'); a.Types+a.Code != want {
			t.Fatalf("answer %d: %+v", i, a)
		}
	}
	taken(t, k, "a", "b", "c", "d", "e")
	k.serve("e")
	told(t, c, "e")
}

// Requests that are answered at once, however many come in one write, are worked off one behind the other: what is on the stack does not grow
// with them.
func TestManyUnfitRequestsInOneWrite(t *testing.T) {
	_, k, l, addr := start(t)
	deepest := 0
	do(l, func() {
		k.odd = func() { deepest = max(deepest, runtime.Callers(0, make([]uintptr, 4096))) }
	})
	const n = 900
	c := testserver.Dial(t, addr)
	var want []string
	for range n {
		want = append(want, "42601")
	}
	c.Send(bytes.Repeat(ask("x", "odd"), n))
	told(t, c, want...)
	do(l, func() {
		if deepest == 0 || deepest > 60 {
			t.Errorf("%d calls deep", deepest)
		}
	})
}

// What can't be read ends the connection in order: those before it are answered, then comes the error, and nothing behind it is taken.
func TestGarbageBehindPipelinedRequests(t *testing.T) {
	for name, bad := range map[string][]byte{"type": {'?', 0, 0, 0, 4}, "length": {'Q', 0x7f, 0, 0, 0}, "body": {'Q', 0, 0, 0, 5, 'x'}} {
		_, k, l, addr := start(t)
		c := testserver.Dial(t, addr)
		c.Send(batch(ask("a", "free"), ask("b", "free"), bad, ask("c", "free")))
		taken(t, k, "a", "b")
		k.serve("b")
		k.serve("a")
		told(t, c, "a", "b")
		if a := c.Until('Z'); !a.Ended || a.Types != "E" || a.Code != pgwire.ProtocolViolation {
			t.Errorf("%s: %+v", name, a)
		}
		do(l, func() {
			if len(k.asked) != 2 {
				t.Errorf("%s: %d taken", name, len(k.asked))
			}
		})
	}
}

// A client that says goodbye behind its requests still gets their answers, and an end.
func TestTerminateBehindPipelinedRequests(t *testing.T) {
	_, k, _, addr := start(t)
	c := testserver.Dial(t, addr)
	c.Send(batch(ask("a", "free"), ask("b", "free"), pgwire.Append(nil, 'X'), ask("c", "free")))
	taken(t, k, "a", "b")
	k.serve("b", "a")
	told(t, c, "a", "b")
	if a := c.Until('Z'); !a.Ended || a.Cut {
		t.Fatalf("%+v", a)
	}
	taken(t, k, "a", "b")
}

// A client that goes takes with it all that it has in hand, and what waits is not begun.
func TestAClientThatPipelinesAndGoes(t *testing.T) {
	f, k, l, addr := start(t)
	c := testserver.Dial(t, addr)
	c.Send(batch(ask("a", "free"), ask("b", "free"), ask("w", "waits"), ask("c", "free")))
	conn := only(t, f, l)
	until(t, "the write waits", func() (is bool) { do(l, func() { is = len(conn.line) == 3 }); return is })
	k.serve("b")
	c.Close()
	select {
	case id := <-k.left:
		if id != "a" {
			t.Fatalf("%s is given up", id)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("its request is kept")
	}
	do(l, func() { k.client("a").Served(value("a")) }) // too late
	taken(t, k, "a", "b")
	until(t, "nothing of it is counted", func() (none bool) { do(l, func() { none = f.buffered == 0 && f.ahead == 0 }); return none })
}

// With the process about to end, all that was sent ahead is answered, then the connection ends; nothing of it is lost.
func TestDrainOfPipelinedRequests(t *testing.T) {
	f, k, l, addr := start(t)
	c := testserver.Dial(t, addr)
	c.Send(batch(ask("a", "free"), ask("w", "waits"), ask("b", "free")))
	taken(t, k, "a")
	do(l, func() { f.Drain(false); f.Finish() })
	c.Send(ask("c", "free"))
	k.serve("a")
	taken(t, k, "a", "w", "b", "c")
	k.serve("c", "b", "w")
	told(t, c, "a", "w", "b", "c")
	if a := c.Until('Z'); !a.Ended || a.Cut {
		t.Fatalf("%+v", a)
	}
}

// The same of a connection that has requests in hand and nothing else on its way: neither the drain nor its end cuts it off.
func TestEndOfADrainWithRequestsInHand(t *testing.T) {
	f, k, l, addr := start(t)
	c := testserver.Dial(t, addr)
	c.Send(batch(ask("a", "free"), ask("b", "free")))
	taken(t, k, "a", "b")
	do(l, func() { f.Drain(false); f.Finish() })
	k.serve("b", "a")
	told(t, c, "a", "b")
	if a := c.Until('Z'); !a.Ended || a.Cut {
		t.Fatalf("%+v", a)
	}
}

// Where there is no room to keep answers that wait for others, a request waits until it is the first, and all is given back.
func TestPipelinedRequestsWaitForRoom(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.BufferedBytes = 2*lim.Backend.StreamThresholdBytes + 4000 // for one beside the first
	f, k, l, addr := startWith(t, lim)
	c := testserver.Dial(t, addr)
	c.Send(batch(ask("a", "free"), ask("b", "free"), ask("c", "free"), ask("d", "free")))
	conn := only(t, f, l)
	until(t, "the third waits", func() (is bool) { do(l, func() { is = len(conn.line) == 3 }); return is })
	taken(t, k, "a", "b")
	k.serve("a")
	taken(t, k, "a", "b", "c")
	k.serve("b", "c")
	taken(t, k, "a", "b", "c", "d")
	k.serve("d")
	told(t, c, "a", "b", "c", "d")
	until(t, "nothing is counted", func() (none bool) {
		do(l, func() { none = f.buffered == 0 && f.ahead == 0 && conn.backlog == 0 })
		return none
	})
}

// However many clients send ahead however much, there is room for those that ask one thing at a time.
func TestAFloodSentAheadLeavesRoomForOthers(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.BufferedBytes = 400_000
	f, k, l, addr := startWith(t, lim)
	const floods = 20
	ahead := bytes.Repeat(pgwire.AppendQuery(nil, sql("served")), lim.Frontend.PipelinedBytes/len(pgwire.AppendQuery(nil, sql("served"))))
	var all []*testserver.Client
	for range floods {
		c := testserver.Dial(t, addr)
		c.Send(pgwire.AppendQuery(nil, sql("waits")))
		all = append(all, c)
	}
	until(t, "all have a request in hand", func() bool { return k.len() == floods })
	for _, c := range all {
		c.Send(ahead)
	}
	until(t, "more has come than there is room for", func() (is bool) {
		do(l, func() { is = f.ahead > lim.Frontend.BufferedBytes })
		return is
	})
	c := testserver.Dial(t, addr)
	p := pgwire.AppendQuery(nil, sql("served")+strings.Repeat(" ", 60_000))
	for range 3 {
		c.Send(p[:30_000])
		c.Send(p[30_000:])
		if a := c.Until('Z'); a.Types != "TDCZ" {
			t.Fatalf("%+v", a)
		}
	}
}

// The answers that wait for others are bounded: beyond that nothing more of the connection is begun.
func TestAnswersThatWaitForOthersAreBounded(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	f, k, l, addr := startWith(t, lim)
	c := testserver.Dial(t, addr)
	c.Send(ask("a", "free"))
	taken(t, k, "a")
	conn := only(t, f, l)
	long := strings.Repeat("x", 60_000)
	n := 0
	for range 4 {
		n++
		id := fmt.Sprint("r", n)
		c.Send(ask(id, "free"))
		until(t, "it has come", func() (is bool) {
			do(l, func() { is = len(k.asked) == n+1 || conn.reader.Waiting() > 0 })
			return is
		})
		do(l, func() {
			if q := k.client(id); q != nil {
				q.Served(value(long))
			} else if conn.backlog <= lim.Frontend.HighWaterBytes {
				t.Errorf("%s is not begun with %d bytes waiting", id, conn.backlog)
			} else {
				n-- // nor are those behind it
			}
		})
	}
	if n != 3 {
		t.Fatalf("%d begun", n)
	}
	k.serve("a")
	told(t, c, "a", long, long, long)
	taken(t, k, "a", "r1", "r2", "r3", "r4")
}

// A client that has many requests in hand and reads nothing until all are answered gets each answer whole, though together they are more than
// it may leave unread.
func TestASlowReaderOfManyAnswersGetsThemAll(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	for _, inOrder := range []bool{true, false} {
		f, k, l, addr := startWith(t, lim)
		c := testserver.Dial(t, addr)
		long := strings.Repeat("x", 60_000)
		n := lim.Frontend.ConcurrentRequests
		if n*len(long) < lim.Frontend.UnreadBytes+lim.Frontend.SendBufferBytes {
			t.Fatal("they are not more than it may leave unread")
		}
		var all []byte
		var ids, want []string
		for i := range n {
			ids, want = append(ids, fmt.Sprintf("r%02d", i)), append(want, long)
			all = append(all, ask(ids[i], "free")...)
		}
		c.Send(all)
		taken(t, k, ids...)
		if !inOrder {
			slices.Reverse(ids)
		}
		for _, id := range ids {
			do(l, func() { k.client(id).Served(value(long)) })
		}
		conn := only(t, f, l)
		do(l, func() {
			if u := conn.sock.Unsent(); u > lim.Frontend.HighWaterBytes+2*len(long) {
				t.Errorf("%d bytes unsent", u)
			}
		})
		told(t, c, want...)
		c.Send(ask("more", "free"))
		until(t, "it goes on", func() bool { return len(k.labels()) == n+1 })
		until(t, "nothing is counted", func() (none bool) {
			do(l, func() { none = conn.backlog == 0 && f.ahead == 0 })
			return none
		})
	}
}

// halt is a source that only notes whether it is held.
type halt struct{ held []bool }

func (h *halt) SetPaused(on bool) { h.held = append(h.held, on) }

// A long answer behind another one is held at its db machine until its turn, and passed on from there. One that breaks off before its
// turn is an error in its place; one that does later ends the connection.
func TestLongAnswerBehindAnother(t *testing.T) {
	for _, when := range []string{"whole", "cut before its turn", "cut after it"} {
		_, k, l, addr := start(t)
		c := testserver.Dial(t, addr)
		c.Send(batch(ask("a", "free"), ask("long", "free"), ask("c", "free")))
		taken(t, k, "a", "long", "c")
		k.serve("c")
		h := &halt{}
		p := value("long").Messages
		do(l, func() {
			r := k.client("long")
			r.ResponseStarted(&backend.Response{Messages: p[:7]}, h)
			r.ResponsePart(p[7:12])
			if !slices.Equal(h.held, []bool{true}) {
				t.Errorf("held: %v", h.held)
			}
			if when == "cut before its turn" {
				r.ResponseTruncated()
			}
		})
		k.serve("a")
		do(l, func() {
			r := k.client("long")
			if when == "cut before its turn" {
				return
			}
			if !slices.Equal(h.held, []bool{true, false}) {
				t.Errorf("held: %v", h.held)
			}
			if when == "cut after it" {
				r.ResponseTruncated()
				return
			}
			end := bytes.IndexByte(p, 'C')
			r.ResponsePart(p[12:end])
			r.Served(&backend.Response{Messages: p[end:]})
		})
		switch when {
		case "whole":
			told(t, c, "a", "long", "c")
		case "cut before its turn":
			told(t, c, "a", pgwire.UnknownOutcome, "c")
		default:
			told(t, c, "a")
			if a := c.Until('Z'); !a.Ended || strings.Contains(a.Types, "Z") {
				t.Errorf("%+v", a)
			}
		}
	}
}

// A long answer is held behind another one. Those before it are answered while the client has so much to take that it can't begin: what
// came of it goes out in order all the same, and if it breaks off in that moment it is an error in its place.
func TestLongAnswerBehindAnotherOfASlowReader(t *testing.T) {
	for _, when := range []string{"whole", "cut", "begun then", "begun then and cut"} {
		f, k, l, addr := start(t)
		c := testserver.Dial(t, addr)
		c.Send(batch(ask("a", "free"), ask("long", "free"), ask("c", "free")))
		taken(t, k, "a", "long", "c")
		k.serve("c")
		h := &halt{}
		p := value("long").Messages
		conn := only(t, f, l)
		begin := func() {
			r := k.client("long")
			r.ResponseStarted(&backend.Response{Messages: p[:7]}, h)
			r.ResponsePart(p[7:12])
		}
		rows := bytes.Repeat(value(strings.Repeat("x", 60_000)).Messages, 15) // more than the client and the system take unread
		do(l, func() {
			if !strings.HasPrefix(when, "begun then") {
				begin()
			}
			k.client("a").Served(&backend.Response{Messages: rows})
			if len(conn.line) != 2 || !conn.choked {
				t.Errorf("%d answers are owed, choked: %t", len(conn.line), conn.choked)
			}
			if strings.HasPrefix(when, "begun then") {
				begin()
			}
			r := k.client("long")
			if !slices.Equal(h.held, []bool{true}) {
				t.Errorf("%s, held: %v", when, h.held)
			}
			if strings.HasSuffix(when, "cut") {
				r.ResponseTruncated()
				return
			}
			r.ResponsePart(p[12:20]) // was under way
			end := bytes.IndexByte(p, 'C')
			r.ResponsePart(p[20:end])
			r.Served(&backend.Response{Messages: p[end:]})
		})
		if a := c.Until('Z'); a.Types != strings.Repeat("TDC", 15)+"Z" {
			t.Fatalf("%s: %s", when, a.Types)
		}
		if strings.HasSuffix(when, "cut") {
			told(t, c, pgwire.UnknownOutcome, "c")
		} else {
			told(t, c, "long", "c")
		}
		until(t, "nothing is counted", func() (none bool) {
			do(l, func() { none = conn.backlog == 0 && f.ahead == 0 && conn.kept == 0 })
			return none
		})
	}
}

// Whatever is sent ahead, cut wherever, and in whatever order it is decided: each gets one answer, in order, and counts from when it
// came.
func FuzzPipeline(f *testing.F) {
	f.Add(uint64(1), []byte("wwff"))
	f.Add(uint64(2), []byte("fffwsfoBSfxf"))
	f.Add(uint64(3), bytes.Repeat([]byte("fsfw"), 25))
	f.Add(uint64(4), []byte("ooBBSSo"))
	f.Fuzz(func(t *testing.T, seed uint64, kinds []byte) {
		if len(kinds) > 120 {
			return
		}
		r := rand.New(rand.NewPCG(seed, 1))
		front, k, l, addr := start(t)
		do(l, front.Ready)
		before := l.Now() // many pieces share the moment of one before them
		c := testserver.Dial(t, addr)
		var all []byte
		var want []string
		asked := 0
		for i, kind := range kinds {
			id := fmt.Sprintf("r%03d", i)
			class := map[byte]string{'f': "free", 'w': "waits", 's': "sees"}[kind]
			switch {
			case class != "":
				all = append(all, ask(id, class)...)
				want = append(want, id)
				asked++
			case kind == 'o':
				all = append(all, ask(id, "odd")...)
				want = append(want, "42601")
			case kind == 'S':
				all = append(all, pgwire.AppendQuery(nil, "SET a = 1")...)
				want = append(want, "42601")
			default:
				all = append(all, pgwire.AppendQuery(nil, " ")...)
				want = append(want, "")
			}
		}
		go func() {
			for len(all) > 0 {
				n := 1 + r.IntN(min(len(all), 1+r.IntN(200)))
				if c.Write(all[:n]) != nil {
					return
				}
				all = all[n:]
			}
		}()
		answered := make(chan error, 1)
		go func() {
			order := rand.New(rand.NewPCG(seed, 2))
			open, seen := []string(nil), 0
			for done := 0; done < asked; {
				ids := k.labels()
				open = append(open, ids[seen:]...)
				if seen = len(ids); seen > asked {
					answered <- errors.New("one is taken twice")
					return
				}
				if len(open) == 0 {
					time.Sleep(50 * time.Microsecond)
					continue
				}
				i := order.IntN(len(open))
				k.serve(open[i])
				open = slices.Delete(open, i, i+1)
				done++
			}
			answered <- nil
		}()
		told(t, c, want...)
		if err := <-answered; err != nil {
			t.Fatal(err)
		}
		do(l, func() {
			for _, q := range k.asked {
				if q.ReceivedAt < before || q.ReceivedAt > l.Now() {
					t.Errorf("%s came at %v", q.Label, q.ReceivedAt)
				}
			}
		})
	})
}

// A client that takes a long answer slowly, with others sent ahead, gets all of them whole and in order.
func TestASlowReaderOfALongAnswerWithMoreAhead(t *testing.T) {
	_, k, l, addr := start(t)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(32 << 10)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	c.Write(batch(pgwire.AppendStartup(nil, "user", "x"), ask("l", "long"), ask("a", "free")))
	taken(t, k, "l", "a")
	until(t, "its source is held", func() (held bool) { do(l, func() { held = k.source.held }); return held })
	c.Write(batch(ask("b", "free"), ask("c", "free"))) // while the answer is not taken
	k.serve("a")
	go func() {
		for len(k.labels()) < 4 {
			time.Sleep(time.Millisecond)
		}
		k.serve("c", "b")
	}()
	var got []byte
	ready := []byte("Z\x00\x00\x00\x05I")
	for buf := make([]byte, 64<<10); bytes.Count(got, ready) < 5; { // the welcome has one
		n, err := c.Read(buf)
		got = append(got, buf[:n]...)
		if err != nil {
			t.Fatalf("%v after %d bytes", err, len(got))
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		p := append(value(id).Messages, ready...)
		at := bytes.Index(got, p)
		if at < longest {
			t.Fatalf("the answer to %s stands at %d", id, at)
		}
		got = append(make([]byte, longest), got[at+len(p):]...)
	}
	if len(got) != longest {
		t.Fatalf("%d bytes behind them", len(got)-longest)
	}
}
