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
	loss       primaryLoss
	leaderless time.Duration
	queued     bool
}

func (a failoverArm) queueState() string {
	if a.queued {
		return "on"
	}
	return "off"
}

// failoverCounts are the answers of all rounds of an arm.
type failoverCounts struct {
	rejected int
	failed   int
}

// BenchmarkFailover loses the primary of a group of three, with 50 requests a second whose clients wait 2.5 s,
// without and with the failover queue, side by side in one run. It reports what clients were answered, and how long
// after the promotion the first write ran.
func BenchmarkFailover(b *testing.B) {
	var arms []failoverArm
	for _, loss := range []primaryLoss{primaryDies, primaryHangs} {
		for _, leaderless := range []time.Duration{time.Second, 2 * time.Second} {
			arms = append(arms, failoverArm{loss, leaderless, false}, failoverArm{loss, leaderless, true})
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
		suffix := fmt.Sprintf("-%s-%v-%s", arm.loss, arm.leaderless, arm.queueState())
		b.ReportMetric(float64(counts[arm].rejected)/float64(rounds), "refused"+suffix)
		b.ReportMetric(float64(counts[arm].failed)/float64(rounds), "failed"+suffix)
	}
	for state, durations := range firstWrites {
		slices.Sort(durations)
		b.ReportMetric(float64(durations[len(durations)/2].Milliseconds()), "first-ms-median-"+state)
		b.ReportMetric(float64(durations[len(durations)-1].Milliseconds()), "first-ms-worst-"+state)
	}
}

// run plays one round and returns the scenario once it has ended.
func (a failoverArm) run(b *testing.B, successor int) *failoverScenario {
	b.Helper()
	scenario := newFailoverScenario(b, 1, a.queued, 2500*time.Millisecond)
	go func() {
		time.Sleep(500 * time.Millisecond)
		scenario.failOver(0, 0, successor, a.loss, a.leaderless)
	}()
	scenario.runLoad(50, 500*time.Millisecond+a.leaderless+500*time.Millisecond, false)
	for _, fault := range scenario.finish() {
		b.Error(fault)
	}
	return scenario
}

// BenchmarkTenThousandPendingClients lets ten thousand clients, each on a connection of its own, send a write to a
// router in a process of its own while their group has no primary for a second, and reports what they were answered.
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
				time.Sleep(5 * time.Millisecond) // half a second for all of them
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
