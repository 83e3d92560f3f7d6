package sock

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/lesismal/nbio"

	"limeladder/internal/loop"
)

// echo sends back what comes.
type echo struct{ c *Conn }

func (e echo) Data(p []byte) { e.c.Write(p) }
func (echo) Closed(error)    {}

// sink collects what comes.
type sink struct {
	got  []byte
	want int
	done chan string
}

func (s *sink) Data(p []byte) {
	if s.got = append(s.got, p...); len(s.got) >= s.want {
		s.done <- "got"
	}
}
func (s *sink) Closed(err error) { s.done <- "closed" }

func start(t *testing.T) (*loop.Loop, *Engine) {
	l := loop.New()
	e, err := New(l, 1024, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run(func() {})
	t.Cleanup(func() { l.Stop(); e.Stop() })
	return l, e
}

func wait(t *testing.T, done chan string, want string) {
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

func TestEchoOfMoreThanSocketsHold(t *testing.T) {
	l, e := start(t)
	ln, err := e.Listen("127.0.0.2:0", 64, slog.New(slog.NewTextHandler(io.Discard, nil)), func(c *Conn) Handler { return echo{c} })
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	text := bytes.Repeat([]byte("limeladder"), 50_000)
	// The address is not 127.0.0.1: a dial that loses it would come up there all the same.
	for range 20 { // a dial that comes up at once must stay up, beyond its own time limit too
		s := &sink{want: len(text), done: make(chan string, 9)}
		l.Post(func() {
			e.Dial(ln.Addr().String(), 50*time.Millisecond, func(c *Conn, err error) Handler {
				if err != nil || c.Write(text) != nil {
					s.done <- "failed"
				}
				return s
			})
		})
		wait(t, s.done, "got")
		if !bytes.Equal(s.got, text) {
			t.Fatal("other bytes came back")
		}
		select {
		case what := <-s.done:
			t.Fatalf("%s by itself", what)
		case <-time.After(70 * time.Millisecond):
		}
	}
}

func TestRefusedDialIsToldOnce(t *testing.T) {
	l, e := start(t)
	ln, err := e.Listen("127.0.0.2:0", 64, slog.New(slog.NewTextHandler(io.Discard, nil)), func(c *Conn) Handler { return echo{c} })
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	s := &sink{done: make(chan string, 9)}
	l.Post(func() {
		e.Dial(ln.Addr().String(), time.Second, func(c *Conn, err error) Handler {
			if err != nil || c.Write([]byte("x")) != nil {
				s.done <- "failed"
			}
			return s
		})
	})
	wait(t, s.done, "failed")
}

// Stop ends although a connection comes up in the middle of it.
func TestStopDoesNotHang(t *testing.T) {
	l := loop.New()
	e, err := New(l, 1024, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run(func() {})
	defer l.Stop()
	ln, err := e.Listen("127.0.0.2:0", 64, slog.New(slog.NewTextHandler(io.Discard, nil)), func(c *Conn) Handler {
		return echo{c}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	e.nb.OnClose(func(*nbio.Conn, error) { select {} }) // nbio never learns that one has closed
	s := &sink{want: 1, done: make(chan string, 9)}
	l.Post(func() {
		e.Dial(ln.Addr().String(), time.Second, func(c *Conn, err error) Handler {
			if err != nil || c.Write([]byte("x")) != nil {
				s.done <- "failed"
			}
			return s
		})
	})
	wait(t, s.done, "got")
	stopped := make(chan string, 1)
	go func() { e.Stop(); stopped <- "stopped" }()
	wait(t, stopped, "stopped")
}

// What is beyond the places waits for one: it is not closed.
func TestPlaces(t *testing.T) {
	l, e := start(t)
	ln, err := e.Listen("127.0.0.2:0", 1, slog.New(slog.NewTextHandler(io.Discard, nil)), func(c *Conn) Handler { return echo{c} })
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	done := make(chan string, 9)
	first := make(chan *Conn, 1)
	open := func(h *sink, c chan *Conn) {
		l.Post(func() {
			e.Dial(ln.Addr().String(), time.Second, func(k *Conn, err error) Handler {
				if err != nil {
					t.Error(err)
					return nil
				}
				k.Write([]byte("x"))
				c <- k
				return h
			})
		})
	}
	open(&sink{want: 1, done: done}, first)
	wait(t, done, "got")
	other := make(chan string, 9)
	open(&sink{want: 1, done: other}, make(chan *Conn, 1))
	select {
	case got := <-other:
		t.Fatal(got, "without a place")
	case <-time.After(50 * time.Millisecond):
	}
	k := <-first
	l.Post(k.Close)
	wait(t, other, "got")
}

// A peer that sends faster than the loop reads is closed: what it sends is not kept.
func TestFlood(t *testing.T) {
	l := loop.New()
	e, err := New(l, 1024, 64<<10)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	s := &sink{want: 1 << 40, done: make(chan string, 9)}
	ln, err := e.Listen("127.0.0.2:0", 64, slog.New(slog.NewTextHandler(io.Discard, nil)), func(c *Conn) Handler {
		s.done <- "accepted"
		return s
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	busy, free := make(chan bool), make(chan bool)
	go l.Run(func() {})
	defer l.Stop()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	wait(t, s.done, "accepted") // the loop has the connection before it is kept busy
	l.Post(func() { busy <- true; <-free })
	<-busy
	c.SetDeadline(time.Now().Add(20 * time.Second))
	for err = nil; err == nil; {
		_, err = c.Write(make([]byte, 64<<10))
	}
	close(free)
	wait(t, s.done, "closed")
	if len(s.got) > 64<<10 {
		t.Fatalf("%d bytes kept", len(s.got))
	}
}
