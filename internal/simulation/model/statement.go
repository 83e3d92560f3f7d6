package model

import (
	"container/heap"
	"time"
)

// Outcome is how a statement ended.
type Outcome uint8

// The outcomes. A statement that ended as QueueFull, ReadOnly, TooStale or Expired never ran, but for a statement
// that was on an endpoint while that hung or lost its role.
const (
	Served       Outcome = iota
	QueueFull            // no slot and no place in the queue was free
	ReadOnly             // it writes, and the endpoint isn't the primary
	TooStale             // the endpoint hasn't applied what the statement has to see
	Failed               // an error of the statement's own
	Disconnected         // the endpoint went down
	Cancelled
	Expired // its deadline had passed before it ran
)

// notRunning is the index of a statement that is queued or has ended.
const notRunning = -1

// Statement is a statement that is submitted to an endpoint.
type Statement struct {
	Work        time.Duration // on a core that does one second of work a second
	Write       bool
	BlocksApply bool          // a replica applies nothing while it runs
	MinPosition time.Duration // the position that it has to see; 0 = none
	Deadline    time.Duration // its client gives up then; 0 = never

	// Done is called once, when the statement has ended, with the position and the role of the endpoint.
	Done func(outcome Outcome, position time.Duration, primary bool)

	completion float64 // the endpoint's progress at which it has got all of its work
	index      int     // in the heap of running statements, or notRunning
	endpoint   *Endpoint
}

// Submit hands a statement to the endpoint. While the endpoint hangs it is queued.
func (e *Endpoint) Submit(statement *Statement) {
	statement.endpoint = e
	statement.index = notRunning
	if e.state == Down {
		statement.Done(Disconnected, 0, false)
		return
	}
	if outcome, rejected := e.reject(statement); rejected {
		if outcome == QueueFull {
			e.offer(statement.Work)
		}
		statement.Done(outcome, e.Position(), e.IsPrimary())
		return
	}
	e.offer(statement.Work)
	e.advance()
	if e.state == Up && len(e.running) < e.Spec.Slots {
		e.run(statement)
	} else {
		e.queue = append(e.queue, statement)
	}
	e.scheduleCompletion()
}

// reject returns whether the endpoint rejects a statement at once, and with which outcome. One that hangs rejects
// nothing.
func (e *Endpoint) reject(statement *Statement) (outcome Outcome, rejected bool) {
	switch {
	case e.state != Up:
		return Served, false
	case statement.Write && !e.IsPrimary():
		return ReadOnly, true
	case e.tooStaleFor(statement):
		return TooStale, true
	case len(e.running) >= e.Spec.Slots && len(e.queue) >= e.Spec.QueueCapacity:
		return QueueFull, true
	}
	return Served, false
}

// tooStaleFor reports whether the endpoint is a replica that hasn't applied what the statement has to see.
func (e *Endpoint) tooStaleFor(statement *Statement) bool {
	return statement.MinPosition > e.Position() && !e.IsPrimary()
}

// run gives the statement a slot.
func (e *Endpoint) run(statement *Statement) {
	statement.completion = e.progress + statement.Work.Seconds()
	heap.Push(&e.running, statement)
	if statement.BlocksApply && !e.IsPrimary() {
		e.replica.blocked++
	}
}

// runQueued gives free slots to queued statements.
func (e *Endpoint) runQueued() {
	for len(e.queue) > 0 && len(e.running) < e.Spec.Slots {
		statement := e.queue[0]
		e.queue[0] = nil // the array behind the slice must not keep the statement alive
		e.queue = e.queue[1:]
		if e.Spec.DropsExpired && statement.expired(e.now()) {
			statement.Done(Expired, 0, e.IsPrimary())
			continue
		}
		e.run(statement)
	}
}

func (s *Statement) expired(now time.Duration) bool { return s.Deadline > 0 && now >= s.Deadline }

// finish ends a statement that has got all of its work.
func (e *Endpoint) finish(statement *Statement) {
	e.served++
	if statement.BlocksApply {
		e.replica.unblock(e)
	}
	outcome := e.outcomeOf(statement)
	if outcome == Served && statement.Write {
		e.Group.appendCommit(e.now())
	}
	statement.Done(outcome, e.Position(), e.IsPrimary())
}

// outcomeOf decides how a statement that has got all of its work ends. The endpoint's role and position are asked for
// again because the statement may have come while the endpoint hung, or while it was the primary.
func (e *Endpoint) outcomeOf(statement *Statement) Outcome {
	switch {
	case statement.Write && !e.IsPrimary():
		return ReadOnly
	case e.tooStaleFor(statement):
		return TooStale
	case e.Spec.ErrorShare > 0 && e.world.rng.Float64() < e.Spec.ErrorShare:
		return Failed
	}
	return Served
}

// Cancel cancels a statement that is queued or, where the endpoint cancels those too, running. Otherwise it does
// nothing.
func (e *Endpoint) Cancel(statement *Statement) {
	if statement.endpoint != e {
		return
	}
	for i, queued := range e.queue {
		if queued == statement {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			statement.Done(Cancelled, 0, e.IsPrimary())
			return
		}
	}
	if statement.index == notRunning || !e.Spec.CancelsRunning || e.state != Up {
		return
	}
	e.advance()
	heap.Remove(&e.running, statement.index)
	if statement.BlocksApply {
		e.replica.unblock(e)
	}
	statement.Done(Cancelled, 0, e.IsPrimary())
	e.runQueued()
	e.scheduleCompletion()
}

// SetErrorShare sets the share of the statements that end in an error.
func (e *Endpoint) SetErrorShare(share float64) { e.Spec.ErrorShare = share }

// runningStatements is a heap, for container/heap, in which the statement that completes next is the first element.
type runningStatements []*Statement

// Len implements heap.Interface.
func (r runningStatements) Len() int { return len(r) }

// Less implements heap.Interface.
func (r runningStatements) Less(i, j int) bool { return r[i].completion < r[j].completion }

// Swap implements heap.Interface.
func (r runningStatements) Swap(i, j int) {
	r[i], r[j] = r[j], r[i]
	r[i].index = i
	r[j].index = j
}

// Push implements heap.Interface.
func (r *runningStatements) Push(x any) {
	statement := x.(*Statement)
	statement.index = len(*r)
	*r = append(*r, statement)
}

// Pop implements heap.Interface.
func (r *runningStatements) Pop() any {
	last := len(*r) - 1
	statement := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	statement.index = notRunning
	return statement
}
