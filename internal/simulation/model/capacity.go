package model

import (
	"container/heap"
	"time"

	"limeladder/internal/simulation/event"
)

// slowStartTick is how often completions are rescheduled for the growing capacity of an endpoint that is warming up.
const slowStartTick = 50 * time.Millisecond

// completionTolerance is how much work, in core-seconds, a statement may still lack when it counts as complete. It
// absorbs rounding.
const completionTolerance = 1e-9

// slowStart is the warm-up of an endpoint after a start with cold caches.
type slowStart struct {
	active    bool
	startedAt time.Duration
	work      float64 // done since the start, in core-seconds
	tick      *event.Event
}

// SlowStartFactor returns the share of its full capacity that the endpoint currently has.
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

// Capacity returns the work that the endpoint can currently do per second, in core-seconds.
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

// statementRate returns the work per second that is done for each running statement, in core-seconds. The statements
// share the cores, and one statement uses at most one core.
func (e *Endpoint) statementRate() float64 {
	statements := float64(len(e.running))
	if statements == 0 || e.state != Up {
		return 0
	}
	cores := float64(e.Spec.Cores)
	loss := e.Spec.ContentionLoss * max(0, statements/cores-e.Spec.ContentionThreshold)
	return e.Capacity() / (1 + loss) / max(statements, cores)
}

// timeOnCore returns how long an amount of work takes if it shares the cores with the running statements but doesn't
// need a slot.
func (e *Endpoint) timeOnCore(work time.Duration) time.Duration {
	rate := max(0.01, e.Capacity()/float64(max(e.Spec.Cores, len(e.running)+1)))
	return time.Duration(work.Seconds() / rate * 1e9)
}

// advance accounts for the work done since the last call. It must be called before any value changes that
// statementRate depends on.
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

// scheduleCompletion schedules the next completion of a statement. It must be called after any value has changed that
// statementRate depends on.
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

// complete finishes the statements whose work is done, and starts queued ones.
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

// warmUp reschedules completions for the present capacity, and schedules itself again until the endpoint is warm.
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

// SetSpeedFactor reduces the endpoint to a share of its speed, as other load on its host would.
func (e *Endpoint) SetSpeedFactor(factor float64) {
	e.advance()
	e.speedFactor = factor
	e.scheduleCompletion()
}
