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

// testJob is a Job with a request id, which is answered with one row of one column.
type testJob string

func (j testJob) Messages(left time.Duration) []byte {
	query := fmt.Sprintf("/* id=%s,c=job,d=%d,cluster=1 */ INSERT", string(j), left.Milliseconds())
	return pgwire.AppendQuery(nil, query)
}

func (testJob) StartsResponse(response *Response) bool { return string(response.Types) == "T" }

func (testJob) Complete(response *Response) bool {
	return string(response.Types) == "TDC" && response.Shape.Columns == 1
}

// testPool is a Pool that knows one endpoint, n, and its loop.
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

// attempt makes one attempt, to be written within notAfter (0 = at any time), and waits for its end.
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

// start begins an attempt; it belongs to the loop's goroutine.
func (p *testPool) start(id string, within time.Duration, done chan router.Result) router.AttemptHandle {
	requested := router.Attempt{Endpoint: "n", Job: testJob(id), Deadline: p.loop.Now() + within}
	return p.pool.Start(requested, func(result router.Result) { done <- result })
}

// await waits for the end of an attempt.
func (p *testPool) await(done chan router.Result) router.Result {
	p.t.Helper()
	select {
	case result := <-done:
		return result
	case <-time.After(20 * time.Second):
		p.t.Fatal("no end")
		panic("")
	}
}

// awaitZero waits until count, which is called in the loop, returns 0.
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

// newSlowStartServer is a fake server that tells of each startup and completes none before release is called.
func newSlowStartServer(t *testing.T) (server *testserver.DB, dialed chan bool, release func()) {
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
	t.Cleanup(release) // before the fake server is stopped, which waits for it
	return server, dialed, release
}

// serveConnections calls serve with each connection to an address that it returns.
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

// rowDescription describes one column of type bytea, data.
func rowDescription() []byte {
	const oneColumn = "\x00\x01data\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x11\xff\xff\xff\xff\xff\xff\x00\x01"
	return pgwire.Append(nil, 'T', []byte(oneColumn))
}

// longResponse is a response with one value of n bytes; its declared length is off by some.
func longResponse(n, off int) []byte {
	value := make([]byte, n)
	for i := range value {
		value[i] = byte(i % 251)
	}
	p := rowDescription()
	p = pgwire.Append(p, 'D', binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(n+off)), value)
	p = pgwire.Append(p, 'C', []byte("INSERT 0 1\x00"))
	return pgwire.AppendReady(p)
}

// isServed reports whether an attempt was answered by the primary, with a position.
func isServed(result router.Result) bool {
	return result.Status == balance.StatusDone && result.Role == balance.RolePrimary && result.Position > 0
}
