package router

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"
)

// BenchmarkSteadyWrite routes writes one after the other to a replica group whose primary does not change, without and
// with a failover queue.
func BenchmarkSteadyWrite(b *testing.B) {
	for round := range 3 { // alternating, so that both see the same load of the machine
		for _, withQueue := range []bool{false, true} {
			b.Run(fmt.Sprintf("failover queue %v, round %d", withQueue, round), func(b *testing.B) {
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
		req := Request{
			Class:           writeClass,
			ClientRequestID: strconv.Itoa(sent),
			ClientTimeout:   time.Second,
			ReceivedAt:      loop.Now(),
		}
		// The accept helper is not used because tb.Helper allocates, which would be part of the measurement.
		if _, err := router.Accept(req, instantPeers{loop}); err != nil {
			b.Fatal(err)
		}
		loop.Post(func() { loop.Post(sendNext) })
	}
	b.ResetTimer()
	loop.Post(sendNext)
	loop.Run(router.Step)
}

// BenchmarkTenThousandPending measures the memory use of ten thousand queued writes, in the failover queue and, without
// one, in the balancer.
func BenchmarkTenThousandPending(b *testing.B) {
	for b.Loop() {
		for _, withQueue := range []bool{false, true} {
			mebibytes := memoryOfPendingWrites(b, withQueue, 10_000)
			b.ReportMetric(mebibytes, fmt.Sprintf("MiB-failover-queue-%v", withQueue))
		}
	}
}

// memoryOfPendingWrites returns the heap growth in MiB that count queued writes cause.
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
		b.Fatalf("got views %+v, want one with all writes pending", views)
	}
	if router.InFlight() != count {
		b.Fatalf("got %d requests in flight, want all writes", router.InFlight())
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
