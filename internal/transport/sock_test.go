package transport

import (
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/lesismal/nbio"

	"limeladder/internal/eventloop"
)

// echo sends back what comes.
type echo struct{ c *Conn }

func (e echo) Data(p []byte) {
	_ = e.c.Write(p) // what is not sent does not come back, which the test sees
}
func (echo) Closed(error) {}

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
func (s *sink) Closed(error) { s.done <- "closed" }

func start(t *testing.T) (*eventloop.Loop, *Engine) {
	t.Helper()
	l := eventloop.New()
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
	l := eventloop.New()
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
				if err := k.Write([]byte("x")); err != nil {
					t.Error(err)
				}
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

// A peer that sends faster than the loop reads has to wait: little of it is kept, and all of it comes, in order, though the
// peer ends the connection behind it. So does one whose connection is held.
func TestFlood(t *testing.T) {
	const inbox, total = 64 << 10, 6 << 20
	l := eventloop.New()
	e, err := New(l, 1024, inbox)
	if err != nil {
		t.Fatal(err)
	}
	defer e.Stop()
	for _, hold := range []bool{false, true} {
		s := &sink{want: 1 << 40, done: make(chan string, 9)}
		var conn *Conn
		ln, err := e.Listen("127.0.0.2:0", 64, slog.New(slog.NewTextHandler(io.Discard, nil)), func(c *Conn) Handler {
			conn = c
			s.done <- "accepted"
			return s
		})
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		if !hold {
			go l.Run(func() {})
			defer l.Stop()
		}
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		wait(t, s.done, "accepted") // the loop has the connection before it is kept busy
		busy, free := make(chan bool), make(chan bool)
		l.Post(func() {
			conn.SetPaused(hold)
			close(busy)
			if !hold {
				<-free
			}
		})
		<-busy
		wrote := make(chan error)
		go func() {
			p := make([]byte, total)
			for i := range p {
				p[i] = byte(i % 251)
			}
			_, err := c.Write(p)
			c.Close()
			wrote <- err
		}()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
			conn.mu.Lock()
			n, full := len(conn.in), conn.full
			conn.mu.Unlock()
			if n > inbox+readSize {
				t.Fatalf("%d bytes kept", n)
			}
			if full {
				break
			}
			if time.Now().After(end) {
				t.Fatal("never full")
			}
		}
		close(free)
		if hold {
			l.Post(func() { conn.SetPaused(false) })
		}
		if err := <-wrote; err != nil {
			t.Fatal(err)
		}
		wait(t, s.done, "closed")
		if len(s.got) != total {
			t.Fatalf("%d bytes came", len(s.got))
		}
		for i, b := range s.got {
			if b != byte(i%251) {
				t.Fatalf("byte %d is wrong", i)
			}
		}
	}
}

// A connection that is to be closed is not cut while its peer goes on taking, however long that takes.
func TestFinishWaitsForASlowReader(t *testing.T) {
	l, e := start(t)
	const total = 7 << 20
	ln, err := e.Listen("127.0.0.2:0", 64, slog.New(slog.NewTextHandler(io.Discard, nil)), func(c *Conn) Handler {
		if err := errors.Join(c.nb.SetWriteBuffer(64<<10), c.Write(make([]byte, total))); err != nil {
			t.Error(err)
		}
		c.Finish(time.Second)
		return echo{c}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c.(*net.TCPConn).SetReadBuffer(64 << 10)
	c.SetDeadline(time.Now().Add(20 * time.Second))
	got, buf := 0, make([]byte, 128<<10)
	for err == nil {
		var n int
		n, err = c.Read(buf)
		got += n
		time.Sleep(15 * time.Millisecond)
	}
	if got != total {
		t.Fatalf("%d bytes, %v", got, err)
	}
	l.Post(func() {})
}
