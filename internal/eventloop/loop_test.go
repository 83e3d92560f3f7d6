package eventloop

import (
	"slices"
	"sync"
	"testing"
	"time"
)

func TestOrderAndTimers(t *testing.T) {
	l := New()
	var got []int
	stopped := l.AfterFunc(time.Millisecond, func() { got = append(got, 99) })
	l.AfterFunc(20*time.Millisecond, func() {
		got = append(got, 5)
		l.Stop()
	})
	l.AfterFunc(10*time.Millisecond, func() { got = append(got, 4) })
	for i := range 3 {
		l.Post(func() { got = append(got, i+1) })
	}
	stopped.Stop()
	stopped.Stop()
	var none *Timer
	none.Stop()
	steps := 0
	l.Run(func() { steps++ })
	if !slices.Equal(got, []int{1, 2, 3, 4, 5}) || steps < 3 {
		t.Fatalf("%v in %d steps", got, steps)
	}
}

func TestPostFromManyGoroutines(t *testing.T) {
	l := New()
	n := 0
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 1000 {
				l.Post(func() { n++ })
			}
		})
	}
	go func() {
		wg.Wait()
		l.Stop()
	}()
	l.Run(func() {})
	if n != 8000 {
		t.Fatalf("%d calls", n)
	}
}

// What is urgent waits for one function at most, not for all that is queued.
func TestUrgentComesFirst(t *testing.T) {
	l := New()
	n := 0
	at := -1
	for i := range 100 {
		l.Post(func() {
			n++
			if i == 3 {
				l.PostUrgent(func() { at = n })
			}
		})
	}
	l.Stop()
	l.Run(func() {})
	if n != 100 || at != 4 {
		t.Fatalf("after %d of %d", at, n)
	}
}

// By another clock nothing moves unless RunOnce is called, and what a function posts is called in the same turn.
func TestRunOnce(t *testing.T) {
	now := time.Second
	l := NewWithClock(func() time.Duration { return now })
	var got []int
	l.AfterFunc(10*time.Millisecond, func() { got = append(got, 3) })
	l.AfterFunc(0, func() {
		got = append(got, 1)
		l.Post(func() { got = append(got, 2) })
	})
	steps := 0
	next := l.RunOnce(func() { steps++ })
	if next != now+10*time.Millisecond || !slices.Equal(got, []int{1, 2}) || steps != 2 {
		t.Fatalf("%v, next %v, %d steps", got, next, steps)
	}
	now += 10 * time.Millisecond
	next = l.RunOnce(func() { steps++ })
	if next != 0 || !slices.Equal(got, []int{1, 2, 3}) {
		t.Fatalf("%v, next %v", got, next)
	}
}
