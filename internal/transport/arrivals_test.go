package transport

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"limeladder/internal/eventloop"
)

// However many marks are asked for, few are kept, the moment told is never later than the true one, and exact while there is room.
func TestArrivals(t *testing.T) {
	for _, pieces := range []int{1, arrivalsMost, 10 * arrivalsMost, 5000} {
		r := rand.New(rand.NewPCG(1, uint64(pieces)))
		var a arrivals
		came := []time.Duration{0}
		now := time.Second
		for range pieces {
			now += time.Duration(1+r.IntN(5)) * arrivalGrain
			for range 1 + r.IntN(9) {
				came = append(came, now)
			}
			a.came(int64(len(came)-1), now)
			a.came(int64(r.IntN(len(came))), now+time.Second) // known already
			if len(a.marks) > arrivalsMost {
				t.Fatalf("%d marks", len(a.marks))
			}
		}
		for place := int64(1); place < int64(len(came)); place += 1 + int64(r.IntN(3)) {
			at, ok := a.at(place)
			if !ok || at > came[place] || pieces <= arrivalsMost && at != came[place] {
				t.Fatalf("byte %d of %d pieces came at %v, told %v %v", place, pieces, came[place], at, ok)
			}
		}
		if _, ok := a.at(int64(len(came))); ok {
			t.Fatal("the moment of what has not come")
		}
		if a.came(int64(len(came)-1), now+time.Second); len(a.marks) > 0 {
			t.Fatal("what was asked for is noted again")
		}
	}
}

// Bytes that wait, at the loop or in the system's buffer because the connection is read no further, have the moment at which they
// came, not that at which they are looked at.
func TestCameAtOfWhatIsNotRead(t *testing.T) {
	l := eventloop.New()
	e, err := New(l, 1024, 1)
	if err != nil {
		t.Fatal(err)
	}
	go l.Run(func() {})
	t.Cleanup(func() { l.Stop(); e.Stop() })
	s := &sink{want: 3, done: make(chan string, 9)}
	k, c := pair(t, e, s)
	do(l, func() { k.SetPaused(true) })
	send(t, c, "a") // it fills the inbox
	until(t, "the first has come", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.in) == 1
	})
	send(t, c, "bc")
	until(t, "the rest is noted in the system's buffer", func() bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		n := len(k.arrived.marks)
		return n > 0 && k.arrived.marks[n-1].upTo == 3
	})
	noted := l.Now()
	until(t, "time has passed", func() bool { return l.Now() > noted+20*time.Millisecond })
	do(l, func() { k.SetPaused(false) })
	wait(t, s.done, "got")
	do(l, func() {
		if first, last := k.CameAt(1), k.CameAt(3); first > last || last > noted {
			t.Errorf("came at %v and %v, noted at %v", first, last, noted)
		}
	})
}

// What came while its connection waited for a place counts from when it came, not from when there was room.
func TestCameAtOfWhatWaitsForAPlace(t *testing.T) {
	l, e := start(t)
	opened := make(chan *Conn, 2)
	s := &sink{want: 3, done: make(chan string, 9)}
	ln, err := e.Listen("127.0.0.1:0", 1, slog.New(slog.NewTextHandler(io.Discard, nil)), func(c *Conn) Handler {
		opened <- c
		return s
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ln.Close)
	dial := func() net.Conn {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	dial()
	first := <-opened // it has the only place
	waits := dial()
	sent := l.Now()
	if _, err := waits.Write([]byte("abc")); err != nil {
		t.Fatal(err)
	}
	const waited = 100 * time.Millisecond
	until(t, "time has passed", func() bool { return l.Now() > sent+waited })
	if len(opened) > 0 {
		t.Fatal("it was accepted beyond the places")
	}
	do(l, first.Close)
	second := <-opened
	wait(t, s.done, "got")
	do(l, func() {
		// The system counts in its own ticks, of 10 ms at the most.
		if at := second.CameAt(3); at < sent-10*time.Millisecond || at > sent+waited/2 {
			t.Errorf("sent at %v, told %v later", sent, at-sent)
		}
	})
}
