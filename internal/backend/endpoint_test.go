package backend

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/config"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
)

// What the endpoint list says of an endpoint binds the attempts that wait for a connection to it: nothing is written
// there any more, in whichever form the news comes, and the attempts end as not sent.
func TestNothingIsSentToAnEndpointThatDrainsMeanwhile(t *testing.T) {
	other := config.EndpointEntry{ID: "other", Addr: "127.0.0.1:1", State: "ready"}
	for _, test := range []struct {
		name  string
		full  bool
		entry func(addr, newAddr string) config.EndpointEntry
		moves bool
	}{
		{name: "drains", entry: func(addr, _ string) config.EndpointEntry {
			return config.EndpointEntry{ID: "n", Addr: addr, State: "draining"}
		}},
		{name: "is removed", entry: func(addr, _ string) config.EndpointEntry {
			return config.EndpointEntry{ID: "n", Addr: addr, State: "gone"}
		}},
		{name: "is not in the full list", full: true, entry: func(string, string) config.EndpointEntry {
			return other
		}},
		{name: "moves", moves: true, entry: func(_, newAddr string) config.EndpointEntry {
			return config.EndpointEntry{ID: "n", Addr: newAddr, State: "ready"}
		}},
	} {
		t.Run(test.name, func(t *testing.T) { checkDrain(t, test.full, test.moves, test.entry) })
	}
}

// checkDrain lets an attempt and a health check wait for a connection, and then changes the endpoint list.
func checkDrain(t *testing.T, full, moves bool, newEntry func(addr, newAddr string) config.EndpointEntry) {
	t.Helper()
	server, dialed, release := newSlowStartServer(t)
	newServer := testserver.NewDB(t, true, func(byte, string) testserver.Act { return testserver.Act{} })
	lim := testLimits()
	lim.Backend.ConnectTimeout = 3 * time.Second
	lim.Backend.RedialAfter = 20 * time.Second
	p := newTestPool(t, lim, server.Addr)
	done := make(chan router.Result, 9)
	p.loop.Post(func() {
		p.start("a", 20*time.Second, done)
		p.pool.HealthCheck("n", func(result router.Result) { done <- result })
	})
	<-dialed
	list := config.EndpointList{Full: full, Endpoints: []config.EndpointEntry{newEntry(server.Addr, newServer.Addr)}}
	p.loop.Post(func() { p.pool.UpdateEndpoints(list) })
	for range 2 {
		if result := p.await(done); result.Status != balance.StatusNotSent {
			t.Fatalf("%+v", result)
		}
	}
	release()
	p.awaitZero(10*time.Second, "its connection is kept", func() int {
		if e := p.pool.endpoints["n"]; e != nil {
			return e.open
		}
		return 0
	})
	if server.Runs("a") != 0 {
		t.Fatal("it was sent")
	}
	if !moves {
		return
	}
	if result := p.attempt("b", 0); result.Status != balance.StatusDone || newServer.Runs("b") != 1 {
		t.Fatalf("%+v, %d runs at the new address", result, newServer.Runs("b"))
	}
}

// An endpoint that has no connection left says so during the startup. Each attempt ends there, and nobody dials again
// for it.
func TestFullEndpointIsNotDialedAgain(t *testing.T) {
	var dials atomic.Int32
	addr := serveConnections(t, func(c net.Conn) {
		dials.Add(1)
		if _, err := io.ReadFull(c, make([]byte, 8)); err != nil { // the beginning of the startup
			return
		}
		refusal := pgwire.AppendError(nil, pgwire.Error{Fatal: true, Code: "53300", Message: "no place"})
		if _, err := c.Write(refusal); err != nil {
			return // the attempt ends otherwise then, which the test sees
		}
		time.Sleep(5 * time.Millisecond)
		c.Close()
	})
	lim := testLimits()
	p := newTestPool(t, lim, addr)
	const attempts = 5
	done := make(chan router.Result, attempts)
	p.loop.Post(func() {
		for i := range attempts {
			p.start(fmt.Sprint(i), 10*time.Second, done)
		}
	})
	for range attempts {
		if result := p.await(done); result.Status != balance.StatusBusy {
			t.Errorf("%+v", result)
		}
	}
	time.Sleep(2 * lim.Backend.RedialAfter)
	if n := dials.Load(); n > attempts {
		t.Errorf("%d connections for %d attempts", n, attempts)
	}
}
