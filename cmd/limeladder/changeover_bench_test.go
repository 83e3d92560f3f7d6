package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/testserver"
	"limeladder/internal/testserver/check"
)

// BenchmarkPrimaryChange loses the primary of a bank of three, with 50 jobs a second whose clients wait 2.5 s, without and
// with holding, side by side in one run. It reports what the clients were told, and how long after the successor stood the
// first write ran there.
func BenchmarkPrimaryChange(b *testing.B) {
	type arm struct {
		how  string
		gap  time.Duration
		hold bool
	}
	var arms []arm
	for _, how := range []string{"dies", "hangs"} {
		for _, gap := range []time.Duration{time.Second, 2 * time.Second} {
			arms = append(arms, arm{how, gap, false}, arm{how, gap, true})
		}
	}
	var mu sync.Mutex
	sum := map[arm][4]int{}
	firsts := map[bool][]time.Duration{}
	rounds := 0
	for b.Loop() {
		for range 4 {
			rounds++
			var done sync.WaitGroup
			for _, a := range arms {
				done.Add(1)
				go func() {
					defer done.Done()
					s := newScene(b, 1, a.hold, 2500*time.Millisecond)
					go func() {
						pause(500 * time.Millisecond)
						change(s, 0, 0, 1+rounds%2, a.how, a.gap)
					}()
					s.load(50, 500*time.Millisecond+a.gap+500*time.Millisecond, false)
					for _, f := range s.finish() {
						b.Error(f)
					}
					served, refused, failed, _ := check.Count(s.jobs)
					mu.Lock()
					defer mu.Unlock()
					n := sum[a]
					sum[a] = [4]int{n[0] + len(s.jobs), n[1] + served, n[2] + refused, n[3] + failed}
					for _, l := range s.leads {
						if d, ok := s.first(l); ok {
							firsts[a.hold] = append(firsts[a.hold], d)
						}
					}
				}()
			}
			done.Wait()
		}
	}
	for _, a := range arms {
		n := sum[a]
		word := map[bool]string{false: "off", true: "on"}[a.hold]
		b.ReportMetric(float64(n[2])/float64(rounds), strings.ReplaceAll(fmt.Sprintf("refused-%s-%v-%s", a.how, a.gap, word), " ", "-"))
		b.ReportMetric(float64(n[3])/float64(rounds), strings.ReplaceAll(fmt.Sprintf("failed-%s-%v-%s", a.how, a.gap, word), " ", "-"))
	}
	for hold, ds := range firsts {
		slices.Sort(ds)
		word := map[bool]string{false: "off", true: "on"}[hold]
		b.ReportMetric(float64(ds[len(ds)/2].Milliseconds()), "first-ms-median-"+word)
		b.ReportMetric(float64(ds[len(ds)-1].Milliseconds()), "first-ms-worst-"+word)
	}
}

// BenchmarkThousandsOnSockets lets ten thousand clients, each on a connection of its own, ask a router that is a process of
// its own for a job while their bank has no primary for a second, and tells what they were told.
func BenchmarkThousandsOnSockets(b *testing.B) {
	const n = 10_000
	for b.Loop() {
		r := newRig(b, nil)
		r.file("config.json", strings.Replace(r.text("config.json"), `"sockets":1024`, `"sockets":18000`, 1))
		r.file("deploy.toml", "[changeover]\nclasses = [\"job\"]\n")
		r.start()
		var mu sync.Mutex
		var jobs []check.Job
		var done sync.WaitGroup
		r.a.Lead(false)
		r.a.Stop()
		begin := time.Now()
		lead := time.AfterFunc(time.Second, func() { r.b.Lead(true) })
		most := 0
		for i := range n {
			done.Add(1)
			go func() {
				defer done.Done()
				c := testserver.Dial(b, r.addr)
				j := check.Job{ID: fmt.Sprint("held-", i), Sent: time.Now(), Deadline: 3 * time.Second}
				c.Send(pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=job,d=3000,cluster=7 */ SELECT 1", j.ID)))
				a := c.Until('Z')
				if j.Answered, j.Code, j.After = time.Now(), a.Code, a.Detail; !a.Ended {
					j.Answers = 1
				}
				c.Close()
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
			}()
			if i%100 == 99 {
				time.Sleep(5 * time.Millisecond) // half a second for all of them
			}
		}
		asked := time.Since(begin)
		for time.Since(begin) < 950*time.Millisecond {
			if cs := r.cells(); len(cs) == 1 {
				most = max(most, cs[0].Held)
			}
			time.Sleep(20 * time.Millisecond)
		}
		done.Wait()
		lead.Stop()
		took := time.Since(begin)
		r.stop()
		served, refused, failed, _ := check.Count(jobs)
		for _, f := range check.Jobs(jobs, []check.Log{r.a.Log(), r.b.Log()}, nil) {
			b.Error(f)
		}
		b.ReportMetric(asked.Seconds(), "s-asked")
		b.ReportMetric(took.Seconds(), "s-all")
		b.ReportMetric(float64(most), "held")
		b.ReportMetric(float64(served), "served")
		b.ReportMetric(float64(refused), "refused")
		b.ReportMetric(float64(failed), "failed")
	}
}
