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
type fakeRouter struct {
	loop          *eventloop.Loop
	acceptedCount atomic.Int32

	rejections  atomic.Int32
	disconnects chan string

	source *fakeSource

	newestRequest  atomic.Pointer[router.Request]
	requests       []router.Request // owned by the loop
	clients        []router.Client  // theirs
	onUnknownClass func()           // called at an unfit one
}

// Order has "waits" stand for writes, "free" for reads that wait for nothing and "own" for those that see their session's writes.
func (fake *fakeRouter) OrderingOf(class string) router.Ordering {
	return router.Ordering{Writes: class == "waits", ReadsOwnWrites: class == "own", ReadsAllWrites: class != "free" && class != "own"}
}

func (fake *fakeRouter) RecordRejection(router.Request, time.Duration) { fake.rejections.Add(1) }

func (fake *fakeRouter) Accept(q router.Request, c router.Client) (string, error) {
	if q.Class == "odd" {
		if fake.onUnknownClass != nil {
			fake.onUnknownClass()
		}
		return "", router.ErrUnknownClass
	}
	fake.newestRequest.Store(&q)
	fake.requests, fake.clients = append(fake.requests, q), append(fake.clients, c)
	fake.acceptedCount.Add(1)
	fake.loop.Post(func() {
		switch q.Class {
		case "served":
			text := q.Job.(*SimpleQuery).Messages(q.Deadline)
			message := pgwire.Append(nil, 'T', []byte{0, 0})
			message = pgwire.Append(message, 'D', []byte{0, 1, 0, 0, byte(len(text) >> 8), byte(len(text))}, text)
			c.Served(&backend.Response{Messages: pgwire.Append(message, 'C', []byte("SELECT 1\x00"))})
		case "refused":
			c.Rejected(1500 * time.Millisecond)
		case "failed":
			c.Failed("it may have run")
		case "long", "cut":
			fake.source = &fakeSource{router: fake, client: c, remaining: longRowBytes, truncates: q.Class == "cut"}
			c.ResponseStarted(&backend.Response{Messages: pgwire.Append(nil, 'T', []byte{0, 0})}, fake.source)
			c.ResponsePart(binary.BigEndian.AppendUint32([]byte{'D'}, longRowBytes+4))
			fake.source.send()
		}
	})
	return q.Label, nil
}

const longRowBytes = 6 << 20

// source gives a long row as fast as it is let.
type fakeSource struct {
	router            *fakeRouter
	client            router.Client
	remaining         int
	paused, truncates bool
	maxUnsentBytes    int
}

func (s *fakeSource) SetPaused(on bool) {
	if s.paused = on; !on {
		s.router.loop.Post(s.send)
	}
}

func (s *fakeSource) send() {
	for !s.paused && s.remaining > 0 {
		count := min(s.remaining, 10_000)
		s.remaining -= count
		s.client.ResponsePart(make([]byte, count))
		if c, ok := s.client.(*simpleQueryResponder); ok {
			s.maxUnsentBytes = max(s.maxUnsentBytes, c.conn.socket.Unsent())
		}
		if s.truncates && s.remaining < longRowBytes/2 {
			s.remaining = 0
			s.client.ResponseTruncated()
			return
		}
	}
	if s.remaining == 0 && !s.paused {
		s.remaining = -1
		s.client.Served(&backend.Response{Messages: pgwire.Append(nil, 'C', []byte("SELECT 1\x00"))})
	}
}

func (fake *fakeRouter) accepted() int { return int(fake.acceptedCount.Load()) }

func (fake *fakeRouter) Disconnect(id string) { fake.disconnects <- id }

func start(t testing.TB) (frontend *Front, fake *fakeRouter, loop *eventloop.Loop, addr string) {
	return startWith(t, limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second))
}

func startWith(t testing.TB, lim limits.Limits) (frontend *Front, fake *fakeRouter, loop *eventloop.Loop, addr string) {
	loop = eventloop.New()
	e, err := transport.New(loop, 256, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	fake = &fakeRouter{loop: loop, disconnects: make(chan string, 9)}
	frontend = New(loop, lim, log, fake, Platform)
	ln, err := e.Listen("127.0.0.1:0", lim.Frontend.Connections, log, frontend.Accept)
	if err != nil {
		t.Fatal(err)
	}
	go loop.Run(func() {})
	t.Cleanup(func() { ln.Close(); loop.Stop(); e.Stop() })
	return frontend, fake, loop, ln.Addr().String()
}

func statement(class string) string {
	return fmt.Sprintf("/* id=i-%s,c=%s,d=900,cluster=1 */ SELECT 1", class, class)
}

func TestAnswers(t *testing.T) {
	frontend, _, loop, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, ""))
	if answer := client.Until('Z'); answer.Code != pgwire.CannotConnectNow || answer.Types != "EZ" {
		t.Fatalf("%+v before it is ready", answer)
	}
	done := make(chan bool)
	loop.Post(func() { frontend.Ready(); close(done) })
	<-done
	var message []byte
	for _, text := range []string{"", statement("served"), statement("refused"), "SELECT 1", statement("odd"), statement("failed")} { // all at once
		message = pgwire.AppendQuery(message, text)
	}
	client.Send(message)
	for i, want := range []testserver.Answer{
		{Types: "IZ"},
		{Types: "TDCZ"},
		{Types: "EZ", Code: "53300", Detail: "1500"},
		{Types: "EZ", Code: "42601"},
		{Types: "EZ", Code: "42601"},
		{Types: "EZ", Code: "08007"},
	} {
		answer := client.Until('Z')
		if i == 1 && !strings.Contains(answer.Value, "id=i-served,c=served,d=900,cluster=1") {
			t.Errorf("passed on %q", answer.Value)
		}
		if answer.Value = ""; answer != want {
			t.Errorf("answer %d: %+v", i, answer)
		}
	}
	client.Send(pgwire.Append(pgwire.AppendParse(nil, pgwire.ParseMessage{}), 'S'))
	if answer := client.Until('Z'); answer.Types != "EZ" || answer.Code != pgwire.NotSupported {
		t.Errorf("%+v", answer)
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
	message := pgwire.Append(nil, 0, []byte{4, 210, 22, 47})
	message = pgwire.AppendQuery(pgwire.AppendStartup(message, "user", "portal"), statement("served"))
	c.Write(message)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	if b := make([]byte, 1); true {
		if _, err := io.ReadFull(c, b); err != nil || b[0] != 'N' {
			t.Fatalf("%q %v", b, err)
		}
	}
	r := pgwire.NewReader(1<<16, 0)
	types := ""
	for buf := make([]byte, 1000); !strings.HasSuffix(types, "TDCZ"); {
		count, err := c.Read(buf)
		if err != nil {
			t.Fatalf("%v after %q", err, types)
		}
		r.Feed(buf[:count])
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
	_, fake, _, addr := start(t)
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(pgwire.AppendQuery(nil, statement("served")), statement("held")))
	if answer := client.Until('Z'); answer.Types != "TDCZ" { // the held one is taken in the same turn of the loop
		t.Fatalf("%+v", answer)
	}
	client.Close()
	if id := <-fake.disconnects; id != "i-held" {
		t.Fatal(id)
	}
}

// While the program ends, a connection closes behind the answer in hand, and at once where none is.
func TestDrain(t *testing.T) {
	frontend, _, loop, addr := start(t)
	idle, busy := testserver.Dial(t, addr), testserver.Dial(t, addr)
	loop.Post(func() { frontend.Drain(false) })
	if answer := idle.Until('Z'); !answer.Ended {
		t.Fatalf("%+v", answer)
	}
	if answer := busy.Until('Z'); !answer.Ended {
		t.Fatalf("%+v", answer)
	}
	late := testserver.Dial(t, addr)
	late.Send(pgwire.AppendQuery(nil, statement("served")))
	if answer := late.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("%+v", answer)
	}
	if answer := late.Until('Z'); !answer.Ended {
		t.Fatalf("%+v", answer)
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
		message := make([]byte, 1+rng.IntN(300))
		for i := range message {
			message[i] = byte(rng.Uint32())
		}
		if i%2 == 0 {
			message = append(pgwire.AppendStartup(nil, "user", "x"), message...)
		}
		c.Write(message)
		if i%3 == 0 {
			c.(*net.TCPConn).CloseWrite()
		}
		c.Close()
	}
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, statement("served")))
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("%+v", answer)
	}
	for name, message := range map[string][]byte{"type": {'?', 0, 0, 0, 4}, "length": {'Q', 0x7f, 0, 0, 0}, "body": {'Q', 0, 0, 0, 5, 'x'}} {
		client := testserver.Dial(t, addr)
		client.Send(message)
		if answer := client.Until('Z'); !answer.Ended || answer.Code != pgwire.ProtocolViolation {
			t.Errorf("%s: %+v", name, answer)
		}
	}
}

// A table full of clients that say nothing, or have asked once and stay, has room for one that asks. Neither it nor
// one whose request is in hand is closed for that.
func TestRoom(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.Connections, lim.Frontend.SoftLimit, lim.Frontend.HardLimit, lim.Frontend.SoftLimitIdle = 6, 3, 6, 200*time.Millisecond
	testEviction(t, lim)
	// Nor need they wait until an idle one may go by itself: the places are taken much faster than that.
	lim.Frontend.HardLimit, lim.Frontend.SoftLimitIdle = 5, time.Hour
	testEviction(t, lim)
}

func testEviction(t *testing.T, lim limits.Limits) {
	_, fake, _, addr := startWith(t, lim)
	busy := testserver.Dial(t, addr)
	busy.Send(pgwire.AppendQuery(nil, statement("held")))
	for range 8 {
		client := testserver.Dial(t, addr)
		client.Send(pgwire.AppendQuery(nil, statement("served")))
		if answer := client.Until('Z'); answer.Types != "TDCZ" {
			t.Fatalf("%+v", answer)
		}
	}
	for range 20 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, statement("served")))
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("%+v", answer)
	}
	if len(fake.disconnects) > 0 {
		t.Fatal("a connection with a request in hand was closed")
	}
}

// What clients have in hand is counted in bytes, too, and given back.
func TestBytesInHand(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.BufferedBytes = 100_000
	_, fake, _, addr := startWith(t, lim)
	large := func(class string) []byte {
		return pgwire.AppendQuery(nil, statement(class)+strings.Repeat(" ", 60_000))
	}
	held, client := testserver.Dial(t, addr), testserver.Dial(t, addr)
	client.Send(large("served"))
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("%+v", answer)
	}
	held.Send(append(large("held"), pgwire.AppendQuery(nil, statement("served"))...))
	for fake.accepted() < 2 {
		time.Sleep(time.Millisecond)
	}
	client.Send(large("served"))
	if answer := client.Until('Z'); answer.Code != pgwire.TooManyConnections || answer.Detail == "" {
		t.Fatalf("%+v", answer)
	}
	held.Close()
	<-fake.disconnects
	client.Send(large("served"))
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("%+v", answer)
	}
}

// A client that takes a long answer slowly gets all of it, and little of it waits here; one that takes nothing is closed in
// time, and one whose answer breaks off sees the end and no byte that is not the answer's.
func TestLongAnswers(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.UnreadTimeout = 400 * time.Millisecond
	for name, want := range map[string]int{"long": longRowBytes, "cut": longRowBytes / 2, "unread": 0} {
		_, fake, loop, addr := startWith(t, lim)
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c.(*net.TCPConn).SetReadBuffer(32 << 10)
		c.SetDeadline(time.Now().Add(20 * time.Second))
		class := strings.Replace(name, "unread", "long", 1)
		c.Write(append(pgwire.AppendStartup(nil, "user", "x"), pgwire.AppendQuery(nil, statement(class))...))
		if name == "unread" {
			select {
			case <-fake.disconnects:
			case <-time.After(20 * time.Second):
				t.Fatal("a client that reads nothing keeps its answer waiting")
			}
		}
		var got []byte
		for buf := make([]byte, 256<<10); err == nil && !strings.HasSuffix(string(got), "Z\x00\x00\x00\x05I") || len(got) < 1000; {
			var count int
			count, err = c.Read(buf)
			got = append(got, buf[:count]...)
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
		loop.Post(func() {
			if fake.source.maxUnsentBytes > lim.Frontend.HighWaterBytes+20_000 {
				t.Errorf("%s: %d bytes waited", name, fake.source.maxUnsentBytes)
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
	client := testserver.Dial(t, addr)
	message := pgwire.AppendQuery(nil, statement("served"))
	for len(message) > 0 {
		count := min(len(message), 7)
		client.Send(message[:count])
		message = message[count:]
		time.Sleep(60 * time.Millisecond)
	}
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("%+v", answer)
	}
}

// Whoever does not go on is told so and closed, however it has begun.
func TestOverdue(t *testing.T) {
	lim := limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
	lim.Frontend.StartupTimeout, lim.Frontend.FirstCommandTimeout, lim.Frontend.PartialMessageTimeout = 100*time.Millisecond, 150*time.Millisecond, 100*time.Millisecond
	_, _, _, addr := startWith(t, lim)
	start := pgwire.AppendStartup(nil, "user", "x")
	whole := pgwire.AppendQuery(nil, statement("served"))
	for name, message := range map[string][]byte{
		"silent": nil, "half a start": start[:9], "no command": start,
		"half a command": append(start, whole[:20]...), "half a second command": append(append(start, whole...), whole[:3]...),
	} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		c.Write(message)
		c.SetDeadline(time.Now().Add(20 * time.Second))
		if got, err := io.ReadAll(c); err != nil || !strings.Contains(string(got), "C"+pgwire.ProtocolViolation+"\x00") {
			t.Errorf("%s: %q %v", name, got, err)
		}
	}
}

// sweeps counts the front's sweeps within d.
func countSweeps(loop *eventloop.Loop, frontend *Front, d time.Duration) int {
	at := func() int {
		got := make(chan int)
		loop.Post(func() { got <- frontend.sweepCount })
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
	frontend, _, loop, addr := startWith(t, lim)
	client := testserver.Dial(t, addr)
	client.Send(pgwire.AppendQuery(nil, statement("served")))
	if answer := client.Until('Z'); answer.Types != "TDCZ" {
		t.Fatalf("%+v", answer)
	}
	if count := countSweeps(loop, frontend, time.Second); count > 4 {
		t.Errorf("an idle front swept %d times in a second, at most 4 wanted", count)
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
	frontend, _, loop, addr = startWith(t, tight)
	for range 3 {
		client := testserver.Dial(t, addr)
		client.Send(pgwire.AppendQuery(nil, statement("served")))
		client.Until('Z')
	}
	if count := countSweeps(loop, frontend, 500*time.Millisecond); count < 6 {
		t.Errorf("a tight front swept %d times in half a second, 6 or more wanted", count)
	}

	// Answers that are not taken count against the bound of all clients together: that is looked at finely, too.
	frontend, _, loop, addr = startWith(t, lim)
	slow, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.(*net.TCPConn).SetReadBuffer(32 << 10)
	slow.Write(pgwire.AppendStartup(nil, "user", "x"))
	time.Sleep(50 * time.Millisecond) // read apart, so that nothing of it waits in hand
	slow.Write(pgwire.AppendQuery(nil, statement("long")))
	time.Sleep(100 * time.Millisecond)
	if count := countSweeps(loop, frontend, 500*time.Millisecond); count < 6 {
		t.Errorf("with answers not taken the front swept %d times in half a second, 6 or more wanted", count)
	}
}
