package audit

import "time"

// Recorder numbers what is recorded. It belongs to the loop's goroutine; recording is a few writes to memory, never a
// system call. Whoever sends takes from its Queue at its own pace.
type Recorder struct {
	policy *Policy
	queue  *Queue
	now    func() time.Time
	seq    uint64
	ended  bool
}

// NewRecorder returns a Recorder on queue. now is the wall clock: it may step, the numbers do not.
func NewRecorder(p *Policy, q *Queue, now func() time.Time) *Recorder {
	return &Recorder{policy: p, queue: q, now: now}
}

// Record takes an event. What the policy takes gets the next number, whether there is room for it or not: a number that
// a collector does not have was lost, never left out.
func (r *Recorder) Record(e Event) {
	if r.ended || !r.policy.Takes(e) {
		return
	}
	r.push(e)
}

func (r *Recorder) push(e Event) {
	r.seq++
	r.queue.Push(Record{Seq: r.seq, At: r.now(), Event: e})
}

// Tick tells of losses, once there is room; it is called now and then.
func (r *Recorder) Tick() {
	if d, lost := r.queue.Lost(false); lost && !r.ended {
		r.push(d)
	}
}

// End records the end; nothing is recorded behind it.
func (r *Recorder) End(e End) {
	if r.ended {
		return
	}
	if d, lost := r.queue.Lost(true); lost {
		r.push(d)
	}
	r.push(e)
	r.ended = true
}

// Rule sets new rules.
func (r *Recorder) Rule(p *Policy) { r.policy = p }

// Numbers is how many numbers were given.
func (r *Recorder) Numbers() uint64 { return r.seq }
