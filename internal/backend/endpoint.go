package backend

import (
	"slices"

	"limeladder/balance"
	"limeladder/internal/config"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
)

// endpoint is one PostgreSQL server, with the connections to it and the attempts that wait for one.
type endpoint struct {
	id        string
	addr      string
	pool      *Pool
	state     string // as the endpoint list names it
	suspended bool   // by an operator

	// generation counts the calls of drain. A connection that was dialed in an earlier generation carries no further
	// attempt.
	generation int

	open          int // connections, including those being dialed
	incomingBytes int // memory reserved for responses that are being received

	starting     int           // connections that have not completed their startup
	reuseDelayed int           // connections in their delay after a response
	idle         []*connection // least recently used first
	waiting      []*attempt    // attempts that wait for a connection, oldest first
}

// acceptsAttempts reports whether new attempts may be written to the endpoint.
func (e *endpoint) acceptsAttempts() bool { return e.addr != "" && !e.suspended }

// isUnused reports whether the endpoint is no longer listed and nothing refers to it any more.
func (e *endpoint) isUnused() bool {
	return e.state == config.StateRemoved && e.open == 0 && len(e.waiting) == 0
}

// canKeepIdle reports whether the endpoint may have one more idle connection.
func (e *endpoint) canKeepIdle() bool {
	if e.pool.closed || e.suspended || e.state != config.StateReady {
		return false
	}
	return len(e.idle) < e.pool.limits.Backend.IdlePerEndpoint
}

// expectedConnections returns the number of connections that will soon be available to waiting attempts.
func (e *endpoint) expectedConnections() int { return e.starting + e.reuseDelayed }

// dial opens a connection. When it is ready, it is used by the attempt that has waited longest.
func (e *endpoint) dial() *connection {
	p := e.pool
	c := &connection{
		endpoint:   e,
		generation: e.generation,
		reader:     pgwire.NewReader(p.limits.Backend.RowBytes, 0),
	}
	e.open++
	e.starting++
	p.open++
	c.dialing = true
	c.startupTimer = p.loop.AfterFunc(p.limits.Backend.ConnectTimeout, c.handleDisconnect)
	p.engine.Dial(e.addr, p.limits.Backend.ConnectTimeout, c.handleDialed)
	return c
}

// dialForWaiting opens a connection if more attempts wait than connections are expected.
func (e *endpoint) dialForWaiting() {
	if len(e.waiting) > e.expectedConnections() && e.pool.ensureCapacity(e) {
		e.dial()
	}
}

// sendOnIdle writes an attempt to the most recently used idle connection that is still usable, and reports whether it
// found one.
func (e *endpoint) sendOnIdle(a *attempt) bool {
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		if c.hasExpired(e.pool.loop.Now()) || !c.hasNoUnreadData() {
			c.close()
			continue
		}
		e.idle = e.idle[:len(e.idle)-1]
		if c.send(a) {
			return true
		}
	}
	return false
}

// enqueue adds an attempt to those that wait for a connection, for a limited time.
func (e *endpoint) enqueue(a *attempt) {
	p := e.pool
	e.waiting = append(e.waiting, a)
	timeout := p.limits.Backend.ConnectTimeout
	tooLate := false
	if remaining := a.notAfter - p.loop.Now(); a.notAfter > 0 && remaining < timeout {
		timeout = remaining
		tooLate = true // after that time it must not be written
	}
	a.connectTimer = p.loop.AfterFunc(timeout, func() {
		e.removeWaiting(a)
		status := balance.StatusConnectFailed
		if tooLate || e.starting == 0 {
			status = balance.StatusNotSent // where none is being opened, the endpoint did not refuse one
		}
		a.finish(router.Result{Status: status})
	})
	// The system retransmits a lost SYN only after 1 s, so another connection is dialed before that.
	a.redialTimer = p.loop.AfterFunc(p.limits.Backend.RedialAfter, func() {
		if p.ensureCapacity(e) {
			e.dial()
		}
	})
	e.dialForWaiting()
}

// takeWaiting removes and returns the attempt that has waited longest. There must be one.
func (e *endpoint) takeWaiting() *attempt {
	a := e.waiting[0]
	e.waiting = e.waiting[1:]
	return a
}

// removeWaiting removes an attempt from those that wait for a connection, if it is among them.
func (e *endpoint) removeWaiting(a *attempt) {
	if i := slices.Index(e.waiting, a); i >= 0 {
		e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
	}
}

// failWaiting ends the waiting attempts for which no connection is expected. No part of them was written.
func (e *endpoint) failWaiting(status balance.Status) {
	for len(e.waiting) > e.expectedConnections() {
		e.takeWaiting().finish(router.Result{Status: status})
	}
}

// drain closes idle connections and ends the attempts that wait for one as not sent. An attempt that was routed before
// the endpoint was known to drain must not reach it over a connection that comes up afterwards. Attempts that the
// balancer routes later, knowing the new state, are still accepted.
func (e *endpoint) drain() {
	e.generation++
	e.closeIdle()
	for _, a := range e.waiting {
		a.postNotSent()
	}
	e.waiting = nil
}

// closeIdle closes the connections that carry no attempt.
func (e *endpoint) closeIdle() {
	for len(e.idle) > 0 {
		e.idle[0].close()
	}
}
