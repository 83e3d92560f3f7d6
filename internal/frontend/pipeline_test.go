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

func labelled(id, class string) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=%s,d=900,cluster=1 */ SELECT 1", id, class))
}

func valueResponse(text string) *backend.Response {
	message := pgwire.Append(nil, 'T', []byte{0, 0})
	message = pgwire.Append(message, 'D', []byte{0, 1, 0, 0, byte(len(text) >> 8), byte(len(text))}, []byte(text))
	return &backend.Response{Messages: pgwire.Append(message, 'C', []byte("SELECT 1\x00"))}
}

// labels are the ids of what the core was given so far, in order.
func (fake *fakeRouter) labels() (ids []string) {
	runInLoop(fake.loop, func() {
		for _, q := range fake.requests {
			ids = append(ids, q.Label)
		}
	})
	return ids
}

// client is the one of the request with that id.
func (fake *fakeRouter) client(id string) (c router.Client) {
	for i, q := range fake.requests {
		if q.Label == id {
			c = fake.clients[i]
		}
	}
	return c
}

func (fake *fakeRouter) serve(ids ...string) {
	runInLoop(fake.loop, func() {
		for _, id := range ids {
			fake.client(id).Served(valueResponse(id))
		}
	})
}

// taken waits until the core was given just these, in any order, and the connection reads no further.
func expectAccepted(t *testing.T, fake *fakeRouter, want ...string) {
	t.Helper()
	slices.Sort(want)
	waitUntil(t, "taken: "+strings.Join(want, " "), func() bool { return len(fake.labels()) >= len(want) })
	if got := fake.labels(); !slices.Equal(slices.Sorted(slices.Values(got)), want) {
		t.Fatalf("taken %v, not %v", got, want)
	}
}

// told reads the values that come, by their ids, or the codes of errors.
func expectAnswers(t *testing.T, client *testserver.Client, want ...string) {
	t.Helper()
	for i, w := range want {
		answer := client.Until('Z')
		if got := answer.Code + strings.Map(func(r rune) rune {
			if r < ' ' {
				return -1
			}
			return r
		}, answer.Value); got != w {
			answer.Value = answer.Value[:min(len(answer.Value), 20)]
			t.Fatalf("answer %d of %d, wanted %.20s, is %+v", i, len(want), w, answer)
		}
	}
}

func concat(parts ...[]byte) []byte { return slices.Concat(parts...) }

// A request that waited behind another one came when its last byte did: its client's time runs from then, not from its turn.
func TestTheTimeOfWhatWaitsRunsFromWhenItCame(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(append(pgwire.AppendQuery(nil, statement("waits")), pgwire.AppendQuery(nil, statement("served"))...))
	waitUntil(t, "the head is taken", func() bool { return fake.accepted() == 1 })
	conn := onlyConnection(t, frontend, loop)
	waitUntil(t, "the other one has come", func() (came bool) {
		runInLoop(loop, func() { came = len(conn.pipeline.slots) == 2 })
		return came
	})
	came := loop.Now()
	waitUntil(t, "time has passed", func() bool { return loop.Now() > came+50*time.Millisecond })
	runInLoop(loop, func() { fake.clients[0].Served(&backend.Response{}) })
	client.Until('Z')
	if q := fake.newestRequest.Load(); q.Class != "served" || q.ReceivedAt > came {
		t.Fatalf("%s counts from %v behind its coming", q.Class, q.ReceivedAt-came)
	}
}

// The same of what lies in the reader, since the one before it waits.
func TestTheTimeOfWhatIsNotCutYetRunsFromWhenItCame(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(labelled("a", "free"), labelled("b", "waits"), labelled("c", "free")))
	expectAccepted(t, fake, "a")
	conn := onlyConnection(t, frontend, loop)
	waitUntil(t, "all has come", func() (came bool) {
		runInLoop(loop, func() {
			came = len(conn.pipeline.slots) == 2 && conn.input.reader.Waiting() == len(labelled("c", "free"))
		})
		return came
	})
	came := loop.Now()
	waitUntil(t, "time has passed", func() bool { return loop.Now() > came+50*time.Millisecond })
	fake.serve("a")
	expectAccepted(t, fake, "a", "b", "c")
	runInLoop(loop, func() {
		for _, q := range fake.requests {
			if q.ReceivedAt > came {
				t.Errorf("%s counts from %v behind its coming", q.Label, q.ReceivedAt-came)
			}
		}
	})
}

// Reads sent in one write are in hand together, though the first is held for ever; their answers leave in order, each its own.
func TestReadsOfOneConnectionAreInHandTogether(t *testing.T) {
	for _, count := range []int{10, 100} {
		_, fake, loop, addr := start(t)
		client := testserver.Dial(t, addr)
		var all []byte
		var ids []string
		for i := range count {
			ids = append(ids, fmt.Sprintf("r%02d", i))
			all = append(all, labelled(ids[i], "free")...)
		}
		client.Send(all)
		most := min(count, limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second).Frontend.ConcurrentRequests)
		expectAccepted(t, fake, ids[:most]...)
		r := rand.New(rand.NewPCG(1, uint64(count)))
		go func() {
			open := map[string]bool{}
			for done := 0; done < count; {
				for _, id := range fake.labels() {
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
					fake.serve(id)
				}
			}
		}()
		expectAnswers(t, client, ids...)
		runInLoop(loop, func() {
			if len(fake.requests) != count {
				t.Errorf("%d taken of %d", len(fake.requests), count)
			}
		})
	}
}

// What is done is what would be done one after the other: a write waits for all before it, and reads that have to see it wait for it.
// Others go on beside it.
func TestOrderOfEffects(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(labelled("a", "free"), labelled("b", "free"), labelled("w", "waits"), labelled("d", "free"), labelled("s", "sees"), labelled("e", "free")))
	conn := onlyConnection(t, frontend, loop)
	waits := func(what string) {
		t.Helper()
		waitUntil(t, what+" waits", func() (is bool) {
			runInLoop(loop, func() {
				count := len(conn.pipeline.slots)
				is = count > 0 && conn.pipeline.slots[count-1].state == slotWaiting && conn.pipeline.slots[count-1].request.Label == what
			})
			return is
		})
	}
	waits("w")
	expectAccepted(t, fake, "a", "b")
	fake.serve("b")
	waits("w")
	expectAccepted(t, fake, "a", "b")
	fake.serve("a")
	waits("s")
	expectAccepted(t, fake, "a", "b", "w", "d")
	fake.serve("d")
	waits("s")
	expectAccepted(t, fake, "a", "b", "w", "d")
	fake.serve("w")
	expectAccepted(t, fake, "a", "b", "w", "d", "s", "e")
	fake.serve("e", "s")
	expectAnswers(t, client, "a", "b", "w", "d", "s", "e")
}

// A read of a session that was sent behind a write of it gets the write's position, which its client could not know; others don't.
func TestAPipelinedReadSeesItsSessionsWrite(t *testing.T) {
	_, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	of := func(id, class, session string) []byte {
		return pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=%s,d=900,cluster=1,after=5 */ SELECT data FROM facts WHERE code = '%s'", id, class, session))
	}
	client.Send(concat(of("w", "waits", "mine"), of("other", "own", "another"), of("own", "own", "mine"), of("more", "own", "another")))
	expectAccepted(t, fake, "w", "other")
	runInLoop(loop, func() {
		w := fake.client("w")
		w.(router.Committer).Committed(7 * time.Second)
		w.Served(valueResponse("w"))
	})
	expectAccepted(t, fake, "w", "other", "own", "more")
	runInLoop(loop, func() {
		for _, q := range fake.requests {
			want := 5 * time.Millisecond
			if q.Label == "own" {
				want = 7 * time.Second
			}
			if q.MinPosition != want {
				t.Errorf("%s has to see %v, not %v", q.Label, q.MinPosition, want)
			}
		}
	})
	fake.serve("own", "other", "more")
	expectAnswers(t, client, "w", "other", "own", "more")
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
		client.Send(at(later.id, later.tells))
		waitUntil(t, later.id, func() bool { return fake.accepted() == 5+i })
		runInLoop(loop, func() {
			if q := fake.requests[4+i]; q.MinPosition != later.sees {
				t.Errorf("%s has to see %v, not %v: %s", later.id, q.MinPosition, later.sees, later.afterwards)
			}
		})
		fake.serve(later.id)
		expectAnswers(t, client, later.id)
	}
}

// The writes of more sessions on one connection than are told apart are still seen, each group's by the reads of that group, and what is kept
// is bounded.
func TestWritesOfManySessionsAreSeen(t *testing.T) {
	var m sessionCommits
	const n = 40 * maxTrackedSessions
	for i := range n {
		m.record(fmt.Sprint("s", i), int64(i%4), time.Duration(i+1)*time.Second)
	}
	for i := range n {
		q := router.Request{Session: fmt.Sprint("s", i), Group: int64(i % 4), MinPosition: 1}
		if got, most := m.positionFor(&q), time.Duration(n)*time.Second; got < time.Duration(i+1)*time.Second || got > most || got/time.Second%4 != time.Duration(i+1)%4 {
			t.Fatalf("session %d has to see %v", i, got)
		}
	}
	if q := (router.Request{Session: "s1", Group: 77, MinPosition: 5}); m.positionFor(&q) != 5 {
		t.Error("another group's writes are asked of it")
	}
	if len(m.sessions) > maxTrackedSessions || len(m.groups) != 4 {
		t.Errorf("%d sessions and %d groups are kept", len(m.sessions), len(m.groups))
	}
	for i := range n { // all that are told apart show that they know of theirs; the others have not
		m.positionFor(&router.Request{Session: fmt.Sprint("s", i), Group: int64(i % 4), MinPosition: time.Duration(n) * time.Second})
	}
	if q := (router.Request{Session: "s0", Group: 0, MinPosition: 1}); len(m.sessions) != 0 || m.positionFor(&q) < time.Second {
		t.Errorf("with %d sessions told apart another one has to see %v", len(m.sessions), m.positionFor(&q))
	}
}

// One that is refused, unfit or failed, an empty query, and a SET, each in its place, spoil none behind them.
func TestFaultsAmongPipelinedRequests(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	runInLoop(loop, frontend.Ready)
	client := testserver.Dial(t, addr)
	client.Send(concat(labelled("a", "free"), labelled("x", "odd"), pgwire.AppendQuery(nil, ""), labelled("b", "free"), pgwire.AppendQuery(nil, "SET a = 1"),
		labelled("c", "free"), labelled("d", "free"), labelled("e", "waits")))
	expectAccepted(t, fake, "a", "b", "c", "d")
	runInLoop(loop, func() { fake.client("c").Rejected(time.Second); fake.client("b").Failed("why") })
	fake.serve("d", "a")
	for i, want := range []string{"TDCZ", "EZ42601", "IZ", "EZ08007", "EZ42601", "EZ53300", "TDCZ"} {
		if answer := client.Until('Z'); answer.Types+answer.Code != want {
			t.Fatalf("answer %d: %+v", i, answer)
		}
	}
	expectAccepted(t, fake, "a", "b", "c", "d", "e")
	fake.serve("e")
	expectAnswers(t, client, "e")
}

// Requests that are answered at once, however many come in one write, are worked off one behind the other: what is on the stack does not grow
// with them.
func TestManyUnfitRequestsInOneWrite(t *testing.T) {
	_, fake, loop, addr := start(t)
	deepest := 0
	runInLoop(loop, func() {
		fake.onUnknownClass = func() { deepest = max(deepest, runtime.Callers(0, make([]uintptr, 4096))) }
	})
	const n = 900
	client := testserver.Dial(t, addr)
	var want []string
	for range n {
		want = append(want, "42601")
	}
	client.Send(bytes.Repeat(labelled("x", "odd"), n))
	expectAnswers(t, client, want...)
	runInLoop(loop, func() {
		if deepest == 0 || deepest > 60 {
			t.Errorf("%d calls deep", deepest)
		}
	})
}

// What can't be read ends the connection in order: those before it are answered, then comes the error, and nothing behind it is taken.
func TestGarbageBehindPipelinedRequests(t *testing.T) {
	for name, bad := range map[string][]byte{"type": {'?', 0, 0, 0, 4}, "length": {'Q', 0x7f, 0, 0, 0}, "body": {'Q', 0, 0, 0, 5, 'x'}} {
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
				t.Errorf("%s: %d taken", name, len(fake.requests))
			}
		})
	}
}

// A client that says goodbye behind its requests still gets their answers, and an end.
func TestTerminateBehindPipelinedRequests(t *testing.T) {
	_, fake, _, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(labelled("a", "free"), labelled("b", "free"), pgwire.Append(nil, 'X'), labelled("c", "free")))
	expectAccepted(t, fake, "a", "b")
	fake.serve("b", "a")
	expectAnswers(t, client, "a", "b")
	if answer := client.Until('Z'); !answer.Ended || answer.Cut {
		t.Fatalf("%+v", answer)
	}
	expectAccepted(t, fake, "a", "b")
}

// A client that goes takes with it all that it has in hand, and what waits is not begun.
func TestAClientThatPipelinesAndGoes(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(labelled("a", "free"), labelled("b", "free"), labelled("w", "waits"), labelled("c", "free")))
	conn := onlyConnection(t, frontend, loop)
	waitUntil(t, "the write waits", func() (is bool) { runInLoop(loop, func() { is = len(conn.pipeline.slots) == 3 }); return is })
	fake.serve("b")
	client.Close()
	select {
	case id := <-fake.disconnects:
		if id != "a" {
			t.Fatalf("%s is given up", id)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("its request is kept")
	}
	runInLoop(loop, func() { fake.client("a").Served(valueResponse("a")) }) // too late
	expectAccepted(t, fake, "a", "b")
	waitUntil(t, "nothing of it is counted", func() (none bool) {
		runInLoop(loop, func() { none = frontend.memory.bufferedBytes == 0 && frontend.memory.pipelinedBytes == 0 })
		return none
	})
}

// With the process about to end, all that was sent ahead is answered, then the connection ends; nothing of it is lost.
func TestDrainOfPipelinedRequests(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(labelled("a", "free"), labelled("w", "waits"), labelled("b", "free")))
	expectAccepted(t, fake, "a")
	runInLoop(loop, func() { frontend.Drain(false); frontend.Finish() })
	client.Send(labelled("c", "free"))
	fake.serve("a")
	expectAccepted(t, fake, "a", "w", "b", "c")
	fake.serve("c", "b", "w")
	expectAnswers(t, client, "a", "w", "b", "c")
	if answer := client.Until('Z'); !answer.Ended || answer.Cut {
		t.Fatalf("%+v", answer)
	}
}

// The same of a connection that has requests in hand and nothing else on its way: neither the drain nor its end cuts it off.
func TestEndOfADrainWithRequestsInHand(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(labelled("a", "free"), labelled("b", "free")))
	expectAccepted(t, fake, "a", "b")
	runInLoop(loop, func() { frontend.Drain(false); frontend.Finish() })
	fake.serve("b", "a")
	expectAnswers(t, client, "a", "b")
	if answer := client.Until('Z'); !answer.Ended || answer.Cut {
		t.Fatalf("%+v", answer)
	}
}

// Where there is no room to keep answers that wait for others, a request waits until it is the first, and all is given back.
func TestPipelinedRequestsWaitForRoom(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.BufferedBytes = 2*lim.Backend.StreamThresholdBytes + 4000 // for one beside the first
	frontend, fake, loop, addr := startWith(t, lim)
	client := testserver.Dial(t, addr)
	client.Send(concat(labelled("a", "free"), labelled("b", "free"), labelled("c", "free"), labelled("d", "free")))
	conn := onlyConnection(t, frontend, loop)
	waitUntil(t, "the third waits", func() (is bool) { runInLoop(loop, func() { is = len(conn.pipeline.slots) == 3 }); return is })
	expectAccepted(t, fake, "a", "b")
	fake.serve("a")
	expectAccepted(t, fake, "a", "b", "c")
	fake.serve("b", "c")
	expectAccepted(t, fake, "a", "b", "c", "d")
	fake.serve("d")
	expectAnswers(t, client, "a", "b", "c", "d")
	waitUntil(t, "nothing is counted", func() (none bool) {
		runInLoop(loop, func() {
			none = frontend.memory.bufferedBytes == 0 && frontend.memory.pipelinedBytes == 0 && conn.pipeline.backlogBytes == 0
		})
		return none
	})
}

// However many clients send ahead however much, there is room for those that ask one thing at a time.
func TestAFloodSentAheadLeavesRoomForOthers(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.BufferedBytes = 400_000
	frontend, fake, loop, addr := startWith(t, lim)
	const floods = 20
	ahead := bytes.Repeat(pgwire.AppendQuery(nil, statement("served")), lim.Frontend.PipelinedBytes/len(pgwire.AppendQuery(nil, statement("served"))))
	var all []*testserver.Client
	for range floods {
		client := testserver.Dial(t, addr)
		client.Send(pgwire.AppendQuery(nil, statement("waits")))
		all = append(all, client)
	}
	waitUntil(t, "all have a request in hand", func() bool { return fake.accepted() == floods })
	for _, client := range all {
		client.Send(ahead)
	}
	waitUntil(t, "more has come than there is room for", func() (is bool) {
		runInLoop(loop, func() { is = frontend.memory.pipelinedBytes > lim.Frontend.BufferedBytes })
		return is
	})
	client := testserver.Dial(t, addr)
	message := pgwire.AppendQuery(nil, statement("served")+strings.Repeat(" ", 60_000))
	for range 3 {
		client.Send(message[:30_000])
		client.Send(message[30_000:])
		if answer := client.Until('Z'); answer.Types != "TDCZ" {
			t.Fatalf("%+v", answer)
		}
	}
}

// The answers that wait for others are bounded: beyond that nothing more of the connection is begun.
func TestAnswersThatWaitForOthersAreBounded(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	frontend, fake, loop, addr := startWith(t, lim)
	client := testserver.Dial(t, addr)
	client.Send(labelled("a", "free"))
	expectAccepted(t, fake, "a")
	conn := onlyConnection(t, frontend, loop)
	long := strings.Repeat("x", 60_000)
	count := 0
	for range 4 {
		count++
		id := fmt.Sprint("r", count)
		client.Send(labelled(id, "free"))
		waitUntil(t, "it has come", func() (is bool) {
			runInLoop(loop, func() { is = len(fake.requests) == count+1 || conn.input.reader.Waiting() > 0 })
			return is
		})
		runInLoop(loop, func() {
			if q := fake.client(id); q != nil {
				q.Served(valueResponse(long))
			} else if conn.pipeline.backlogBytes <= lim.Frontend.HighWaterBytes {
				t.Errorf("%s is not begun with %d bytes waiting", id, conn.pipeline.backlogBytes)
			} else {
				count-- // nor are those behind it
			}
		})
	}
	if count != 3 {
		t.Fatalf("%d begun", count)
	}
	fake.serve("a")
	expectAnswers(t, client, "a", long, long, long)
	expectAccepted(t, fake, "a", "r1", "r2", "r3", "r4")
}

// A client that has many requests in hand and reads nothing until all are answered gets each answer whole, though together they are more than
// it may leave unread.
func TestASlowReaderOfManyAnswersGetsThemAll(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	for _, inOrder := range []bool{true, false} {
		frontend, fake, loop, addr := startWith(t, lim)
		client := testserver.Dial(t, addr)
		long := strings.Repeat("x", 60_000)
		count := lim.Frontend.ConcurrentRequests
		if count*len(long) < lim.Frontend.UnreadBytes+lim.Frontend.SendBufferBytes {
			t.Fatal("they are not more than it may leave unread")
		}
		var all []byte
		var ids, want []string
		for i := range count {
			ids, want = append(ids, fmt.Sprintf("r%02d", i)), append(want, long)
			all = append(all, labelled(ids[i], "free")...)
		}
		client.Send(all)
		expectAccepted(t, fake, ids...)
		if !inOrder {
			slices.Reverse(ids)
		}
		for _, id := range ids {
			runInLoop(loop, func() { fake.client(id).Served(valueResponse(long)) })
		}
		conn := onlyConnection(t, frontend, loop)
		runInLoop(loop, func() {
			if u := conn.socket.Unsent(); u > lim.Frontend.HighWaterBytes+2*len(long) {
				t.Errorf("%d bytes unsent", u)
			}
		})
		expectAnswers(t, client, want...)
		client.Send(labelled("more", "free"))
		waitUntil(t, "it goes on", func() bool { return len(fake.labels()) == count+1 })
		waitUntil(t, "nothing is counted", func() (none bool) {
			runInLoop(loop, func() { none = conn.pipeline.backlogBytes == 0 && frontend.memory.pipelinedBytes == 0 })
			return none
		})
	}
}

// halt is a source that only notes whether it is held.
type pauseRecorder struct{ calls []bool }

func (pauses *pauseRecorder) SetPaused(on bool) { pauses.calls = append(pauses.calls, on) }

// A long answer behind another one is held at its db machine until its turn, and passed on from there. One that breaks off before its
// turn is an error in its place; one that does later ends the connection.
func TestLongAnswerBehindAnother(t *testing.T) {
	for _, when := range []string{"whole", "cut before its turn", "cut after it"} {
		_, fake, loop, addr := start(t)
		client := testserver.Dial(t, addr)
		client.Send(concat(labelled("a", "free"), labelled("long", "free"), labelled("c", "free")))
		expectAccepted(t, fake, "a", "long", "c")
		fake.serve("c")
		pauses := &pauseRecorder{}
		message := valueResponse("long").Messages
		runInLoop(loop, func() {
			r := fake.client("long")
			r.ResponseStarted(&backend.Response{Messages: message[:7]}, pauses)
			r.ResponsePart(message[7:12])
			if !slices.Equal(pauses.calls, []bool{true}) {
				t.Errorf("held: %v", pauses.calls)
			}
			if when == "cut before its turn" {
				r.ResponseTruncated()
			}
		})
		fake.serve("a")
		runInLoop(loop, func() {
			r := fake.client("long")
			if when == "cut before its turn" {
				return
			}
			if !slices.Equal(pauses.calls, []bool{true, false}) {
				t.Errorf("held: %v", pauses.calls)
			}
			if when == "cut after it" {
				r.ResponseTruncated()
				return
			}
			end := bytes.IndexByte(message, 'C')
			r.ResponsePart(message[12:end])
			r.Served(&backend.Response{Messages: message[end:]})
		})
		switch when {
		case "whole":
			expectAnswers(t, client, "a", "long", "c")
		case "cut before its turn":
			expectAnswers(t, client, "a", pgwire.UnknownOutcome, "c")
		default:
			expectAnswers(t, client, "a")
			if answer := client.Until('Z'); !answer.Ended || strings.Contains(answer.Types, "Z") {
				t.Errorf("%+v", answer)
			}
		}
	}
}

// A long answer is held behind another one. Those before it are answered while the client has so much to take that it can't begin: what
// came of it goes out in order all the same, and if it breaks off in that moment it is an error in its place.
func TestLongAnswerBehindAnotherOfASlowReader(t *testing.T) {
	for _, when := range []string{"whole", "cut", "begun then", "begun then and cut"} {
		frontend, fake, loop, addr := start(t)
		client := testserver.Dial(t, addr)
		client.Send(concat(labelled("a", "free"), labelled("long", "free"), labelled("c", "free")))
		expectAccepted(t, fake, "a", "long", "c")
		fake.serve("c")
		pauses := &pauseRecorder{}
		message := valueResponse("long").Messages
		conn := onlyConnection(t, frontend, loop)
		begin := func() {
			r := fake.client("long")
			r.ResponseStarted(&backend.Response{Messages: message[:7]}, pauses)
			r.ResponsePart(message[7:12])
		}
		rows := bytes.Repeat(valueResponse(strings.Repeat("x", 60_000)).Messages, 15) // more than the client and the system take unread
		runInLoop(loop, func() {
			if !strings.HasPrefix(when, "begun then") {
				begin()
			}
			fake.client("a").Served(&backend.Response{Messages: rows})
			if len(conn.pipeline.slots) != 2 || !conn.output.backpressured {
				t.Errorf("%d answers are owed, choked: %t", len(conn.pipeline.slots), conn.output.backpressured)
			}
			if strings.HasPrefix(when, "begun then") {
				begin()
			}
			r := fake.client("long")
			if !slices.Equal(pauses.calls, []bool{true}) {
				t.Errorf("%s, held: %v", when, pauses.calls)
			}
			if strings.HasSuffix(when, "cut") {
				r.ResponseTruncated()
				return
			}
			r.ResponsePart(message[12:20]) // was under way
			end := bytes.IndexByte(message, 'C')
			r.ResponsePart(message[20:end])
			r.Served(&backend.Response{Messages: message[end:]})
		})
		if answer := client.Until('Z'); answer.Types != strings.Repeat("TDC", 15)+"Z" {
			t.Fatalf("%s: %s", when, answer.Types)
		}
		if strings.HasSuffix(when, "cut") {
			expectAnswers(t, client, pgwire.UnknownOutcome, "c")
		} else {
			expectAnswers(t, client, "long", "c")
		}
		waitUntil(t, "nothing is counted", func() (none bool) {
			runInLoop(loop, func() {
				none = conn.pipeline.backlogBytes == 0 && frontend.memory.pipelinedBytes == 0 && conn.memory.reservedBytes == 0
			})
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
		front, fake, loop, addr := start(t)
		runInLoop(loop, front.Ready)
		before := loop.Now() // many pieces share the moment of one before them
		client := testserver.Dial(t, addr)
		var all []byte
		var want []string
		asked := 0
		for i, kind := range kinds {
			id := fmt.Sprintf("r%03d", i)
			class := map[byte]string{'f': "free", 'w': "waits", 's': "sees"}[kind]
			switch {
			case class != "":
				all = append(all, labelled(id, class)...)
				want = append(want, id)
				asked++
			case kind == 'o':
				all = append(all, labelled(id, "odd")...)
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
				count := 1 + r.IntN(min(len(all), 1+r.IntN(200)))
				if client.Write(all[:count]) != nil {
					return
				}
				all = all[count:]
			}
		}()
		answered := make(chan error, 1)
		go func() {
			order := rand.New(rand.NewPCG(seed, 2))
			open, seen := []string(nil), 0
			for done := 0; done < asked; {
				ids := fake.labels()
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
				fake.serve(open[i])
				open = slices.Delete(open, i, i+1)
				done++
			}
			answered <- nil
		}()
		expectAnswers(t, client, want...)
		if err := <-answered; err != nil {
			t.Fatal(err)
		}
		runInLoop(loop, func() {
			for _, q := range fake.requests {
				if q.ReceivedAt < before || q.ReceivedAt > loop.Now() {
					t.Errorf("%s came at %v", q.Label, q.ReceivedAt)
				}
			}
		})
	})
}

// A client that takes a long answer slowly, with others sent ahead, gets all of them whole and in order.
func TestASlowReaderOfALongAnswerWithMoreAhead(t *testing.T) {
	_, fake, loop, addr := start(t)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.(*net.TCPConn).SetReadBuffer(32 << 10)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	c.Write(concat(pgwire.AppendStartup(nil, "user", "x"), labelled("l", "long"), labelled("a", "free")))
	expectAccepted(t, fake, "l", "a")
	waitUntil(t, "its source is held", func() (held bool) { runInLoop(loop, func() { held = fake.source.paused }); return held })
	c.Write(concat(labelled("b", "free"), labelled("c", "free"))) // while the answer is not taken
	fake.serve("a")
	go func() {
		for len(fake.labels()) < 4 {
			time.Sleep(time.Millisecond)
		}
		fake.serve("c", "b")
	}()
	var got []byte
	ready := []byte("Z\x00\x00\x00\x05I")
	for buf := make([]byte, 64<<10); bytes.Count(got, ready) < 5; { // the welcome has one
		count, err := c.Read(buf)
		got = append(got, buf[:count]...)
		if err != nil {
			t.Fatalf("%v after %d bytes", err, len(got))
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		message := append(valueResponse(id).Messages, ready...)
		at := bytes.Index(got, message)
		if at < longRowBytes {
			t.Fatalf("the answer to %s stands at %d", id, at)
		}
		got = append(make([]byte, longRowBytes), got[at+len(message):]...)
	}
	if len(got) != longRowBytes {
		t.Fatalf("%d bytes behind them", len(got)-longRowBytes)
	}
}
