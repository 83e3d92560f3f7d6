package router

import (
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"strconv"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
	"limeladder/internal/failover"
	"limeladder/internal/limits"
)

// quick plays db machines that answer at once.
type instantPeers struct{ loop *eventloop.Loop }

func (k instantPeers) Start(a Attempt, done func(Result)) AttemptHandle {
	k.loop.Post(func() { done(Result{Status: balance.StatusDone, Role: balance.RolePrimary}) })
	return k
}
func (instantPeers) NotWritten() bool       { return false }
func (instantPeers) Disconnected(bool) bool { return false }
func (instantPeers) Cancel() bool           { return true }
func (instantPeers) HealthCheck(node string, done func(Result)) {
	done(Result{Status: balance.StatusTimedOut})
}
func (instantPeers) Suspend(string, bool)           {}
func (instantPeers) Poll()                          {}
func (instantPeers) ResponseStarted(Response, Flow) {}
func (instantPeers) ResponsePart([]byte)            {}
func (instantPeers) ResponseTruncated()             {}
func (instantPeers) Rejected(time.Duration)         {}
func (instantPeers) Failed(string)                  {}
func (instantPeers) Served(Response)                {}

func newBenchmarkRouter(b testing.TB, hold, primary bool) (*Router, *eventloop.Loop) {
	l := eventloop.New()
	lim := limits.New(192, 8192, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	router, err := New(l, lim, slog.New(slog.NewTextHandler(io.Discard, nil)), balance.Config{Instances: 1, Zone: "a", MaxAttempts: 4, Classes: []balance.Class{
		{Name: "job", LatencyObjective: 100 * time.Millisecond, ClientTimeout: 3 * time.Second, PriorityWeight: 1, Consistency: balance.ConsistencyWrite, Idempotency: balance.NonIdempotent},
	}}, 1, nil)
	if err != nil {
		b.Fatal(err)
	}
	router.Connect(instantPeers{l}, instantPeers{l})
	if hold {
		router.EnableFailoverQueue(failover.Config{
			Instances: 1, Classes: map[string]failover.Class{"job": {PriorityWeight: 1, Work: 10 * time.Millisecond}}, MaxPending: 20_000, MaxPendingBytes: 1 << 30,
			DeadlineMargin: 10 * time.Millisecond,
		}, 1, nil)
	}
	router.UpdateEndpoints(balance.EndpointList{Kind: balance.ListFull, Entries: []balance.EndpointEntry{{Endpoint: "n1", Zone: "a", State: balance.EndpointReady, Primary: primary}, {Endpoint: "n2", Zone: "a", State: balance.EndpointReady}}})
	router.Step()
	return router, l
}

// BenchmarkSteadyWrite routes writes one after the other through a bank whose primary stands, without and with holding.
func BenchmarkSteadyWrite(b *testing.B) {
	for round := range 3 { // by turns, so that the machine treats them alike
		for _, hold := range []bool{false, true} {
			b.Run(fmt.Sprintf("holding %v, round %d", hold, round), func(b *testing.B) {
				router, l := newBenchmarkRouter(b, hold, true)
				n := 0
				var next func()
				next = func() {
					if n++; n > b.N {
						l.Stop()
						return
					}
					router.Accept(Request{Class: "job", Label: strconv.Itoa(n), Deadline: time.Second, ReceivedAt: l.Now()}, instantPeers{l})
					l.Post(func() { l.Post(next) })
				}
				b.ResetTimer()
				l.Post(next)
				l.Run(router.Step)
			})
		}
	}
}

// BenchmarkTenThousandHeld tells what ten thousand writes cost while they are held in the core: the whole of them, and what
// of it holding adds to what a request costs anyway.
func BenchmarkTenThousandPending(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		for _, hold := range []bool{false, true} { // without, the module holds them
			router, l := newBenchmarkRouter(b, hold, false)
			if hold {
				router.perform(balance.PrimaryUpdate{Group: 0, Endpoint: "n1"})
			}
			before := heap()
			const n = 10_000
			for i := range n {
				router.Accept(Request{Class: "job", Label: strconv.Itoa(i), Client: strconv.Itoa(i % 500), Deadline: 3 * time.Second, ReceivedAt: l.Now()}, instantPeers{l})
			}
			router.Step()
			if v := router.FailoverViews(); hold && (len(v) != 1 || v[0].Pending != n) || router.InFlight() != n {
				b.Fatalf("%+v, %d in hand", v, router.InFlight())
			}
			b.ReportMetric((heap()-before)/(1<<20), fmt.Sprintf("MiB-holding-%v", hold))
			runtime.KeepAlive(router)
		}
	}
}
