package frontend

import "time"

// drainState says why and how connections are being closed.
type drainState struct {
	shuttingDown bool // the process is about to end
	graceful     bool // another process serves on, so there is time to let each client finish
	byOperator   bool // an operator has drained the router

	closesIdle      bool // connections without a request are closed too
	closesIdleSince time.Duration
}

// begun reports whether clients are to go elsewhere.
func (d *drainState) begun() bool { return d.byOperator || d.shuttingDown }

// closesQuietConnections reports whether a connection without a request is closed once it was idle for a while.
func (d *drainState) closesQuietConnections() bool { return d.byOperator || d.graceful }

// SetDrained begins or ends a drain by an operator: the platform is told to send no more clients, new connections are
// served what they bring, and each connection is closed right behind a response, or when it has been idle for a
// while. A close at any other moment may cross a request.
func (f *Frontend) SetDrained(on bool) {
	f.drain.byOperator = on
	f.hastenSweep()
}

// Shutdown closes each connection as soon as it is between requests, because the process ends. New connections are
// served what they bring. A graceful drain closes right behind responses, and idle connections only once they were
// quiet for a while: a close at any other moment may cross a request.
func (f *Frontend) Shutdown(graceful bool) {
	f.drain.shuttingDown = true
	f.drain.graceful = graceful
	f.hastenSweep()
	if graceful {
		return
	}
	for c := range f.connections {
		c.closeIfDraining()
	}
}

// CloseIdleConnections closes also the connections that have not sent a request; requests in flight still get their
// responses. A connection that has only just come may bring its first command, and a message that has come in part
// may become complete, within UnusedIdle: a close would cross it.
func (f *Frontend) CloseIdleConnections() {
	f.drain.closesIdle = true
	f.drain.closesIdleSince = f.eventLoop.Now()
	f.closeIdle()
}

func (f *Frontend) closeIdle() {
	now := f.eventLoop.Now()
	expired := now-f.drain.closesIdleSince > f.limits.Frontend.UnusedIdle
	for c := range f.connections {
		if c.owesResponse() {
			continue
		}
		if expired || !c.mayBringRequest(now) {
			c.Close()
		}
	}
}

// closeDrained closes the connections that a drain has found idle.
func (f *Frontend) closeDrained(now time.Duration) {
	for c := range f.connections {
		switch {
		case f.drain.closesQuietConnections() && c.idleWhileDrained(now):
			c.Close()
		case f.drain.shuttingDown && !f.drain.graceful:
			c.closeIfDraining()
		}
	}
}

// idleWhileDrained reports whether the connection was idle for as long as a drain waits.
func (c *Conn) idleWhileDrained(now time.Duration) bool {
	idle := c.frontend.limits.Frontend.DrainedIdle
	return now-c.lifetime.openedAt > idle && c.evictable(now, idle)
}

// closeIfDraining closes a connection that is between requests while clients are to go elsewhere. One that has only
// just come is left to bring its first command: usual clients send it at once, and the close would cross it.
func (c *Conn) closeIfDraining() {
	if !c.frontend.drain.begun() || !c.atRest() {
		return
	}
	if c.mayBringFirstCommand(c.frontend.eventLoop.Now()) || !c.socket.HasNothingToReport() {
		return
	}
	c.Close()
}

// atRest reports whether the session was started and everything that the client sent was answered.
func (c *Conn) atRest() bool {
	if !c.lifetime.started || c.lifetime.closed {
		return false
	}
	return !c.owesResponse() && c.input.reader.Waiting() == 0 && c.handler.Idle()
}

// mayBringFirstCommand reports whether a client has sent no command yet and still has time for it.
func (c *Conn) mayBringFirstCommand(now time.Duration) bool {
	return !c.lifetime.commandSeen && now-c.lifetime.openedAt <= c.frontend.limits.Frontend.UnusedIdle
}

// mayBringRequest reports whether a request may be on its way, or has come in part.
func (c *Conn) mayBringRequest(now time.Duration) bool {
	return c.mayBringFirstCommand(now) || c.input.reader.Waiting() > 0 || !c.socket.HasNothingToReport()
}
