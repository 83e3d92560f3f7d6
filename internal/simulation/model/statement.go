package model

import (
	"container/heap"
	"time"
)

// Outcome is the result of a statement.
type Outcome uint8

// The outcomes. A statement with the outcome QueueFull, ReadOnly, TooStale or Expired never ran, except for statements
// that were on an endpoint while it hung or lost the primary role.
const (
	Served       Outcome = iota
	QueueFull            // all slots and the queue were full
	ReadOnly             // a write, and the endpoint isn't the primary
	TooStale             // the endpoint's position is below the statement's MinPosition
	Failed               // the statement ended in an error
	Disconnected         // the endpoint went down
	Cancelled
	Expired // its deadline had passed before it ran
)

// notRunning is the index of a statement that is queued or has ended.
const notRunning = -1

// Statement is a statement to be submitted to an endpoint.
type Statement struct {
	Work        time.Duration // on a core of Speed 1
	Write       bool
	BlocksApply bool          // a replica applies no commits while the statement runs
	MinPosition time.Duration // the lowest position of a replica that may run the statement; 0 = any
	Deadline    time.Duration // when the client gives up; 0 = never

	// Done is called once, when the statement has ended, with the position and the role of the endpoint. position is 0
	// for statements that were disconnected, cancelled or expired, and primary is false for disconnected ones.
	Done func(outcome Outcome, position time.Duration, primary bool)

	completion float64 // the endpoint's progress at which the statement is complete
	index      int     // in the heap of running statements, or notRunning
	endpoint   *Endpoint
}

// Submit submits a statement to the endpoint. The statement is queued while the endpoint hangs.
func (e *Endpoint) Submit(statement *Statement) {
	statement.endpoint = e
	statement.index = notRunning
	if e.state == Down {
		statement.Done(Disconnected, 0, false)
		return
	}
	if outcome, rejected := e.reject(statement); rejected {
		if outcome == QueueFull {
			e.countOffered(statement.Work)
		}
		statement.Done(outcome, e.Position(), e.IsPrimary())
		return
	}
	e.countOffered(statement.Work)
	e.advance()
	if e.state == Up && len(e.running) < e.Spec.Slots {
		e.run(statement)
	} else {
		e.queue = append(e.queue, statement)
	}
	e.scheduleCompletion()
}

// reject reports whether the endpoint rejects a statement immediately, and with which outcome. An endpoint that hangs
// rejects nothing.
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

// tooStaleFor reports whether the endpoint is a replica whose position is below the statement's MinPosition.
func (e *Endpoint) tooStaleFor(statement *Statement) bool {
	return statement.MinPosition > e.Position() && !e.IsPrimary()
}

// run starts the statement in a free slot.
func (e *Endpoint) run(statement *Statement) {
	statement.completion = e.progress + statement.Work.Seconds()
	heap.Push(&e.running, statement)
	if statement.BlocksApply && !e.IsPrimary() {
		e.replica.blocked++
	}
}

// runQueued starts queued statements while slots are free.
func (e *Endpoint) runQueued() {
	for len(e.queue) > 0 && len(e.running) < e.Spec.Slots {
		statement := e.queue[0]
		e.queue[0] = nil // the slice's array must not keep the statement reachable
		e.queue = e.queue[1:]
		if e.Spec.DropsExpired && statement.expired(e.now()) {
			statement.Done(Expired, 0, e.IsPrimary())
			continue
		}
		e.run(statement)
	}
}

func (s *Statement) expired(now time.Duration) bool { return s.Deadline > 0 && now >= s.Deadline }

// finish ends a statement whose work is done.
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

// outcomeOf returns the outcome of a statement whose work is done. It checks the endpoint's role and position again
// because the statement may have been submitted while the endpoint hung, or while it was the primary.
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

// Cancel cancels a statement that is queued, or running if Spec.CancelsRunning is set. Otherwise it does nothing.
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

// SetErrorShare sets the share of statements that end in an error.
func (e *Endpoint) SetErrorShare(share float64) { e.Spec.ErrorShare = share }

// runningStatements implements heap.Interface. The first element is the statement that completes next.
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
