package syslog

import (
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"limeladder/internal/spool"
	"limeladder/internal/syslog/parser"
	"limeladder/internal/testserver/collector"
)

// senderTest holds a Sender under test, and what its collectors need.
type senderTest struct {
	t       *testing.T
	ca      *collector.Authority
	cert    tls.Certificate
	options Options
	sender  *Sender
	next    int // the number of the next message

	allowOverlap bool // messages may arrive out of order, as a collector may read two connections at the same time
}

func newSenderTest(t *testing.T) *senderTest {
	t.Helper()
	w := &senderTest{t: t}
	var err error
	if w.ca, err = collector.NewAuthority(); err != nil {
		t.Fatal(err)
	}
	if w.cert, _, _, err = w.ca.Issue("collector.example", time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	w.options = Options{
		TLS: &tls.Config{RootCAs: w.ca.Pool}, Seed: 1, MemoryBytes: 64 << 10, SpoolName: "mine",
		SpoolOptions:   spool.Options{SegmentBytes: 32 << 10, MaxBytes: 64 << 20, MaxMessageBytes: 4096},
		ConnectTimeout: 2 * time.Second, StallTimeout: time.Second,
		MinBackoff: 5 * time.Millisecond, MaxBackoff: 50 * time.Millisecond, FailbackInterval: time.Hour,
	}
	return w
}

func (w *senderTest) startCollector(opt collector.Options) *collector.Collector {
	w.t.Helper()
	if opt.TLS == nil {
		opt.TLS = &tls.Config{Certificates: []tls.Certificate{w.cert}}
	}
	c, err := collector.New(opt)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(c.Stop)
	return c
}

func (w *senderTest) startSender(cs ...*collector.Collector) {
	w.t.Helper()
	for _, c := range cs {
		p, err := ParseCollector(c.URL())
		if err != nil {
			w.t.Fatal(err)
		}
		w.options.Collectors = append(w.options.Collectors, p)
	}
	var err error
	if w.sender, err = NewSender(w.options, slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() {
		if w.sender != nil {
			w.sender.Close(0)
		}
	})
}

// testMessage returns message i. Its length depends on i.
func testMessage(i int) string {
	return fmt.Sprintf("<14>1 - - - - - - %d %s", i, strings.Repeat("x", i*37%700))
}

// putMessages puts n more messages, and returns how many were accepted. If all is set it retries until all are, and
// fails the test after 30 s; otherwise it stops at the first call of Put that accepts none.
func (w *senderTest) putMessages(n int, all bool) (accepted int) {
	w.t.Helper()
	end := time.Now().Add(30 * time.Second)
	for accepted < n && time.Now().Before(end) {
		var msgs [][]byte
		for i := range min(50, n-accepted) {
			msgs = append(msgs, []byte(testMessage(w.next+i)))
		}
		count := w.sender.Put(msgs)
		w.next += count
		accepted += count
		if count == 0 {
			if !all {
				return accepted
			}
			time.Sleep(time.Millisecond)
		}
	}
	if all && accepted < n {
		w.t.Fatalf("%d of %d messages accepted within 30 s", accepted, n)
	}
	return accepted
}

// waitDelivered waits until the collectors together have received all messages, and checks that each arrived once and
// in order. With allowRepeats messages may arrive more than once and out of order.
func (w *senderTest) waitDelivered(allowRepeats bool, cs ...*collector.Collector) {
	w.t.Helper()
	end := time.Now().Add(30 * time.Second)
	for {
		seen := map[string]int{}
		total, dropped := 0, 0
		for _, c := range cs {
			last := -1
			for _, m := range c.Messages() {
				var id int
				var p parser.Message
				if err := p.Read(m); err != nil {
					w.t.Fatalf("parsing a received message: %v: %q", err, m)
				}
				if _, err := fmt.Sscanf(string(p.Text), "%d ", &id); err != nil || string(m) != testMessage(id) {
					w.t.Fatalf("received %q, which was not sent", m)
				}
				if id < last && !allowRepeats && !w.allowOverlap {
					w.t.Fatalf("message %d arrived after message %d", id, last)
				}
				last = id
				seen[string(p.Text)]++
				if seen[string(p.Text)] > 1 && !allowRepeats {
					w.t.Fatalf("message %d arrived twice", id)
				}
				total++
			}
			dropped += c.Dropped() // read after the messages, so that a message that arrives meanwhile is not counted as dropped
			if err := c.Fault(); err != nil {
				w.t.Fatal(err)
			}
		}
		if len(seen)+dropped == w.next {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("%d of %d messages arrived within 30 s, the collectors' system dropped %d: %+v",
				len(seen), w.next, dropped, w.sender.Stats())
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// networks are the transports over which a collector can be reached.
var networks = []string{"udp", "tcp", "tls"}

func TestEachTransportDeliversAll(t *testing.T) {
	for _, network := range networks {
		t.Run(network, func(t *testing.T) {
			w := newSenderTest(t)
			c := w.startCollector(collector.Options{Network: network})
			w.startSender(c)
			for w.next < 10_000 {
				w.putMessages(100, true)
				if network == "udp" {
					time.Sleep(100 * time.Microsecond) // UDP has no flow control
				}
			}
			w.waitDelivered(false, c)
			w.sender.Close(time.Second)
			if st := w.sender.Stats(); st.Sent != 10_000 || st.Lost != 0 {
				t.Fatalf("got %+v, want 10000 sent and 0 lost", st)
			}
			w.sender = nil
		})
	}
}

// With a spool, a collector that shuts down gracefully and starts again gets every message exactly once.
func TestCollectorRestartLosesNothing(t *testing.T) {
	for _, network := range networks {
		t.Run(network, func(t *testing.T) {
			w := newSenderTest(t)
			w.options.SpoolFolder = t.TempDir()
			c := w.startCollector(collector.Options{Network: network})
			w.startSender(c)
			for range 4 {
				w.putMessages(300, true)
				if network == "udp" {
					w.waitDelivered(false, c) // a datagram that is sent while the socket closes is lost without an error
				}
				c.Stop()
				w.putMessages(1500, true)
				time.Sleep(20 * time.Millisecond)
				if err := c.Start(); err != nil {
					t.Fatal(err)
				}
				w.putMessages(300, true)
			}
			w.waitDelivered(false, c)
			if st := w.sender.Stats(); network != "udp" && st.Spooled == 0 {
				t.Fatalf("no message was written to the spool: %+v", st)
			}
		})
	}
}

// A collector repeatedly closes the connection in mid-stream, gracefully or with a reset. After a reset the newest
// bytes are sent again.
func TestCollectorClosesRepeatedly(t *testing.T) {
	for _, network := range []string{"tcp", "tls"} {
		for _, abrupt := range []bool{false, true} {
			t.Run(fmt.Sprint(network, " abrupt ", abrupt), func(t *testing.T) {
				w := newSenderTest(t)
				w.options.SpoolFolder = t.TempDir()
				w.options.MinBackoff, w.options.MaxBackoff = time.Millisecond, 5*time.Millisecond
				if abrupt {
					w.options.RepeatBytes = 256 << 10
				}
				c := w.startCollector(collector.Options{Network: network, CloseAfter: 397, Abrupt: abrupt})
				w.startSender(c)
				if abrupt { // the bytes that the collector has not read at a reset must not exceed Options.RepeatBytes
					for w.next < 1500 {
						w.putMessages(10, true)
						w.waitDelivered(true, c)
					}
				} else {
					w.putMessages(1500, true)
				}
				w.waitDelivered(abrupt, c)
				if n := c.Connections(); n < 4 {
					t.Fatalf("%d connections, want at least 4", n)
				}
			})
		}
	}
}

// A collector that accepts connections but does not read must not block Put: messages that exceed the memory go to the
// spool, and all arrive in order once the collector reads again, or at the next collector.
func TestCollectorStopsReading(t *testing.T) {
	for _, network := range []string{"tcp", "tls"} {
		t.Run(network, func(t *testing.T) {
			w := newSenderTest(t)
			w.options.SpoolFolder = t.TempDir()
			w.options.StallTimeout = 20 * time.Second
			c := w.startCollector(collector.Options{Network: network})
			resume := c.Hang()
			w.startSender(c)
			begin := time.Now()
			w.putMessages(20_000, true) // far more than the buffers of the sockets and the memory of the sender hold
			if took := time.Since(begin); took > 10*time.Second {
				t.Fatalf("putting the messages took %v, want at most 10 s", took)
			}
			resume()
			w.waitDelivered(false, c)
		})
	}
	t.Run("without a spool", func(t *testing.T) {
		w := newSenderTest(t)
		c := w.startCollector(collector.Options{Network: "tcp"})
		resume := c.Hang()
		w.startSender(c)
		n := 0
		for range 50 {
			n += w.putMessages(2000, false)
			time.Sleep(2 * time.Millisecond)
		}
		if n > 30_000 {
			t.Fatalf("%d messages were accepted, want at most 30000", n)
		}
		resume()
		w.waitDelivered(false, c)
	})
	t.Run("failover to the next collector", func(t *testing.T) {
		w := newSenderTest(t)
		w.options.StallTimeout = 100 * time.Millisecond
		// Messages in the first collector's socket would count as delivered. It never completes the TLS handshake, so no
		// message gets there.
		first, second := w.startCollector(collector.Options{Network: "tls", Silent: true}),
			w.startCollector(collector.Options{Network: "tcp"})
		w.options.ConnectTimeout = 100 * time.Millisecond // the timeout of the handshake
		w.startSender(first, second)
		w.putMessages(500, true)
		w.waitDelivered(false, second)
	})
}

// The first of several collectors is preferred: the sender starts with it, and returns to it once it is available
// again.
func TestFailoverAndFailback(t *testing.T) {
	w := newSenderTest(t)
	w.options.FailbackInterval = 30 * time.Millisecond
	a, b := w.startCollector(collector.Options{Network: "tcp"}), w.startCollector(collector.Options{Network: "tls"})
	w.startSender(a, b)
	w.putMessages(100, true)
	w.waitDelivered(false, a, b)
	a.Stop()
	w.putMessages(100, true)
	w.waitDelivered(false, a, b)
	if a.Received() != 100 || b.Received() != 100 {
		t.Fatalf("%d and %d messages received, want 100 each", a.Received(), b.Received())
	}
	if err := a.Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); a.Received() == 100; time.Sleep(10 * time.Millisecond) {
		w.putMessages(1, true)
		if time.Now().After(end) {
			t.Fatal("the sender has not returned to the preferred collector within 20 s")
		}
	}
	w.waitDelivered(false, a, b)
	// After SetCollectors, messages that were written to the old collector still arrive there.
	c := w.startCollector(collector.Options{Network: "udp"})
	p, _ := ParseCollector(c.URL())
	w.putMessages(100, true)
	w.sender.SetCollectors([]Collector{p}, nil)
	for end := time.Now().Add(20 * time.Second); c.Received() == 0; time.Sleep(10 * time.Millisecond) {
		w.putMessages(1, true)
		if time.Now().After(end) {
			t.Fatal("the new collector received nothing within 20 s")
		}
	}
	w.waitDelivered(false, a, b, c)
}

// Close returns within its time limit though the collector is unavailable. Messages that are left are sent first by the
// next sender on the same spool folder.
func TestCloseWithUnavailableCollector(t *testing.T) {
	for _, network := range []string{"tcp", "tls"} {
		w := newSenderTest(t)
		w.options.SpoolFolder = t.TempDir()
		c := w.startCollector(collector.Options{Network: network})
		c.Stop()
		w.startSender(c)
		w.putMessages(500, true)
		begin := time.Now()
		w.sender.Close(100 * time.Millisecond)
		if took := time.Since(begin); took > 3*time.Second {
			t.Fatalf("Close took %v, want at most 3 s", took)
		}
		if st := w.sender.Stats(); st.Lost != 0 || st.Sent != 0 {
			t.Fatalf("got %+v, want 0 lost and 0 sent", st)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		w.options.Collectors, w.options.SpoolName = nil, "next"
		w.startSender(c)
		w.waitDelivered(false, c)

		// Nor does a collector that stops reading block Close in the middle of a write. The collector reads the content of
		// its socket buffer later.
		w.allowOverlap = true
		resume := c.Hang()
		w.putMessages(10_000, true)
		begin = time.Now()
		w.sender.Close(100 * time.Millisecond)
		if took := time.Since(begin); took > 3*time.Second {
			t.Fatalf("Close took %v, want at most 3 s", took)
		}
		resume()
		w.options.Collectors, w.options.SpoolName = nil, "last"
		w.startSender(c)
		w.waitDelivered(true, c) // messages that are acknowledged only after Close are sent again
		w.sender.Close(time.Second)
		w.sender = nil
	}
	// Without a spool the messages are lost, and counted.
	w := newSenderTest(t)
	c := w.startCollector(collector.Options{Network: "tcp"})
	c.Stop()
	w.startSender(c)
	n := w.putMessages(50, true)
	w.sender.Close(20 * time.Millisecond)
	if st := w.sender.Stats(); st.Lost != uint64(n) {
		t.Fatalf("got %+v, want all accepted messages lost", st)
	}
	w.sender = nil
}

// Messages from the spool are sent at the replay rate.
func TestReplayRate(t *testing.T) {
	w := newSenderTest(t)
	w.options.SpoolFolder, w.options.ReplayRate, w.options.MemoryBytes = t.TempDir(), 1000, 1
	c := w.startCollector(collector.Options{Network: "tcp"})
	c.Stop()
	w.startSender(c)
	w.putMessages(1200, true)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	w.waitDelivered(false, c)
	// The bucket holds 1000 messages; the other 200 take 200 ms.
	if took := time.Since(begin); took < 150*time.Millisecond || took > 10*time.Second {
		t.Fatalf("replaying took %v, want 150 ms to 10 s", took)
	}
}

// A collector whose certificate is not valid gets no messages; a collector that requires a client certificate gets the
// router's.
func TestCertificates(t *testing.T) {
	other, err := collector.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	untrusted, _, _, _ := other.Issue("collector.example", time.Now().Add(time.Hour))
	w := newSenderTest(t)
	expired, _, _, _ := w.ca.Issue("collector.example", time.Now().Add(-time.Minute))
	for name, conf := range map[string]*tls.Config{
		"untrusted": {Certificates: []tls.Certificate{untrusted}}, "expired": {Certificates: []tls.Certificate{expired}},
		"TLS 1.1": {Certificates: []tls.Certificate{w.cert}, MaxVersion: tls.VersionTLS11},
	} {
		w := newSenderTest(t)
		w.options.TLS = &tls.Config{RootCAs: w.ca.Pool, MinVersion: tls.VersionTLS12}
		c := w.startCollector(collector.Options{Network: "tls", TLS: conf})
		w.startSender(c)
		w.putMessages(10, true)
		time.Sleep(50 * time.Millisecond)
		if c.Received() != 0 {
			t.Errorf("%s: the collector received %d messages, want none", name, c.Received())
		}
	}
	c := w.startCollector(collector.Options{Network: "tls", TLS: &tls.Config{
		Certificates: []tls.Certificate{w.cert}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: w.ca.Pool,
	}})
	mine, _, _, _ := w.ca.Issue("router", time.Now().Add(time.Hour))
	w.options.TLS = &tls.Config{RootCAs: w.ca.Pool, Certificates: []tls.Certificate{mine}, ServerName: "collector.example"}
	w.startSender(c)
	w.putMessages(10, true)
	w.waitDelivered(false, c)
}

// While the disk fails, messages beyond the memory limit are not accepted. Once a collector is available, all are sent.
func TestSpoolDiskFailure(t *testing.T) {
	w := newSenderTest(t)
	w.options.SpoolFolder, w.options.MemoryBytes = t.TempDir(), 2000
	w.options.SpoolOptions.CreateFile = func(string) (spool.File, error) { return nil, fmt.Errorf("no room") }
	c := w.startCollector(collector.Options{Network: "tcp"})
	c.Stop()
	w.startSender(c)
	if n := w.putMessages(1000, false); n == 0 || n > 50 {
		t.Fatalf("%d messages accepted, want 1 to 50", n)
	}
	if st := w.sender.Stats(); st.SpoolErrors != 1 {
		t.Fatalf("got %+v, want 1 spool error", st)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	w.putMessages(1000, true)
	w.waitDelivered(false, c)
}

func TestParseCollector(t *testing.T) {
	for s, want := range map[string]string{"udp://127.0.0.1": "udp://127.0.0.1:514", "tcp://[::1]:99": "tcp://[::1]:99", "tls://logs.example": "tls://logs.example:6514"} {
		if c, err := ParseCollector(s); err != nil || c.String() != want {
			t.Errorf("ParseCollector(%q) = %v, %v", s, c, err)
		}
	}
	for _, s := range []string{"", "127.0.0.1:514", "http://x", "udp://", "udp://x:0", "udp://x:70000", "udp://x/y", "tcp://u@x", "tcp://x?y", "udp://x:y", "\x7f"} {
		if c, err := ParseCollector(s); err == nil {
			t.Errorf("ParseCollector(%q) = %v, want an error", s, c)
		}
	}
	for s, want := range map[string]bool{"udp://127.9.9.9": true, "udp://[::1]": true, "udp://10.0.0.1": false, "udp://localhost": false} {
		if c, _ := ParseCollector(s); c.Loopback() != want {
			t.Errorf("wrong result of Loopback for %s", s)
		}
	}
}

// Backoffs double up to the maximum, with jitter from the seed, and Next returns the first collector that may be tried.
func TestFailoverBackoff(t *testing.T) {
	f, g := NewFailover(2, 7, 100*time.Millisecond, time.Second), NewFailover(2, 7, 100*time.Millisecond, time.Second)
	now := time.Duration(0)
	for i := range 20 {
		c, wait := f.Next(now)
		if d, w := g.Next(now); d != c || w != wait {
			t.Fatal("two Failovers with the same seed decide differently")
		}
		if c < 0 {
			if wait <= 0 || wait > time.Second {
				t.Fatalf("step %d: wait is %v, want more than 0 and at most 1 s", i, wait)
			}
			now += wait
			continue
		}
		f.Failed(c, now)
		g.Failed(c, now)
		if n, w := f.Next(now); n == c || n < 0 && w <= 0 {
			t.Fatalf("step %d: collector %d is tried again at once after it failed", i, n)
		}
	}
	f.ResetBackoff(0)
	f.Failed(0, now)
	if f.CanRetryPreferred(1, now+49*time.Millisecond) || !f.CanRetryPreferred(1, now+100*time.Millisecond) ||
		f.CanRetryPreferred(0, now+time.Hour) {
		t.Fatal("wrong result of CanRetryPreferred")
	}
	if c, wait := NewFailover(0, 1, 1, 2).Next(0); c != -1 || wait != 2 {
		t.Fatal("Next without collectors: want -1 and the longest backoff")
	}
}

func BenchmarkSend(b *testing.B) {
	for _, network := range []string{"udp", "tcp"} {
		b.Run(network, func(b *testing.B) {
			c, err := collector.New(collector.Options{Network: network, Keep: func([]byte) {}})
			if err != nil {
				b.Fatal(err)
			}
			defer c.Stop()
			p, _ := ParseCollector(c.URL())
			s, err := NewSender(Options{
				Collectors: []Collector{p}, MemoryBytes: 1 << 20, ConnectTimeout: time.Second,
				StallTimeout: time.Second, MinBackoff: 1, MaxBackoff: 2, FailbackInterval: time.Hour,
			}, slog.New(slog.NewTextHandler(io.Discard, nil)))
			if err != nil {
				b.Fatal(err)
			}
			msg := []byte(testMessage(17))
			msgs := make([][]byte, 64)
			for i := range msgs {
				msgs[i] = msg
			}
			b.ResetTimer()
			for i := 0; i < b.N; {
				count := s.Put(msgs)
				if i += count; count == 0 {
					time.Sleep(50 * time.Microsecond)
				}
			}
			s.Close(10 * time.Second)
			b.SetBytes(int64(len(msg)))
		})
	}
}

// SetCollectors is called on the event loop, so it must not wait for a spool whose disk hangs.
func TestSetCollectorsDoesNotWaitForTheSpool(t *testing.T) {
	w := newSenderTest(t)
	w.startSender(w.startCollector(collector.Options{Network: "tcp"}))
	w.sender.mu.Lock() // the sender holds it while it writes to the spool
	defer w.sender.mu.Unlock()
	changed := make(chan struct{})
	go func() {
		w.sender.SetCollectors(w.options.Collectors, w.options.TLS)
		close(changed)
	}()
	select {
	case <-changed:
	case <-time.After(5 * time.Second):
		t.Fatal("SetCollectors has not returned within 5 s")
	}
}
