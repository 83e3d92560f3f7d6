package transport

import (
	"io"
	"log/slog"
	"net"
	"runtime"
	"testing"
	"time"

	"limeladder/internal/eventloop"
)

// echoHandler sends back what comes.
type echoHandler struct{ conn *Conn }

func (e echoHandler) Data(p []byte) {
	_ = e.conn.Write(p) // what is not sent does not come back, which the test sees
}
func (echoHandler) Closed(error) {}

// collector collects what comes.
type collector struct {
	got  []byte
	want int
	done chan string
}

func (s *collector) Data(p []byte) {
	s.got = append(s.got, p...)
	if len(s.got) >= s.want {
		s.done <- "got"
	}
}
func (s *collector) Closed(error) { s.done <- "closed" }

func newTestEngine(t *testing.T) (*eventloop.Loop, *Engine) {
	t.Helper()
	l := eventloop.New()
	e, err := New(l, 1024, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run(func() {})
	t.Cleanup(func() {
		l.Stop()
		e.Stop()
	})
	return l, e
}

func expectEvent(t *testing.T, done chan string, want string) {
	t.Helper()
	select {
	case got := <-done:
		if got != want {
			t.Fatalf("%s, not %s", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("no %s", want)
	}
}

// listen lets an engine accept connections until the test ends. The address is not 127.0.0.1: a dial that loses it
// would come up there all the same.
func listen(t *testing.T, e *Engine, maxOpen int, accept func(c *Conn) Handler) *Listener {
	t.Helper()
	ln, err := e.Listen("127.0.0.2:0", maxOpen, slog.New(slog.NewTextHandler(io.Discard, nil)), accept)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ln.Close)
	return ln
}

// dialCollector dials from the loop, writes what is given and collects what comes back.
func dialCollector(loop *eventloop.Loop, e *Engine, addr string, within time.Duration, text []byte, s *collector) {
	loop.Post(func() {
		e.Dial(addr, within, func(c *Conn, err error) Handler {
			if err != nil || c.Write(text) != nil {
				s.done <- "failed"
			}
			return s
		})
	})
}

// newPair is a connection that the engine has accepted, and its other end.
func newPair(t *testing.T, e *Engine, h Handler) (*Conn, *net.TCPConn) {
	t.Helper()
	accepted := make(chan *Conn, 1)
	ln := listen(t, e, 64, func(c *Conn) Handler {
		accepted <- c
		return h
	})
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return <-accepted, c.(*net.TCPConn)
}

// send writes to the engine from the other end.
func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// waitUntil waits for what the test has set in motion.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// runInLoop runs f in the loop.
func runInLoop(l interface{ Post(func()) }, f func()) {
	done := make(chan bool)
	l.Post(func() {
		f()
		close(done)
	})
	<-done
}

// endRecorder tells how a connection ended.
type endRecorder struct {
	data chan string
	err  chan error
}

func (s endRecorder) Data(p []byte)    { s.data <- string(p) }
func (s endRecorder) Closed(err error) { s.err <- err }

// goroutineStacks is the stacks of all goroutines.
func goroutineStacks() string {
	buf := make([]byte, 1<<20)
	return string(buf[:runtime.Stack(buf, true)])
}
