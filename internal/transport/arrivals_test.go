package transport

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"limeladder/internal/eventloop"
)

// However many arrivals are recorded, at most maxArrivalMarks marks are kept. The time returned is never later than the
// true arrival, and exact as long as no marks were merged.
func TestArrivals(t *testing.T) {
	for _, pieces := range []int{1, maxArrivalMarks, 10 * maxArrivalMarks, 5000} {
		r := rand.New(rand.NewPCG(1, uint64(pieces)))
		var a arrivalLog
		arrivals := []time.Duration{0}
		now := time.Second
		for range pieces {
			now += time.Duration(1+r.IntN(5)) * arrivalResolution
			for range 1 + r.IntN(9) {
				arrivals = append(arrivals, now)
			}
			a.record(int64(len(arrivals)-1), now)
			a.record(int64(r.IntN(len(arrivals))), now+time.Second) // recorded already, so ignored
			if len(a.marks) > maxArrivalMarks {
				t.Fatalf("%d marks, want at most maxArrivalMarks", len(a.marks))
			}
		}
		for place := int64(1); place < int64(len(arrivals)); place += 1 + int64(r.IntN(3)) {
			at, ok := a.lookup(place)
			if !ok || at > arrivals[place] || pieces <= maxArrivalMarks && at != arrivals[place] {
				t.Fatalf("byte %d of %d pieces arrived at %v, lookup returned %v, %v", place, pieces, arrivals[place], at, ok)
			}
		}
		if _, ok := a.lookup(int64(len(arrivals))); ok {
			t.Fatal("lookup found the arrival of a byte that has not arrived")
		}
		a.record(int64(len(arrivals)-1), now+time.Second)
		if len(a.marks) > 0 {
			t.Fatal("the arrival of bytes that were looked up already was recorded again")
		}
	}
}

// The newest arrival is that of bytes that were not recorded before, whether or not they were looked up or merged.
func TestNewestArrival(t *testing.T) {
	var a arrivalLog
	for i := range int64(3 * maxArrivalMarks) {
		at := time.Duration(i+1) * time.Second
		a.record(i+1, at)
		a.record(i+1, at+time.Second/2)
		if a.newestAt != at {
			t.Fatalf("byte %d arrived at %v, newest arrival is %v", i+1, at, a.newestAt)
		}
		if i%7 == 0 {
			a.lookup(i + 1)
		}
	}
}

// Bytes that wait in the inbox, or in the system's buffer while the connection is not being read, have the time of
// their arrival, not the time at which they are processed.
func TestArrivalTimeOfUnreadBytes(t *testing.T) {
	l := eventloop.New()
	e, err := New(l, 1024, 1)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run(func() {})
	t.Cleanup(func() {
		l.Stop()
		e.Stop()
	})
	s := &collector{want: 3, done: make(chan string, 9)}
	conn, c := newPair(t, e, s)
	runInLoop(l, func() { conn.SetPaused(true) })
	send(t, c, "a") // fills the inbox
	waitUntil(t, "the first byte is in the inbox", func() bool {
		conn.mutex.Lock()
		defer conn.mutex.Unlock()
		return len(conn.inbox) == 1
	})
	send(t, c, "bc")
	waitUntil(t, "the arrival of the other bytes in the system's buffer is recorded", func() bool {
		conn.mutex.Lock()
		defer conn.mutex.Unlock()
		n := len(conn.arrivals.marks)
		return n > 0 && conn.arrivals.marks[n-1].upTo == 3
	})
	recordedBy := l.Now()
	waitUntil(t, "time has passed", func() bool { return l.Now() > recordedBy+20*time.Millisecond })
	runInLoop(l, func() { conn.SetPaused(false) })
	expectEvent(t, s.done, "got")
	runInLoop(l, func() {
		if first, last := conn.ArrivedAt(1), conn.ArrivedAt(3); first > last || last > recordedBy {
			t.Errorf("arrived at %v and %v, want them in order and not after %v", first, last, recordedBy)
		}
	})
}

// Bytes that arrive while their connection waits for a slot have the time of their arrival, not the time at which the
// connection was accepted.
func TestArrivalTimeOfBytesBeforeAccept(t *testing.T) {
	l, e := newTestEngine(t)
	opened := make(chan *Conn, 2)
	s := &collector{want: 3, done: make(chan string, 9)}
	ln := listen(t, e, 1, func(c *Conn) Handler {
		opened <- c
		return s
	})
	dial := func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	dial()
	first := <-opened // uses the only slot
	waits := dial()
	sent := l.Now()
	if _, err := waits.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	const waited = 100 * time.Millisecond
	waitUntil(t, "time has passed", func() bool { return l.Now() > sent+waited })
	if len(opened) > 0 {
		t.Fatal("a connection was accepted beyond the limit")
	}
	runInLoop(l, first.Close)
	second := <-opened
	expectEvent(t, s.done, "got")
	runInLoop(l, func() {
		// The system's clock has ticks of at most 10 ms.
		if at := second.ArrivedAt(3); at < sent-10*time.Millisecond || at > sent+waited/2 {
			t.Errorf("sent at %v, arrival reported %v later, want -10 ms to 50 ms", sent, at-sent)
		}
	})
}
