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

// An endpoint list that drains, removes or moves an endpoint also applies to the attempts that wait for a connection to
// it: they end as not sent, and nothing is written to the endpoint.
func TestWaitingAttemptsEndWhenTheEndpointDrains(t *testing.T) {
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

// checkDrain starts an attempt and a health check that wait for a connection, changes the endpoint list, and checks
// that both end as not sent.
func checkDrain(t *testing.T, full, moves bool, newEntry func(addr, newAddr string) config.EndpointEntry) {
	t.Helper()
	server, dialed, release := newPausedStartupServer(t)
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
			t.Fatalf("got %+v, want StatusNotSent", result)
		}
	}
	release()
	p.awaitZero(10*time.Second, "the connection was not closed", func() int {
		if e := p.pool.endpoints["n"]; e != nil {
			return e.open
		}
		return 0
	})
	if server.Runs("a") != 0 {
		t.Fatal("the attempt was written to the endpoint, want it not sent")
	}
	if !moves {
		return
	}
	if result := p.attempt("b", 0); result.Status != balance.StatusDone || newServer.Runs("b") != 1 {
		t.Fatalf("got %+v and %d runs at the new address, want StatusDone and one run", result, newServer.Runs("b"))
	}
}

// An endpoint that has reached its connection limit reports that during the startup. Each waiting attempt then ends as
// busy, and no further connection is dialed for it.
func TestFullEndpointIsNotDialedAgain(t *testing.T) {
	var dials atomic.Int32
	addr := serveConnections(t, func(c net.Conn) {
		dials.Add(1)
		if _, err := io.ReadFull(c, make([]byte, 8)); err != nil { // the beginning of the startup
			return
		}
		refusal := pgwire.AppendError(nil, pgwire.Error{Fatal: true, Code: "53300", Message: "no place"})
		if _, err := c.Write(refusal); err != nil {
			return // the attempt ends with another status, which fails the test
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
			t.Errorf("got %+v, want StatusBusy", result)
		}
	}
	time.Sleep(2 * lim.Backend.RedialAfter)
	if n := dials.Load(); n > attempts {
		t.Errorf("%d connections dialed for %d attempts, want at most one each", n, attempts)
	}
}
