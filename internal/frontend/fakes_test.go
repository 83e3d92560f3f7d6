package frontend

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
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

// fakeRouter answers requests by their class, on the event loop. The classes "served" (with the statement), "value"
// (with the id), "rejected", "failed", "long" and "truncated" are answered at once, and "unknown" is not accepted.
// Tests answer the other classes themselves: "any" reads wait for nothing, "latest" reads wait for all writes,
// "session" reads wait for the writes of their session, and "write" is a class of writes.
type fakeRouter struct {
	loop          *eventloop.Loop
	acceptedCount atomic.Int32

	rejections  atomic.Int32
	disconnects chan string

	source *fakeSource

	newestRequest  atomic.Pointer[router.Request]
	requests       []router.Request // owned by the event loop
	clients        []router.Client  // of the requests
	onUnknownClass func()           // called for a request of an unknown class
}

// OrderingOf implements Router.
func (fake *fakeRouter) OrderingOf(class string) router.Ordering {
	return router.Ordering{
		Writes:         class == "write",
		ReadsOwnWrites: class == "session",
		ReadsAllWrites: class != "any" && class != "session",
	}
}

// RecordRejection implements Router.
func (fake *fakeRouter) RecordRejection(router.Request, time.Duration) { fake.rejections.Add(1) }

// Accept implements Router.
func (fake *fakeRouter) Accept(request router.Request, client router.Client) (string, error) {
	if request.Class == "unknown" {
		if fake.onUnknownClass != nil {
			fake.onUnknownClass()
		}
		return "", router.ErrUnknownClass
	}
	fake.newestRequest.Store(&request)
	fake.requests = append(fake.requests, request)
	fake.clients = append(fake.clients, client)
	fake.acceptedCount.Add(1)
	fake.loop.Post(func() {
		switch request.Class {
		case "served":
			text := request.Job.(*SimpleQuery).Messages(request.ClientTimeout)
			message := pgwire.Append(nil, 'T', []byte{0, 0})
			message = pgwire.Append(message, 'D', []byte{0, 1, 0, 0, byte(len(text) >> 8), byte(len(text))}, text)
			client.Served(&backend.Response{Messages: pgwire.Append(message, 'C', []byte("SELECT 1\x00"))})
		case "value":
			client.Served(valueResponse(request.ClientRequestID))
		case "rejected":
			client.Rejected(1500 * time.Millisecond)
		case "failed":
			client.Failed("it may have run")
		case "long", "truncated":
			fake.source = &fakeSource{
				router: fake, client: client, remaining: longRowBytes, truncates: request.Class == "truncated",
			}
			client.ResponseStarted(&backend.Response{Messages: pgwire.Append(nil, 'T', []byte{0, 0})}, fake.source)
			client.ResponsePart(binary.BigEndian.AppendUint32([]byte{'D'}, longRowBytes+4))
			fake.source.send()
		}
	})
	return request.ClientRequestID, nil
}

// Disconnect implements Router.
func (fake *fakeRouter) Disconnect(id string) { fake.disconnects <- id }

func (fake *fakeRouter) accepted() int { return int(fake.acceptedCount.Load()) }

// acceptedIDs returns the ids of the requests accepted so far, in order.
func (fake *fakeRouter) acceptedIDs() (ids []string) {
	runInLoop(fake.loop, func() {
		for _, q := range fake.requests {
			ids = append(ids, q.ClientRequestID)
		}
	})
	return ids
}

// client returns the client of the request with the id, or nil if there is none.
func (fake *fakeRouter) client(id string) (c router.Client) {
	for i, q := range fake.requests {
		if q.ClientRequestID == id {
			c = fake.clients[i]
		}
	}
	return c
}

// serve answers requests, each with its id as the value.
func (fake *fakeRouter) serve(ids ...string) {
	runInLoop(fake.loop, func() {
		for _, id := range ids {
			fake.client(id).Served(valueResponse(id))
		}
	})
}

const longRowBytes = 6 << 20

// fakeSource streams a long row as fast as its flow control permits.
type fakeSource struct {
	router         *fakeRouter
	client         router.Client
	remaining      int // bytes of the row that were not sent yet, -1 = the response is complete
	paused         bool
	truncates      bool // the response ends after half of the row
	maxUnsentBytes int
	partBytes      int // most bytes of a part, 0 = not limited
}

// SetPaused implements router.FlowController.
func (s *fakeSource) SetPaused(on bool) {
	s.paused = on
	if !on {
		s.router.loop.Post(s.send)
	}
}

// BytesToCome implements router.FlowController.
func (s *fakeSource) BytesToCome() int { return s.remaining }

// LimitParts implements router.FlowController.
func (s *fakeSource) LimitParts(bytes int) { s.partBytes = bytes }

func (s *fakeSource) send() {
	for !s.paused && s.remaining > 0 {
		count := min(s.remaining, 10_000, cmp.Or(s.partBytes, s.remaining))
		s.remaining -= count
		s.client.ResponsePart(make([]byte, count))
		if c, ok := s.client.(*simpleQueryResponder); ok {
			s.maxUnsentBytes = max(s.maxUnsentBytes, c.conn.socket.BytesUnsent())
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

// pauseRecorder is a router.FlowController that only records the calls.
type pauseRecorder struct {
	calls       []bool
	bytesToCome int
}

// SetPaused implements router.FlowController.
func (pauses *pauseRecorder) SetPaused(on bool) { pauses.calls = append(pauses.calls, on) }

// BytesToCome implements router.FlowController.
func (pauses *pauseRecorder) BytesToCome() int { return pauses.bytesToCome }

// LimitParts implements router.FlowController.
func (pauses *pauseRecorder) LimitParts(int) {}

func defaultLimits() limits.Limits {
	return limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
}

// start serves connections with the default limits.
func start(tb testing.TB) (frontend *Frontend, fake *fakeRouter, loop *eventloop.Loop, addr string) {
	tb.Helper()
	return startWith(tb, defaultLimits())
}

// startWith serves connections with the given limits.
func startWith(
	tb testing.TB, lim limits.Limits,
) (frontend *Frontend, fake *fakeRouter, loop *eventloop.Loop, addr string) {
	tb.Helper()
	loop = eventloop.New()
	engine, err := transport.New(loop, 256, 1<<20)
	if err != nil {
		tb.Fatal(err)
	}
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	fake = &fakeRouter{loop: loop, disconnects: make(chan string, 9)}
	frontend = New(loop, lim, logger, fake, NewSimpleQueryHandler)
	listener, err := engine.Listen("127.0.0.1:0", lim.Frontend.Connections, logger, frontend.Accept)
	if err != nil {
		tb.Fatal(err)
	}
	go loop.Run(func() {})
	tb.Cleanup(func() {
		listener.Close()
		loop.Stop()
		engine.Stop()
	})
	return frontend, fake, loop, listener.Addr().String()
}

// statement returns a statement of the class, whose id is derived from the class.
func statement(class string) string {
	return fmt.Sprintf("/* id=i-%s,c=%s,d=900,cluster=1 */ SELECT 1", class, class)
}

// queryWithID returns a query message with the given id and class.
func queryWithID(id, class string) []byte {
	return pgwire.AppendQuery(nil, fmt.Sprintf("/* id=%s,c=%s,d=900,cluster=1 */ SELECT 1", id, class))
}

// valueResponse returns the response of one row of one column.
func valueResponse(text string) *backend.Response {
	message := pgwire.Append(nil, 'T', []byte{0, 0})
	message = pgwire.Append(message, 'D', []byte{0, 1, 0, 0, byte(len(text) >> 8), byte(len(text))}, []byte(text))
	return &backend.Response{Messages: pgwire.Append(message, 'C', []byte("SELECT 1\x00"))}
}

func concat(parts ...[]byte) []byte { return slices.Concat(parts...) }

// dialSlowReader connects a client with a small receive buffer and sends data.
func dialSlowReader(t *testing.T, addr string, data []byte) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	conn.SetDeadline(time.Now().Add(20 * time.Second))
	write(t, conn, data)
	return conn
}

func write(t *testing.T, conn net.Conn, data []byte) {
	t.Helper()
	if _, err := conn.Write(data); err != nil {
		t.Fatal(err)
	}
}

// waitUntil waits until ok returns true. The text what names the condition, or the request that the test waits for.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: " + what)
		}
	}
}

// runInLoop runs f on the event loop.
func runInLoop(loop *eventloop.Loop, f func()) {
	done := make(chan bool)
	loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// onlyConnection waits until a connection exists, and returns it. Tests use it with a single client.
func onlyConnection(t *testing.T, frontend *Frontend, loop *eventloop.Loop) (c *Conn) {
	t.Helper()
	waitUntil(t, "a connection exists", func() bool {
		runInLoop(loop, func() {
			for conn := range frontend.connections {
				c = conn
			}
		})
		return c != nil
	})
	return c
}

// waitForSlots waits until the connection has exactly count pending responses.
func waitForSlots(t *testing.T, loop *eventloop.Loop, conn *Conn, count int) {
	t.Helper()
	waitUntil(t, fmt.Sprintf("%d responses are pending", count), func() (pending bool) {
		runInLoop(loop, func() { pending = len(conn.pipeline.slots) == count })
		return pending
	})
}

// expectAccepted waits until as many requests as want were accepted, and checks that they are the ones in want, in any
// order.
func expectAccepted(t *testing.T, fake *fakeRouter, want ...string) {
	t.Helper()
	slices.Sort(want)
	waitUntil(t, "these requests are accepted: "+strings.Join(want, " "),
		func() bool { return len(fake.acceptedIDs()) >= len(want) })
	if got := fake.acceptedIDs(); !slices.Equal(slices.Sorted(slices.Values(got)), want) {
		t.Fatalf("accepted requests %v, want %v", got, want)
	}
}

// expectResponses reads the next responses and compares their values, or the codes of errors.
func expectResponses(t *testing.T, client *testserver.Client, want ...string) {
	t.Helper()
	for i, w := range want {
		answer := client.Until('Z')
		got := answer.Code + strings.Map(dropControlCharacters, answer.Value)
		if got != w {
			answer.Value = answer.Value[:min(len(answer.Value), 20)]
			t.Fatalf("response %d of %d: want %.20s, got %+v", i, len(want), w, answer)
		}
	}
}

func dropControlCharacters(r rune) rune {
	if r < ' ' {
		return -1
	}
	return r
}
