package frontend

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
)

// A client that reads a long response slowly gets all of it while the router buffers little of it. A client that reads
// nothing is closed in time. A client whose response is truncated sees the end of the connection and no byte that is
// not part of the response.
func TestLongResponsesAreStreamed(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.UnreadTimeout = 400 * time.Millisecond
	for name, want := range map[string]int{"long": longRowBytes, "truncated": longRowBytes / 2, "unread": 0} {
		_, fake, loop, addr := startWith(t, lim)
		class := strings.Replace(name, "unread", "long", 1)
		c := dialSlowReader(t, addr, pgwire.AppendQuery(pgwire.AppendStartup(nil, "user", "x"), statement(class)))
		if name == "unread" {
			select {
			case <-fake.disconnects:
			case <-time.After(20 * time.Second):
				t.Fatal("a client that reads nothing is not disconnected within 20 s")
			}
		}
		pause := time.Duration(0)
		if name == "long" {
			pause = 20 * time.Millisecond
		}
		got := readLongResponse(c, pause)
		row := got[strings.IndexByte(string(got), 'D'):]
		if i := strings.Index(string(got), "T\x00\x00\x00\x06\x00\x00D"); i > 0 {
			row = got[i+7+5:]
		}
		body := strings.TrimSuffix(string(row), "C\x00\x00\x00\x0dSELECT 1\x00Z\x00\x00\x00\x05I")
		wrongLength := name != "unread" && (len(body) < want-10_000 || len(body) > want+10_000)
		if wrongLength || strings.Trim(body, "\x00") != "" {
			t.Errorf("%s: received %d bytes of the row, want about as many as were sent, and only zero bytes", name, len(body))
		}
		runInLoop(loop, func() {
			if fake.source.maxUnsentBytes > lim.Frontend.HighWaterBytes+20_000 {
				t.Errorf("%s: %d bytes were unsent, want at most 20,000 above HighWaterBytes", name, fake.source.maxUnsentBytes)
			}
		})
		c.Close()
	}
}

// readLongResponse reads up to ReadyForQuery or the end of the connection, with a pause after each read.
func readLongResponse(conn net.Conn, pause time.Duration) []byte {
	var got []byte
	var err error
	buffer := make([]byte, 256<<10)
	for err == nil && !strings.HasSuffix(string(got), "Z\x00\x00\x00\x05I") || len(got) < 1000 {
		var count int
		count, err = conn.Read(buffer)
		got = append(got, buffer[:count]...)
		time.Sleep(pause)
	}
	return got
}

// A client that has many requests in flight and reads nothing until all are answered gets every complete response,
// although their total size is more than it may leave unread.
func TestSlowReaderGetsManyResponses(t *testing.T) {
	lim := defaultLimits()
	for _, inOrder := range []bool{true, false} {
		frontend, fake, loop, addr := startWith(t, lim)
		client := testserver.Dial(t, addr)
		long := strings.Repeat("x", 60_000)
		count := lim.Frontend.ConcurrentRequests
		if count*len(long) < lim.Frontend.UnreadBytes+lim.Frontend.SendBufferBytes {
			t.Fatal("the responses are not larger than what a client may leave unread")
		}
		var all []byte
		var ids, want []string
		for i := range count {
			ids = append(ids, fmt.Sprintf("r%02d", i))
			want = append(want, long)
			all = append(all, queryWithID(ids[i], "any")...)
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
			if unsent := conn.socket.BytesUnsent(); unsent > lim.Frontend.HighWaterBytes+2*len(long) {
				t.Errorf("%d bytes are unsent, want at most two responses above HighWaterBytes", unsent)
			}
		})
		expectResponses(t, client, want...)
		client.Send(queryWithID("more", "any"))
		waitUntil(t, "the connection accepts another request", func() bool { return len(fake.acceptedIDs()) == count+1 })
		waitUntil(t, "all memory is released", func() (none bool) {
			runInLoop(loop, func() { none = conn.pipeline.backlogBytes == 0 && frontend.memory.pipelinedBytes == 0 })
			return none
		})
	}
}

// A long response after another one is paused at its endpoint until it is the first. With another one behind it, it is
// then collected: whenever it is truncated the client gets an error in its place, and the response behind it.
func TestStreamedResponseAfterAnother(t *testing.T) {
	for _, when := range []string{"complete", "truncated before it is the first", "truncated while it is the first"} {
		_, fake, loop, addr := start(t)
		client := testserver.Dial(t, addr)
		client.Send(concat(queryWithID("a", "any"), queryWithID("long", "any"), queryWithID("c", "any")))
		expectAccepted(t, fake, "a", "long", "c")
		fake.serve("c")
		pauses := &pauseRecorder{}
		message := valueResponse("long").Messages
		runInLoop(loop, func() {
			long := fake.client("long")
			long.ResponseStarted(&backend.Response{Messages: message[:7]}, pauses)
			long.ResponsePart(message[7:12])
			if !slices.Equal(pauses.calls, []bool{true}) {
				t.Errorf("calls of SetPaused are %v, want [true]", pauses.calls)
			}
			if when == "truncated before it is the first" {
				long.ResponseTruncated()
			}
		})
		fake.serve("a")
		runInLoop(loop, func() {
			long := fake.client("long")
			if when == "truncated before it is the first" {
				return
			}
			if !slices.Equal(pauses.calls, []bool{true, false}) {
				t.Errorf("calls of SetPaused are %v, want [true false]", pauses.calls)
			}
			if when == "truncated while it is the first" {
				long.ResponseTruncated()
				return
			}
			end := bytes.IndexByte(message, 'C')
			long.ResponsePart(message[12:end])
			long.Served(&backend.Response{Messages: message[end:]})
		})
		if when == "complete" {
			expectResponses(t, client, "a", "long", "c")
		} else {
			expectResponses(t, client, "a", pgwire.UnknownOutcome, "c")
		}
	}
}

// A streamed response is paused after another one, which is answered while the client has too much unread data, so that
// the streamed one can't start. The part that has arrived is still sent in order, and if the response is truncated at
// that moment the client gets an error in its place.
func TestStreamedResponseAfterAnotherOfSlowReader(t *testing.T) {
	for _, when := range []string{"complete", "truncated", "started late", "started late and truncated"} {
		frontend, fake, loop, addr := start(t)
		client := testserver.Dial(t, addr)
		client.Send(concat(queryWithID("a", "any"), queryWithID("long", "any"), queryWithID("c", "any")))
		expectAccepted(t, fake, "a", "long", "c")
		fake.serve("c")
		pauses := &pauseRecorder{}
		message := valueResponse("long").Messages
		conn := onlyConnection(t, frontend, loop)
		begin := func() {
			long := fake.client("long")
			long.ResponseStarted(&backend.Response{Messages: message[:7]}, pauses)
			long.ResponsePart(message[7:12])
		}
		// These rows are more than the client and the operating system accept while nothing is read.
		rows := bytes.Repeat(valueResponse(strings.Repeat("x", 60_000)).Messages, 15)
		runInLoop(loop, func() {
			if !strings.HasPrefix(when, "started late") {
				begin()
			}
			fake.client("a").Served(&backend.Response{Messages: rows})
			if len(conn.pipeline.slots) != 2 || !conn.output.backpressured {
				t.Errorf("%d responses are pending, backpressured is %t, want 2 and true",
					len(conn.pipeline.slots), conn.output.backpressured)
			}
			if strings.HasPrefix(when, "started late") {
				begin()
			}
			long := fake.client("long")
			if !slices.Equal(pauses.calls, []bool{true}) {
				t.Errorf("%s: calls of SetPaused are %v, want [true]", when, pauses.calls)
			}
			if strings.HasSuffix(when, "truncated") {
				long.ResponseTruncated()
				return
			}
			long.ResponsePart(message[12:20]) // was in transit
			end := bytes.IndexByte(message, 'C')
			long.ResponsePart(message[20:end])
			long.Served(&backend.Response{Messages: message[end:]})
		})
		if answer := client.Until('Z'); answer.Types != strings.Repeat("TDC", 15)+"Z" {
			t.Fatalf("%s: first response has message types %s, want 15 times TDC and one Z", when, answer.Types)
		}
		if strings.HasSuffix(when, "truncated") {
			expectResponses(t, client, pgwire.UnknownOutcome, "c")
		} else {
			expectResponses(t, client, "long", "c")
		}
		waitUntil(t, "all memory is released", func() (none bool) {
			runInLoop(loop, func() {
				none = conn.pipeline.backlogBytes == 0 && frontend.memory.pipelinedBytes == 0 &&
					conn.memory.reservedBytes == 0
			})
			return none
		})
	}
}

// A client that reads a streamed response slowly, with other requests pipelined, gets all responses complete and in
// order.
func TestSlowReaderOfStreamedResponseWithPipelinedRequests(t *testing.T) {
	_, fake, loop, addr := start(t)
	startup := pgwire.AppendStartup(nil, "user", "x")
	c := dialSlowReader(t, addr, concat(startup, queryWithID("l", "long")))
	defer c.Close()
	expectAccepted(t, fake, "l")
	waitUntil(t, "the source of the response is paused", func() (paused bool) {
		runInLoop(loop, func() { paused = fake.source.paused })
		return paused
	})
	// These are sent while the response is not read.
	write(t, c, concat(queryWithID("a", "any"), queryWithID("b", "any"), queryWithID("c", "any")))
	go func() {
		for len(fake.acceptedIDs()) < 4 {
			time.Sleep(time.Millisecond)
		}
		fake.serve("a", "c", "b")
	}()
	var got []byte
	ready := []byte("Z\x00\x00\x00\x05I")
	for buf := make([]byte, 64<<10); bytes.Count(got, ready) < 5; { // the response to the startup message has one
		count, err := c.Read(buf)
		got = append(got, buf[:count]...)
		if err != nil {
			t.Fatalf("read failed with %v after %d bytes", err, len(got))
		}
	}
	for _, id := range []string{"a", "b", "c"} {
		message := append(valueResponse(id).Messages, ready...)
		at := bytes.Index(got, message)
		if at < longRowBytes {
			t.Fatalf("the response to %s starts at byte %d, before the end of the long response", id, at)
		}
		got = append(make([]byte, longRowBytes), got[at+len(message):]...)
	}
	if len(got) != longRowBytes {
		t.Fatalf("%d bytes follow the last response, want 0", len(got)-longRowBytes)
	}
}
