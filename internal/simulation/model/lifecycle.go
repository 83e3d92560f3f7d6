package model

import (
	"slices"
	"time"
)

// Kill takes the endpoint down and breaks all of its statements and connections. The endpoint restarts with cold caches
// after restartDelay; 0 = never.
func (e *Endpoint) Kill(cause string, restartDelay time.Duration) {
	if e.state == Down {
		return
	}
	e.advance()
	e.replica.goDown(e)
	e.state = Down
	e.cause = cause
	e.epoch++
	e.connections = 0
	e.overload.reset()
	e.nextCompletion.Stop()
	e.slowStart.tick.Stop()
	broken := slices.Concat([]*Statement(e.running), e.queue)
	e.running = nil
	e.queue = nil
	e.world.notifyWatchers(e)
	e.Group.failOverIfPrimary(e)
	for _, statement := range broken {
		statement.index = notRunning
		statement.Done(Disconnected, 0, false)
	}
	if restartDelay > 0 {
		e.world.Clock.After(restartDelay, e.Start)
	}
}

// Start restarts an endpoint that is down. Its caches are cold and its replica lags behind the primary.
func (e *Endpoint) Start() {
	if e.state != Down || e.removed {
		return
	}
	e.state = Up
	e.cause = ""
	e.draining = false
	now := e.now()
	e.slowStart.active = true
	e.slowStart.startedAt = now
	e.slowStart.work = 0
	e.advancedAt = now
	e.warmUp()
	e.replica.restart(e)
	e.world.notifyWatchers(e)
}

// Hang makes the endpoint stop all work and answer nothing, while its connections stay open. It resumes after length;
// 0 = not until Resume is called.
func (e *Endpoint) Hang(length time.Duration) {
	if e.state != Up {
		return
	}
	e.advance()
	e.state = Hung
	e.cause = "hangs"
	e.nextCompletion.Stop()
	e.nextCompletion = nil
	e.world.notifyWatchers(e)
	e.Group.failOverIfPrimary(e)
	if length > 0 {
		e.world.Clock.After(length, e.Resume)
	}
}

// Resume makes an endpoint that hangs continue its statements, including those submitted during the hang.
func (e *Endpoint) Resume() {
	if e.state != Hung {
		return
	}
	e.state = Up
	e.cause = ""
	e.advancedAt = e.now()
	e.replica.unblock(e)
	e.runQueued()
	e.scheduleCompletion()
	e.world.notifyWatchers(e)
}

// Drain announces that the endpoint will leave. If it is a primary, a switchover starts.
func (e *Endpoint) Drain() {
	if e.draining || e.state == Down {
		return
	}
	e.draining = true
	e.world.notifyWatchers(e)
	e.Group.switchOverIfPrimary(e)
}

// Reserve makes the endpoint a spare, which is down and unlisted until it joins. It must be called before any Watch
// of the world.
func (e *Endpoint) Reserve() {
	e.state = Down
	e.removed = true
	e.cause = "spare, not joined yet"
}

// Join starts a spare with cold caches and a copy of everything that its group has committed.
func (e *Endpoint) Join() {
	if !e.removed || e.state != Down {
		return
	}
	e.removed = false
	e.replica.copyLog(e.Group)
	e.Start()
}

// Remove takes the endpoint down permanently.
func (e *Endpoint) Remove() {
	e.removed = true
	e.Kill("removed", 0)
	e.world.notifyWatchers(e)
}
