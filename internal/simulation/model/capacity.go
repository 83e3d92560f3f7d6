package model

import (
	"container/heap"
	"time"

	"limeladder/internal/simulation/event"
)

// slowStartTick is how often the growing capacity of an endpoint that warms up is taken into account.
const slowStartTick = 50 * time.Millisecond

// completionTolerance absorbs rounding where it is decided whether a statement has got all of its work, in seconds.
const completionTolerance = 1e-9

// slowStart is the warm-up of an endpoint after a start with cold caches.
type slowStart struct {
	active    bool
	startedAt time.Duration
	work      float64 // done since the start, in seconds of a core
	tick      *event.Event
}

// SlowStartFactor returns the share of its full capacity that the endpoint has.
func (e *Endpoint) SlowStartFactor() float64 {
	if !e.slowStart.active {
		return 1
	}
	progress := 1.0
	window := e.Spec.SlowStartWindow
	if e.Spec.SlowStartByWork {
		if work := window.Seconds() * float64(e.Spec.Cores) * e.Spec.Speed; work > 0 {
			progress = e.slowStart.work / work
		}
	} else if window > 0 {
		progress = (e.now() - e.slowStart.startedAt).Seconds() / window.Seconds()
	}
	return min(1, e.Spec.SlowStartShare+(1-e.Spec.SlowStartShare)*progress)
}

// Capacity returns the work that the endpoint can do in a second now, in seconds of a core.
func (e *Endpoint) Capacity() float64 {
	if e.state != Up {
		return 0
	}
	cost := 0.0
	if e.Spec.MaxConnections > 0 {
		cost = e.Spec.ConnectionCost * float64(e.connections) / float64(e.Spec.MaxConnections)
	}
	return float64(e.Spec.Cores) * e.Spec.Speed * e.speedFactor * e.SlowStartFactor() * (1 - cost)
}

// statementRate returns the work that each running statement gets in a second. The statements share the cores, and
// one statement uses no more than one core.
func (e *Endpoint) statementRate() float64 {
	statements := float64(len(e.running))
	if statements == 0 || e.state != Up {
		return 0
	}
	cores := float64(e.Spec.Cores)
	loss := e.Spec.ContentionLoss * max(0, statements/cores-e.Spec.ContentionThreshold)
	return e.Capacity() / (1 + loss) / max(statements, cores)
}

// timeOnCore returns how long some work takes that shares the cores with the running statements without taking a
// slot.
func (e *Endpoint) timeOnCore(work time.Duration) time.Duration {
	rate := max(0.01, e.Capacity()/float64(max(e.Spec.Cores, len(e.running)+1)))
	return time.Duration(work.Seconds() / rate * 1e9)
}

// advance accounts for the work that was done until now. It is called before anything changes that the rate depends
// on.
func (e *Endpoint) advance() {
	now := e.now()
	progress := e.statementRate() * (now - e.advancedAt).Seconds()
	e.progress += progress
	work := progress * float64(len(e.running))
	e.load.work += work
	e.workDone += work
	if e.slowStart.active {
		e.slowStart.work += work
	}
	e.advancedAt = now
}

// scheduleCompletion schedules the end of the next statement. It is called after anything has changed that the rate
// depends on.
func (e *Endpoint) scheduleCompletion() {
	e.nextCompletion.Stop()
	e.nextCompletion = nil
	if len(e.running) == 0 {
		return
	}
	rate := e.statementRate()
	if rate <= 0 {
		return
	}
	seconds := max(0, (e.running[0].completion-e.progress)/rate)
	e.nextCompletion = e.world.Clock.After(time.Duration(seconds*1e9)+1, e.complete)
}

// complete ends the statements that have got all of their work, and starts queued ones.
func (e *Endpoint) complete() {
	e.nextCompletion = nil
	e.advance()
	for len(e.running) > 0 && e.running[0].completion <= e.progress+completionTolerance {
		statement := heap.Pop(&e.running).(*Statement)
		e.finish(statement)
	}
	e.runQueued()
	e.scheduleCompletion()
}

// warmUp takes the grown capacity into account, and again after a tick until the endpoint is warm.
func (e *Endpoint) warmUp() {
	e.slowStart.tick = nil
	e.advance()
	if e.SlowStartFactor() >= 1 {
		e.slowStart.active = false
	} else {
		e.slowStart.tick = e.world.Clock.After(slowStartTick, e.warmUp)
	}
	e.scheduleCompletion()
}

// SetSpeedFactor leaves the endpoint a share of its speed, as other load on its host does.
func (e *Endpoint) SetSpeedFactor(factor float64) {
	e.advance()
	e.speedFactor = factor
	e.scheduleCompletion()
}
