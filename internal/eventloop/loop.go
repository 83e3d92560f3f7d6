// Package eventloop runs the one goroutine that owns the state of requests and connections. Other goroutines hand it
// functions; it owns the clock and all timers. It never blocks, and knows nothing of what the functions do.
package eventloop

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxIdle is how long Run waits where nothing is due.
const maxIdle = time.Hour

// Loop calls functions one after the other, in the order of Post, and timers when they are due. Run, or RunOnce, is the
// goroutine of the loop; Post, PostUrgent, Now and Stop may be called from any goroutine.
type Loop struct {
	startTime time.Time            // its monotonic part is the program's one clock
	clock     func() time.Duration // used in its place, nil = none
	wake      chan struct{}
	timers    timerHeap // belongs to the goroutine of the loop

	mutex   sync.Mutex // guards what follows
	queue   []func()
	urgent  []func()
	stopped bool // written by the loop itself

	hasUrgent atomic.Bool // urgent is not empty
}

// New reads the system's clock once; Now goes on from there without steps.
func New() *Loop {
	return &Loop{startTime: time.Now(), wake: make(chan struct{}, 1)}
}

// NewWithClock returns a Loop that goes by another clock. Nothing runs it but RunOnce: it is for simulations in virtual
// time.
func NewWithClock(clock func() time.Duration) *Loop {
	return &Loop{clock: clock, wake: make(chan struct{}, 1)}
}

// Now is the time since the Unix epoch on the monotonic clock.
func (l *Loop) Now() time.Duration {
	if l.clock != nil {
		return l.clock()
	}
	return time.Duration(l.startTime.UnixNano()) + time.Since(l.startTime)
}

// Post hands a function to the loop; any goroutine may call it.
func (l *Loop) Post(f func()) {
	l.mutex.Lock()
	l.queue = append(l.queue, f)
	l.mutex.Unlock()
	l.signal()
}

// PostUrgent hands the loop a function that does not wait for what Post has queued; any goroutine may call it. With a
// full queue an ordinary turn may be seconds away, and operators must not wait for the load that they want to end.
func (l *Loop) PostUrgent(f func()) {
	l.mutex.Lock()
	l.urgent = append(l.urgent, f)
	l.hasUrgent.Store(true)
	l.mutex.Unlock()
	l.signal()
}

// signal wakes Run.
func (l *Loop) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// runUrgent calls the urgent functions; it is called between any two other functions.
func (l *Loop) runUrgent() {
	for l.hasUrgent.Load() {
		l.mutex.Lock()
		batch := l.urgent
		l.urgent = nil
		l.hasUrgent.Store(false)
		l.mutex.Unlock()
		for _, f := range batch {
			f()
		}
	}
}

// Stop ends Run once the functions in hand are done; any goroutine may call it.
func (l *Loop) Stop() {
	l.Post(func() { l.stopped = true })
}

// RunOnce calls the functions that were posted and the timers that are due, and afterStep behind them, until nothing is
// left to do now. It returns when the next timer is due, 0 = there is none.
func (l *Loop) RunOnce(afterStep func()) (next time.Duration) {
	var spare []func()
	for {
		spare = l.runQueued(spare)
		afterStep()
		more, _ := l.state()
		if more {
			continue
		}
		due, ok := l.timers.next()
		if !ok {
			return 0
		}
		if due > l.Now() {
			return due
		}
	}
}

// runQueued calls the functions that were posted, then the timers that are due. It returns a slice to be used for the
// next queue.
func (l *Loop) runQueued(spare []func()) []func() {
	l.mutex.Lock()
	batch := l.queue
	l.queue = spare[:0]
	l.mutex.Unlock()
	for i, f := range batch {
		batch[i] = nil
		l.runUrgent()
		f()
	}
	now := l.Now()
	for l.timers.isDue(now) {
		t := l.timers.take()
		l.runUrgent()
		t.callback()
	}
	l.runUrgent()
	return batch
}

// state reports whether functions wait to be called, and whether the loop was stopped.
func (l *Loop) state() (more, stopped bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.queue)+len(l.urgent) > 0, l.stopped
}

// Run works until Stop. It calls afterStep each time all that had come is done.
func (l *Loop) Run(afterStep func()) {
	var spare []func()
	idle := time.NewTimer(maxIdle)
	defer idle.Stop()
	for {
		spare = l.runQueued(spare)
		afterStep()
		more, stopped := l.state()
		if stopped {
			return
		}
		if more {
			continue
		}
		idle.Reset(l.untilNextTimer())
		select {
		case <-l.wake:
		case <-idle.C:
		}
	}
}

// untilNextTimer is how long Run may wait.
func (l *Loop) untilNextTimer() time.Duration {
	due, ok := l.timers.next()
	if !ok {
		return maxIdle
	}
	return max(0, due-l.Now())
}
