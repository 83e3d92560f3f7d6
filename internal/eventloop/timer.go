package eventloop

import (
	"container/heap"
	"time"
)

// Timer is a scheduled call. Its methods must be called on the loop's goroutine.
type Timer struct {
	due      time.Duration
	sequence uint64 // orders timers that are due at the same time
	callback func()
	index    int // in the heap, negative once the timer was removed
	loop     *Loop
}

// AfterFunc calls f in the loop after d has elapsed. It must be called on the loop's goroutine.
func (l *Loop) AfterFunc(d time.Duration, f func()) *Timer {
	l.timers.sequence++
	t := &Timer{due: l.Now() + d, sequence: l.timers.sequence, callback: f, loop: l}
	heap.Push(&l.timers, t)
	return t
}

// Due returns the time, on the loop's clock, at which the timer is or was due.
func (t *Timer) Due() time.Duration { return t.due }

// Stop cancels the call if it is still pending. It may be called on a nil Timer, and more than once.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// timerHeap is a heap of timers with the earliest on top. It implements heap.Interface.
type timerHeap struct {
	timers   []*Timer
	sequence uint64 // of the newest timer
}

// firstDue returns when the first timer is due. ok is false if there is no timer.
func (h *timerHeap) firstDue() (due time.Duration, ok bool) {
	if len(h.timers) == 0 {
		return 0, false
	}
	return h.timers[0].due, true
}

// isDue reports whether the first timer is due.
func (h *timerHeap) isDue(now time.Duration) bool {
	due, ok := h.firstDue()
	return ok && due <= now
}

// popFirst removes and returns the first timer. There must be one.
func (h *timerHeap) popFirst() *Timer { return heap.Pop(h).(*Timer) }

// Len implements sort.Interface.
func (h *timerHeap) Len() int { return len(h.timers) }

// Less orders timers by due time, and those due at the same time by their sequence.
func (h *timerHeap) Less(i, j int) bool {
	a, b := h.timers[i], h.timers[j]
	if a.due != b.due {
		return a.due < b.due
	}
	return a.sequence < b.sequence
}

// Swap implements sort.Interface.
func (h *timerHeap) Swap(i, j int) {
	h.timers[i], h.timers[j] = h.timers[j], h.timers[i]
	h.timers[i].index = i
	h.timers[j].index = j
}

// Push implements heap.Interface: it appends a timer.
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(h.timers)
	h.timers = append(h.timers, t)
}

// Pop implements heap.Interface: it removes the last timer.
func (h *timerHeap) Pop() any {
	last := len(h.timers) - 1
	t := h.timers[last]
	h.timers[last] = nil
	h.timers = h.timers[:last]
	t.index = -1
	return t
}
