package frontend

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/eventloop"
	"limeladder/internal/pgwire"
)

// unsentBytes returns how many bytes of streamed and of other responses are unsent on all connections together.
func unsentBytes(frontend *Frontend, loop *eventloop.Loop) (streamed, others int) {
	runInLoop(loop, func() {
		for c := range frontend.connections {
			if c.output.flow != nil {
				streamed += c.socket.BytesUnsent()
			} else {
				others += c.socket.BytesUnsent()
			}
		}
	})
	return streamed, others
}

// Many clients that read long responses slowly take memory for all of them together, and not each as much as one alone:
// otherwise they take a router over its memory limit. Each still gets its whole response.
func TestSlowReadersOfLongResponsesShareMemory(t *testing.T) {
	const clients = 12
	const partBytes = 10_000 // of the fake source
	lim := defaultLimits()
	lim.Frontend.StreamedBytes = clients * 16 << 10
	lim.Frontend.MinStreamedBytes = 4 << 10
	frontend, _, loop, addr := startWith(t, lim)
	most := 0 // a client may have the share that was its own when it started
	var conns []net.Conn
	for i := range clients {
		most += min(lim.Frontend.HighWaterBytes, lim.Frontend.StreamedBytes/(i+1)) + partBytes
		conn := dialSlowReader(t, addr, pgwire.AppendStartup(nil, "user", "x"))
		defer conn.Close()
		time.Sleep(20 * time.Millisecond)
		write(t, conn, queryWithID(fmt.Sprint("long-", i), "long"))
		conns = append(conns, conn)
	}
	for range 20 {
		time.Sleep(10 * time.Millisecond)
		if got, _ := unsentBytes(frontend, loop); got > most {
			t.Fatalf("%d bytes are unsent while no client reads, want at most %d", got, most)
		}
	}
	results := make(chan int, clients)
	for _, conn := range conns {
		go func() { results <- len(readLongResponse(conn, 0)) }()
	}
	for range clients {
		if got := <-results; got < longRowBytes {
			t.Errorf("a client received %d bytes, want all %d bytes of its row", got, longRowBytes)
		}
	}
	waitUntil(t, "no response is streamed", func() (none bool) {
		runInLoop(loop, func() { none = frontend.memory.streamCount == 0 })
		return none
	})
}

// Clients that read streamed responses slowly must not use up the limit on unread responses of other kinds, whose
// clients would be disconnected.
func TestStreamedResponsesDoNotEvictOtherReaders(t *testing.T) {
	const streams = 4
	lim := defaultLimits()
	lim.Frontend.BufferedBytes = 2 * lim.Frontend.HighWaterBytes
	lim.Frontend.StreamedBytes = 6 * lim.Frontend.HighWaterBytes
	frontend, fake, loop, addr := startWith(t, lim)
	for i := range streams {
		conn := dialSlowReader(t, addr, pgwire.AppendStartup(nil, "user", "x"))
		defer conn.Close()
		time.Sleep(20 * time.Millisecond)
		write(t, conn, queryWithID(fmt.Sprint("long-", i), "long"))
	}
	waitUntil(t, "streamed bytes are unsent", func() bool {
		streamed, _ := unsentBytes(frontend, loop)
		return streamed > lim.Frontend.BufferedBytes
	})
	// A reader whose response is a little longer than what the system takes.
	var reader net.Conn
	row := valueResponse(strings.Repeat("x", 20_000)).Messages
	readers, rows := 0, 0
	for unsent := 0; unsent == 0; _, unsent = unsentBytes(frontend, loop) {
		reader = dialSlowReader(t, addr, pgwire.AppendStartup(nil, "user", "x"))
		defer reader.Close()
		id := fmt.Sprint("held-", readers)
		readers++
		rows++
		write(t, reader, queryWithID(id, "any"))
		waitUntil(t, id, func() bool { return fake.accepted() == streams+readers })
		runInLoop(loop, func() { fake.client(id).Served(&backend.Response{Messages: bytes.Repeat(row, rows)}) })
	}
	time.Sleep(4 * lim.Frontend.SweepInterval)
	buffer := make([]byte, 32<<10)
	for received := 0; received < rows*len(row); {
		n, err := reader.Read(buffer)
		received += n
		if err != nil {
			t.Fatalf("the client has %d of %d bytes of its response, then: %v", received, rows*len(row), err)
		}
	}
	write(t, reader, queryWithID("later", "any"))
	waitUntil(t, "the client's next request", func() bool { return fake.accepted() == streams+readers+1 })
}
