package frontend

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/pgwire"
)

// Hundreds of clients that sent requests ahead and read slowly had several responses each in memory. While most of a
// send buffer waits for its client, no further request of it is accepted; each is answered once it reads on.
func TestSlowReaderStartsNoFurtherRequest(t *testing.T) {
	const count = 12
	frontend, fake, loop, addr := start(t)
	conn := dialSlowReader(t, addr, pgwire.AppendStartup(nil, "user", "x"))
	defer conn.Close()
	var all []byte
	for i := range count {
		all = append(all, queryWithID(fmt.Sprint("r", i), "write")...) // each waits for the one before
	}
	write(t, conn, all)
	value := strings.Repeat("x", 60_000)
	served := 0
	serveAccepted := func() {
		runInLoop(loop, func() {
			for ; served < len(fake.requests); served++ {
				fake.clients[served].Served(valueResponse(value))
			}
		})
	}
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
		serveAccepted()
	}
	if served == 0 || served > 6 {
		t.Fatalf("%d of %d requests are accepted while the client reads nothing, want a few", served, count)
	}
	server := onlyConnection(t, frontend, loop)
	runInLoop(loop, func() {
		if kept := server.socket.BytesUnsent() + server.pipeline.backlogBytes; kept > 2*len(value) {
			t.Errorf("%d bytes are kept for the client, want at most two responses", kept)
		}
	})
	all = make([]byte, count*len(value))
	read := make(chan error, 1)
	go func() {
		_, err := io.ReadFull(conn, all)
		read <- err
	}()
	waitUntil(t, "all requests are accepted", func() bool {
		serveAccepted()
		return served == count
	})
	if err := <-read; err != nil {
		t.Fatalf("not all of %d responses could be read: %v", count, err)
	}
}

// While memory is used up, a response that can't be sent yet has no room, and one that can be sent needs none.
func TestRoomForResponses(t *testing.T) {
	frontend, fake, loop, addr := start(t)
	conn := dialSlowReader(t, addr, pgwire.AppendStartup(nil, "user", "x"))
	defer conn.Close()
	write(t, conn, concat(queryWithID("first", "any"), queryWithID("second", "any")))
	expectAccepted(t, fake, "first", "second")
	response := &backend.Response{Messages: make([]byte, 60_000)}
	runInLoop(loop, func() {
		first, second := fake.client("first"), fake.client("second")
		if !first.HasRoomFor(response) || !second.HasRoomFor(response) {
			t.Error("there is no room for a response while no memory is used, want some")
		}
		frontend.memory.bufferedBytes += frontend.limits.Frontend.BufferedBytes
		if !first.HasRoomFor(response) {
			t.Error("there is no room for a response that can be sent, want some")
		}
		if second.HasRoomFor(response) {
			t.Error("there is room for a response behind another one while memory is used up, want none")
		}
	})
}

// A client that receives nothing is closed after UnreadTimeout, also if the system has accepted all that was written to
// it: its further requests are not read meanwhile.
func TestClientThatReceivesNothingIsClosed(t *testing.T) {
	lim := defaultLimits()
	lim.Frontend.UnreadTimeout = 400 * time.Millisecond
	frontend, fake, loop, addr := startWith(t, lim)
	conn := dialSlowReader(t, addr, pgwire.AppendStartup(nil, "user", "x"))
	defer conn.Close()
	var all []byte
	for i := range 12 {
		all = append(all, queryWithID(fmt.Sprint("r", i), "write")...)
	}
	write(t, conn, all)
	served := 0
	waitUntil(t, "the connection is closed", func() (closed bool) {
		runInLoop(loop, func() {
			for ; served < len(fake.requests); served++ {
				fake.clients[served].Served(valueResponse(strings.Repeat("x", 60_000)))
			}
			closed = served > 0 && frontend.ConnectionCount() == 0
		})
		return closed
	})
}
