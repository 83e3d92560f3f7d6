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
				t.Fatalf("got %+v, want the attempt served after one run", result)
			}
		}
		if dials.Load() != want {
			t.Errorf("idle timeout %v: %d connections, want %d", idle, dials.Load(), want)
		}
	}
}

// An abandoned dial keeps its descriptor until the system ends the dial, so it counts as a connection until then.
func TestAbandonedDialCountsUntilItEnds(t *testing.T) {
	server := testserver.NewDB(t, true, nil)
	p := newTestPool(t, testLimits(), server.Addr)
	first := make(chan int, 1)
	p.loop.Post(func() {
		e := p.pool.endpoints["n"]
		e.dial().close() // in the same turn of the loop: the result of the dial arrives in a later one
		first <- p.pool.open
	})
	if n := <-first; n != 1 {
		t.Fatalf("%d connections counted while the dial is in progress, want 1", n)
	}
	p.awaitZero(20*time.Second, "the dial still counts", func() int { return p.pool.open })
}

// An attempt that a slow connection delays past the time at which its data would be too stale is not sent.
func TestLateAttemptIsNotSent(t *testing.T) {
	server := testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act {
		if typ == 0 {
			return testserver.Act{Delay: 60 * time.Millisecond}
		}
		return testserver.Act{}
	})
	p := newTestPool(t, testLimits(), server.Addr)
	if result := p.attempt("a", 20*time.Millisecond); result.Status != balance.StatusNotSent || server.Runs("a") != 0 {
		t.Fatalf("slow connection: got %+v, want StatusNotSent and no run", result)
	}
	// An attempt doesn't wait for a connection beyond that time either.
	silent := testserver.NewDB(t, true, func(byte, string) testserver.Act { return testserver.Act{Silent: true} })
	lim := testLimits()
	lim.Backend.ConnectTimeout = 20 * time.Second
	unconnected := newTestPool(t, lim, silent.Addr)
	if result := unconnected.attempt("a", 20*time.Millisecond); result.Status != balance.StatusNotSent {
		t.Fatalf("no connection: got %+v, want StatusNotSent", result)
	}
	if result := p.attempt("b", -time.Millisecond); result.Status != balance.StatusNotSent || server.Runs("b") != 0 {
		t.Fatalf("started too late: got %+v, want StatusNotSent and no run", result)
	}
	if result := p.attempt("c", time.Minute); result.Status != balance.StatusDone {
		t.Fatalf("in time: got %+v, want StatusDone", result)
	}
}
