package backend

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/testserver"
)

func TestIdleConnectionIsReusedUntilItExpires(t *testing.T) {
	for idle, want := range map[time.Duration]int32{time.Minute: 1, -1: 3} {
		var dials atomic.Int32
		server := testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act {
			if typ == 0 {
				dials.Add(1)
			}
			return testserver.Act{}
		})
		lim := testLimits()
		lim.Backend.IdleTimeout = idle
		p := newTestPool(t, lim, server.Addr)
		for i := range 3 {
			time.Sleep(3 * lim.Backend.ReuseDelay)
			id := fmt.Sprint(i)
			if result := p.attempt(id, 0); !isServed(result) || server.Runs(id) != 1 {
				t.Fatalf("%+v", result)
			}
		}
		if dials.Load() != want {
			t.Errorf("idle %v: %d connections, %d expected", idle, dials.Load(), want)
		}
	}
}

// A dial that is given up has a descriptor until the system ends it, and counts until then.
func TestAbandonedDialCountsUntilItEnds(t *testing.T) {
	server := testserver.NewDB(t, true, nil)
	p := newTestPool(t, testLimits(), server.Addr)
	first := make(chan int, 1)
	p.loop.Post(func() {
		e := p.pool.endpoints["n"]
		e.dial().close() // in the same turn: what the system says of the dial comes in a later one
		first <- p.pool.open
	})
	if n := <-first; n != 1 {
		t.Fatalf("%d connections counted while the dial is in progress", n)
	}
	p.awaitZero(20*time.Second, "the dial still counts", func() int { return p.pool.open })
}

// A send that a slow connection has held up past the age its data may have is not made.
func TestLateAttemptIsNotSent(t *testing.T) {
	server := testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act {
		if typ == 0 {
			return testserver.Act{Delay: 60 * time.Millisecond}
		}
		return testserver.Act{}
	})
	p := newTestPool(t, testLimits(), server.Addr)
	if result := p.attempt("a", 20*time.Millisecond); result.Status != balance.StatusNotSent || server.Runs("a") != 0 {
		t.Fatalf("%+v", result)
	}
	// Nor is a connection waited for beyond that.
	silent := testserver.NewDB(t, true, func(byte, string) testserver.Act { return testserver.Act{Silent: true} })
	lim := testLimits()
	lim.Backend.ConnectTimeout = 20 * time.Second
	unconnected := newTestPool(t, lim, silent.Addr)
	if result := unconnected.attempt("a", 20*time.Millisecond); result.Status != balance.StatusNotSent {
		t.Fatalf("%+v", result)
	}
	if result := p.attempt("b", -time.Millisecond); result.Status != balance.StatusNotSent || server.Runs("b") != 0 {
		t.Fatalf("%+v", result)
	}
	if result := p.attempt("c", time.Minute); result.Status != balance.StatusDone {
		t.Fatalf("%+v", result)
	}
}
