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

// echoHandler is a Handler that sends back all data received.
type echoHandler struct{ conn *Conn }

func (e echoHandler) Data(p []byte) {
	_ = e.conn.Write(p) // if it fails, the test misses the bytes
}
func (echoHandler) Closed(error) {}

// collector is a Handler that collects the received data. It sends "got" to done once it has at least want bytes, and
// "closed" when the connection ends.
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
			t.Fatalf("got event %q, want %q", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("no event within 10 s, want %q", want)
	}
}

// listen makes an engine accept connections until the test ends. The address is not 127.0.0.1, because a dial that
// loses its address and connects to 0.0.0.0 would succeed there.
func listen(t *testing.T, e *Engine, maxOpen int, accept func(c *Conn) Handler) *Listener {
	t.Helper()
	ln, err := e.Listen("127.0.0.2:0", maxOpen, slog.New(slog.NewTextHandler(io.Discard, nil)), accept)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ln.Close)
	return ln
}

// dialCollector dials from the loop, writes text and collects the received data in s. If the dial or the write fails,
// it sends "failed" to s.done.
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

// newPair returns a connection that the engine has accepted, and the peer's end of it.
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

// send writes text to a connection from the peer's end.
func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// waitUntil waits until ok returns true, and fails the test after 20 s. what names the awaited condition.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting until " + what)
		}
	}
}

// runInLoop runs f in the loop and waits until it has returned.
func runInLoop(l interface{ Post(func()) }, f func()) {
	done := make(chan bool)
	l.Post(func() {
		f()
		close(done)
	})
	<-done
}

// endRecorder is a Handler that records the received data and the error with which the connection ended.
type endRecorder struct {
	data chan string
	err  chan error
}

func (s endRecorder) Data(p []byte)    { s.data <- string(p) }
func (s endRecorder) Closed(err error) { s.err <- err }

// goroutineStacks returns the stacks of all goroutines.
func goroutineStacks() string {
	buf := make([]byte, 1<<20)
	return string(buf[:runtime.Stack(buf, true)])
}
