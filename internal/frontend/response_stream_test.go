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

// A client that reads a long response slowly gets all of it, and little of it waits in the router. One that reads
// nothing is closed in time. One whose response breaks off sees the end and no byte that is not of the response.
func TestLongResponsesAreStreamed(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.UnreadTimeout = 400 * time.Millisecond
	for name, want := range map[string]int{"long": longRowBytes, "cut": longRowBytes / 2, "unread": 0} {
		_, fake, loop, addr := startWith(t, lim)
		class := strings.Replace(name, "unread", "long", 1)
		c := dialSlow(t, addr, pgwire.AppendQuery(pgwire.AppendStartup(nil, "user", "x"), statement(class)))
		if name == "unread" {
			select {
			case <-fake.disconnects:
			case <-time.After(20 * time.Second):
				t.Fatal("a client that reads nothing keeps its response waiting")
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
			t.Errorf("%s: %d bytes of the row", name, len(body))
		}
		runInLoop(loop, func() {
			if fake.source.maxUnsentBytes > lim.Frontend.HighWaterBytes+20_000 {
				t.Errorf("%s: %d bytes waited", name, fake.source.maxUnsentBytes)
			}
		})
		c.Close()
	}
}

// readLongResponse reads up to ReadyForQuery or the end of the connection, with a pause behind each read.
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

// A client that has many requests in flight and reads nothing until all are answered gets each complete response,
// although together they are more than it may leave unread.
func TestSlowReaderGetsManyResponses(t *testing.T) {
	lim := defaultLimits()
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
			ids = append(ids, fmt.Sprintf("r%02d", i))
			want = append(want, long)
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
			if unsent := conn.socket.BytesUnsent(); unsent > lim.Frontend.HighWaterBytes+2*len(long) {
				t.Errorf("%d bytes unsent", unsent)
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

// A streamed response behind another one is paused at its endpoint until it is the first, and sent from there. One
// that breaks off before that is an error in its place; one that does later ends the connection.
func TestStreamedResponseBehindAnother(t *testing.T) {
	for _, when := range []string{"whole", "cut before it is the first", "cut after it"} {
		_, fake, loop, addr := start(t)
		client := testserver.Dial(t, addr)
		client.Send(concat(labelled("a", "free"), labelled("long", "free"), labelled("c", "free")))
		expectAccepted(t, fake, "a", "long", "c")
		fake.serve("c")
		pauses := &pauseRecorder{}
		message := valueResponse("long").Messages
		runInLoop(loop, func() {
			long := fake.client("long")
			long.ResponseStarted(&backend.Response{Messages: message[:7]}, pauses)
			long.ResponsePart(message[7:12])
			if !slices.Equal(pauses.calls, []bool{true}) {
				t.Errorf("paused: %v", pauses.calls)
			}
			if when == "cut before it is the first" {
				long.ResponseTruncated()
			}
		})
		fake.serve("a")
		runInLoop(loop, func() {
			long := fake.client("long")
			if when == "cut before it is the first" {
				return
			}
			if !slices.Equal(pauses.calls, []bool{true, false}) {
				t.Errorf("paused: %v", pauses.calls)
			}
			if when == "cut after it" {
				long.ResponseTruncated()
				return
			}
			end := bytes.IndexByte(message, 'C')
			long.ResponsePart(message[12:end])
			long.Served(&backend.Response{Messages: message[end:]})
		})
		switch when {
		case "whole":
			expectAnswers(t, client, "a", "long", "c")
		case "cut before it is the first":
			expectAnswers(t, client, "a", pgwire.UnknownOutcome, "c")
		default:
			expectAnswers(t, client, "a")
			if answer := client.Until('Z'); !answer.Ended || strings.Contains(answer.Types, "Z") {
				t.Errorf("%+v", answer)
			}
		}
	}
}

// A streamed response is paused behind another one, which is answered while the client has so much to read that the
// streamed one can not begin. What came of it leaves in order all the same, and if it breaks off at that moment it is
// an error in its place.
func TestStreamedResponseBehindAnotherOfSlowReader(t *testing.T) {
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
			long := fake.client("long")
			long.ResponseStarted(&backend.Response{Messages: message[:7]}, pauses)
			long.ResponsePart(message[7:12])
		}
		// These rows are more than the client and the system take unread.
		rows := bytes.Repeat(valueResponse(strings.Repeat("x", 60_000)).Messages, 15)
		runInLoop(loop, func() {
			if !strings.HasPrefix(when, "begun then") {
				begin()
			}
			fake.client("a").Served(&backend.Response{Messages: rows})
			if len(conn.pipeline.slots) != 2 || !conn.output.backpressured {
				t.Errorf("%d responses are owed, backpressured: %t", len(conn.pipeline.slots), conn.output.backpressured)
			}
			if strings.HasPrefix(when, "begun then") {
				begin()
			}
			long := fake.client("long")
			if !slices.Equal(pauses.calls, []bool{true}) {
				t.Errorf("%s, paused: %v", when, pauses.calls)
			}
			if strings.HasSuffix(when, "cut") {
				long.ResponseTruncated()
				return
			}
			long.ResponsePart(message[12:20]) // was under way
			end := bytes.IndexByte(message, 'C')
			long.ResponsePart(message[20:end])
			long.Served(&backend.Response{Messages: message[end:]})
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
				none = conn.pipeline.backlogBytes == 0 && frontend.memory.pipelinedBytes == 0 &&
					conn.memory.reservedBytes == 0
			})
			return none
		})
	}
}

// A client that reads a streamed response slowly, with other requests sent ahead, gets all responses complete and in
// order.
func TestSlowReaderOfStreamedResponseWithPipelinedRequests(t *testing.T) {
	_, fake, loop, addr := start(t)
	startup := pgwire.AppendStartup(nil, "user", "x")
	c := dialSlow(t, addr, concat(startup, labelled("l", "long"), labelled("a", "free")))
	defer c.Close()
	expectAccepted(t, fake, "l", "a")
	waitUntil(t, "its source is paused", func() (paused bool) {
		runInLoop(loop, func() { paused = fake.source.paused })
		return paused
	})
	write(t, c, concat(labelled("b", "free"), labelled("c", "free"))) // while the response is not read
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
			t.Fatalf("the response to %s stands at %d", id, at)
		}
		got = append(make([]byte, longRowBytes), got[at+len(message):]...)
	}
	if len(got) != longRowBytes {
		t.Fatalf("%d bytes behind them", len(got)-longRowBytes)
	}
}
