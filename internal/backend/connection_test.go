package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
)

// A client goes while the connection for its attempt comes up: nothing is written there.
func TestNothingIsWrittenForADisconnectedClient(t *testing.T) {
	dialled, welcome := make(chan bool, 9), make(chan bool)
	release := sync.OnceFunc(func() { close(welcome) })
	defer release() // its stand-in waits for it
	db := testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act {
		if typ == 0 {
			dialled <- true
			<-welcome
		}
		return testserver.Act{}
	})
	l := testLimits()
	l.Backend.ConnectTimeout, l.Backend.RedialAfter = 10*time.Second, 20*time.Second
	r := newTestPool(t, l, db.Addr)
	var gone atomic.Bool
	done, waits := make(chan router.Result, 9), make(chan bool, 1)
	r.loop.Post(func() {
		c := r.pool.Start(router.Attempt{Endpoint: "n", Job: testJob("a"), Deadline: r.loop.Now() + 20*time.Second, Abandoned: gone.Load}, func(result router.Result) { done <- result })
		waits <- c.NotWritten()
	})
	if !<-waits {
		t.Error("it waits for a connection and says that it does not")
	}
	<-dialled
	gone.Store(true)
	release()
	if result := r.await(done); result.Status != balance.StatusNotSent || db.Runs("a") != 0 {
		t.Fatalf("%+v, %d runs", result, db.Runs("a"))
	}
	if result := r.attempt("b", 0); result.Status != balance.StatusDone { // its connection is there for the next
		t.Fatalf("%+v", result)
	}
}

// endless is a db machine that answers with a long row and goes on with more of something for as long as it is read.
func startEndlessServer(t *testing.T, more []byte) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				buf := make([]byte, 4096)
				if _, err := c.Read(buf); err != nil {
					return
				}
				c.Write(pgwire.AppendWelcome(nil))
				if _, err := c.Read(buf); err != nil {
					return
				}
				answer := longResponse(1<<20, 0)
				c.Write(answer[:len(answer)-len(pgwire.AppendReady(pgwire.Append(nil, 'C', []byte("INSERT 0 1\x00"))))])
				for err == nil {
					_, err = c.Write(more)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// An answer of which a part is passed on, and which does not end, is ended: no time of the request's does that any more.
func TestEndlessResponseIsEnded(t *testing.T) {
	for name, more := range map[string][]byte{
		"rows":    pgwire.Append(nil, 'D', []byte{0, 1, 0, 0, 0, 1, 'x'}),
		"notices": pgwire.Append(nil, 'N', make([]byte, 100)),
		"values":  pgwire.Append(nil, 'S', []byte("wal_time\x001\x00")),
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestPool(t, testLimits(), startEndlessServer(t, more))
			done, begun := make(chan router.Result, 9), make(chan bool, 9)
			r.loop.Post(func() {
				r.pool.Start(router.Attempt{
					Endpoint: "n", Job: testJob("a"), Deadline: r.loop.Now() + time.Second, OnResponseStarted: func(router.Response, router.Flow) { begun <- true },
					OnResponsePart: func([]byte) {},
				}, func(result router.Result) { done <- result })
			})
			if result := r.await(done); result.Status != balance.StatusError || len(begun) != 1 {
				t.Fatalf("%+v, begun %d times", result, len(begun))
			}
		})
	}
}

// A dial that is given up has a descriptor until the system ends it, and counts until then.
func TestAbandonedDialCountsUntilItEnds(t *testing.T) {
	db := testserver.NewDB(t, true, nil)
	r := newTestPool(t, testLimits(), db.Addr)
	first, then := make(chan int, 1), make(chan int, 1)
	r.loop.Post(func() {
		e := r.pool.endpoints["n"]
		e.dial().close() // in the same turn: what the system says of the dial comes in a later one
		first <- r.pool.open
	})
	if n := <-first; n != 1 {
		t.Fatalf("%d connections counted while the dial is out", n)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		r.loop.Post(func() { then <- r.pool.open })
		if <-then == 0 {
			return
		} else if time.Now().After(end) {
			t.Fatal("its place is not given back")
		}
	}
}
