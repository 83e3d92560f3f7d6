package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"limeladder/internal/testserver/check"
)

// failoverArm is one variant that BenchmarkFailover compares.
type failoverArm struct {
	loss   primaryLoss
	outage time.Duration
	queued bool
}

func (a failoverArm) queueState() string {
	if a.queued {
		return "on"
	}
	return "off"
}

// failoverCounts counts the answers in all rounds of an arm.
type failoverCounts struct {
	rejected int
	failed   int
}

// BenchmarkFailover loses the primary of a group of three servers under 50 requests per second with a deadline of
// 2.5 s, without and with the failover queue at the same time. It reports rejected and failed requests, and the time
// from the promotion to the first write on the new primary.
func BenchmarkFailover(b *testing.B) {
	var arms []failoverArm
	for _, loss := range []primaryLoss{primaryDies, primaryHangs} {
		for _, outage := range []time.Duration{time.Second, 2 * time.Second} {
			arms = append(arms, failoverArm{loss, outage, false}, failoverArm{loss, outage, true})
		}
	}
	var mu sync.Mutex
	counts := map[failoverArm]failoverCounts{}
	firstWrites := map[string][]time.Duration{}
	rounds := 0
	runArm := func(arm failoverArm) {
		scenario := arm.run(b, 1+rounds%2)
		_, rejected, failed, _ := check.Count(scenario.requests)
		mu.Lock()
		defer mu.Unlock()
		before := counts[arm]
		counts[arm] = failoverCounts{before.rejected + rejected, before.failed + failed}
		state := arm.queueState()
		firstWrites[state] = append(firstWrites[state], scenario.firstWritesAfterPromotions()...)
	}
	for b.Loop() {
		for range 4 {
			rounds++
			var running sync.WaitGroup
			for _, arm := range arms {
				running.Go(func() { runArm(arm) })
			}
			running.Wait()
		}
	}
	for _, arm := range arms {
		suffix := fmt.Sprintf("-%s-%v-%s", arm.loss, arm.outage, arm.queueState())
		b.ReportMetric(float64(counts[arm].rejected)/float64(rounds), "refused"+suffix)
		b.ReportMetric(float64(counts[arm].failed)/float64(rounds), "failed"+suffix)
	}
	for state, durations := range firstWrites {
		slices.Sort(durations)
		b.ReportMetric(float64(durations[len(durations)/2].Milliseconds()), "first-ms-median-"+state)
		b.ReportMetric(float64(durations[len(durations)-1].Milliseconds()), "first-ms-worst-"+state)
	}
}

// run runs one round and returns the scenario once it is finished.
func (a failoverArm) run(b *testing.B, successor int) *failoverScenario {
	b.Helper()
	scenario := newFailoverScenario(b, 1, a.queued, 2500*time.Millisecond)
	go func() {
		time.Sleep(500 * time.Millisecond)
		scenario.failOver(0, 0, successor, a.loss, a.outage)
	}()
	scenario.runLoad(50, 500*time.Millisecond+a.outage+500*time.Millisecond, false)
	for _, fault := range scenario.finish() {
		b.Error(fault)
	}
	return scenario
}

// BenchmarkTenThousandPendingClients makes ten thousand clients, each on its own connection, send a write to a router
// in its own process while their group has no primary for a second. It reports how many were served, rejected and
// failed, and the most writes that were queued at a time.
func BenchmarkTenThousandPendingClients(b *testing.B) {
	const clients = 10_000
	for b.Loop() {
		router := newRouterProcess(b, nil)
		config := strings.Replace(router.readFile("config.json"), `"sockets":1024`, `"sockets":18000`, 1)
		router.writeFile("config.json", config)
		router.writeFile("deploy.toml", "[changeover]\nclasses = [\"job\"]\n")
		router.start()
		router.primary.SetPrimary(false)
		router.primary.Stop()
		begin := time.Now()
		promotion := time.AfterFunc(time.Second, func() { router.replica.SetPrimary(true) })
		var writers writeClients
		for i := range clients {
			writers.Go(func() { writers.send(router, fmt.Sprint("held-", i)) })
			if i%100 == 99 {
				time.Sleep(5 * time.Millisecond) // 0.5 s for all clients
			}
		}
		sentAfter := time.Since(begin)
		maxPending := 0
		for time.Since(begin) < 950*time.Millisecond {
			if status, ok := router.onlyGroupStatus(); ok {
				maxPending = max(maxPending, status.Pending)
			}
			time.Sleep(20 * time.Millisecond)
		}
		writers.Wait()
		promotion.Stop()
		took := time.Since(begin)
		router.stop()
		for _, fault := range check.Jobs(writers.requests, router.serverLogs(), nil) {
			b.Error(fault)
		}
		served, rejected, failed, _ := check.Count(writers.requests)
		b.ReportMetric(sentAfter.Seconds(), "s-asked")
		b.ReportMetric(took.Seconds(), "s-all")
		b.ReportMetric(float64(maxPending), "held")
		b.ReportMetric(float64(served), "served")
		b.ReportMetric(float64(rejected), "refused")
		b.ReportMetric(float64(failed), "failed")
	}
}
