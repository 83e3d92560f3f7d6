package router

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"
)

// BenchmarkSteadyWrite routes writes one after the other through a replica group that keeps its primary, without and
// with a failover queue.
func BenchmarkSteadyWrite(b *testing.B) {
	for round := range 3 { // by turns, so that the machine treats them alike
		for _, withQueue := range []bool{false, true} {
			b.Run(fmt.Sprintf("holding %v, round %d", withQueue, round), func(b *testing.B) {
				benchmarkSteadyWrite(b, withQueue)
			})
		}
	}
}

func benchmarkSteadyWrite(b *testing.B, withQueue bool) {
	b.Helper()
	router, loop := newInstantRouter(b, withQueue, true)
	sent := 0
	var sendNext func()
	sendNext = func() {
		sent++
		if sent > b.N {
			loop.Stop()
			return
		}
		req := Request{Class: writeClass, ClientRequestID: strconv.Itoa(sent), Deadline: time.Second, ReceivedAt: loop.Now()}
		// tb.Helper allocates, so the accept helper would add to what is measured.
		if _, err := router.Accept(req, instantPeers{loop}); err != nil {
			b.Fatal(err)
		}
		loop.Post(func() { loop.Post(sendNext) })
	}
	b.ResetTimer()
	loop.Post(sendNext)
	loop.Run(router.Step)
}

// BenchmarkTenThousandPending tells how much memory ten thousand queued writes take: in the failover queue, and in the
// balancer where there is no such queue.
func BenchmarkTenThousandPending(b *testing.B) {
	for b.Loop() {
		for _, withQueue := range []bool{false, true} {
			mebibytes := memoryOfPendingWrites(b, withQueue, 10_000)
			b.ReportMetric(mebibytes, fmt.Sprintf("MiB-holding-%v", withQueue))
		}
	}
}

// memoryOfPendingWrites is how much the heap grows by so many writes, in MiB.
func memoryOfPendingWrites(b *testing.B, withQueue bool, count int) float64 {
	b.Helper()
	router, loop := newInstantRouter(b, withQueue, false)
	if withQueue {
		suspectPrimary(router)
	}
	before := heapMebibytes()
	acceptWrites(b, router, loop, count)
	router.Step()
	views := router.FailoverViews()
	if withQueue && (len(views) != 1 || views[0].Pending != count) {
		b.Fatalf("%+v", views)
	}
	if router.InFlight() != count {
		b.Fatalf("%d in flight", router.InFlight())
	}
	grown := heapMebibytes() - before
	runtime.KeepAlive(router)
	return grown
}

func heapMebibytes() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc) / (1 << 20)
}
