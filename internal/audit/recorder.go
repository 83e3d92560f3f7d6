package audit

import "time"

// Recorder numbers what is recorded. It belongs to the event loop's goroutine: recording is a few writes to memory,
// never a system call. The Shipper takes records from the Queue at its own pace.
type Recorder struct {
	policy     *Policy
	queue      *Queue
	now        func() time.Time
	lastNumber uint64
	ended      bool
}

// NewRecorder returns a Recorder on queue. now is the wall clock: it may step back, the
// numbers never do.
func NewRecorder(policy *Policy, queue *Queue, now func() time.Time) *Recorder {
	return &Recorder{policy: policy, queue: queue, now: now}
}

// Record records an event if the policy takes it. The record gets the next number whether there is room for it or not,
// so that a number which a collector does not have was dropped, never left out.
func (r *Recorder) Record(event Event) {
	if r.ended || !r.policy.Takes(event) {
		return
	}
	r.push(event)
}

// push queues an event under the next number.
func (r *Recorder) push(event Event) {
	r.lastNumber++
	r.queue.Push(Record{Seq: r.lastNumber, Time: r.now(), Event: event})
}

// Tick records dropped records once there is room for that; it is called periodically.
func (r *Recorder) Tick() {
	if losses, ok := r.queue.Lost(false); ok && !r.ended {
		r.push(losses)
	}
}

// End records the end; nothing is recorded after it.
func (r *Recorder) End(end End) {
	if r.ended {
		return
	}
	if losses, ok := r.queue.Lost(true); ok {
		r.push(losses)
	}
	r.push(end)
	r.ended = true
}

// SetPolicy replaces the policy.
func (r *Recorder) SetPolicy(policy *Policy) { r.policy = policy }

// Numbers returns how many numbers were given.
func (r *Recorder) Numbers() uint64 { return r.lastNumber }
