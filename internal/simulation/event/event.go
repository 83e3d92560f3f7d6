// Package event is a clock of virtual time: what is due next is done next, and of what is due together what was asked for
// first. It knows nothing of what it calls.
package event

import "time"

// Clock holds what is to come. Only one goroutine may use it.
type Clock struct {
	now  time.Duration
	seq  uint64
	heap []*Event
	done uint64
}

// Event is a call to come.
type Event struct {
	at    time.Duration
	seq   uint64
	f     func()
	index int
	clock *Clock
}

// New returns a Clock that stands at start.
func New(start time.Duration) *Clock { return &Clock{now: start} }

// Now is where it stands.
func (c *Clock) Now() time.Duration { return c.now }

// Done is how many events have been.
func (c *Clock) Done() uint64 { return c.done }

// Waiting is how many events are to come.
func (c *Clock) Waiting() int { return len(c.heap) }

// Next is when the next event is due, if there is one.
func (c *Clock) Next() (at time.Duration, ok bool) {
	if len(c.heap) == 0 {
		return 0, false
	}
	return c.heap[0].at, true
}

// After calls f once d has passed; what is in the past is due now.
func (c *Clock) After(d time.Duration, f func()) *Event { return c.At(c.now+d, f) }

// At calls f at a moment.
func (c *Clock) At(at time.Duration, f func()) *Event {
	c.seq++
	e := &Event{at: max(at, c.now), seq: c.seq, f: f, clock: c}
	c.heap = append(c.heap, e)
	c.up(len(c.heap)-1, e)
	return e
}

// Stop forgets the event; it may be called on nil, again, and behind the event.
func (e *Event) Stop() {
	if e == nil || e.f == nil {
		return
	}
	e.f = nil
	c, i := e.clock, e.index
	last := len(c.heap) - 1
	moved := c.heap[last]
	c.heap[last] = nil
	if c.heap = c.heap[:last]; i < last {
		c.up(i, moved)
		if moved.index == i {
			c.down(i, moved)
		}
	}
}

// Run does all that is due up to a moment, and stands there then.
func (c *Clock) Run(until time.Duration) {
	for len(c.heap) > 0 && c.heap[0].at <= until {
		e := c.heap[0]
		c.now = e.at
		f := e.f
		e.Stop()
		c.done++
		f()
	}
	c.now = max(c.now, until)
}

func less(a, b *Event) bool { return a.at < b.at || a.at == b.at && a.seq < b.seq }

// The heap has four children a node: it is flatter than one of two, and most of its work is comparing downwards.
func (c *Clock) up(i int, e *Event) {
	for i > 0 {
		p := (i - 1) / 4
		if !less(e, c.heap[p]) {
			break
		}
		c.heap[i] = c.heap[p]
		c.heap[i].index = i
		i = p
	}
	c.heap[i] = e
	e.index = i
}

func (c *Clock) down(i int, e *Event) {
	for {
		first := 4*i + 1
		if first >= len(c.heap) {
			break
		}
		least := first
		for k := first + 1; k < min(first+4, len(c.heap)); k++ {
			if less(c.heap[k], c.heap[least]) {
				least = k
			}
		}
		if !less(c.heap[least], e) {
			break
		}
		c.heap[i] = c.heap[least]
		c.heap[i].index = i
		i = least
	}
	c.heap[i] = e
	e.index = i
}
