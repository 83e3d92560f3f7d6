package eventloop

import (
	"container/heap"
	"time"
)

// Timer is a call to come. Its methods belong to the loop's goroutine.
type Timer struct {
	due      time.Duration
	sequence uint64 // orders timers that are due at the same time
	callback func()
	index    int // in the heap, negative once it is no longer there
	loop     *Loop
}

// AfterFunc calls f in the loop once d has passed. Only the loop's goroutine may call it.
func (l *Loop) AfterFunc(d time.Duration, f func()) *Timer {
	l.timers.sequence++
	t := &Timer{due: l.Now() + d, sequence: l.timers.sequence, callback: f, loop: l}
	heap.Push(&l.timers, t)
	return t
}

// Due is when the timer is due, or was, on the loop's clock.
func (t *Timer) Due() time.Duration { return t.due }

// Stop forgets the call; it may be called on nil and again.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// timerHeap holds timers, the one that is due first on top. It implements heap.Interface.
type timerHeap struct {
	timers   []*Timer
	sequence uint64 // of the newest timer
}

// next is when the first timer is due; ok is false where there is none.
func (h *timerHeap) next() (due time.Duration, ok bool) {
	if len(h.timers) == 0 {
		return 0, false
	}
	return h.timers[0].due, true
}

// isDue reports whether the first timer is due.
func (h *timerHeap) isDue(now time.Duration) bool {
	due, ok := h.next()
	return ok && due <= now
}

// take removes the first timer, which must exist.
func (h *timerHeap) take() *Timer { return heap.Pop(h).(*Timer) }

// Len is the number of timers.
func (h *timerHeap) Len() int { return len(h.timers) }

// Less orders timers by when they are due, and by their sequence.
func (h *timerHeap) Less(i, j int) bool {
	a, b := h.timers[i], h.timers[j]
	if a.due != b.due {
		return a.due < b.due
	}
	return a.sequence < b.sequence
}

// Swap exchanges two timers.
func (h *timerHeap) Swap(i, j int) {
	h.timers[i], h.timers[j] = h.timers[j], h.timers[i]
	h.timers[i].index = i
	h.timers[j].index = j
}

// Push adds a timer at the end.
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(h.timers)
	h.timers = append(h.timers, t)
}

// Pop removes the timer at the end.
func (h *timerHeap) Pop() any {
	last := len(h.timers) - 1
	t := h.timers[last]
	h.timers[last] = nil
	h.timers = h.timers[:last]
	t.index = -1
	return t
}
