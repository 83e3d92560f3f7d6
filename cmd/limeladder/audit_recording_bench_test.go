package main

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"limeladder/internal/audit"
	"limeladder/internal/syslog"
	"limeladder/internal/testserver"
	"limeladder/internal/testserver/collector"
)

// recordingPipeline is the path of a record from the recorder to a collector's socket.
type recordingPipeline struct {
	queue    *audit.Queue
	recorder *audit.Recorder
	shipper  *audit.Shipper
	sender   *syslog.Sender
}

// recordingPipelineOptions are the collector and the limits of a recordingPipeline. Sizes are in bytes.
type recordingPipelineOptions struct {
	collector    *collector.Collector
	window       int
	queueRecords int
	queueBytes   int
	gather       time.Duration
	encoder      audit.EncoderOptions
}

func newRecordingPipeline(b *testing.B, options recordingPipelineOptions) *recordingPipeline {
	b.Helper()
	address, err := syslog.ParseCollector(options.collector.URL())
	if err != nil {
		b.Fatal(err)
	}
	sender, err := syslog.NewSender(syslog.Options{
		Collectors:       []syslog.Collector{address},
		MemoryBytes:      options.window,
		ConnectTimeout:   time.Second,
		StallTimeout:     time.Second,
		MinBackoff:       1,
		MaxBackoff:       2,
		FailbackInterval: time.Hour,
	}, discardLog())
	if err != nil {
		b.Fatal(err)
	}
	encoder, err := audit.NewEncoder(options.encoder)
	if err != nil {
		b.Fatal(err)
	}
	policy, err := audit.NewPolicy(audit.Rules{Reads: 1}, nil)
	if err != nil {
		b.Fatal(err)
	}
	queue := audit.NewQueue(options.queueRecords, options.queueBytes)
	shipping := audit.ShipperOptions{
		Interval: options.gather, MessagesPerHead: 256, HeadInterval: time.Minute, Now: time.Now,
	}
	return &recordingPipeline{
		queue:    queue,
		recorder: audit.NewRecorder(policy, queue, time.Now),
		shipper:  audit.NewShipper(shipping, queue, encoder, sender),
		sender:   sender,
	}
}

// close ships the queued records, within a time limit for each stage.
func (p *recordingPipeline) close(within time.Duration) {
	p.shipper.Close(within)
	p.sender.Close(within)
}

// discardMessage makes a collector discard the messages that it receives.
func discardMessage([]byte) {}

// BenchmarkAuditRecordingThroughput measures chained records of answers on their way from the event loop to a
// collector's socket. Run it with -cpu 1 for one core.
func BenchmarkAuditRecordingThroughput(b *testing.B) {
	defer debug.SetGCPercent(debug.SetGCPercent(400)) // as the daemon does
	for _, name := range []string{"udp", "tcp", "udp unread"} {
		b.Run(name, func(b *testing.B) {
			network, unread := strings.CutSuffix(name, " unread")
			c := startCollector(b, collector.Options{Network: network, Keep: discardMessage})
			if unread { // leaves out the cost of the reader, which is not part of the router
				defer c.Hang()()
			}
			pipeline := newRecordingPipeline(b, recordingPipelineOptions{
				collector:    c,
				window:       3 << 20,
				queueRecords: 1 << 14,
				queueBytes:   6 << 20,
				gather:       time.Millisecond,
				encoder: audit.EncoderOptions{
					Head:            syslog.Header{Host: "host", App: "limeladder", Proc: "1"},
					Enterprise:      32473,
					MaxMessageBytes: 2048,
					Software:        "limeladder",
					Version:         "1",
					Start:           "019ae12345600000001",
					StartedAt:       time.Now(),
					Key:             &audit.Key{Name: "k", Secret: [32]byte{1}},
					Quality:         clockQuality,
				},
			})
			b.ResetTimer()
			before := processorTime(b)
			pipeline.recordAnswers(b.N)
			pipeline.close(time.Minute)
			used := processorTime(b) - before
			b.StopTimer()
			if dropped, lost := pipeline.queue.TakeDropped(true); lost || pipeline.sender.Stats().Lost > 0 {
				b.Fatalf("records lost: queue %+v, sender %+v", dropped, pipeline.sender.Stats())
			}
			// Per processor time, because the goroutines sleep between two checks of the queue.
			b.ReportMetric(float64(b.N)/used.Seconds(), "records/core-s")
		})
	}
}

// recordAnswers records answers, and waits while more than half of the queue is used.
func (p *recordingPipeline) recordAnswers(count int) {
	const halfOfQueue = 1 << 13
	for i := range count {
		p.recorder.Record(&audit.Answer{
			Request:  "request-1234",
			Class:    "look",
			Tenant:   "member-1",
			Client:   "127.0.0.1:54321",
			Endpoint: "db-17",
			Group:    7,
			Attempts: []audit.Attempt{{Endpoint: "db-17", Took: 1e6}},
			Total:    1e6,
			Worked:   1e6,
		})
		if i%1024 != 0 {
			continue
		}
		for queued, _ := p.queue.Len(); queued > halfOfQueue; queued, _ = p.queue.Len() {
			time.Sleep(100 * time.Microsecond)
		}
	}
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// latencyArm is one variant that BenchmarkAnswerLatency compares: a router in its own process.
type latencyArm struct {
	name      string
	address   string
	intervals int

	mu   sync.Mutex
	took []time.Duration // of each request, from sending it to its answer
}

// BenchmarkAnswerLatency compares routers without audit recording, with a healthy collector and with one that hangs.
// Their clients take turns, 100 ms for one arm at a time, so that changes in the machine's load affect all arms alike.
func BenchmarkAnswerLatency(b *testing.B) {
	var arms []*latencyArm
	for _, name := range []string{"off", "healthy", "hanging", "off-again"} { // off-again shows the noise of equal arms
		router := newRouterProcess(b, nil)
		c := startCollector(b, collector.Options{Network: "tcp", Keep: discardMessage})
		switch name {
		case "off", "off-again":
			router.writeFile("deploy.toml", "")
		case "healthy":
			router.writeDeployFile("", c)
		case "hanging":
			defer c.Hang()()
			router.writeFile("deploy.toml", fmt.Sprintf("[syslog]\ncollectors = [%q]\n[audit]\nkeys = %q\n",
				c.URL(), router.dir+"/keys.toml"))
		}
		router.start()
		arms = append(arms, &latencyArm{name: name, address: router.address})
	}
	for _, arm := range arms { // warm-up
		arm.runInterval(b)
		arm.took = nil
	}
	rng := rand.New(rand.NewPCG(1, 9))
	runtime.GC()
	for b.Loop() {
		for range 100 {
			for _, i := range rng.Perm(len(arms)) {
				arms[i].runInterval(b)
			}
		}
	}
	off := arms[0]
	for _, arm := range arms {
		b.ReportMetric(arm.quantile(0.5)/1e3, arm.name+"-p50-us")
		b.ReportMetric(arm.quantile(0.99)/1e3, arm.name+"-p99-us")
		if arm != off {
			b.ReportMetric(arm.quantile(0.5)/off.quantile(0.5), arm.name+"/off-p50")
			b.ReportMetric(arm.quantile(0.99)/off.quantile(0.99), arm.name+"/off-p99")
		}
	}
}

// runInterval lets four clients send reads for 100 ms.
func (a *latencyArm) runInterval(b *testing.B) {
	b.Helper()
	const clients = 4
	a.intervals++
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() { a.sendReads(b, fmt.Sprintf("r%d-%d", a.intervals, client)) })
	}
	running.Wait()
}

func (a *latencyArm) sendReads(b *testing.B, prefix string) {
	b.Helper()
	client := testserver.Dial(b, a.address)
	defer client.Close()
	var took []time.Duration
	for end := time.Now().Add(100 * time.Millisecond); time.Now().Before(end); {
		sentAt := time.Now()
		client.Send(queryMessage(statement(fmt.Sprintf("%s-%d", prefix, len(took)), "look")))
		if answer := client.Until('Z'); answer.Code != "" {
			b.Errorf("got answer %+v, want no SQLSTATE", answer)
			return
		}
		took = append(took, time.Since(sentAt))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.took = append(a.took, took...)
}

// quantile returns the given quantile of the request times, in nanoseconds.
func (a *latencyArm) quantile(share float64) float64 {
	slices.Sort(a.took)
	return float64(a.took[int(float64(len(a.took))*share)])
}

// BenchmarkAuditMemoryUnderOverload records ten times as much as the collector accepts, without a spool. It reports the
// growth of the heap relative to the configured limits, and the recorded relative to the received records.
func BenchmarkAuditMemoryUnderOverload(b *testing.B) {
	const (
		queueBytes  = 8 << 20
		windowBytes = 4 << 20
	)
	c := startCollector(b, collector.Options{Network: "tcp", Pause: time.Millisecond, Keep: discardMessage})
	before := heapInUse()
	pipeline := newRecordingPipeline(b, recordingPipelineOptions{
		collector:    c,
		window:       windowBytes,
		queueRecords: 1 << 20,
		queueBytes:   queueBytes,
		gather:       10 * time.Millisecond,
		encoder: audit.EncoderOptions{
			Head: syslog.Header{Host: "host"}, Enterprise: 1, MaxMessageBytes: 2048, Start: "s",
		},
	})
	maxHeap := uint64(0)
	recorded := 0
	for b.Loop() {
		for range 80 { // 8 s at 10,000 records per second, of which the collector accepts fewer than 1,000
			for range 1000 {
				recorded++
				pipeline.recorder.Record(&audit.Answer{
					Request: "request-1234", Class: "look", Endpoint: "db-17", Attempts: make([]audit.Attempt, 1),
				})
			}
			pipeline.recorder.ReportDropped()
			time.Sleep(100 * time.Millisecond)
			maxHeap = max(maxHeap, heapInUse()-min(before, heapInUse()))
		}
	}
	b.ReportMetric(float64(maxHeap)/float64(queueBytes+windowBytes), "held/configured")
	b.ReportMetric(float64(recorded)/float64(max(1, c.Received())), "recorded/taken")
	pipeline.close(0)
}

// heapInUse returns the number of bytes on the heap that are in use after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
