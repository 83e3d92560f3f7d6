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

// world is a sender and what it may meet.
type world struct {
	t    *testing.T
	ca   *collector.Authority
	cert tls.Certificate
	opt  Options
	s    *Sender
	next int

	mixed bool // a collector may read two connections side by side
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{t: t}
	var err error
	if w.ca, err = collector.NewAuthority(); err != nil {
		t.Fatal(err)
	}
	if w.cert, _, _, err = w.ca.Issue("collector.example", time.Now().Add(time.Hour)); err != nil {
		t.Fatal(err)
	}
	w.opt = Options{
		TLS: &tls.Config{RootCAs: w.ca.Pool}, Seed: 1, Window: 64 << 10, Name: "mine", Disk: spool.Options{Segment: 32 << 10, Most: 64 << 20, Message: 4096},
		Connect: 2 * time.Second, Stall: time.Second, First: 5 * time.Millisecond, Last: 50 * time.Millisecond, Prefer: time.Hour,
	}
	return w
}

func (w *world) collector(opt collector.Options) *collector.Collector {
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

func (w *world) start(cs ...*collector.Collector) {
	w.t.Helper()
	for _, c := range cs {
		p, err := ParseCollector(c.URL())
		if err != nil {
			w.t.Fatal(err)
		}
		w.opt.Collectors = append(w.opt.Collectors, p)
	}
	var err error
	if w.s, err = NewSender(w.opt, slog.New(slog.NewTextHandler(io.Discard, nil))); err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() {
		if w.s != nil {
			w.s.Close(0)
		}
	})
}

// body is the text of message i, of a length of its own.
func body(i int) string {
	return fmt.Sprintf("<14>1 - - - - - - %d %s", i, strings.Repeat("x", i*37%700))
}

// put offers n more messages until all are taken, or as many as there is room for.
func (w *world) put(n int, all bool) (taken int) {
	w.t.Helper()
	end := time.Now().Add(30 * time.Second)
	for taken < n && time.Now().Before(end) {
		var msgs [][]byte
		for i := range min(50, n-taken) {
			msgs = append(msgs, []byte(body(w.next+i)))
		}
		k := w.s.Put(msgs)
		w.next += k
		taken += k
		if k == 0 {
			if !all {
				return taken
			}
			time.Sleep(time.Millisecond)
		}
	}
	if all && taken < n {
		w.t.Fatalf("%d of %d taken", taken, n)
	}
	return taken
}

// got waits until the collectors together have all messages, and checks that each came once and in order; again allows
// that some came twice.
func (w *world) got(again bool, cs ...*collector.Collector) {
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
					w.t.Fatalf("%v: %q", err, m)
				}
				if _, err := fmt.Sscanf(string(p.Text), "%d ", &id); err != nil || string(m) != body(id) {
					w.t.Fatalf("garbled: %q", m)
				}
				if id < last && !again && !w.mixed {
					w.t.Fatalf("%d behind %d", id, last)
				}
				last = id
				seen[string(p.Text)]++
				if seen[string(p.Text)] > 1 && !again {
					w.t.Fatalf("%d came twice", id)
				}
				total++
			}
			dropped += c.Dropped() // behind the messages: a drop is never counted in the place of one that came
			if err := c.Fault(); err != nil {
				w.t.Fatal(err)
			}
		}
		if len(seen)+dropped == w.next {
			return
		}
		if time.Now().After(end) {
			w.t.Fatalf("%d of %d came, the system dropped %d: %+v", len(seen), w.next, dropped, w.s.Stats())
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// networks are those that a collector can be reached by.
var networks = []string{"udp", "tcp", "tls"}

func TestEachTransportCarriesAll(t *testing.T) {
	for _, network := range networks {
		t.Run(network, func(t *testing.T) {
			w := newWorld(t)
			c := w.collector(collector.Options{Network: network})
			w.start(c)
			for w.next < 10_000 {
				w.put(100, true)
				if network == "udp" {
					time.Sleep(100 * time.Microsecond) // nothing slows a datagram's sender down
				}
			}
			w.got(false, c)
			w.s.Close(time.Second)
			if st := w.s.Stats(); st.Sent != 10_000 || st.Lost != 0 {
				t.Fatalf("%+v", st)
			}
			w.s = nil
		})
	}
}

// A collector that ends in order and comes back: with a spool nothing is missing, and nothing comes twice.
func TestRestartLosesNothing(t *testing.T) {
	for _, network := range networks {
		t.Run(network, func(t *testing.T) {
			w := newWorld(t)
			w.opt.Spool = t.TempDir()
			c := w.collector(collector.Options{Network: network})
			w.start(c)
			for range 4 {
				w.put(300, true)
				if network == "udp" {
					w.got(false, c) // a datagram that is sent just when the socket closes is lost, and nobody hears of it
				}
				c.Stop()
				w.put(1500, true)
				time.Sleep(20 * time.Millisecond)
				if err := c.Start(); err != nil {
					t.Fatal(err)
				}
				w.put(300, true)
			}
			w.got(false, c)
			if st := w.s.Stats(); network != "udp" && st.Spooled == 0 {
				t.Fatalf("nothing went to the spool: %+v", st)
			}
		})
	}
}

// One that closes again and again in mid-stream, in order or by a reset. Behind resets the newest bytes come again.
func TestFlapping(t *testing.T) {
	for _, network := range []string{"tcp", "tls"} {
		for _, abrupt := range []bool{false, true} {
			t.Run(fmt.Sprint(network, " abrupt ", abrupt), func(t *testing.T) {
				w := newWorld(t)
				w.opt.Spool = t.TempDir()
				w.opt.First, w.opt.Last = time.Millisecond, 5*time.Millisecond
				if abrupt {
					w.opt.Repeat = 256 << 10
				}
				c := w.collector(collector.Options{Network: network, CloseAfter: 397, Abrupt: abrupt})
				w.start(c)
				if abrupt { // what it has not read when it resets has to lie within what is repeated
					for w.next < 1500 {
						w.put(10, true)
						w.got(true, c)
					}
				} else {
					w.put(1500, true)
				}
				w.got(abrupt, c)
				if n := c.Connections(); n < 4 {
					t.Fatalf("%d connections", n)
				}
			})
		}
	}
}

// One that accepts and never reads costs nobody time: what has no room goes to the spool, and all of it arrives in order
// once it reads again, or once another one takes it.
func TestHanging(t *testing.T) {
	for _, network := range []string{"tcp", "tls"} {
		t.Run(network, func(t *testing.T) {
			w := newWorld(t)
			w.opt.Spool = t.TempDir()
			w.opt.Stall = 20 * time.Second
			c := w.collector(collector.Options{Network: network})
			goOn := c.Hang()
			w.start(c)
			begin := time.Now()
			w.put(20_000, true) // far more than sockets and memory hold
			if took := time.Since(begin); took > 10*time.Second {
				t.Fatalf("it took %v", took)
			}
			goOn()
			w.got(false, c)
		})
	}
	t.Run("without a spool", func(t *testing.T) {
		w := newWorld(t)
		c := w.collector(collector.Options{Network: "tcp"})
		goOn := c.Hang()
		w.start(c)
		n := 0
		for range 50 {
			n += w.put(2000, false)
			time.Sleep(2 * time.Millisecond)
		}
		if n > 30_000 {
			t.Fatalf("%d were taken", n)
		}
		goOn()
		w.got(false, c)
	})
	t.Run("the next one takes over", func(t *testing.T) {
		w := newWorld(t)
		w.opt.Stall = 100 * time.Millisecond
		// What the first has in its socket counts as taken: it hangs for good, so it takes none of the later ones.
		first, second := w.collector(collector.Options{Network: "tls", Silent: true}), w.collector(collector.Options{Network: "tcp"})
		w.opt.Connect = 100 * time.Millisecond // a handshake that never ends
		w.start(first, second)
		w.put(500, true)
		w.got(false, second)
	})
}

// With several the first is preferred: it is tried first, and again once it is back.
func TestFailoverAndBack(t *testing.T) {
	w := newWorld(t)
	w.opt.Prefer = 30 * time.Millisecond
	a, b := w.collector(collector.Options{Network: "tcp"}), w.collector(collector.Options{Network: "tls"})
	w.start(a, b)
	w.put(100, true)
	w.got(false, a, b)
	a.Stop()
	w.put(100, true)
	w.got(false, a, b)
	if a.Received() != 100 || b.Received() != 100 {
		t.Fatalf("%d and %d", a.Received(), b.Received())
	}
	if err := a.Start(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(20 * time.Second); a.Received() == 100; time.Sleep(10 * time.Millisecond) {
		w.put(1, true)
		if time.Now().After(end) {
			t.Fatal("the first is not used again")
		}
	}
	w.got(false, a, b)
	// Other collectors in service: what is on its way to the old one is finished.
	c := w.collector(collector.Options{Network: "udp"})
	p, _ := ParseCollector(c.URL())
	w.put(100, true)
	w.s.Change([]Collector{p}, nil)
	for end := time.Now().Add(20 * time.Second); c.Received() == 0; time.Sleep(10 * time.Millisecond) {
		w.put(1, true)
		if time.Now().After(end) {
			t.Fatal("the new one is not used")
		}
	}
	w.got(false, a, b, c)
}

// The program's end waits for a bounded time; what is left is there for the next start, which sends it first.
func TestEndWithADeadCollector(t *testing.T) {
	for _, network := range []string{"tcp", "tls"} {
		w := newWorld(t)
		w.opt.Spool = t.TempDir()
		c := w.collector(collector.Options{Network: network})
		c.Stop()
		w.start(c)
		w.put(500, true)
		begin := time.Now()
		w.s.Close(100 * time.Millisecond)
		if took := time.Since(begin); took > 3*time.Second {
			t.Fatalf("it took %v", took)
		}
		if st := w.s.Stats(); st.Lost != 0 || st.Sent != 0 {
			t.Fatalf("%+v", st)
		}
		if err := c.Start(); err != nil {
			t.Fatal(err)
		}
		w.opt.Collectors, w.opt.Name = nil, "next"
		w.start(c)
		w.got(false, c)

		// A hanging one does not hold it up either, in the middle of a write. What its socket has it reads later.
		w.mixed = true
		goOn := c.Hang()
		w.put(10_000, true)
		begin = time.Now()
		w.s.Close(100 * time.Millisecond)
		if took := time.Since(begin); took > 3*time.Second {
			t.Fatalf("it took %v", took)
		}
		goOn()
		w.opt.Collectors, w.opt.Name = nil, "last"
		w.start(c)
		w.got(true, c) // what the system acknowledges too late for the end comes again
		w.s.Close(time.Second)
		w.s = nil
	}
	// Without a spool it is lost, and counted.
	w := newWorld(t)
	c := w.collector(collector.Options{Network: "tcp"})
	c.Stop()
	w.start(c)
	n := w.put(50, true)
	w.s.Close(20 * time.Millisecond)
	if st := w.s.Stats(); st.Lost != uint64(n) {
		t.Fatalf("%+v", st)
	}
	w.s = nil
}

// What comes out of the spool keeps to its rate.
func TestReplayRate(t *testing.T) {
	w := newWorld(t)
	w.opt.Spool, w.opt.Replay, w.opt.Window = t.TempDir(), 1000, 1
	c := w.collector(collector.Options{Network: "tcp"})
	c.Stop()
	w.start(c)
	w.put(1200, true)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	w.got(false, c)
	// 1000 may come at once, the rest at the rate.
	if took := time.Since(begin); took < 150*time.Millisecond || took > 10*time.Second {
		t.Fatalf("it took %v", took)
	}
}

// A collector whose certificate does not fit gets nothing; one that wants a certificate gets the router's.
func TestCertificates(t *testing.T) {
	other, err := collector.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	strange, _, _, _ := other.Issue("collector.example", time.Now().Add(time.Hour))
	w := newWorld(t)
	old, _, _, _ := w.ca.Issue("collector.example", time.Now().Add(-time.Minute))
	for name, conf := range map[string]*tls.Config{
		"strange": {Certificates: []tls.Certificate{strange}}, "old": {Certificates: []tls.Certificate{old}},
		"1.1": {Certificates: []tls.Certificate{w.cert}, MaxVersion: tls.VersionTLS11},
	} {
		w := newWorld(t)
		w.opt.TLS = &tls.Config{RootCAs: w.ca.Pool, MinVersion: tls.VersionTLS12}
		c := w.collector(collector.Options{Network: "tls", TLS: conf})
		w.start(c)
		w.put(10, true)
		time.Sleep(50 * time.Millisecond)
		if c.Received() != 0 {
			t.Errorf("%s: %d messages", name, c.Received())
		}
	}
	c := w.collector(collector.Options{Network: "tls", TLS: &tls.Config{Certificates: []tls.Certificate{w.cert}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: w.ca.Pool}})
	mine, _, _, _ := w.ca.Issue("router", time.Now().Add(time.Hour))
	w.opt.TLS = &tls.Config{RootCAs: w.ca.Pool, Certificates: []tls.Certificate{mine}, ServerName: "collector.example"}
	w.start(c)
	w.put(10, true)
	w.got(false, c)
}

// A full disk: what has no room is not taken, and once there is room all goes on.
func TestSpoolThatFails(t *testing.T) {
	w := newWorld(t)
	w.opt.Spool, w.opt.Window = t.TempDir(), 2000
	w.opt.Disk.Create = func(string) (spool.File, error) { return nil, fmt.Errorf("no room") }
	c := w.collector(collector.Options{Network: "tcp"})
	c.Stop()
	w.start(c)
	if n := w.put(1000, false); n == 0 || n > 50 {
		t.Fatalf("%d taken", n)
	}
	if st := w.s.Stats(); st.SpoolErrs != 1 {
		t.Fatalf("%+v", st)
	}
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	w.put(1000, true)
	w.got(false, c)
}

func TestParseCollector(t *testing.T) {
	for s, want := range map[string]string{"udp://127.0.0.1": "udp://127.0.0.1:514", "tcp://[::1]:99": "tcp://[::1]:99", "tls://logs.example": "tls://logs.example:6514"} {
		if c, err := ParseCollector(s); err != nil || c.String() != want {
			t.Errorf("%s: %v %v", s, c, err)
		}
	}
	for _, s := range []string{"", "127.0.0.1:514", "http://x", "udp://", "udp://x:0", "udp://x:70000", "udp://x/y", "tcp://u@x", "tcp://x?y", "udp://x:y", "\x7f"} {
		if c, err := ParseCollector(s); err == nil {
			t.Errorf("%q: %v", s, c)
		}
	}
	for s, want := range map[string]bool{"udp://127.9.9.9": true, "udp://[::1]": true, "udp://10.0.0.1": false, "udp://localhost": false} {
		if c, _ := ParseCollector(s); c.Loopback() != want {
			t.Errorf("%s", s)
		}
	}
}

// Waits double up to the longest, with jitter from the seed, and the first one that may be tried is.
func TestFailover(t *testing.T) {
	f, g := NewFailover(2, 7, 100*time.Millisecond, time.Second), NewFailover(2, 7, 100*time.Millisecond, time.Second)
	now := time.Duration(0)
	for i := range 20 {
		c, wait := f.Next(now)
		if d, w := g.Next(now); d != c || w != wait {
			t.Fatal("the same seed decides differently")
		}
		if c < 0 {
			if wait <= 0 || wait > time.Second {
				t.Fatalf("%d: %v", i, wait)
			}
			now += wait
			continue
		}
		f.Failed(c, now)
		g.Failed(c, now)
		if n, w := f.Next(now); n == c || n < 0 && w <= 0 {
			t.Fatalf("%d: %d at once", i, n)
		}
	}
	f.Held(0)
	f.Failed(0, now)
	if f.Better(1, now+49*time.Millisecond) || !f.Better(1, now+100*time.Millisecond) || f.Better(0, now+time.Hour) {
		t.Fatal("Better")
	}
	if c, wait := NewFailover(0, 1, 1, 2).Next(0); c != -1 || wait != 2 {
		t.Fatal("none at all")
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
			s, err := NewSender(Options{Collectors: []Collector{p}, Window: 1 << 20, Connect: time.Second, Stall: time.Second, First: 1, Last: 2, Prefer: time.Hour}, slog.New(slog.NewTextHandler(io.Discard, nil)))
			if err != nil {
				b.Fatal(err)
			}
			msg := []byte(body(17))
			msgs := make([][]byte, 64)
			for i := range msgs {
				msgs[i] = msg
			}
			b.ResetTimer()
			for i := 0; i < b.N; {
				k := s.Put(msgs)
				if i += k; k == 0 {
					time.Sleep(50 * time.Microsecond)
				}
			}
			s.Close(10 * time.Second)
			b.SetBytes(int64(len(msg)))
		})
	}
}

// Guards against an event loop that waits, on a change of the collectors, for a spool whose disk hangs.
func TestChangeDoesNotWaitForTheSpool(t *testing.T) {
	w := newWorld(t)
	w.start(w.collector(collector.Options{Network: "tcp"}))
	w.s.mu.Lock() // as while the spool is written
	defer w.s.mu.Unlock()
	changed := make(chan struct{})
	go func() {
		w.s.Change(w.opt.Collectors, w.opt.TLS)
		close(changed)
	}()
	select {
	case <-changed:
	case <-time.After(5 * time.Second):
		t.Fatal("Change waits")
	}
}
