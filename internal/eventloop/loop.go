// Package eventloop runs the single goroutine that owns the state of requests and connections. Other goroutines post
// functions to it. The package owns the clock and all timers. It never blocks, and does not depend on what the posted
// functions do.
package eventloop

import (
	"sync"
	"sync/atomic"
	"time"
)

// maxBatchTime is how long posted functions may take before those that were posted meanwhile go before the timers.
const maxBatchTime = time.Millisecond

// maxIdle is how long Run waits when no timer is pending.
const maxIdle = time.Hour

// Loop calls posted functions one after the other, in the order in which they were posted, and timers when they are
// due. The goroutine that calls Run or RunOnce is the loop's goroutine. Post, PostUrgent, Now and Stop may be called
// from any goroutine.
type Loop struct {
	startTime time.Time            // its monotonic reading is the clock of the whole process
	clock     func() time.Duration // replaces the system's clock, nil = the system's clock is used
	wake      chan struct{}
	timers    timerHeap // used on the loop's goroutine only

	mutex      sync.Mutex // guards the fields below
	queue      []func()
	urgent     []func()
	background []func()
	stopped    bool // written on the loop's goroutine

	hasUrgent atomic.Bool // whether urgent is not empty
}

// New returns a Loop on the system's clock. It reads the wall clock once; Now continues from there on the monotonic
// clock, without jumps.
func New() *Loop {
	return &Loop{startTime: time.Now(), wake: make(chan struct{}, 1)}
}

// NewWithClock returns a Loop that uses the given clock. It is for simulations in virtual time and must be run with
// RunOnce.
func NewWithClock(clock func() time.Duration) *Loop {
	return &Loop{clock: clock, wake: make(chan struct{}, 1)}
}

// Now returns the time since the Unix epoch, on the monotonic clock or the clock given to NewWithClock.
func (l *Loop) Now() time.Duration {
	if l.clock != nil {
		return l.clock()
	}
	return time.Duration(l.startTime.UnixNano()) + time.Since(l.startTime)
}

// Post queues a function to be called in the loop. Any goroutine may call it.
func (l *Loop) Post(f func()) {
	l.mutex.Lock()
	l.queue = append(l.queue, f)
	l.mutex.Unlock()
	l.signal()
}

// PostUrgent queues a function to be called before those queued by Post. Any goroutine may call it. With a long queue,
// a function queued by Post may wait for seconds, and operators must not wait behind the load that they want to stop.
func (l *Loop) PostUrgent(f func()) {
	l.mutex.Lock()
	l.urgent = append(l.urgent, f)
	l.hasUrgent.Store(true)
	l.mutex.Unlock()
	l.signal()
}

// PostBackground queues a function behind all those of Post: one of them is called each time all that was queued by
// Post has been called. It is for the continuation of work that one peer can make arbitrarily long, so that others do
// not wait for it. Any goroutine may call it.
func (l *Loop) PostBackground(f func()) {
	l.mutex.Lock()
	l.background = append(l.background, f)
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

// runUrgent calls the urgent functions. The loop calls it before each other function.
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

// Stop ends Run once the functions that were posted before it have run. Any goroutine may call it.
func (l *Loop) Stop() {
	l.Post(func() { l.stopped = true })
}

// RunOnce calls the posted functions and the due timers, and then afterStep, and repeats that until nothing is left to
// do now. It returns the time at which the next timer is due, 0 if there is none.
func (l *Loop) RunOnce(afterStep func()) (next time.Duration) {
	var spare []func()
	for {
		spare = l.runQueued(spare)
		afterStep()
		more, _ := l.pendingAndStopped()
		if more {
			continue
		}
		due, ok := l.timers.firstDue()
		if !ok {
			return 0
		}
		if due > l.Now() {
			return due
		}
	}
}

// runQueued calls the posted functions, then the due timers. The slice spare is reused for the new queue; the slice
// returned is the spare one for the next call.
func (l *Loop) runQueued(spare []func()) []func() {
	startedAt := l.Now()
	batch := l.runBatch(spare)
	now := l.Now()
	if now-startedAt > maxBatchTime && l.timers.isDue(now) {
		// What has come while the loop was busy goes first: a timer must not find that nothing has come from a peer.
		batch = l.runBatch(batch)
	}
	for l.timers.isDue(now) {
		t := l.timers.popFirst()
		l.runUrgent()
		t.callback()
	}
	l.runUrgent()
	l.runBackground()
	return batch
}

// runBatch calls the functions that have been posted, and returns their slice to be reused.
func (l *Loop) runBatch(spare []func()) []func() {
	l.mutex.Lock()
	batch := l.queue
	l.queue = spare[:0]
	l.mutex.Unlock()
	for i, f := range batch {
		batch[i] = nil
		l.runUrgent()
		f()
	}
	return batch
}

// runBackground calls the background function that was queued first, if there is one.
func (l *Loop) runBackground() {
	l.mutex.Lock()
	var next func()
	if len(l.background) > 0 {
		next = l.background[0]
		l.background[0] = nil
		l.background = l.background[1:]
	}
	l.mutex.Unlock()
	if next != nil {
		next()
	}
}

// pendingAndStopped reports whether posted functions are pending, and whether the loop was stopped.
func (l *Loop) pendingAndStopped() (more, stopped bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.queue)+len(l.urgent)+len(l.background) > 0, l.stopped
}

// Run runs the loop until Stop. It calls afterStep each time it has called the queued functions and the due timers.
func (l *Loop) Run(afterStep func()) {
	var spare []func()
	idle := time.NewTimer(maxIdle)
	defer idle.Stop()
	for {
		spare = l.runQueued(spare)
		afterStep()
		more, stopped := l.pendingAndStopped()
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

// untilNextTimer returns how long Run may wait before the next timer is due.
func (l *Loop) untilNextTimer() time.Duration {
	due, ok := l.timers.firstDue()
	if !ok {
		return maxIdle
	}
	return max(0, due-l.Now())
}
