package transport

import (
	"errors"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// If bytes of the peer are unread in the system's buffer when CloseGracefully is called, the peer still receives all
// written bytes and then the end, not a reset. The same applies to a connection that was paused.
func TestCloseGracefullyWithUnreadBytesDoesNotReset(t *testing.T) {
	for _, paused := range []bool{false, true} {
		l, e := newTestEngine(t)
		e.inboxBytes = 1 // reading stops after the first read, and later bytes stay in the system's buffer
		conn, c := newPair(t, e, &collector{want: 1 << 40, done: make(chan string, 9)})
		busy, free := make(chan bool), make(chan bool)
		l.Post(func() {
			conn.SetPaused(paused)
			close(busy)
			<-free
			if err := conn.Write([]byte("the last answer")); err != nil {
				t.Error(err)
			}
			conn.CloseGracefully(time.Second)
		})
		<-busy
		for range 8 {
			if _, err := c.Write(make([]byte, 8<<10)); err != nil {
				t.Fatal(err)
			}
		}
		waitUntil(t, "bytes are unread in the system's buffer", func() bool {
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
				t.Fatalf("paused %v: received %q, then %v, want EOF", paused, got, err)
			}
		}
		if string(got) != "the last answer" {
			t.Fatalf("paused %v: received %q, want the last answer", paused, got)
		}
		// Data that the peer sends meanwhile is read and dropped, and the connection ends when the peer closes it.
		send(t, c, "one more request")
		c.Close()
		waitUntil(t, "the connection has ended", func() (over bool) {
			runInLoop(l, func() { over = e.ClosingCount() == 0 })
			return over
		})
	}
}

// Peers that never close their side hold no slot of the listener, and at most MaxLingering descriptors.
func TestLingeringIsBounded(t *testing.T) {
	l, e := newTestEngine(t)
	maxLingering := MaxLingering(1024)
	for range maxLingering + 20 {
		conn, _ := newPair(t, e, &collector{want: 1, done: make(chan string, 9)})
		runInLoop(l, func() {
			conn.CloseGracefully(time.Second)
			if len(e.lingering) > maxLingering {
				t.Errorf("%d lingering connections, want at most %d", len(e.lingering), maxLingering)
			}
		})
	}
	waitUntil(t, "all are closed", func() (ok bool) {
		runInLoop(l, func() { ok = e.ClosingCount() == 0 && len(e.lingering) == 0 })
		return ok
	})
}

// CloseGracefully releases the listener's slot without waiting for the peer to close its side.
func TestCloseGracefullyReleasesTheSlot(t *testing.T) {
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
		defer c.Close() // only at the end of the test
		select {
		case conn := <-accepted:
			runInLoop(l, func() { conn.CloseGracefully(time.Second) })
		case <-time.After(LingerTimeout / 2):
			t.Fatal("no slot was released within half of LingerTimeout")
		}
	}
}

// After ReportCloseAtOnce the end of a paused connection is reported without delay, and unprocessed data before it is
// dropped.
func TestReportCloseAtOnceWhilePaused(t *testing.T) {
	l, e := newTestEngine(t)
	s := &collector{want: 1, done: make(chan string, 9)}
	conn, c := newPair(t, e, s)
	runInLoop(l, func() {
		conn.ReportCloseAtOnce()
		conn.SetPaused(true)
	})
	send(t, c, "asked ahead")
	waitUntil(t, "the data is in the inbox", func() bool {
		conn.mutex.Lock()
		defer conn.mutex.Unlock()
		return len(conn.inbox) > 0
	})
	c.Close()
	expectEvent(t, s.done, "closed")
}

// A reset immediately after data is reported as a reset, and an orderly end as EOF, even if the poller finds both in
// one turn.
func TestResetAfterDataIsReported(t *testing.T) {
	for _, reset := range []bool{false, true} {
		_, e := newTestEngine(t)
		s := endRecorder{make(chan string, 9), make(chan error, 9)}
		conn, c := newPair(t, e, s)
		conn.DetectResets()
		// The poller is blocked at another connection until the data and the end have arrived here.
		other, o := newPair(t, e, endRecorder{make(chan string, 9), make(chan error, 9)})
		other.readMutex.Lock()
		send(t, o, "x")
		waitUntil(t, "the poller is blocked", func() bool {
			return strings.Contains(goroutineStacks(), "transport.(*Conn).read(")
		})
		send(t, c, "{}")
		if reset {
			c.SetLinger(0)
		}
		c.Close()
		waitUntil(t, "the end has arrived", conn.peerHasEnded)
		other.readMutex.Unlock()
		if got := <-s.data; got != "{}" {
			t.Errorf("received %q, want {}", got)
		}
		select {
		case err := <-s.err:
			if errors.Is(err, io.EOF) == reset {
				t.Errorf("reset %v: the connection ended with %v", reset, err)
			}
		case <-time.After(20 * time.Second):
			t.Fatal("the end was not reported within 20 s")
		}
	}
}

// The descriptor is not used after it was released: another connection may have the same number.
func TestClosedDescriptorIsNotUsed(t *testing.T) {
	l, e := newTestEngine(t)
	s := &collector{want: 1, done: make(chan string, 9)}
	conn, c := newPair(t, e, s)
	c.Close()
	expectEvent(t, s.done, "closed")
	runInLoop(l, func() {
		used := conn.withDescriptor(func(int) { t.Error("the released descriptor was used") })
		ended := conn.peerHasEnded() && conn.PeerClosed(false)
		if used || !ended || conn.HasNothingToReport() {
			t.Error("an ended connection is treated as open")
		}
	})
}

// The descriptor is not used either after nbio has closed the connection but has not reported that yet, which it does
// in a goroutine of its own.
func TestReleasedDescriptorIsNotUsed(t *testing.T) {
	_, e := newTestEngine(t)
	reported := make(chan bool)
	e.poller.OnClose(func(*nbio.Conn, error) { <-reported })
	defer close(reported)
	conn, c := newPair(t, e, &collector{want: 1, done: make(chan string, 9)})
	c.Close()
	waitUntil(t, "nbio has closed the connection", func() bool {
		closed, _ := conn.socket.IsClosed()
		return closed
	})
	if conn.withDescriptor(func(int) {}) {
		t.Fatal("the released descriptor was used")
	}
}

// Guards against a peer that makes garbage as fast as it sends on a connection that is being closed: its bytes are read
// and dropped, and the garbage collector did not keep up.
func TestBytesDroppedWhileClosingMakeNoGarbage(t *testing.T) {
	const sent, mostAllocated = 64 << 20, 8 << 20
	l, e := newTestEngine(t)
	conn, peer := newPair(t, e, &collector{want: 1 << 40, done: make(chan string, 9)})
	runInLoop(l, func() { conn.CloseGracefully(time.Minute) })
	piece := make([]byte, 64<<10)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	written := 0
	for written < sent {
		n, err := peer.Write(piece)
		written += n
		if err != nil {
			break // it has lingered for long enough
		}
	}
	runtime.ReadMemStats(&after)
	if written < sent/4 {
		t.Fatalf("the connection took %d bytes, want at least a quarter of %d", written, sent)
	}
	if allocated := after.TotalAlloc - before.TotalAlloc; allocated > mostAllocated {
		t.Errorf("%d bytes were allocated for %d that were dropped, want at most %d", allocated, written, mostAllocated)
	}
}
