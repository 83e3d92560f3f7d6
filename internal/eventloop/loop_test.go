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
		t.Fatalf("calls %v in %d steps, want 1 to 5 in order and at least 3 steps", got, steps)
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
		t.Fatalf("%d calls, want 8000", n)
	}
}

// An urgent function waits for at most one queued function, not for the whole queue.
func TestUrgentFunctionsRunFirst(t *testing.T) {
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
		t.Fatalf("urgent function called after %d of %d functions, want after 4 of 100", at, n)
	}
}

// With a given clock, functions and timers run only in RunOnce, and a function that is posted during RunOnce is called
// before it returns.
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
		t.Fatalf("calls %v, next timer at %v, %d steps; want 1 and 2, a timer in 10 ms, 2 steps", got, next, steps)
	}
	now += 10 * time.Millisecond
	next = l.RunOnce(func() { steps++ })
	if next != 0 || !slices.Equal(got, []int{1, 2, 3}) {
		t.Fatalf("calls %v, next timer at %v; want 1 to 3 and no timer", got, next)
	}
}

// Background functions run one at a time, each after all other functions that were queued by then.
func TestBackgroundFunctionsWaitForOthers(t *testing.T) {
	l := New()
	var order []string
	add := func(name string) func() { return func() { order = append(order, name) } }
	l.PostBackground(func() {
		add("first")()
		l.Post(add("between"))
	})
	l.PostBackground(add("second"))
	l.Post(add("queued"))
	l.Post(add("queued"))
	l.PostBackground(l.Stop)
	l.Run(func() {})
	if want := []string{"queued", "queued", "first", "between", "second"}; !slices.Equal(order, want) {
		t.Fatalf("functions ran in the order %v, want %v", order, want)
	}
}

// While the loop was held up, timers ran before what had come meanwhile: a response that had come in time was taken for
// one that had not. What was posted before a timer runs goes first.
func TestTimersRunBehindWhatCameMeanwhile(t *testing.T) {
	l := New()
	var order []string
	l.AfterFunc(time.Millisecond, func() {
		order = append(order, "timer")
		l.Stop()
	})
	l.Post(func() {
		time.Sleep(20 * time.Millisecond)
		l.Post(func() { order = append(order, "posted") })
	})
	l.Run(func() {})
	if !slices.Equal(order, []string{"posted", "timer"}) {
		t.Fatalf("order %v, want the posted function before the timer", order)
	}
}
