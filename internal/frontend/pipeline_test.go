package frontend

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
)

// A request that waited behind another one was received when its last byte came: its deadline runs from then, and not
// from when it was accepted.
func TestDeadlineOfQueuedRequestRunsFromItsArrival(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(append(pgwire.AppendQuery(nil, statement("waits")), pgwire.AppendQuery(nil, statement("served"))...))
	waitUntil(t, "the first one is accepted", func() bool { return fake.accepted() == 1 })
	conn := onlyConnection(t, frontend, loop)
	waitForSlots(t, loop, conn, 2)
	came := loop.Now()
	waitUntil(t, "time has passed", func() bool { return loop.Now() > came+50*time.Millisecond })
	runInLoop(loop, func() { fake.clients[0].Served(&backend.Response{}) })
	client.Until('Z')
	if request := fake.newestRequest.Load(); request.Class != "served" || request.ReceivedAt > came {
		t.Fatalf("%s counts from %v behind its arrival", request.Class, request.ReceivedAt-came)
	}
}

// The same holds for a request that was not parsed yet, because the one before it waits.
func TestDeadlineOfUnparsedRequestRunsFromItsArrival(t *testing.T) {
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
		for _, request := range fake.requests {
			if request.ReceivedAt > came {
				t.Errorf("%s counts from %v behind its arrival", request.ClientRequestID, request.ReceivedAt-came)
			}
		}
	})
}

// Reads that were sent in one write are in flight concurrently, and their responses leave in order, whatever the
// order in which they are answered.
func TestPipelinedReadsRunConcurrently(t *testing.T) {
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
		concurrent := min(count, defaultLimits().Frontend.ConcurrentRequests)
		expectAccepted(t, fake, ids[:concurrent]...)
		go serveInRandomOrder(fake, rand.New(rand.NewPCG(1, uint64(count))), count)
		expectAnswers(t, client, ids...)
		runInLoop(loop, func() {
			if len(fake.requests) != count {
				t.Errorf("%d accepted of %d", len(fake.requests), count)
			}
		})
	}
}

// serveInRandomOrder serves so many requests as they are accepted, each time half of those that are open.
func serveInRandomOrder(fake *fakeRouter, random *rand.Rand, count int) {
	served := map[string]bool{}
	for len(served) < count {
		var open []string
		for _, label := range fake.labels() {
			if !served[label] {
				open = append(open, label)
			}
		}
		slices.Sort(open)
		random.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
		for _, label := range open[:(len(open)+1)/2] {
			served[label] = true
			fake.serve(label)
		}
	}
}

// The effect is that of requests run one after the other: a write waits for all requests before it, and reads that
// have to see it wait for it. Other reads go on beside it.
func TestPipelinedWritesKeepTheirOrder(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(
		labelled("a", "free"), labelled("b", "free"), labelled("w", "waits"),
		labelled("d", "free"), labelled("s", "sees"), labelled("e", "free"),
	))
	conn := onlyConnection(t, frontend, loop)
	waits := func(what string) {
		t.Helper()
		waitUntil(t, what+" waits", func() (is bool) {
			runInLoop(loop, func() {
				is = conn.pipeline.newestQueued() && conn.pipeline.newest().request.ClientRequestID == what
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

// A request that is rejected, invalid or failed, an empty query and a SET are answered in their places, and spoil
// none behind them.
func TestErrorsAmongPipelinedRequests(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	runInLoop(loop, frontend.SetReady)
	client := testserver.Dial(t, addr)
	client.Send(concat(
		labelled("a", "free"), labelled("x", "odd"), pgwire.AppendQuery(nil, ""), labelled("b", "free"),
		pgwire.AppendQuery(nil, "SET a = 1"), labelled("c", "free"), labelled("d", "free"), labelled("e", "waits"),
	))
	expectAccepted(t, fake, "a", "b", "c", "d")
	runInLoop(loop, func() {
		fake.client("c").Rejected(time.Second)
		fake.client("b").Failed("why")
	})
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

// Requests that are answered at once are handled one behind the other, however many come in one write: the stack does
// not grow with them.
func TestManyInvalidRequestsInOneWrite(t *testing.T) {
	_, fake, loop, addr := start(t)
	deepest := 0
	runInLoop(loop, func() {
		fake.onUnknownClass = func() { deepest = max(deepest, runtime.Callers(0, make([]uintptr, 4096))) }
	})
	const count = 900
	client := testserver.Dial(t, addr)
	var want []string
	for range count {
		want = append(want, "42601")
	}
	client.Send(bytes.Repeat(labelled("x", "odd"), count))
	expectAnswers(t, client, want...)
	runInLoop(loop, func() {
		if deepest == 0 || deepest > 60 {
			t.Errorf("%d calls deep", deepest)
		}
	})
}

// Where there is no memory for responses that wait for others, a request waits until it is the first, and everything
// is given back.
func TestPipelinedRequestsWaitForMemory(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.BufferedBytes = 2*lim.Backend.StreamThresholdBytes + 4000 // for the response of one beside the first
	frontend, fake, loop, addr := startWith(t, lim)
	client := testserver.Dial(t, addr)
	client.Send(concat(labelled("a", "free"), labelled("b", "free"), labelled("c", "free"), labelled("d", "free")))
	conn := onlyConnection(t, frontend, loop)
	waitForSlots(t, loop, conn, 3) // the third waits
	expectAccepted(t, fake, "a", "b")
	fake.serve("a")
	expectAccepted(t, fake, "a", "b", "c")
	fake.serve("b", "c")
	expectAccepted(t, fake, "a", "b", "c", "d")
	fake.serve("d")
	expectAnswers(t, client, "a", "b", "c", "d")
	waitUntil(t, "nothing is counted", func() (none bool) {
		runInLoop(loop, func() {
			none = frontend.memory == memoryUse{} && conn.pipeline.backlogBytes == 0
		})
		return none
	})
}

// However many clients send ahead however much, there is memory for those that ask one thing at a time.
func TestPipelinedFloodLeavesMemoryForOthers(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.BufferedBytes = 400_000
	frontend, fake, loop, addr := startWith(t, lim)
	const floods = 20
	query := pgwire.AppendQuery(nil, statement("served"))
	ahead := bytes.Repeat(query, lim.Frontend.PipelinedBytes/len(query))
	var all []*testserver.Client
	for range floods {
		client := testserver.Dial(t, addr)
		client.Send(pgwire.AppendQuery(nil, statement("waits")))
		all = append(all, client)
	}
	waitUntil(t, "all have a request in flight", func() bool { return fake.accepted() == floods })
	for _, client := range all {
		client.Send(ahead)
	}
	waitUntil(t, "more has come than there is memory for", func() (is bool) {
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

// The responses that wait for others are bounded: beyond that no further request of the connection is begun.
func TestResponseBacklogIsBounded(t *testing.T) {
	lim := defaultLimits()
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

// A request waits for those before it that it must not overtake, and for no others.
func TestPipelineOrdering(t *testing.T) {
	write := router.Ordering{Writes: true}
	readsOwn := router.Ordering{ReadsOwnWrites: true}
	readsAll := router.Ordering{ReadsAllWrites: true}
	for name, test := range map[string]struct {
		earlier, newest slot
		want            bool
	}{
		"write behind a read":                     {slot{}, slot{ordering: write}, false},
		"write behind an answered read":           {slot{state: slotAnswered}, slot{ordering: write}, true},
		"read behind a read":                      {slot{}, slot{ordering: readsAll}, true},
		"read behind a write":                     {slot{ordering: write}, slot{}, true},
		"read of all writes behind a write":       {slot{ordering: write}, slot{ordering: readsAll}, false},
		"read of own writes behind its session's": {slot{ordering: write}, slot{ordering: readsOwn}, false},
		"read of own writes behind another session's": {
			slot{ordering: write, request: router.Request{Session: "other"}}, slot{ordering: readsOwn}, true,
		},
		"read with the label of another read": {
			slot{request: router.Request{ClientRequestID: "a"}}, slot{request: router.Request{ClientRequestID: "a"}}, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var owed pipeline
			owed.add(&test.earlier)
			owed.add(&test.newest)
			if _, ok := owed.concurrentWith(&test.newest); ok != test.want {
				t.Errorf("may begin: %t", ok)
			}
		})
	}
}
