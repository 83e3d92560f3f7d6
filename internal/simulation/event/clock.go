package event

import "time"

// Clock holds the virtual time and the events that are still to run. Only one goroutine may use it.
type Clock struct {
	now      time.Duration
	sequence uint64 // of the event that was scheduled last
	queue    queue
	executed uint64
}

// Event is a callback that is scheduled on a Clock.
type Event struct {
	due      time.Duration
	sequence uint64 // orders events that are due at the same instant
	callback func() // nil once the event has run or was stopped
	index    int    // of the event in the queue
	clock    *Clock
}

// New returns a Clock whose virtual time is start.
func New(start time.Duration) *Clock { return &Clock{now: start} }

// Now returns the current virtual time.
func (c *Clock) Now() time.Duration { return c.now }

// Executed returns how many events have run.
func (c *Clock) Executed() uint64 { return c.executed }

// Pending returns how many events are scheduled and have not run yet.
func (c *Clock) Pending() int { return len(c.queue) }

// Next returns when the next event is due; ok is false if none is scheduled.
func (c *Clock) Next() (due time.Duration, ok bool) {
	if len(c.queue) == 0 {
		return 0, false
	}
	return c.queue[0].due, true
}

// After schedules callback for when delay has passed. A negative delay counts as zero.
func (c *Clock) After(delay time.Duration, callback func()) *Event {
	return c.At(c.now+delay, callback)
}

// At schedules callback for the virtual time due. A time in the past counts as now.
func (c *Clock) At(due time.Duration, callback func()) *Event {
	c.sequence++
	event := &Event{due: max(due, c.now), sequence: c.sequence, callback: callback, clock: c}
	c.queue.push(event)
	return event
}

// Stop removes the event from its clock. It may be called on nil, more than once, and after the event has run.
func (e *Event) Stop() {
	if e == nil || e.callback == nil {
		return
	}
	e.callback = nil
	e.clock.queue.remove(e)
}

// Run executes all events that are due at or before until, among them those that are scheduled meanwhile, and then
// sets the virtual time to until.
func (c *Clock) Run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].due <= until {
		event := c.queue[0]
		c.now = event.due
		callback := event.callback
		// The event leaves the queue first, so that a callback which stops its own event changes nothing.
		event.Stop()
		c.executed++
		callback()
	}
	c.now = max(c.now, until)
}

// before reports whether e runs before other.
func (e *Event) before(other *Event) bool {
	return e.due < other.due || e.due == other.due && e.sequence < other.sequence
}
