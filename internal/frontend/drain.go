package frontend

import "time"

// drainState describes why and how connections are being closed.
type drainState struct {
	shuttingDown bool // the process is about to end
	graceful     bool // another process continues to serve, so there is time to let each client finish
	byOperator   bool // an operator has drained the router

	closesIdle      bool // connections without a request in flight are closed too
	closesIdleSince time.Duration

	unitsEndAt time.Duration // open units of work are ended with an error from then on, 0 = they are not
}

// begun reports whether clients have to move to another router.
func (d *drainState) begun() bool { return d.byOperator || d.shuttingDown }

// closesAfterIdleTime reports whether connections without a request are closed after DrainedIdle.
func (d *drainState) closesAfterIdleTime() bool { return d.byOperator || d.graceful }

// SetDrained starts or ends a drain by an operator: the readiness check fails, new connections are still served, and
// each connection is closed immediately after a response, or after it has been idle for DrainedIdle. A close at any
// other moment might coincide with a request that the client is sending.
func (f *Frontend) SetDrained(on bool) {
	f.drain.byOperator = on
	f.sweepSoon()
}

// Shutdown closes each connection as soon as it is between requests, because the process is about to exit. New
// connections are still served. A graceful shutdown closes connections immediately after responses, and idle ones only
// after DrainedIdle: a close at any other moment might coincide with a request that the client is sending.
func (f *Frontend) Shutdown(graceful bool) {
	f.drain.shuttingDown = true
	f.drain.graceful = graceful
	f.sweepSoon()
	if graceful {
		return
	}
	for c := range f.connections {
		c.closeIfDraining()
	}
}

// SetShutdownDeadline sets the time from which on units of work that are opened late are ended with an error: the
// process is about to exit, and would drop them without an answer.
func (f *Frontend) SetShutdownDeadline(at time.Duration) { f.drain.unitsEndAt = at }

// endLateUnits ends the units of work that are open after the shutdown deadline.
func (f *Frontend) endLateUnits(now time.Duration) {
	if f.drain.unitsEndAt > 0 && now >= f.drain.unitsEndAt {
		f.EndOpenUnits()
	}
}

// EndOpenUnits ends the units of work that are open with an error. Nothing of them has run: a request of a unit that is
// in flight is answered by the router before its connection ends.
func (f *Frontend) EndOpenUnits() {
	for c := range f.connections {
		if !c.owesResponse() && !c.handler.Idle() {
			c.closeWithError(errShuttingDown)
		}
	}
}

// CloseIdleConnections also closes the connections that have not sent a request; requests in flight still get their
// responses. A new connection may still send its first command, and an incomplete message may become complete, within
// UnusedIdle: a close would lose them. An open unit of work may be completed until the shutdown deadline: it may hold a
// request that the client has sent and that waits for the end of its unit.
func (f *Frontend) CloseIdleConnections() {
	f.drain.closesIdle = true
	f.drain.closesIdleSince = f.eventLoop.Now()
	f.closeIdle()
}

func (f *Frontend) closeIdle() {
	now := f.eventLoop.Now()
	expired := now-f.drain.closesIdleSince > f.limits.Frontend.UnusedIdle
	for c := range f.connections {
		if c.owesResponse() || !c.handler.Idle() {
			continue
		}
		if expired || !c.requestMayArrive(now) {
			c.Close()
		}
	}
}

// closeDrained closes the connections that a drain finds idle.
func (f *Frontend) closeDrained(now time.Duration) {
	for c := range f.connections {
		switch {
		case f.drain.closesAfterIdleTime() && c.idleWhileDrained(now):
			c.Close()
		case f.drain.shuttingDown && !f.drain.graceful:
			c.closeIfDraining()
		}
	}
}

// idleWhileDrained reports whether the connection has been idle for DrainedIdle.
func (c *Conn) idleWhileDrained(now time.Duration) bool {
	idle := c.frontend.limits.Frontend.DrainedIdle
	return now-c.lifetime.openedAt > idle && c.evictable(now, idle)
}

// closeIfDraining closes a connection that is between requests if a drain has begun. A new connection keeps the chance
// to send its first command: most clients send it immediately, and it would arrive at a closed connection.
func (c *Conn) closeIfDraining() {
	if !c.frontend.drain.begun() || !c.fullyAnswered() {
		return
	}
	if c.firstCommandMayArrive(c.frontend.eventLoop.Now()) || !c.socket.HasNothingToReport() {
		return
	}
	c.Close()
}

// IsDelivering reports whether a part of a response has been sent, or is ready to be sent, and the rest has not been
// accepted by the system yet.
func (f *Frontend) IsDelivering() bool {
	for c := range f.connections {
		if c.streamsResponse() || c.socket.BytesUnsent() > 0 || c.pipeline.hasAnswered() {
			return true
		}
	}
	return false
}

// fullyAnswered reports whether the session was started and everything that the client sent was answered.
func (c *Conn) fullyAnswered() bool {
	if !c.lifetime.started || c.lifetime.closed {
		return false
	}
	return !c.owesResponse() && c.input.reader.Buffered() == 0 && c.handler.Idle()
}

// firstCommandMayArrive reports whether the client has not sent a command yet and still has time to.
func (c *Conn) firstCommandMayArrive(now time.Duration) bool {
	return !c.lifetime.commandSeen && now-c.lifetime.openedAt <= c.frontend.limits.Frontend.UnusedIdle
}

// requestMayArrive reports whether a request may still arrive, or has arrived in part.
func (c *Conn) requestMayArrive(now time.Duration) bool {
	return c.firstCommandMayArrive(now) || c.input.reader.Buffered() > 0 || !c.socket.HasNothingToReport()
}
