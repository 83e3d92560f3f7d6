package transport

import (
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// A connection is finished while bytes of its peer lie unread in the system: the peer still gets all that was
// written, and then the end, not a reset. So it does where the connection was paused.
func TestFinishOverUnreadBytesIsNoReset(t *testing.T) {
	for _, paused := range []bool{false, true} {
		l, e := newTestEngine(t)
		e.inboxBytes = 1 // what comes behind the first byte stays in the system
		conn, c := newPair(t, e, &collector{want: 1 << 40, done: make(chan string, 9)})
		busy, free := make(chan bool), make(chan bool)
		l.Post(func() {
			conn.SetPaused(paused)
			close(busy)
			<-free
			if err := conn.Write([]byte("the last answer")); err != nil {
				t.Error(err)
			}
			conn.Finish(time.Second)
		})
		<-busy
		for range 8 {
			if _, err := c.Write(make([]byte, 8<<10)); err != nil {
				t.Fatal(err)
			}
		}
		waitUntil(t, "bytes lie unread", func() bool {
			n := 0
			conn.withDescriptor(func(fd int) { n, _ = unix.IoctlGetInt(fd, unix.TIOCINQ) })
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
			}
			if err != nil {
				t.Fatalf("paused %v: %q, %v", paused, got, err)
			}
		}
		if string(got) != "the last answer" {
			t.Fatalf("paused %v: %q", paused, got)
		}
		// What crosses the end is read and dropped, and the peer's own end ends it.
		send(t, c, "one more request")
		c.Close()
		waitUntil(t, "its end", func() (over bool) {
			runInLoop(l, func() { over = e.Finishing() == 0 })
			return over
		})
	}
}

// Peers that never end their side hold no slot of the listener, and no more descriptors than are meant for them.
func TestLingeringIsBounded(t *testing.T) {
	l, e := newTestEngine(t)
	most := MaxLingering(1024)
	for range most + 20 {
		conn, _ := newPair(t, e, &collector{want: 1, done: make(chan string, 9)})
		runInLoop(l, func() {
			conn.Finish(time.Second)
			if len(e.lingering) > most {
				t.Errorf("%d linger, %d may", len(e.lingering), most)
			}
		})
	}
	waitUntil(t, "all are closed", func() (ok bool) {
		runInLoop(l, func() { ok = e.Finishing() == 0 && len(e.lingering) == 0 })
		return ok
	})
}

// A connection that is finished gives back its listener's slot at once, whether or not its peer ends its side.
func TestFinishReleasesTheSlot(t *testing.T) {
	l, e := newTestEngine(t)
	accepted := make(chan *Conn, 9)
	ln := listen(t, e, 1, func(c *Conn) Handler {
		accepted <- c
		return &collector{want: 1, done: make(chan string, 9)}
	})
	for range 3 {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close() // not before the end
		select {
		case conn := <-accepted:
			runInLoop(l, func() { conn.Finish(time.Second) })
		case <-time.After(LingerTimeout / 2):
			t.Fatal("no slot")
		}
	}
}

// The end of a connection that is paused is reported at once where its peer's end says that it wants nothing more,
// and what lay before it is dropped.
func TestPromptCloseOfAPausedConnection(t *testing.T) {
	l, e := newTestEngine(t)
	s := &collector{want: 1, done: make(chan string, 9)}
	conn, c := newPair(t, e, s)
	runInLoop(l, func() {
		conn.ReportCloseAtOnce()
		conn.SetPaused(true)
	})
	send(t, c, "asked ahead")
	waitUntil(t, "it has come", func() bool {
		conn.mutex.Lock()
		defer conn.mutex.Unlock()
		return len(conn.inbox) > 0
	})
	c.Close()
	expectEvent(t, s.done, "closed")
}

// A reset right behind data is reported as a reset, and an end as an end, though the poller finds both at once.
func TestResetBehindDataIsReported(t *testing.T) {
	for _, reset := range []bool{false, true} {
		_, e := newTestEngine(t)
		s := endRecorder{make(chan string, 9), make(chan error, 9)}
		conn, c := newPair(t, e, s)
		conn.DetectResets()
		// The poller is kept at another connection until all has come here, and then finds it at once.
		other, o := newPair(t, e, endRecorder{make(chan string, 9), make(chan error, 9)})
		other.readMutex.Lock()
		send(t, o, "x")
		waitUntil(t, "the poller is kept", func() bool {
			return strings.Contains(goroutineStacks(), "transport.(*Conn).read(")
		})
		send(t, c, "{}")
		if reset {
			c.SetLinger(0)
		}
		c.Close()
		waitUntil(t, "its end has come", conn.peerHasEnded)
		other.readMutex.Unlock()
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
func TestClosedDescriptorIsNotUsed(t *testing.T) {
	l, e := newTestEngine(t)
	s := &collector{want: 1, done: make(chan string, 9)}
	conn, c := newPair(t, e, s)
	c.Close()
	expectEvent(t, s.done, "closed")
	runInLoop(l, func() {
		used := conn.withDescriptor(func(int) { t.Error("used") })
		ended := conn.peerHasEnded() && conn.PeerClosed(false)
		if used || !ended || conn.Quiet() {
			t.Error("a connection that has ended is taken for one that has not")
		}
	})
}

// nbio has closed a connection and has yet to report it, in a goroutine of its own: its descriptor is not used any more
// all the same.
func TestReleasedDescriptorIsNotUsed(t *testing.T) {
	_, e := newTestEngine(t)
	told := make(chan bool)
	e.poller.OnClose(func(*nbio.Conn, error) { <-told })
	defer close(told)
	conn, c := newPair(t, e, &collector{want: 1, done: make(chan string, 9)})
	c.Close()
	waitUntil(t, "nbio has closed it", func() bool {
		closed, _ := conn.socket.IsClosed()
		return closed
	})
	if conn.withDescriptor(func(int) {}) {
		t.Fatal("its descriptor is used")
	}
}
