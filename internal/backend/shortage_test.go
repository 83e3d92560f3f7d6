package backend

import (
	"net"
	"sync"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
)

// While clients that read slowly occupied all connections to an endpoint, attempts and health checks that got none
// counted as failures of the endpoint, and all endpoints were held to be unreachable.
func TestLocalShortageIsNoFailureOfTheEndpoint(t *testing.T) {
	blocked := make(chan bool)
	release := sync.OnceFunc(func() { close(blocked) })
	server := testserver.NewDB(t, true, func(_ byte, id string) testserver.Act {
		if id == "blocks" {
			<-blocked
		}
		return testserver.Act{}
	})
	t.Cleanup(release)
	lim := testLimits()
	lim.Backend.ConnectionsPerEndpoint = 1
	lim.Backend.ReuseDelay = 10 * time.Millisecond
	p := newTestPool(t, lim, server.Addr)
	if result := p.attempt("first", 0); !isServed(result) {
		t.Fatalf("result %+v of the first attempt, want it served", result)
	}
	// During the delay before its reuse the only connection is expected to be available soon, but it is not for both.
	blocks := make(chan router.Result, 9)
	waits := make(chan router.Result, 9)
	checked := make(chan router.Result, 9)
	p.loop.Post(func() {
		p.start("blocks", 10*time.Second, blocks)
		p.start("waits", 10*time.Second, waits)
		p.pool.HealthCheck("n", func(result router.Result) { checked <- result })
	})
	if result := p.await(waits); result.Status != balance.StatusNotSent {
		t.Errorf("status %v of an attempt that found no free connection, want StatusNotSent", result.Status)
	}
	if result := p.await(checked); result.Status != balance.StatusNotSent {
		t.Errorf("status %v of a health check that found no free connection, want StatusNotSent", result.Status)
	}
	release()
	p.await(blocks)
}

// Responses that are being received share memory: one that finds none is not read until another has ended, and one
// endpoint may have half of it.
func TestIncomingResponsesShareMemory(t *testing.T) {
	const length, count = 50_000, 5
	lim := testLimits()
	lim.Backend.StallTimeout = 5 * time.Second
	lim.Backend.IncomingBytes = 2 * 2 * copiesOfResponse * length * 11 / 10 // an endpoint's half is two responses
	resume := make(chan bool)
	response := longResponse(length, 0)
	addr := serveConnections(t, func(c net.Conn) {
		buffer := make([]byte, 4096)
		for i := 0; ; i++ {
			if _, err := c.Read(buffer); err != nil {
				return
			}
			if i == 0 {
				_, _ = c.Write([]byte("R\x00\x00\x00\x08\x00\x00\x00\x00Z\x00\x00\x00\x05I"))
				continue
			}
			_, _ = c.Write(response[:length/2])
			<-resume
			_, _ = c.Write(response[length/2:])
		}
	})
	p := newTestPool(t, lim, addr)
	done := make(chan router.Result, count)
	p.loop.Post(func() {
		for range count {
			p.start("r", 10*time.Second, done)
		}
	})
	p.awaitZero(5*time.Second, "not all responses but two wait for memory", func() int {
		return len(p.pool.incoming.waiting) - (count - 2)
	})
	p.loop.Post(func() {
		if used := p.pool.incoming.usedBytes; used > lim.Backend.IncomingBytes/2 {
			t.Errorf("%d bytes are reserved for one endpoint, want at most half of %d", used, lim.Backend.IncomingBytes)
		}
	})
	for range count {
		resume <- true
	}
	for range count {
		if result := p.await(done); result.Status != balance.StatusDone {
			t.Errorf("status %v, want every response complete", result.Status)
		}
	}
	p.awaitZero(5*time.Second, "memory stays reserved", func() int {
		return p.pool.incoming.usedBytes + len(p.pool.incoming.waiting)
	})
}
