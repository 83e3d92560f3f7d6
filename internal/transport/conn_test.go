package transport

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/lesismal/nbio"

	"limeladder/internal/eventloop"
)

func TestEchoExceedingTheSocketBuffer(t *testing.T) {
	l, e := newTestEngine(t)
	ln := listen(t, e, 64, func(c *Conn) Handler { return echoHandler{c} })
	text := bytes.Repeat([]byte("limeladder"), 50_000)
	for range 20 { // an established connection must stay open after the timeout of its dial has passed
		s := &collector{want: len(text), done: make(chan string, 9)}
		dialCollector(l, e, ln.Addr().String(), 50*time.Millisecond, text, s)
		expectEvent(t, s.done, "got")
		if !bytes.Equal(s.got, text) {
			t.Fatal("the echoed bytes differ from those sent")
		}
		select {
		case what := <-s.done:
			t.Fatalf("unexpected event %q after the echo", what)
		case <-time.After(70 * time.Millisecond):
		}
	}
}

func TestRefusedDialIsReportedOnce(t *testing.T) {
	l, e := newTestEngine(t)
	ln := listen(t, e, 64, func(c *Conn) Handler { return echoHandler{c} })
	ln.Close()
	s := &collector{done: make(chan string, 9)}
	dialCollector(l, e, ln.Addr().String(), time.Second, []byte("x"), s)
	expectEvent(t, s.done, "failed")
}

// Guards against an Engine.Stop that hangs because nbio waits for a connection that is established meanwhile.
func TestStopDoesNotHang(t *testing.T) {
	l := eventloop.New()
	e, err := New(l, 1024, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run(func() {})
	defer l.Stop()
	ln := listen(t, e, 64, func(c *Conn) Handler {
		return echoHandler{c}
	})
	e.poller.OnClose(func(*nbio.Conn, error) { select {} }) // nbio's shutdown never sees a connection as closed
	s := &collector{want: 1, done: make(chan string, 9)}
	dialCollector(l, e, ln.Addr().String(), time.Second, []byte("x"), s)
	expectEvent(t, s.done, "got")
	stopped := make(chan string, 1)
	go func() {
		e.Stop()
		stopped <- "stopped"
	}()
	expectEvent(t, stopped, "stopped")
}

// A connection beyond the limit waits for a slot: it is not closed.
func TestConnectionsBeyondTheLimitWait(t *testing.T) {
	l, e := newTestEngine(t)
	ln := listen(t, e, 1, func(c *Conn) Handler { return echoHandler{c} })
	done := make(chan string, 9)
	first := make(chan *Conn, 1)
	open := func(h *collector, c chan *Conn) {
		l.Post(func() {
			e.Dial(ln.Addr().String(), time.Second, func(conn *Conn, err error) Handler {
				if err != nil {
					t.Error(err)
					return nil
				}
				if err := conn.Write([]byte("x")); err != nil {
					t.Error(err)
				}
				c <- conn
				return h
			})
		})
	}
	open(&collector{want: 1, done: done}, first)
	expectEvent(t, done, "got")
	other := make(chan string, 9)
	open(&collector{want: 1, done: other}, make(chan *Conn, 1))
	select {
	case got := <-other:
		t.Fatal(got, "was reported by the second connection, want no event before a slot is free")
	case <-time.After(50 * time.Millisecond):
	}
	conn := <-first
	l.Post(conn.Close)
	expectEvent(t, other, "got")
}

// A peer that sends faster than the loop processes its data, or while its connection is paused, is slowed down: only a
// limited number of bytes is buffered, and all bytes are reported in order even if the peer closes the connection after
// them.
func TestFastSenderIsSlowedDown(t *testing.T) {
	const inbox, total = 64 << 10, 6 << 20
	l := eventloop.New()
	e, err := New(l, 1024, inbox)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run(func() {})
	defer l.Stop()
	defer e.Stop()
	sent := make([]byte, total)
	for i := range sent {
		sent[i] = byte(i % 251)
	}
	for _, pause := range []bool{false, true} {
		s := &collector{want: 1 << 40, done: make(chan string, 9)}
		var conn *Conn
		ln := listen(t, e, 64, func(c *Conn) Handler {
			conn = c
			s.done <- "accepted"
			return s
		})
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		expectEvent(t, s.done, "accepted") // the connection must be accepted before the loop is kept busy
		resume := stopLoopOrConn(l, conn, pause)
		wrote := make(chan error)
		go func() {
			_, err := c.Write(sent)
			c.Close()
			wrote <- err
		}()
		waitUntil(t, "the inbox is full", func() bool {
			conn.mutex.Lock()
			n, full := len(conn.inbox), conn.inboxFull
			conn.mutex.Unlock()
			if n > inbox+readBufferBytes {
				t.Fatalf("%d bytes in the inbox, want at most its limit and one read", n)
			}
			return full
		})
		resume()
		if err := <-wrote; err != nil {
			t.Fatal(err)
		}
		expectEvent(t, s.done, "closed")
		if !bytes.Equal(s.got, sent) {
			t.Fatalf("received %d bytes that are not those sent", len(s.got))
		}
	}
}

// A connection that is paused, or whose inbox is limited, keeps little more than one read, and reports all bytes once
// it is resumed: many of them must not take the memory of a full inbox each.
func TestLimitedInboxKeepsLittle(t *testing.T) {
	const limit, total = 4 << 10, 300_000
	for _, limited := range []bool{false, true} {
		l := eventloop.New()
		e, err := New(l, 1024, 256<<10)
		if err != nil {
			t.Fatal(err)
		}
		go l.Run(func() {})
		t.Cleanup(l.Stop)
		t.Cleanup(e.Stop)
		s := &collector{want: total, done: make(chan string, 9)}
		accepted := make(chan *Conn, 1)
		ln := listen(t, e, 64, func(c *Conn) Handler {
			accepted <- c
			return s
		})
		peer, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer peer.Close()
		conn := <-accepted
		most := readBufferBytes
		runInLoop(l, func() {
			conn.SetPaused(true)
			if limited {
				conn.LimitInbox(limit)
				most = limit
			}
		})
		go func() { _, _ = peer.Write(make([]byte, total)) }() // the bytes that are reported are counted below
		kept := func() (n int, full bool) {
			conn.mutex.Lock()
			defer conn.mutex.Unlock()
			return len(conn.inbox), conn.inboxFull
		}
		waitUntil(t, "reading has stopped", func() bool {
			_, full := kept()
			return full
		})
		time.Sleep(50 * time.Millisecond)
		if n, _ := kept(); n > most {
			t.Errorf("limited %v: %d bytes in the inbox of a paused connection, want at most %d", limited, n, most)
		}
		l.Post(func() { conn.SetPaused(false) })
		expectEvent(t, s.done, "got")
	}
}

// stopLoopOrConn pauses a connection, or keeps the loop busy, until resume is called.
func stopLoopOrConn(l *eventloop.Loop, conn *Conn, pause bool) (resume func()) {
	if pause {
		runInLoop(l, func() { conn.SetPaused(true) })
		return func() { l.Post(func() { conn.SetPaused(false) }) }
	}
	busy, free := make(chan bool), make(chan bool)
	l.Post(func() {
		conn.SetPaused(false)
		close(busy)
		<-free
	})
	<-busy
	return func() { close(free) }
}

// CloseGracefully does not cut off a connection while its peer keeps reading, however long that takes.
func TestCloseGracefullyWaitsForASlowReader(t *testing.T) {
	l, e := newTestEngine(t)
	const total = 7 << 20
	ln := listen(t, e, 64, func(c *Conn) Handler {
		if err := errors.Join(c.socket.SetWriteBuffer(64<<10), c.Write(make([]byte, total))); err != nil {
			t.Error(err)
		}
		c.CloseGracefully(time.Second)
		return echoHandler{c}
	})
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
		t.Fatalf("received %d bytes, want all of them; read error: %v", got, err)
	}
	l.Post(func() {})
}
