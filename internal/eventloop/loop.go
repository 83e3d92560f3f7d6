// Package eventloop runs the one goroutine that owns all state of the program. Sockets hand it what has come.
package eventloop

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"
)

// Loop calls functions one after the other, in the order of Post, and timers when they are due.
type Loop struct {
	start  time.Time            // its monotonic part is the program's one clock
	clock  func() time.Duration // in its place, nil = none
	wake   chan struct{}
	timers timers // owned by the goroutine of Run

	mu      sync.Mutex
	queue   []func()
	urgent  []func()
	stopped bool

	pressing atomic.Bool // urgent holds something
}

// New reads the system's clock once; Now goes on from there without steps.
func New() *Loop {
	return &Loop{start: time.Now(), wake: make(chan struct{}, 1)}
}

// NewWithClock returns a Loop that goes by another clock. Nothing runs it but RunOnce: it is for models in virtual time.
func NewWithClock(clock func() time.Duration) *Loop {
	return &Loop{clock: clock, wake: make(chan struct{}, 1)}
}

// Now is the time since the Unix epoch on the monotonic clock.
func (l *Loop) Now() time.Duration {
	if l.clock != nil {
		return l.clock()
	}
	return time.Duration(l.start.UnixNano()) + time.Since(l.start)
}

// Post hands a function to the loop; any goroutine may call it.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// PostUrgent hands the loop a function that does not wait for what Post has queued; any goroutine may call it. With a full
// queue an ordinary turn may be seconds away, and those who run the router must not wait for its load.
func (l *Loop) PostUrgent(f func()) {
	l.mu.Lock()
	l.urgent = append(l.urgent, f)
	l.pressing.Store(true)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// press does what is urgent; it is called between any two other functions.
func (l *Loop) press() {
	for l.pressing.Load() {
		l.mu.Lock()
		batch := l.urgent
		l.urgent = nil
		l.pressing.Store(false)
		l.mu.Unlock()
		for _, f := range batch {
			f()
		}
	}
}

// Stop ends Run once the functions in hand are done; any goroutine may call it.
func (l *Loop) Stop() {
	l.Post(func() { l.stopped = true })
}

// Timer is a call to come. Its methods belong to the loop's goroutine.
type Timer struct {
	at    time.Duration
	seq   uint64
	f     func()
	index int
	loop  *Loop
}

// AfterFunc calls f in the loop once d has passed. Only the loop's goroutine may call it.
func (l *Loop) AfterFunc(d time.Duration, f func()) *Timer {
	l.timers.seq++
	t := &Timer{at: l.Now() + d, seq: l.timers.seq, f: f, loop: l}
	heap.Push(&l.timers, t)
	return t
}

// Due is when it is due, or was.
func (t *Timer) Due() time.Duration { return t.at }

// Stop forgets the call; it may be called on nil and again.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// RunOnce does what has come and what is due, and calls after behind it, until nothing is left to do now. It returns when the
// next timer is due, 0 = there is none.
func (l *Loop) RunOnce(after func()) (next time.Duration) {
	var spare []func()
	for {
		spare = l.round(spare)
		after()
		l.mu.Lock()
		more := len(l.queue)+len(l.urgent) > 0
		l.mu.Unlock()
		switch {
		case more:
		case len(l.timers.heap) == 0:
			return 0
		case l.timers.heap[0].at > l.Now():
			return l.timers.heap[0].at
		}
	}
}

// round does what has come, then what is due. It returns room for the next one.
func (l *Loop) round(spare []func()) []func() {
	l.mu.Lock()
	batch := l.queue
	l.queue = spare[:0]
	l.mu.Unlock()
	for i, f := range batch {
		batch[i] = nil
		l.press()
		f()
	}
	for now := l.Now(); len(l.timers.heap) > 0 && l.timers.heap[0].at <= now; {
		t := heap.Pop(&l.timers).(*Timer)
		l.press()
		t.f()
	}
	l.press()
	return batch
}

// Run works until Stop. It calls after each time all that had come is done.
func (l *Loop) Run(after func()) {
	var spare []func()
	idle := time.NewTimer(time.Hour)
	defer idle.Stop()
	for {
		spare = l.round(spare)
		after()
		l.mu.Lock()
		more, stopped := len(l.queue)+len(l.urgent) > 0, l.stopped
		l.mu.Unlock()
		if stopped {
			return
		}
		if more {
			continue
		}
		wait := time.Hour
		if len(l.timers.heap) > 0 {
			wait = max(0, l.timers.heap[0].at-l.Now())
		}
		idle.Reset(wait)
		select {
		case <-l.wake:
		case <-idle.C:
		}
	}
}

type timers struct {
	heap []*Timer
	seq  uint64
}

func (t *timers) Len() int { return len(t.heap) }
func (t *timers) Less(i, j int) bool {
	a, b := t.heap[i], t.heap[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (t *timers) Swap(i, j int) {
	t.heap[i], t.heap[j] = t.heap[j], t.heap[i]
	t.heap[i].index, t.heap[j].index = i, j
}

func (t *timers) Push(x any) {
	e := x.(*Timer)
	e.index = len(t.heap)
	t.heap = append(t.heap, e)
}

func (t *timers) Pop() any {
	n := len(t.heap) - 1
	e := t.heap[n]
	t.heap[n] = nil
	t.heap = t.heap[:n]
	e.index = -1
	return e
}
