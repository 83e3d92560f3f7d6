package audit

import "time"

// Recorder numbers the selected events and queues them as records. Only the event loop's goroutine may use it:
// recording is a few writes to memory, never a system call. The Shipper takes the records from the Queue at its own
// pace.
type Recorder struct {
	policy     *Policy
	queue      *Queue
	now        func() time.Time
	lastNumber uint64
	ended      bool
}

// NewRecorder returns a Recorder that adds records to queue. now is the wall clock, which may step back; the numbers of
// the records always increase.
func NewRecorder(policy *Policy, queue *Queue, now func() time.Time) *Recorder {
	return &Recorder{policy: policy, queue: queue, now: now}
}

// Record records an event if the policy selects it. The record gets the next number whether or not the queue has room
// for it, so a number that a collector lacks always belongs to a record that was dropped.
func (r *Recorder) Record(event Event) {
	if r.ended || !r.policy.Selects(event) {
		return
	}
	r.push(event)
}

// push queues an event as a record with the next number.
func (r *Recorder) push(event Event) {
	r.lastNumber++
	r.queue.Push(Record{Seq: r.lastNumber, Time: r.now(), Event: event})
}

// ReportDropped records how many records were dropped, once the queue has room for that record. It is called
// periodically.
func (r *Recorder) ReportDropped() {
	if losses, ok := r.queue.TakeDropped(false); ok && !r.ended {
		r.push(losses)
	}
}

// End records the end of the recording; later events are ignored.
func (r *Recorder) End(end End) {
	if r.ended {
		return
	}
	if losses, ok := r.queue.TakeDropped(true); ok {
		r.push(losses)
	}
	r.push(end)
	r.ended = true
}

// SetPolicy replaces the policy that selects the events recorded from then on.
func (r *Recorder) SetPolicy(policy *Policy) { r.policy = policy }

// LastNumber returns the number of the newest record, which is also the count of records so far, dropped ones included.
func (r *Recorder) LastNumber() uint64 { return r.lastNumber }
