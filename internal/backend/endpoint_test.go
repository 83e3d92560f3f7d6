package backend

import (
	"sync"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/config"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
)

// What the list says of a machine binds what waits for a connection to it: nothing is written there any more, whichever way
// the news comes, and the attempt ends as never sent.
func TestNothingIsSentToAnEndpointThatDrainsMeanwhile(t *testing.T) {
	ready := config.Entry{ID: "other", Addr: "127.0.0.1:1", State: "ready"}
	for name, news := range map[string]func(addr, elsewhere string) config.List{
		"drains": func(addr, _ string) config.List {
			return config.List{Servers: []config.Entry{{ID: "n", Addr: addr, State: "draining"}}}
		},
		"is gone": func(addr, _ string) config.List {
			return config.List{Servers: []config.Entry{{ID: "n", Addr: addr, State: "gone"}}}
		},
		"is not in the whole list": func(string, string) config.List {
			return config.List{Full: true, Servers: []config.Entry{ready}}
		},
		"moves": func(_, elsewhere string) config.List {
			return config.List{Servers: []config.Entry{{ID: "n", Addr: elsewhere, State: "ready"}}}
		},
	} {
		t.Run(name, func(t *testing.T) {
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
			there := testserver.NewDB(t, true, func(byte, string) testserver.Act { return testserver.Act{} })
			l := testLimits()
			l.Backend.ConnectTimeout, l.Backend.RedialAfter = 3*time.Second, 20*time.Second
			r := newTestPool(t, l, db.Addr)
			done := make(chan router.Result, 9)
			r.loop.Post(func() {
				r.pool.Start(router.Attempt{Endpoint: "n", Job: testJob("a"), Deadline: r.loop.Now() + 20*time.Second}, func(result router.Result) { done <- result })
				r.pool.HealthCheck("n", func(result router.Result) { done <- result })
			})
			<-dialled
			r.loop.Post(func() { r.pool.UpdateEndpoints(news(db.Addr, there.Addr)) })
			for range 2 {
				if result := r.await(done); result.Status != balance.StatusNotSent {
					t.Fatalf("%+v", result)
				}
			}
			release()
			for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
				open := make(chan int)
				r.loop.Post(func() {
					n := 0
					if e := r.pool.endpoints["n"]; e != nil {
						n = e.open
					}
					open <- n
				})
				if <-open == 0 {
					break
				} else if time.Now().After(deadline) {
					t.Fatal("its connection is kept")
				}
			}
			if db.Runs("a") != 0 {
				t.Fatal("it was sent")
			}
			if name == "moves" {
				if result := r.attempt("b", 0); result.Status != balance.StatusDone || there.Runs("b") != 1 {
					t.Fatalf("%+v, %d runs where it is now", result, there.Runs("b"))
				}
			}
		})
	}
}
