package main

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/audit"
	"limeladder/internal/pgwire"
	"limeladder/internal/syslog"
	"limeladder/internal/testserver"
	"limeladder/internal/testserver/collector"
)

// BenchmarkRecordPath takes answers from the loop's side to a collector's socket, chained; on one core with -cpu 1.
func BenchmarkRecordPath(b *testing.B) {
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // as the daemon does
	for _, network := range []string{"udp", "tcp", "udp unread"} {
		b.Run(network, func(b *testing.B) {
			network, unread := strings.CutSuffix(network, " unread")
			c := collectorFor(b, collector.Options{Network: network, Keep: func([]byte) {}})
			if unread { // the cost of the reader is not the router's
				defer c.Hang()()
			}
			p, err := syslog.ParseCollector(c.URL())
			if err != nil {
				b.Fatal(err)
			}
			s, err := syslog.NewSender(syslog.Options{Collectors: []syslog.Collector{p}, Window: 3 << 20, Connect: time.Second, Stall: time.Second, First: 1, Last: 2,
				Prefer: time.Hour}, slog.New(slog.NewTextHandler(io.Discard, nil)))
			if err != nil {
				b.Fatal(err)
			}
			key := audit.Key{Name: "k", Secret: [32]byte{1}}
			enc, err := audit.NewEncoder(audit.EncoderOptions{Head: syslog.Head{Host: "host", App: "limeladder", Proc: "1"}, Enterprise: 32473, Most: 2048,
				Software: "limeladder", Version: "1", Start: "019ae12345600000001", Began: time.Now(), Key: &key, Quality: clock})
			if err != nil {
				b.Fatal(err)
			}
			policy, _ := audit.NewPolicy(audit.Rules{Reads: 1}, nil)
			q := audit.NewQueue(1<<14, 6<<20)
			r := audit.NewRecorder(policy, q, time.Now)
			sh := audit.NewShipper(audit.ShipperOptions{Gather: time.Millisecond, Heads: 256, Every: time.Minute, Now: time.Now}, q, enc, s)
			b.ResetTimer()
			before := processor(b)
			for i := range b.N {
				r.Record(&audit.Answer{Request: "request-1234", Class: "look", Tenant: "member-1", Client: "127.0.0.1:54321", Node: "db-17", Group: 7,
					Attempts: []audit.Attempt{{Node: "db-17", Took: 1e6}}, Total: 1e6, Worked: 1e6})
				if i%1024 == 0 {
					for n, _ := q.Len(); n > 1<<13; n, _ = q.Len() {
						time.Sleep(100 * time.Microsecond)
					}
				}
			}
			sh.Close(time.Minute)
			s.Close(time.Minute)
			used := processor(b) - before
			b.StopTimer()
			if d, any := q.Lost(true); any || s.Stats().Lost > 0 {
				b.Fatalf("%+v %+v", d, s.Stats())
			}
			// By processor time: between two looks at the queue the goroutines sleep.
			b.ReportMetric(float64(b.N)/used.Seconds(), "records/core-s")
		})
	}
}

// processor is the time that this process has used.
func processor(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAnswerLatency runs three routers side by side: without a record, with a collector that takes it, and with one
// that hangs. Their clients ask by turns, an arm for 100 ms at a time, so that the machine treats them alike.
func BenchmarkAnswerLatency(b *testing.B) {

	arms := []string{"off", "healthy", "hanging", "off-again"} // the last tells how far two alike lie apart
	addrs := map[string]string{}
	for _, arm := range arms {
		r := newRig(b, nil)
		c := collectorFor(b, collector.Options{Network: "tcp", Keep: func([]byte) {}})
		switch arm {
		case "off", "off-again":
			r.file("deploy.toml", "")
		case "healthy":
			r.deploy("", c)
		case "hanging":
			defer c.Hang()()
			r.file("deploy.toml", fmt.Sprintf("[syslog]\ncollectors = [%q]\n[audit]\nkeys = %q\n", c.URL(), r.dir+"/keys.toml"))
		}
		r.start()
		addrs[arm] = r.addr
	}
	const clients = 4
	took := map[string][]time.Duration{}
	var mu sync.Mutex
	turn := func(arm string, n int) {
		var done sync.WaitGroup
		for k := range clients {
			done.Add(1)
			go func() {
				defer done.Done()
				c := testserver.Dial(b, addrs[arm])
				defer c.Close()
				var mine []time.Duration
				for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end); {
					at := time.Now()
					c.Send(pgwire.AppendQuery(nil, sql("r"+strconv.Itoa(n)+"-"+strconv.Itoa(k)+"-"+strconv.Itoa(len(mine)), "look")))
					if a := c.Until('Z'); a.Code != "" {
						b.Errorf("%+v", a)
						return
					}
					mine = append(mine, time.Since(at))
				}
				mu.Lock()
				took[arm] = append(took[arm], mine...)
				mu.Unlock()
			}()
		}
		done.Wait()
	}
	n, rng := 0, rand.New(rand.NewPCG(1, 9))
	for _, arm := range arms {
		turn(arm, n) // warm
		n++
	}
	took = map[string][]time.Duration{}
	runtime.GC()
	for b.Loop() {
		for range 100 {
			for _, i := range rng.Perm(len(arms)) {
				n++
				turn(arms[i], n)
			}
		}
	}
	at := func(arm string, share float64) float64 {
		slices.Sort(took[arm])
		return float64(took[arm][int(float64(len(took[arm]))*share)])
	}
	for _, arm := range arms {
		b.ReportMetric(at(arm, 0.5)/1e3, arm+"-p50-us")
		b.ReportMetric(at(arm, 0.99)/1e3, arm+"-p99-us")
		if arm != "off" {
			b.ReportMetric(at(arm, 0.5)/at("off", 0.5), arm+"/off-p50")
			b.ReportMetric(at(arm, 0.99)/at("off", 0.99), arm+"/off-p99")
		}
	}
}

// BenchmarkMemoryAtTenTimesTheRate records ten times what the collector takes, without a spool: what is held beyond an idle
// program stays under what is configured, and what was lost is counted.
func BenchmarkMemoryAtTenTimesTheRate(b *testing.B) {
	const queue, window = 8 << 20, 4 << 20
	c := collectorFor(b, collector.Options{Network: "tcp", Pause: time.Millisecond, Keep: func([]byte) {}})
	p, err := syslog.ParseCollector(c.URL())
	if err != nil {
		b.Fatal(err)
	}
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	s, err := syslog.NewSender(syslog.Options{Collectors: []syslog.Collector{p}, Window: window, Connect: time.Second, Stall: time.Second, First: 1, Last: 2, Prefer: time.Hour},
		slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		b.Fatal(err)
	}
	enc, err := audit.NewEncoder(audit.EncoderOptions{Head: syslog.Head{Host: "host"}, Enterprise: 1, Most: 2048, Start: "s"})
	if err != nil {
		b.Fatal(err)
	}
	policy, _ := audit.NewPolicy(audit.Rules{Reads: 1}, nil)
	q := audit.NewQueue(1<<20, queue)
	r := audit.NewRecorder(policy, q, time.Now)
	sh := audit.NewShipper(audit.ShipperOptions{Gather: 10 * time.Millisecond, Heads: 256, Every: time.Minute, Now: time.Now}, q, enc, s)
	most, recorded := uint64(0), 0
	for b.Loop() {
		for range 80 { // 8 s at 10,000 a second, of which the collector takes fewer than 1,000
			for range 1000 {
				recorded++
				r.Record(&audit.Answer{Request: "request-1234", Class: "look", Node: "db-17", Attempts: make([]audit.Attempt, 1)})
			}
			r.Tick()
			time.Sleep(100 * time.Millisecond)
			most = max(most, heap()-min(before, heap()))
		}
	}
	b.ReportMetric(float64(most)/float64(queue+window), "held/configured")
	b.ReportMetric(float64(recorded)/float64(max(1, c.Got())), "recorded/taken")
	sh.Close(0)
	s.Close(0)
}
