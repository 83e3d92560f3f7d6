package transport

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// pair is a connection that the engine has accepted, and its other end.
func pair(t *testing.T, e *Engine, h Handler) (*Conn, *net.TCPConn) {
	t.Helper()
	accepted := make(chan *Conn, 1)
	ln, err := e.Listen("127.0.0.2:0", 64, slog.New(slog.NewTextHandler(io.Discard, nil)), func(c *Conn) Handler {
		accepted <- c
		return h
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ln.Close)
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

// until waits for what the test has set in motion.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never: " + what)
		}
	}
}

// do runs f in the loop.
func do(l interface{ Post(func()) }, f func()) {
	done := make(chan bool)
	l.Post(func() { f(); close(done) })
	<-done
}

// A connection is finished while bytes of its peer lie unread in the system: the peer still gets all that was written, and then
// the end, not a reset. So it does where the connection was held.
func TestNoCloseOverUnreadBytes(t *testing.T) {
	for _, held := range []bool{false, true} {
		l, e := start(t)
		e.inbox = 1 // what comes behind the first byte stays in the system
		k, c := pair(t, e, &sink{want: 1 << 40, done: make(chan string, 9)})
		busy, free := make(chan bool), make(chan bool)
		l.Post(func() {
			k.SetPaused(held)
			close(busy)
			<-free
			if err := k.Write([]byte("the last answer")); err != nil {
				t.Error(err)
			}
			k.Finish(time.Second)
		})
		<-busy
		for range 8 {
			if _, err := c.Write(make([]byte, 8<<10)); err != nil {
				t.Fatal(err)
			}
		}
		until(t, "bytes lie unread", func() bool {
			n := 0
			k.use(func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.TIOCINQ) })
			return n > 0
		})
		close(free)
		var got []byte
		buf := make([]byte, 64)
		for {
			n, err := c.Read(buf)
			got = append(got, buf[:n]...)
			if errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				t.Fatalf("held %v: %q, %v", held, got, err)
			}
		}
		if string(got) != "the last answer" {
			t.Fatalf("held %v: %q", held, got)
		}
		// What crosses the end is read and dropped, and the peer's own end ends it.
		send(t, c, "one more request")
		c.Close()
		until(t, "its end", func() (over bool) {
			do(l, func() { over = e.Finishing() == 0 })
			return over
		})
	}
}

// Peers that never end their side hold no place of the listener, and no more descriptors than are meant for them.
func TestLingeringIsBounded(t *testing.T) {
	l, e := start(t)
	most := Lingering(1024)
	for range most + 20 {
		k, _ := pair(t, e, &sink{want: 1, done: make(chan string, 9)})
		do(l, func() {
			if k.Finish(time.Second); len(e.lingering) > most {
				t.Errorf("%d linger, %d may", len(e.lingering), most)
			}
		})
	}
	until(t, "all are closed", func() (ok bool) {
		do(l, func() { ok = e.Finishing() == 0 && len(e.lingering) == 0 })
		return ok
	})
}

// A connection that is finished gives back its listener's place at once, whether or not its peer ends its side.
func TestFinishGivesBackThePlace(t *testing.T) {
	l, e := start(t)
	accepted := make(chan *Conn, 9)
	ln, err := e.Listen("127.0.0.2:0", 1, slog.New(slog.NewTextHandler(io.Discard, nil)), func(c *Conn) Handler {
		accepted <- c
		return &sink{want: 1, done: make(chan string, 9)}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for range 3 {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close() // not before the end
		select {
		case k := <-accepted:
			do(l, func() { k.Finish(time.Second) })
		case <-time.After(Linger / 2):
			t.Fatal("no place")
		}
	}
}

// The end of a connection that is held is told at once where its peer's end says that it wants nothing more, and what lay before
// it is dropped.
func TestPromptEndOfAHeldConnection(t *testing.T) {
	l, e := start(t)
	s := &sink{want: 1, done: make(chan string, 9)}
	k, c := pair(t, e, s)
	do(l, func() { k.Prompt(); k.SetPaused(true) })
	send(t, c, "asked ahead")
	until(t, "it has come", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.in) > 0
	})
	c.Close()
	wait(t, s.done, "closed")
}

// ends tells how a connection ended.
type ends struct {
	data chan string
	err  chan error
}

func (s ends) Data(p []byte)    { s.data <- string(p) }
func (s ends) Closed(err error) { s.err <- err }

// stacks is what all goroutines are at.
func stacks() string {
	buf := make([]byte, 1<<20)
	return string(buf[:runtime.Stack(buf, true)])
}

// A reset right behind data is told as a reset, and an end as an end, though the poller finds both at once.
func TestAResetBehindDataIsNoEnd(t *testing.T) {
	for _, reset := range []bool{false, true} {
		_, e := start(t)
		s := ends{make(chan string, 9), make(chan error, 9)}
		k, c := pair(t, e, s)
		k.Exact()
		// The poller is kept at another connection until all has come here, and then finds it at once.
		other, o := pair(t, e, ends{make(chan string, 9), make(chan error, 9)})
		other.reading.Lock()
		send(t, o, "x")
		until(t, "the poller is kept", func() bool { return strings.Contains(stacks(), "transport.(*Conn).read(") })
		send(t, c, "{}")
		if reset {
			c.SetLinger(0)
		}
		c.Close()
		until(t, "its end has come", k.ending)
		other.reading.Unlock()
		if got := <-s.data; got != "{}" {
			t.Errorf("%q", got)
		}
		select {
		case err := <-s.err:
			if errors.Is(err, io.EOF) == reset {
				t.Errorf("reset %v: %v", reset, err)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("no end")
		}
	}
}

// The descriptor is not used once it is given back: another connection may have it.
func TestNothingIsDoneToAnotherConnection(t *testing.T) {
	l, e := start(t)
	s := &sink{want: 1, done: make(chan string, 9)}
	k, c := pair(t, e, s)
	c.Close()
	wait(t, s.done, "closed")
	do(l, func() {
		if k.use(func(int) { t.Error("used") }) || !k.ending() || k.Quiet() || !k.Left(false) {
			t.Error("a connection that has ended is taken for one that has not")
		}
	})
}

// nbio has closed a connection and has yet to tell so, in a goroutine of its own: its descriptor is not used any more all the same.
func TestADescriptorThatIsGivenBackIsNotUsed(t *testing.T) {
	_, e := start(t)
	told := make(chan bool)
	e.nb.OnClose(func(*nbio.Conn, error) { <-told })
	defer close(told)
	k, c := pair(t, e, &sink{want: 1, done: make(chan string, 9)})
	c.Close()
	until(t, "nbio has closed it", func() bool {
		closed, _ := k.nb.IsClosed()
		return closed
	})
	if k.use(func(int) {}) {
		t.Fatal("its descriptor is used")
	}
}
