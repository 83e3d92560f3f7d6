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
type quick struct{ l *eventloop.Loop }

func (k quick) Start(a Attempt, done func(Result)) AttemptHandle {
	k.l.Post(func() { done(Result{Status: balance.StatusDone, Role: balance.RolePrimary}) })
	return k
}
func (quick) NotWritten() bool       { return false }
func (quick) Disconnected(bool) bool { return false }
func (quick) Cancel() bool           { return true }
func (quick) HealthCheck(node string, done func(Result)) {
	done(Result{Status: balance.StatusTimedOut})
}
func (quick) Suspend(string, bool)           {}
func (quick) Poll()                          {}
func (quick) ResponseStarted(Response, Flow) {}
func (quick) ResponsePart([]byte)            {}
func (quick) ResponseTruncated()             {}
func (quick) Rejected(time.Duration)         {}
func (quick) Failed(string)                  {}
func (quick) Served(Response)                {}

func steady(b testing.TB, hold, primary bool) (*Router, *eventloop.Loop) {
	l := eventloop.New()
	lim := limits.New(192, 8192, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	r, err := New(l, lim, slog.New(slog.NewTextHandler(io.Discard, nil)), balance.Config{Instances: 1, Zone: "a", MaxAttempts: 4, Classes: []balance.Class{
		{Name: "job", LatencyObjective: 100 * time.Millisecond, ClientTimeout: 3 * time.Second, PriorityWeight: 1, Consistency: balance.ConsistencyWrite, Idempotency: balance.NonIdempotent}}}, 1, nil)
	if err != nil {
		b.Fatal(err)
	}
	r.Connect(quick{l}, quick{l})
	if hold {
		r.EnableFailoverQueue(failover.Config{Instances: 1, Classes: map[string]failover.Class{"job": {PriorityWeight: 1, Work: 10 * time.Millisecond}}, MaxPending: 20_000, MaxPendingBytes: 1 << 30,
			DeadlineMargin: 10 * time.Millisecond}, 1, nil)
	}
	r.UpdateEndpoints(balance.EndpointList{Kind: balance.ListFull, Entries: []balance.EndpointEntry{{Endpoint: "n1", Zone: "a", State: balance.EndpointReady, Primary: primary}, {Endpoint: "n2", Zone: "a", State: balance.EndpointReady}}})
	r.Step()
	return r, l
}

// BenchmarkSteadyWrite routes writes one after the other through a bank whose primary stands, without and with holding.
func BenchmarkSteadyWrite(b *testing.B) {
	for round := range 3 { // by turns, so that the machine treats them alike
		for _, hold := range []bool{false, true} {
			b.Run(fmt.Sprintf("holding %v, round %d", hold, round), func(b *testing.B) {
				r, l := steady(b, hold, true)
				n := 0
				var next func()
				next = func() {
					if n++; n > b.N {
						l.Stop()
						return
					}
					r.Accept(Request{Class: "job", Label: strconv.Itoa(n), Deadline: time.Second, ReceivedAt: l.Now()}, quick{l})
					l.Post(func() { l.Post(next) })
				}
				b.ResetTimer()
				l.Post(next)
				l.Run(r.Step)
			})
		}
	}
}

// BenchmarkTenThousandHeld tells what ten thousand writes cost while they are held in the core: the whole of them, and what
// of it holding adds to what a request costs anyway.
func BenchmarkTenThousandHeld(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		for _, hold := range []bool{false, true} { // without, the module holds them
			r, l := steady(b, hold, false)
			if hold {
				r.act(balance.PrimaryUpdate{Group: 0, Endpoint: "n1"})
			}
			before := heap()
			const n = 10_000
			for i := range n {
				r.Accept(Request{Class: "job", Label: strconv.Itoa(i), Client: strconv.Itoa(i % 500), Deadline: 3 * time.Second, ReceivedAt: l.Now()}, quick{l})
			}
			r.Step()
			if v := r.FailoverViews(); hold && (len(v) != 1 || v[0].Pending != n) || r.InFlight() != n {
				b.Fatalf("%+v, %d in hand", v, r.InFlight())
			}
			b.ReportMetric((heap()-before)/(1<<20), fmt.Sprintf("MiB-holding-%v", hold))
			runtime.KeepAlive(r)
		}
	}
}
