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

// The deadline of a request that was queued after another one runs from the arrival of its last byte, and not from its
// acceptance.
func TestDeadlineOfQueuedRequestRunsFromItsArrival(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(append(pgwire.AppendQuery(nil, statement("write")), pgwire.AppendQuery(nil, statement("served"))...))
	waitUntil(t, "the first request is accepted", func() bool { return fake.accepted() == 1 })
	conn := onlyConnection(t, frontend, loop)
	waitForSlots(t, loop, conn, 2)
	arrived := loop.Now()
	waitUntil(t, "50 ms have passed", func() bool { return loop.Now() > arrived+50*time.Millisecond })
	runInLoop(loop, func() { fake.clients[0].Served(&backend.Response{}) })
	client.Until('Z')
	if request := fake.newestRequest.Load(); request.Class != "served" || request.ReceivedAt > arrived {
		t.Fatalf("deadline of request %s starts %v after its arrival, want no later than its arrival",
			request.Class, request.ReceivedAt-arrived)
	}
}

// The deadline of a request that was not parsed yet, because an earlier one waits, runs from its arrival too.
func TestDeadlineOfUnparsedRequestRunsFromItsArrival(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(queryWithID("a", "any"), queryWithID("b", "write"), queryWithID("c", "any")))
	expectAccepted(t, fake, "a")
	conn := onlyConnection(t, frontend, loop)
	waitUntil(t, "all messages have arrived", func() (arrived bool) {
		runInLoop(loop, func() {
			arrived = len(conn.pipeline.slots) == 2 && conn.input.reader.Buffered() == len(queryWithID("c", "any"))
		})
		return arrived
	})
	arrived := loop.Now()
	waitUntil(t, "50 ms have passed", func() bool { return loop.Now() > arrived+50*time.Millisecond })
	fake.serve("a")
	expectAccepted(t, fake, "a", "b", "c")
	runInLoop(loop, func() {
		for _, request := range fake.requests {
			if request.ReceivedAt > arrived {
				t.Errorf("deadline of request %s starts %v after its arrival, want no later than its arrival",
					request.ClientRequestID, request.ReceivedAt-arrived)
			}
		}
	})
}

// Reads sent in one write are in flight concurrently, and their responses are sent in the order of the requests,
// whatever the order in which they are answered.
func TestPipelinedReadsRunConcurrently(t *testing.T) {
	for _, count := range []int{10, 100} {
		_, fake, loop, addr := start(t)
		client := testserver.Dial(t, addr)
		var all []byte
		var ids []string
		for i := range count {
			ids = append(ids, fmt.Sprintf("r%02d", i))
			all = append(all, queryWithID(ids[i], "any")...)
		}
		client.Send(all)
		concurrent := min(count, defaultLimits().Frontend.ConcurrentRequests)
		expectAccepted(t, fake, ids[:concurrent]...)
		go serveInRandomOrder(fake, rand.New(rand.NewPCG(1, uint64(count))), count)
		expectResponses(t, client, ids...)
		runInLoop(loop, func() {
			if len(fake.requests) != count {
				t.Errorf("%d requests accepted, want %d", len(fake.requests), count)
			}
		})
	}
}

// serveInRandomOrder serves count requests as they are accepted, each time half of those that are open.
func serveInRandomOrder(fake *fakeRouter, random *rand.Rand, count int) {
	served := map[string]bool{}
	for len(served) < count {
		var open []string
		for _, id := range fake.acceptedIDs() {
			if !served[id] {
				open = append(open, id)
			}
		}
		slices.Sort(open)
		random.Shuffle(len(open), func(i, j int) { open[i], open[j] = open[j], open[i] })
		for _, id := range open[:(len(open)+1)/2] {
			served[id] = true
			fake.serve(id)
		}
	}
}

// Pipelined requests have the same result as if they ran one after another: a write waits for all earlier requests, and
// reads that must see it wait for it. Other reads run concurrently with it.
func TestPipelinedWritesKeepTheirOrder(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(
		queryWithID("a", "any"), queryWithID("b", "any"), queryWithID("w", "write"),
		queryWithID("d", "any"), queryWithID("s", "latest"), queryWithID("e", "any"),
	))
	conn := onlyConnection(t, frontend, loop)
	waits := func(what string) {
		t.Helper()
		waitUntil(t, what+" is queued", func() (is bool) {
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
	expectResponses(t, client, "a", "b", "w", "d", "s", "e")
}

// A rejected, an invalid and a failed request, an empty query and a SET are answered in order, and the requests after
// them are not affected.
func TestErrorsAmongPipelinedRequests(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	runInLoop(loop, frontend.SetReady)
	client := testserver.Dial(t, addr)
	client.Send(concat(
		queryWithID("a", "any"), queryWithID("x", "unknown"), pgwire.AppendQuery(nil, ""), queryWithID("b", "any"),
		pgwire.AppendQuery(nil, "SET a = 1"), queryWithID("c", "any"), queryWithID("d", "any"), queryWithID("e", "write"),
	))
	expectAccepted(t, fake, "a", "b", "c", "d")
	runInLoop(loop, func() {
		fake.client("c").Rejected(time.Second)
		fake.client("b").Failed("timed out")
	})
	fake.serve("d", "a")
	for i, want := range []string{"TDCZ", "EZ42601", "IZ", "EZ08007", "EZ42601", "EZ53300", "TDCZ"} {
		if answer := client.Until('Z'); answer.Types+answer.Code != want {
			t.Fatalf("unexpected response %d: %+v", i, answer)
		}
	}
	expectAccepted(t, fake, "a", "b", "c", "d", "e")
	fake.serve("e")
	expectResponses(t, client, "e")
}

// Requests that are answered synchronously are handled in a loop: the depth of the stack does not grow with the number
// of requests in one write.
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
	client.Send(bytes.Repeat(queryWithID("x", "unknown"), count))
	expectResponses(t, client, want...)
	runInLoop(loop, func() {
		if deepest == 0 || deepest > 60 {
			t.Errorf("stack is %d calls deep, want 1 to 60", deepest)
		}
	})
}

// A request waits until it is the first when there is no memory for the responses of later ones, and all memory is
// released in the end.
func TestPipelinedRequestsWaitForMemory(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.BufferedBytes = 2*lim.Backend.StreamThresholdBytes + 4000 // one response after the first
	frontend, fake, loop, addr := startWith(t, lim)
	client := testserver.Dial(t, addr)
	client.Send(concat(queryWithID("a", "any"), queryWithID("b", "any"), queryWithID("c", "any"), queryWithID("d", "any")))
	conn := onlyConnection(t, frontend, loop)
	waitForSlots(t, loop, conn, 3) // the third one is queued
	expectAccepted(t, fake, "a", "b")
	fake.serve("a")
	expectAccepted(t, fake, "a", "b", "c")
	fake.serve("b", "c")
	expectAccepted(t, fake, "a", "b", "c", "d")
	fake.serve("d")
	expectResponses(t, client, "a", "b", "c", "d")
	waitUntil(t, "all memory is released", func() (none bool) {
		runInLoop(loop, func() {
			none = frontend.memory.memoryUse == memoryUse{} && conn.pipeline.backlogBytes == 0
		})
		return none
	})
}

// Clients that send many requests ahead leave memory for clients that send one request at a time.
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
		client.Send(pgwire.AppendQuery(nil, statement("write")))
		all = append(all, client)
	}
	waitUntil(t, "all have a request in flight", func() bool { return fake.accepted() == floods })
	for _, client := range all {
		client.Send(ahead)
	}
	waitUntil(t, "the pipelined bytes exceed the memory limit", func() (is bool) {
		runInLoop(loop, func() { is = frontend.memory.pipelinedBytes > lim.Frontend.BufferedBytes })
		return is
	})
	client := testserver.Dial(t, addr)
	message := pgwire.AppendQuery(nil, statement("served")+strings.Repeat(" ", 60_000))
	for range 3 {
		client.Send(message[:30_000])
		client.Send(message[30_000:])
		if answer := client.Until('Z'); answer.Types != "TDCZ" {
			t.Fatalf("response %+v, want types TDCZ", answer)
		}
	}
}

// Responses that wait for earlier ones are limited: above the limit no further request of the connection is started.
func TestResponseBacklogIsBounded(t *testing.T) {
	lim := defaultLimits()
	frontend, fake, loop, addr := startWith(t, lim)
	client := testserver.Dial(t, addr)
	client.Send(queryWithID("a", "any"))
	expectAccepted(t, fake, "a")
	conn := onlyConnection(t, frontend, loop)
	long := strings.Repeat("x", 60_000)
	count := 0
	for range 4 {
		count++
		id := fmt.Sprint("r", count)
		client.Send(queryWithID(id, "any"))
		waitUntil(t, "the request is accepted or waits to be parsed", func() (is bool) {
			runInLoop(loop, func() { is = len(fake.requests) == count+1 || conn.input.reader.Buffered() > 0 })
			return is
		})
		runInLoop(loop, func() {
			if q := fake.client(id); q != nil {
				q.Served(valueResponse(long))
			} else if conn.pipeline.backlogBytes <= lim.Frontend.HighWaterBytes {
				t.Errorf("request %s is not started with a backlog of %d bytes, which is within the limit",
					id, conn.pipeline.backlogBytes)
			} else {
				count-- // neither are the requests after it
			}
		})
	}
	if count != 3 {
		t.Fatalf("%d requests started before the backlog limit, want 3", count)
	}
	fake.serve("a")
	expectResponses(t, client, "a", long, long, long)
	expectAccepted(t, fake, "a", "r1", "r2", "r3", "r4")
}

// A request waits for exactly the earlier requests that its ordering requires.
func TestPipelineOrdering(t *testing.T) {
	write := router.Ordering{Writes: true}
	readsOwn := router.Ordering{ReadsOwnWrites: true}
	readsAll := router.Ordering{ReadsAllWrites: true}
	for name, test := range map[string]struct {
		earlier, newest slot
		want            bool
	}{
		"write after a read":                                        {slot{}, slot{ordering: write}, false},
		"write after an answered read":                              {slot{state: slotAnswered}, slot{ordering: write}, true},
		"read after a read":                                         {slot{}, slot{ordering: readsAll}, true},
		"read after a write":                                        {slot{ordering: write}, slot{}, true},
		"read of all writes after a write":                          {slot{ordering: write}, slot{ordering: readsAll}, false},
		"read of its session's writes after a write of its session": {slot{ordering: write}, slot{ordering: readsOwn}, false},
		"read of its session's writes after a write of another session": {
			slot{ordering: write, request: router.Request{Session: "other"}}, slot{ordering: readsOwn}, true,
		},
		"read with the id of another read": {
			slot{request: router.Request{ClientRequestID: "a"}}, slot{request: router.Request{ClientRequestID: "a"}}, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			var owed pipeline
			owed.add(&test.earlier)
			owed.add(&test.newest)
			if _, ok := owed.concurrentWith(&test.newest); ok != test.want {
				t.Errorf("may start = %t, want the opposite", ok)
			}
		})
	}
}
