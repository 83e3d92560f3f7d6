package frontend

import (
	"slices"
	"strings"
	"testing"

	"limeladder/internal/backend"
	"limeladder/internal/eventloop"
	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// startLongResponse starts the response to the request with the id. Its source has bytesToCome bytes left.
func startLongResponse(loop *eventloop.Loop, fake *fakeRouter, id string, bytesToCome int) *pauseRecorder {
	source := &pauseRecorder{bytesToCome: bytesToCome}
	runInLoop(loop, func() {
		fake.client(id).ResponseStarted(&backend.Response{Messages: pgwire.Append(nil, 'T', []byte{0, 0})}, source)
	})
	return source
}

// longRow returns a row of one column and the end of its response.
func longRow(value string) (row, end []byte) {
	length := len(value)
	header := []byte{0, 1, byte(length >> 24), byte(length >> 16), byte(length >> 8), byte(length)}
	return pgwire.Append(nil, 'D', header, []byte(value)), pgwire.Append(nil, 'C', []byte("SELECT 1\x00"))
}

// finishLongResponse sends the row of a long response in pieces, and its end.
func finishLongResponse(loop *eventloop.Loop, fake *fakeRouter, id, value string) {
	row, end := longRow(value)
	runInLoop(loop, func() {
		for piece := range slices.Chunk(row, 10_000) {
			fake.client(id).ResponsePart(piece)
		}
		fake.client(id).Served(&backend.Response{Messages: end})
	})
}

// A long response broke off while the responses behind it were due, and the connection was closed with them: reads that
// had run were never answered. An error replaces it now, and the others follow.
func TestResponsesBehindBrokenLongResponseAreSent(t *testing.T) {
	_, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(queryWithID("long", "any"), queryWithID("a", "any"), queryWithID("w", "write")))
	expectAccepted(t, fake, "long", "a")
	startLongResponse(loop, fake, "long", 300_000)
	row, _ := longRow(strings.Repeat("x", 300_000))
	runInLoop(loop, func() { fake.client("long").ResponsePart(row[:200_000]) })
	fake.serve("a")
	runInLoop(loop, func() { fake.client("long").ResponseTruncated() })
	expectAccepted(t, fake, "long", "a", "w")
	fake.serve("w")
	expectResponses(t, client, pgwire.UnknownOutcome, "a", "w")
}

// A client that sends a request behind a long response gets both whole, however long the first one is: it is sent no
// faster than the client reads it.
func TestCollectedResponseIsSentWhole(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(concat(queryWithID("long", "any"), queryWithID("a", "any")))
	expectAccepted(t, fake, "long", "a")
	fake.serve("a")
	value := strings.Repeat("x", 4<<20)
	startLongResponse(loop, fake, "long", len(value))
	finishLongResponse(loop, fake, "long", value)
	conn := onlyConnection(t, frontend, loop)
	runInLoop(loop, func() {
		most := frontend.limits.Frontend.HighWaterBytes + responseChunkBytes
		if unsent := conn.socket.BytesUnsent(); unsent > most {
			t.Errorf("%d bytes are unsent, want at most %d", unsent, most)
		}
		if kept := conn.pipeline.slots[0].buffered.bytes; kept < len(value)/2 {
			t.Errorf("%d of %d bytes are kept while the client has read nothing, want most of them", kept, len(value))
		}
	})
	expectResponses(t, client, value, "a")
	expectNothingCollected(t, frontend, loop)
}

// Nothing is accepted behind a response that is being streamed: if that breaks off, it could not be answered.
func TestNothingIsAcceptedBehindStreamedResponse(t *testing.T) {
	_, fake, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(queryWithID("long", "any"))
	expectAccepted(t, fake, "long")
	startLongResponse(loop, fake, "long", 100_000)
	client.Send(queryWithID("a", "any"))
	other := testserver.Dial(t, addr)
	other.Send(queryWithID("b", "any"))
	expectAccepted(t, fake, "long", "b")
	finishLongResponse(loop, fake, "long", "whole")
	expectAccepted(t, fake, "long", "a", "b")
	fake.serve("a")
	expectResponses(t, client, "whole", "a")
}

// Collected responses of all connections share CollectedBytes. One that finds no room stays paused at its endpoint
// until there is some, and neither an answer in its place nor a client that disconnects keeps any.
func TestCollectedResponsesShareMemory(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.CollectedBytes = 500_000
	frontend, fake, loop, addr := startWith(t, lim)
	clients := map[string]*testserver.Client{}
	sources := map[string]*pauseRecorder{}
	for _, id := range []string{"first", "second", "third", "fourth"} {
		clients[id] = testserver.Dial(t, addr)
		clients[id].Send(concat(queryWithID(id, "any"), queryWithID(id+"-next", "any")))
		waitUntil(t, id, func() bool { return slices.Contains(fake.acceptedIDs(), id+"-next") })
		sources[id] = startLongResponse(loop, fake, id, 300_000)
	}
	expectPauses(t, loop, sources, map[string]string{"first": "f", "second": "t", "third": "t", "fourth": "t"})
	clients["second"].Close()
	<-fake.disconnects
	runInLoop(loop, func() { fake.client("third").ResponseTruncated() })
	expectResponses(t, clients["third"], pgwire.UnknownOutcome)
	expectPauses(t, loop, sources, map[string]string{"first": "f", "fourth": "t"})
	finishLongResponse(loop, fake, "first", strings.Repeat("x", 290_000))
	fake.serve("first-next")
	expectResponses(t, clients["first"], strings.Repeat("x", 290_000), "first-next")
	expectPauses(t, loop, sources, map[string]string{"fourth": "tf"})
	finishLongResponse(loop, fake, "fourth", strings.Repeat("x", 290_000))
	fake.serve("fourth-next")
	expectResponses(t, clients["fourth"], strings.Repeat("x", 290_000), "fourth-next")
	expectNothingCollected(t, frontend, loop)
}

// expectPauses checks which calls of SetPaused the sources have got, t for true and f for false.
func expectPauses(t *testing.T, loop *eventloop.Loop, sources map[string]*pauseRecorder, want map[string]string) {
	t.Helper()
	runInLoop(loop, func() {
		for id, calls := range want {
			got := ""
			for _, paused := range sources[id].calls {
				got += map[bool]string{true: "t", false: "f"}[paused]
			}
			if got != calls {
				t.Errorf("%s: calls of SetPaused are %q, want %q", id, got, calls)
			}
		}
	})
}

// expectNothingCollected waits until no memory is reserved for collected responses.
func expectNothingCollected(t *testing.T, frontend *Frontend, loop *eventloop.Loop) {
	t.Helper()
	waitUntil(t, "all memory of collected responses is released", func() (none bool) {
		runInLoop(loop, func() {
			none = frontend.memory.collector.reservedBytes == 0 && len(frontend.memory.collector.waiting) == 0
		})
		return none
	})
}
