package backend

import (
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"limeladder/balance"
	"limeladder/internal/config"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/testserver"
	"limeladder/internal/transport"
)

// testJob is a Job with a request ID. The response to it is one row of one column.
type testJob string

func (j testJob) Messages(left time.Duration) []byte {
	query := fmt.Sprintf("/* id=%s,c=job,d=%d,cluster=1 */ INSERT", string(j), left.Milliseconds())
	return pgwire.AppendQuery(nil, query)
}

func (testJob) StartsResponse(response *Response) bool { return string(response.Types) == "T" }

func (testJob) Complete(response *Response) bool {
	return string(response.Types) == "TDC" && response.Shape.Columns == 1
}

// testPool is a Pool with one endpoint, n, and its own event loop.
type testPool struct {
	t    *testing.T
	loop *eventloop.Loop
	pool *Pool
}

func newTestPool(t *testing.T, lim limits.Limits, addr string) *testPool {
	t.Helper()
	loop := eventloop.New()
	engine, err := transport.New(loop, 256, lim.Transport.InboxBytes)
	if err != nil {
		t.Fatal(err)
	}
	pool := New(loop, engine, lim, slog.New(slog.NewTextHandler(io.Discard, nil)))
	entry := config.EndpointEntry{ID: "n", Addr: addr, State: "ready"}
	pool.UpdateEndpoints(config.EndpointList{Full: true, Endpoints: []config.EndpointEntry{entry}})
	go loop.Run(func() {})
	t.Cleanup(func() {
		loop.Stop()
		engine.Stop()
	})
	return &testPool{t, loop, pool}
}

func testLimits() limits.Limits {
	return limits.New(192, 1024, 250*time.Millisecond, 15*time.Second, 3*time.Second)
}

// attempt makes one attempt, to be written within notAfter (0 = no limit), and returns its result.
func (p *testPool) attempt(id string, notAfter time.Duration) router.Result {
	p.t.Helper()
	done := make(chan router.Result, 9)
	p.loop.Post(func() {
		now := p.loop.Now()
		requested := router.Attempt{Endpoint: "n", Job: testJob(id), Deadline: now + 10*time.Second}
		if notAfter != 0 {
			requested.NotAfter = now + notAfter
		}
		p.pool.Start(requested, func(result router.Result) { done <- result })
	})
	return p.await(done)
}

// start begins an attempt. It must be called on the loop's goroutine.
func (p *testPool) start(id string, within time.Duration, done chan router.Result) router.AttemptHandle {
	requested := router.Attempt{Endpoint: "n", Job: testJob(id), Deadline: p.loop.Now() + within}
	return p.pool.Start(requested, func(result router.Result) { done <- result })
}

// await waits for the result of an attempt.
func (p *testPool) await(done chan router.Result) router.Result {
	p.t.Helper()
	select {
	case result := <-done:
		return result
	case <-time.After(20 * time.Second):
		p.t.Fatal("the attempt reported no result within 20 s")
		panic("")
	}
}

// awaitZero waits until count, which it calls in the loop, returns 0. If that takes too long, the test fails with the
// failure message.
func (p *testPool) awaitZero(within time.Duration, failure string, count func() int) {
	p.t.Helper()
	counted := make(chan int)
	for end := time.Now().Add(within); ; time.Sleep(time.Millisecond) {
		p.loop.Post(func() { counted <- count() })
		if <-counted == 0 {
			return
		}
		if time.Now().After(end) {
			p.t.Fatal(failure)
		}
	}
}

// newPausedStartupServer starts a fake server that sends to dialed at each startup and completes none before release is
// called.
func newPausedStartupServer(t *testing.T) (server *testserver.DB, dialed chan bool, release func()) {
	t.Helper()
	dialed = make(chan bool, 9)
	released := make(chan bool)
	release = sync.OnceFunc(func() { close(released) })
	server = testserver.NewDB(t, true, func(typ byte, _ string) testserver.Act {
		if typ == 0 {
			dialed <- true
			<-released
		}
		return testserver.Act{}
	})
	t.Cleanup(release) // runs before the fake server stops, which waits for its startups
	return server, dialed, release
}

// serveConnections listens on a loopback address, which it returns, and calls serve with each connection.
func serveConnections(t *testing.T, serve func(c net.Conn)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go serve(c)
		}
	}()
	return listener.Addr().String()
}

// rowDescription returns a RowDescription message with one column, named data, of type bytea.
func rowDescription() []byte {
	const oneColumn = "\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"
	return pgwire.Append(nil, 'T', []byte(oneColumn))
}

// longResponse returns a response with one value of n bytes. The declared length of the value is n plus lengthError.
func longResponse(n, lengthError int) []byte {
	value := make([]byte, n)
	for i := range value {
		value[i] = byte(i % 251)
	}
	p := rowDescription()
	p = pgwire.Append(p, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(n+lengthError)), value)
	p = pgwire.Append(p, 'C', []byte("INSERT 0 1\x00"))
	return pgwire.AppendReady(p)
}

// isServed reports whether an attempt was served by the primary and its result has a replication position.
func isServed(result router.Result) bool {
	return result.Status == balance.StatusDone && result.Role == balance.RolePrimary && result.Position > 0
}
