package transport

import (
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"limeladder/internal/eventloop"
)

// However many marks are asked for, few are kept, the moment reported is never later than the true one, and exact while
// there is room.
func TestArrivals(t *testing.T) {
	for _, pieces := range []int{1, maxArrivalMarks, 10 * maxArrivalMarks, 5000} {
		r := rand.New(rand.NewPCG(1, uint64(pieces)))
		var a arrivalLog
		came := []time.Duration{0}
		now := time.Second
		for range pieces {
			now += time.Duration(1+r.IntN(5)) * arrivalResolution
			for range 1 + r.IntN(9) {
				came = append(came, now)
			}
			a.record(int64(len(came)-1), now)
			a.record(int64(r.IntN(len(came))), now+time.Second) // known already
			if len(a.marks) > maxArrivalMarks {
				t.Fatalf("%d marks", len(a.marks))
			}
		}
		for place := int64(1); place < int64(len(came)); place += 1 + int64(r.IntN(3)) {
			at, ok := a.lookup(place)
			if !ok || at > came[place] || pieces <= maxArrivalMarks && at != came[place] {
				t.Fatalf("byte %d of %d pieces came at %v, reported %v %v", place, pieces, came[place], at, ok)
			}
		}
		if _, ok := a.lookup(int64(len(came))); ok {
			t.Fatal("the moment of what has not come")
		}
		a.record(int64(len(came)-1), now+time.Second)
		if len(a.marks) > 0 {
			t.Fatal("what was asked for is noted again")
		}
	}
}

// Bytes that wait, at the loop or in the system's buffer because the connection is read no further, have the moment
// at which they came, not that at which they are looked at.
func TestArrivalOfBytesThatAreNotRead(t *testing.T) {
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
	send(t, c, "a") // it fills the inbox
	waitUntil(t, "the first has come", func() bool {
		conn.mutex.Lock()
		defer conn.mutex.Unlock()
		return len(conn.inbox) == 1
	})
	send(t, c, "bc")
	waitUntil(t, "the rest is noted in the system's buffer", func() bool {
		conn.mutex.Lock()
		defer conn.mutex.Unlock()
		n := len(conn.arrivals.marks)
		return n > 0 && conn.arrivals.marks[n-1].upTo == 3
	})
	noted := l.Now()
	waitUntil(t, "time has passed", func() bool { return l.Now() > noted+20*time.Millisecond })
	runInLoop(l, func() { conn.SetPaused(false) })
	expectEvent(t, s.done, "got")
	runInLoop(l, func() {
		if first, last := conn.ArrivedAt(1), conn.ArrivedAt(3); first > last || last > noted {
			t.Errorf("came at %v and %v, noted at %v", first, last, noted)
		}
	})
}

// What came while its connection waited for a slot counts from when it came, not from when there was room.
func TestArrivalOfBytesBeforeAccept(t *testing.T) {
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
	first := <-opened // it has the only slot
	waits := dial()
	sent := l.Now()
	if _, err := waits.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	const waited = 100 * time.Millisecond
	waitUntil(t, "time has passed", func() bool { return l.Now() > sent+waited })
	if len(opened) > 0 {
		t.Fatal("it was accepted beyond the limit")
	}
	runInLoop(l, first.Close)
	second := <-opened
	expectEvent(t, s.done, "got")
	runInLoop(l, func() {
		// The system counts in its own ticks, of 10 ms at the most.
		if at := second.ArrivedAt(3); at < sent-10*time.Millisecond || at > sent+waited/2 {
			t.Errorf("sent at %v, reported %v later", sent, at-sent)
		}
	})
}
