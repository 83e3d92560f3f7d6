package frontend

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"limeladder/internal/backend"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
	"limeladder/internal/transport"
)

// core answers requests by their class, in the loop.
type core struct {
	loop  *eventloop.Loop
	taken atomic.Int32

	turned atomic.Int32
	left   chan string

	source *source

	newest  atomic.Pointer[router.Request]
	asked   []router.Request // owned by the loop
	clients []router.Client  // theirs
	odd     func()           // called at an unfit one
}

// Order has "waits" stand for writes, "free" for reads that wait for nothing and "own" for those that see their session's writes.
func (k *core) OrderingOf(class string) router.Ordering {
	return router.Ordering{Writes: class == "waits", ReadsOwnWrites: class == "own", ReadsAllWrites: class != "free" && class != "own"}
}

func (k *core) RecordRejection(router.Request, time.Duration) { k.turned.Add(1) }

func (k *core) Accept(q router.Request, c router.Client) (string, error) {
	if q.Class == "odd" {
		if k.odd != nil {
			k.odd()
		}
		return "", router.ErrUnknownClass
	}
	k.newest.Store(&q)
	k.asked, k.clients = append(k.asked, q), append(k.clients, c)
	k.taken.Add(1)
	k.loop.Post(func() {
		switch q.Class {
		case "served":
			text := q.Job.(*Query).Messages(q.Deadline)
			p := pgwire.Append(nil, 'T', []byte{0, 0})
			p = pgwire.Append(p, 'D', []byte{0, 1, 0, 0, byte(len(text) >> 8), byte(len(text))}, text)
			c.Served(&backend.Response{Messages: pgwire.Append(p, 'C', []byte("SELECT 1\x00"))})
		case "refused":
			c.Rejected(1500 * time.Millisecond)
		case "failed":
			c.Failed("it may have run")
		case "long", "cut":
			k.source = &source{k: k, c: c, left: longest, cut: q.Class == "cut"}
			c.ResponseStarted(&backend.Response{Messages: pgwire.Append(nil, 'T', []byte{0, 0})}, k.source)
			c.ResponsePart(binary.BigEndian.AppendUint32([]byte{'D'}, longest+4))
			k.source.run()
		}
	})
	return q.Label, nil
}

const longest = 6 << 20

// source gives a long row as fast as it is let.
type source struct {
	k         *core
	c         router.Client
	left      int
	held, cut bool
	most      int
}

func (s *source) SetPaused(on bool) {
	if s.held = on; !on {
		s.k.loop.Post(s.run)
	}
}

func (s *source) run() {
	for !s.held && s.left > 0 {
		n := min(s.left, 10_000)
		s.left -= n
		s.c.ResponsePart(make([]byte, n))
		if c, ok := s.c.(*reply); ok {
			s.most = max(s.most, c.conn.sock.Unsent())
		}
		if s.cut && s.left < longest/2 {
			s.left = 0
			s.c.ResponseTruncated()
			return
		}
	}
	if s.left == 0 && !s.held {
		s.left = -1
		s.c.Served(&backend.Response{Messages: pgwire.Append(nil, 'C', []byte("SELECT 1\x00"))})
	}
}

func (k *core) len() int { return int(k.taken.Load()) }

func (k *core) Disconnect(id string) { k.left <- id }

func start(t testing.TB) (f *Front, k *core, l *eventloop.Loop, addr string) {
	return startWith(t, limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second))
}

func startWith(t testing.TB, lim limits.Limits) (f *Front, k *core, l *eventloop.Loop, addr string) {
	l = eventloop.New()
	e, err := transport.New(l, 256, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	k = &core{loop: l, left: make(chan string, 9)}
	f = New(l, lim, log, k, Platform)
	ln, err := e.Listen("127.0.0.1:0", lim.Frontend.Connections, log, f.Accept)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run(func() {})
	t.Cleanup(func() { ln.Close(); l.Stop(); e.Stop() })
	return f, k, l, ln.Addr().String()
}

func sql(class string) string {
	return fmt.Sprintf("/* id=i-%s,c=%s,d=900,cluster=1 */ SELECT 1", class, class)
}

func TestAnswers(t *testing.T) {
	f, _, l, addr := start(t)
	c := testserver.Dial(t, addr)
	c.Send(pgwire.AppendQuery(nil, ""))
	if a := c.Until('Z'); a.Code != pgwire.CannotConnectNow || a.Types != "EZ" {
		t.Fatalf("%+v before it is ready", a)
	}
	done := make(chan bool)
	l.Post(func() { f.Ready(); close(done) })
	<-done
	var p []byte
	for _, text := range []string{"", sql("served"), sql("refused"), "SELECT 1", sql("odd"), sql("failed")} { // all at once
		p = pgwire.AppendQuery(p, text)
	}
	c.Send(p)
	for i, want := range []testserver.Answer{{Types: "IZ"}, {Types: "TDCZ"}, {Types: "EZ", Code: "53300", Detail: "1500"},
		{Types: "EZ", Code: "42601"}, {Types: "EZ", Code: "42601"}, {Types: "EZ", Code: "08007"}} {
		a := c.Until('Z')
		if i == 1 && !strings.Contains(a.Value, "id=i-served,c=served,d=900,cluster=1") {
			t.Errorf("passed on %q", a.Value)
		}
		if a.Value = ""; a != want {
			t.Errorf("answer %d: %+v", i, a)
		}
	}
	c.Send(pgwire.Append(pgwire.AppendParse(nil, pgwire.ParseMessage{}), 'S'))
	if a := c.Until('Z'); a.Types != "EZ" || a.Code != pgwire.NotSupported {
		t.Errorf("%+v", a)
	}
}

// A client may ask for encryption first, and send its query right behind the startup message.
func TestQueryRightBehindStartup(t *testing.T) {
	_, _, _, addr := start(t)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	p := pgwire.Append(nil, 0, []byte{4, 210, 22, 47})
	p = pgwire.AppendQuery(pgwire.AppendStartup(p, "user", "portal"), sql("served"))
	c.Write(p)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if b := make([]byte, 1); true {
		if _, err := io.ReadFull(c, b); err != nil || b[0] != 'N' {
			t.Fatalf("%q %v", b, err)
		}
	}
	r := pgwire.NewReader(1<<16, 0)
	types := ""
	for buf := make([]byte, 1000); !strings.HasSuffix(types, "TDCZ"); {
		n, err := c.Read(buf)
		if err != nil {
			t.Fatalf("%v after %q", err, types)
		}
		r.Feed(buf[:n])
		for {
			m, ok, err := r.Next()
			if !ok || err != nil {
				break
			}
			types += string(m.Type)
		}
	}
}

func TestLeaving(t *testing.T) {
	_, k, _, addr := start(t)
	c := testserver.Dial(t, addr)
	c.Send(pgwire.AppendQuery(pgwire.AppendQuery(nil, sql("served")), sql("held")))
	if a := c.Until('Z'); a.Types != "TDCZ" { // the held one is taken in the same turn of the loop
		t.Fatalf("%+v", a)
	}
	c.Close()
	if id := <-k.left; id != "i-held" {
		t.Fatal(id)
	}
}

// While the program ends, a connection closes behind the answer in hand, and at once where none is.
func TestDrain(t *testing.T) {
	f, _, l, addr := start(t)
	idle, busy := testserver.Dial(t, addr), testserver.Dial(t, addr)
	l.Post(func() { f.Drain(false) })
	if a := idle.Until('Z'); !a.Ended {
		t.Fatalf("%+v", a)
	}
	if a := busy.Until('Z'); !a.Ended {
		t.Fatalf("%+v", a)
	}
	late := testserver.Dial(t, addr)
	late.Send(pgwire.AppendQuery(nil, sql("served")))
	if a := late.Until('Z'); a.Types != "TDCZ" {
		t.Fatalf("%+v", a)
	}
	if a := late.Until('Z'); !a.Ended {
		t.Fatalf("%+v", a)
	}
}

// Garbage ends its connection at most; the others go on.
func TestGarbage(t *testing.T) {
	_, _, _, addr := start(t)
	rng := rand.New(rand.NewPCG(9, 9))
	for i := range 60 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		p := make([]byte, 1+rng.IntN(300))
		for i := range p {
			p[i] = byte(rng.Uint32())
		}
		if i%2 == 0 {
			p = append(pgwire.AppendStartup(nil, "user", "x"), p...)
		}
		c.Write(p)
		if i%3 == 0 {
			c.(*net.TCPConn).CloseWrite()
		}
		c.Close()
	}
	c := testserver.Dial(t, addr)
	c.Send(pgwire.AppendQuery(nil, sql("served")))
	if a := c.Until('Z'); a.Types != "TDCZ" {
		t.Fatalf("%+v", a)
	}
	for name, p := range map[string][]byte{"type": {'?', 0, 0, 0, 4}, "length": {'Q', 0x7f, 0, 0, 0}, "body": {'Q', 0, 0, 0, 5, 'x'}} {
		c := testserver.Dial(t, addr)
		c.Send(p)
		if a := c.Until('Z'); !a.Ended || a.Code != pgwire.ProtocolViolation {
			t.Errorf("%s: %+v", name, a)
		}
	}
}

// A table full of clients that say nothing, or have asked once and stay, has room for one that asks. Neither it nor
// one whose request is in hand is closed for that.
func TestRoom(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.Connections, lim.Frontend.SoftLimit, lim.Frontend.HardLimit, lim.Frontend.SoftLimitIdle = 6, 3, 6, 200*time.Millisecond
	testRoom(t, lim)
	// Nor need they wait until an idle one may go by itself: the places are taken much faster than that.
	lim.Frontend.HardLimit, lim.Frontend.SoftLimitIdle = 5, time.Hour
	testRoom(t, lim)
}

func testRoom(t *testing.T, lim limits.Limits) {
	_, k, _, addr := startWith(t, lim)
	busy := testserver.Dial(t, addr)
	busy.Send(pgwire.AppendQuery(nil, sql("held")))
	for range 8 {
		c := testserver.Dial(t, addr)
		c.Send(pgwire.AppendQuery(nil, sql("served")))
		if a := c.Until('Z'); a.Types != "TDCZ" {
			t.Fatalf("%+v", a)
		}
	}
	for range 20 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	c := testserver.Dial(t, addr)
	c.Send(pgwire.AppendQuery(nil, sql("served")))
	if a := c.Until('Z'); a.Types != "TDCZ" {
		t.Fatalf("%+v", a)
	}
	if len(k.left) > 0 {
		t.Fatal("a connection with a request in hand was closed")
	}
}

// What clients have in hand is counted in bytes, too, and given back.
func TestBytesInHand(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.BufferedBytes = 100_000
	_, k, _, addr := startWith(t, lim)
	large := func(class string) []byte {
		return pgwire.AppendQuery(nil, sql(class)+strings.Repeat(" ", 60_000))
	}
	held, c := testserver.Dial(t, addr), testserver.Dial(t, addr)
	c.Send(large("served"))
	if a := c.Until('Z'); a.Types != "TDCZ" {
		t.Fatalf("%+v", a)
	}
	held.Send(append(large("held"), pgwire.AppendQuery(nil, sql("served"))...))
	for k.len() < 2 {
		time.Sleep(time.Millisecond)
	}
	c.Send(large("served"))
	if a := c.Until('Z'); a.Code != pgwire.TooManyConnections || a.Detail == "" {
		t.Fatalf("%+v", a)
	}
	held.Close()
	<-k.left
	c.Send(large("served"))
	if a := c.Until('Z'); a.Types != "TDCZ" {
		t.Fatalf("%+v", a)
	}
}

// A client that takes a long answer slowly gets all of it, and little of it waits here; one that takes nothing is closed in
// time, and one whose answer breaks off sees the end and no byte that is not the answer's.
func TestLongAnswers(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.UnreadTimeout = 400 * time.Millisecond
	for name, want := range map[string]int{"long": longest, "cut": longest / 2, "unread": 0} {
		_, k, l, addr := startWith(t, lim)
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c.(*net.TCPConn).SetReadBuffer(32 << 10)
		c.SetDeadline(time.Now().Add(20 * time.Second))
		class := strings.Replace(name, "unread", "long", 1)
		c.Write(append(pgwire.AppendStartup(nil, "user", "x"), pgwire.AppendQuery(nil, sql(class))...))
		if name == "unread" {
			select {
			case <-k.left:
			case <-time.After(20 * time.Second):
				t.Fatal("a client that reads nothing keeps its answer waiting")
			}
		}
		var got []byte
		for buf := make([]byte, 256<<10); err == nil && !strings.HasSuffix(string(got), "Z\x00\x00\x00\x05I") || len(got) < 1000; {
			var n int
			n, err = c.Read(buf)
			got = append(got, buf[:n]...)
			if name == "long" {
				time.Sleep(20 * time.Millisecond)
			}
		}
		row := got[strings.IndexByte(string(got), 'D'):]
		if i := strings.Index(string(got), "T\x00\x00\x00\x06\x00\x00D"); i > 0 {
			row = got[i+7+5:]
		}
		body := strings.TrimSuffix(string(row), "C\x00\x00\x00\x0dSELECT 1\x00Z\x00\x00\x00\x05I")
		if name != "unread" && (len(body) < want-10_000 || len(body) > want+10_000) || strings.Trim(body, "\x00") != "" {
			t.Errorf("%s: %d bytes of the row", name, len(body))
		}
		done := make(chan bool)
		l.Post(func() {
			if k.source.most > lim.Frontend.HighWaterBytes+20_000 {
				t.Errorf("%s: %d bytes waited", name, k.source.most)
			}
			close(done)
		})
		<-done
		c.Close()
	}
}

// A slow head is waited for while it goes on.
func TestSlowHead(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.FirstCommandTimeout, lim.Frontend.PartialMessageTimeout = 200*time.Millisecond, 200*time.Millisecond
	_, _, _, addr := startWith(t, lim)
	c := testserver.Dial(t, addr)
	p := pgwire.AppendQuery(nil, sql("served"))
	for len(p) > 0 {
		n := min(len(p), 7)
		c.Send(p[:n])
		p = p[n:]
		time.Sleep(60 * time.Millisecond)
	}
	if a := c.Until('Z'); a.Types != "TDCZ" {
		t.Fatalf("%+v", a)
	}
}

// Whoever does not go on is told so and closed, however it has begun.
func TestOverdue(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.StartupTimeout, lim.Frontend.FirstCommandTimeout, lim.Frontend.PartialMessageTimeout = 100*time.Millisecond, 150*time.Millisecond, 100*time.Millisecond
	_, _, _, addr := startWith(t, lim)
	start := pgwire.AppendStartup(nil, "user", "x")
	whole := pgwire.AppendQuery(nil, sql("served"))
	for name, p := range map[string][]byte{"silent": nil, "half a start": start[:9], "no command": start,
		"half a command": append(start, whole[:20]...), "half a second command": append(append(start, whole...), whole[:3]...)} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Write(p)
		c.SetDeadline(time.Now().Add(20 * time.Second))
		if got, err := io.ReadAll(c); err != nil || !strings.Contains(string(got), "C"+pgwire.ProtocolViolation+"\x00") {
			t.Errorf("%s: %q %v", name, got, err)
		}
	}
}

// sweeps counts the front's sweeps within d.
func sweeps(l *eventloop.Loop, f *Front, d time.Duration) int {
	at := func() int {
		got := make(chan int)
		l.Post(func() { got <- f.sweeps })
		return <-got
	}
	from := at()
	time.Sleep(d)
	return at() - from
}

// An idle front wakes a few times a second, not at its fine grain: eighty routers that each wake twenty times a second
// for nothing spend their share of a core on it. Where the table is tight, the fine grain comes back at once, and a
// client that says nothing is still closed within its time.
func TestSweepGrain(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	f, _, l, addr := startWith(t, lim)
	c := testserver.Dial(t, addr)
	c.Send(pgwire.AppendQuery(nil, sql("served")))
	if a := c.Until('Z'); a.Types != "TDCZ" {
		t.Fatalf("%+v", a)
	}
	if n := sweeps(l, f, time.Second); n > 4 {
		t.Errorf("an idle front swept %d times in a second, at most 4 wanted", n)
	}
	silent, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	silent.SetDeadline(time.Now().Add(lim.Frontend.StartupTimeout + time.Second))
	if got, err := io.ReadAll(silent); err != nil || !strings.Contains(string(got), "C"+pgwire.ProtocolViolation+"\x00") {
		t.Errorf("a silent client: %q %v", got, err)
	}

	tight := lim
	tight.Frontend.SoftLimit, tight.Frontend.HardLimit = 1, 2
	f, _, l, addr = startWith(t, tight)
	for range 3 {
		c := testserver.Dial(t, addr)
		c.Send(pgwire.AppendQuery(nil, sql("served")))
		c.Until('Z')
	}
	if n := sweeps(l, f, 500*time.Millisecond); n < 6 {
		t.Errorf("a tight front swept %d times in half a second, 6 or more wanted", n)
	}

	// Answers that are not taken count against the bound of all clients together: that is looked at finely, too.
	f, _, l, addr = startWith(t, lim)
	slow, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.(*net.TCPConn).SetReadBuffer(32 << 10)
	slow.Write(pgwire.AppendStartup(nil, "user", "x"))
	time.Sleep(50 * time.Millisecond) // read apart, so that nothing of it waits in hand
	slow.Write(pgwire.AppendQuery(nil, sql("long")))
	time.Sleep(100 * time.Millisecond)
	if n := sweeps(l, f, 500*time.Millisecond); n < 6 {
		t.Errorf("with answers not taken the front swept %d times in half a second, 6 or more wanted", n)
	}
}
