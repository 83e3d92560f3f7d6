package model

import (
	"slices"
	"time"
)

// Kill takes the endpoint down with all of its statements and connections. It restarts, cold, after a delay; 0 =
// never.
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
	e.world.changed(e)
	e.Group.primaryLost(e)
	for _, statement := range broken {
		statement.index = notRunning
		statement.Done(Disconnected, 0, false)
	}
	if restartDelay > 0 {
		e.world.Clock.After(restartDelay, e.Start)
	}
}

// Start restarts an endpoint that is down, with cold caches and behind its primary.
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
	e.world.changed(e)
}

// Hang stops the endpoint from doing and answering anything, while its connections stay open. It resumes after a
// time; 0 = never by itself.
func (e *Endpoint) Hang(length time.Duration) {
	if e.state != Up {
		return
	}
	e.advance()
	e.state = Hung
	e.cause = "hangs"
	e.nextCompletion.Stop()
	e.nextCompletion = nil
	e.world.changed(e)
	e.Group.primaryLost(e)
	if length > 0 {
		e.world.Clock.After(length, e.Resume)
	}
}

// Resume lets an endpoint that hangs go on with what it has, and with what was submitted meanwhile.
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
	e.world.changed(e)
}

// Drain announces that the endpoint will leave. A primary hands its role over.
func (e *Endpoint) Drain() {
	if e.draining || e.state == Down {
		return
	}
	e.draining = true
	e.world.changed(e)
	e.Group.primaryDraining(e)
}

// Reserve makes the endpoint a spare, which isn't there until it joins. It is called before anything watches the
// world.
func (e *Endpoint) Reserve() {
	e.state = Down
	e.removed = true
	e.cause = "not there yet"
}

// Join starts a spare, cold, with a copy of what its group has committed.
func (e *Endpoint) Join() {
	if !e.removed || e.state != Down {
		return
	}
	e.removed = false
	e.replica.copyLog(e.Group)
	e.Start()
}

// Remove takes the endpoint down for good.
func (e *Endpoint) Remove() {
	e.removed = true
	e.Kill("removed", 0)
	e.world.changed(e)
}
