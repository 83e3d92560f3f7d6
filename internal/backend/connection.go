package backend

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/transport"
)

// connection is a connection to an endpoint. It is dialed, completes its startup, and then carries one attempt at a
// time. It implements transport.Handler.
type connection struct {
	endpoint   *endpoint
	generation int             // of the endpoint when the connection was dialed
	socket     *transport.Conn // nil until the dial has succeeded
	reader     *pgwire.Reader
	dialing    bool // the system has not answered the dial yet
	started    bool // the startup is complete
	closed     bool
	attempt    *attempt // that it carries, nil = none
	idleSince  time.Duration
	paused     bool // the client takes no more of the response for now

	startupTimer  *eventloop.Timer // limits the dial and the startup
	reuseTimer    *eventloop.Timer // until it may carry the next attempt, nil = it may
	progressTimer *eventloop.Timer // limits the wait for the rest of what has begun to come

	incoming incomingResponse
}

// handleDialed takes over the socket of a dial, or its failure.
func (c *connection) handleDialed(socket *transport.Conn, err error) transport.Handler {
	c.dialing = false
	if c.closed {
		c.releaseSlot()
	}
	if err != nil || c.closed {
		if socket != nil {
			socket.Close()
		}
		c.handleDisconnect()
		return c
	}
	c.socket = socket
	if socket.Write(c.endpoint.pool.startup) != nil {
		c.handleDisconnect()
	}
	return c
}

// close closes the connection and removes it from its endpoint. The attempt that it carries is not ended.
func (c *connection) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.startupTimer.Stop()
	c.progressTimer.Stop()
	e := c.endpoint
	if c.reuseTimer != nil {
		c.reuseTimer.Stop()
		c.reuseTimer = nil
		e.reuseDelayed--
	}
	if c.socket != nil {
		c.socket.Close()
	}
	if !c.dialing {
		c.releaseSlot()
	}
	if !c.started {
		e.starting--
	}
	for i, other := range e.idle {
		if other == c {
			e.idle = append(e.idle[:i], e.idle[i+1:]...)
			break
		}
	}
}

// releaseSlot stops counting the connection, once it has no descriptor any more: a dial that is given up has one until
// the system ends it.
func (c *connection) releaseSlot() {
	c.endpoint.open--
	c.endpoint.pool.open--
}

// Closed is called when the connection has ended. It implements transport.Handler.
func (c *connection) Closed(error) { c.handleDisconnect() }

// handleDisconnect ends a connection that the router did not choose to close, and the attempts that depend on it.
func (c *connection) handleDisconnect() {
	if c.closed {
		return
	}
	c.close()
	switch {
	case c.attempt != nil:
		result := c.disconnectResult()
		c.detachAttempt().finish(result)
	case c.started:
		c.endpoint.dialForWaiting()
	default:
		c.endpoint.failWaiting(c.startupFailure())
	}
}

// disconnectResult is the result of an attempt whose connection broke.
func (c *connection) disconnectResult() router.Result {
	if c.incoming.sqlState != "" { // a fatal error comes without ReadyForQuery
		return c.result()
	}
	if !c.socket.Flushed() {
		// Its last byte was never written, which proves that it did not run.
		return router.Result{Status: balance.StatusConnectFailed}
	}
	return router.Result{Status: balance.StatusReset}
}

// startupFailure says why a connection did not complete its startup.
func (c *connection) startupFailure() balance.Status {
	if c.incoming.sqlState == pgwire.TooManyConnections {
		return balance.StatusBusy
	}
	return balance.StatusConnectFailed
}

// handleViolation gives up a connection that sent what is not a response. Nothing that it claimed is believed, and its
// attempt may have run.
func (c *connection) handleViolation(err error) {
	e := c.endpoint
	e.pool.log.Warn("endpoint violated the protocol", "endpoint", e.id, "error", err)
	if c.attempt == nil {
		c.handleDisconnect()
		return
	}
	a := c.detachAttempt()
	c.close()
	a.finish(router.Result{Status: balance.StatusError})
}

// detachAttempt separates the connection from the attempt that it carries, which must exist.
func (c *connection) detachAttempt() *attempt {
	a := c.attempt
	c.attempt = nil
	a.connection = nil
	return a
}

// delayReuse keeps the connection from carrying another attempt right after a response. Bytes that belong to the
// response and come in a later segment would be taken for the response to the next attempt; whatever comes now closes
// the connection.
func (c *connection) delayReuse() {
	c.endpoint.reuseDelayed++
	c.reuseTimer = c.endpoint.pool.loop.AfterFunc(c.endpoint.pool.limits.Backend.ReuseDelay, c.endReuseDelay)
}

func (c *connection) endReuseDelay() {
	e := c.endpoint
	c.reuseTimer = nil
	e.reuseDelayed--
	// sendOnIdle looks at the socket of an idle connection, so here it matters only where an attempt waits for it.
	if c.reader.Waiting() == 0 && (len(e.waiting) == 0 || c.socket.Quiet()) {
		c.makeAvailable()
		return
	}
	c.close()
	e.dialForWaiting()
}

// isQuiet reports whether nothing has come behind the last response, not even a part of a message or the connection's
// end.
func (c *connection) isQuiet() bool { return c.reader.Waiting() == 0 && c.socket.Quiet() }

// hasExpired reports whether the connection was idle for so long that its endpoint may have closed it.
func (c *connection) hasExpired(now time.Duration) bool {
	return now-c.idleSince > c.endpoint.pool.limits.Backend.IdleTimeout
}

// isOutdated reports whether the endpoint has moved, drained or been suspended since the connection was dialed.
func (c *connection) isOutdated() bool { return c.generation != c.endpoint.generation }

// makeAvailable gives the connection to the attempt that waits first, or keeps it idle.
func (c *connection) makeAvailable() {
	e := c.endpoint
	if c.isOutdated() {
		c.close()
		e.dialForWaiting()
		return
	}
	for len(e.waiting) > 0 {
		if c.send(e.takeWaiting()) || c.closed {
			return
		}
	}
	if !e.keepsIdle() {
		c.close()
		return
	}
	c.idleSince = e.pool.loop.Now()
	e.idle = append(e.idle, c)
}

// send writes an attempt. False means that the connection does not carry it: the attempt has ended, or the connection
// broke first and the attempt waits for another one.
func (c *connection) send(a *attempt) bool {
	now := c.endpoint.pool.loop.Now()
	if a.ended {
		return false
	}
	if a.isPointless(now) {
		a.postNotSent()
		return false
	}
	c.incoming = newIncomingResponse()
	if err := c.socket.Write(a.job.Messages(a.deadline - now)); err != nil {
		c.handleWriteFailure(a)
		return false
	}
	a.connectTimer.Stop()
	a.redialTimer.Stop()
	c.attempt = a
	a.connection = c
	return true
}

// handleWriteFailure lets an attempt wait for another connection: it was not written completely, so it did not run.
func (c *connection) handleWriteFailure(a *attempt) {
	c.close()
	if a.connectTimer == nil {
		return // sendOnIdle still has the attempt and goes on to the next connection
	}
	e := c.endpoint
	if e.suspended || c.isOutdated() {
		a.postNotSent()
		return
	}
	e.waiting = append(e.waiting, a)
	if e.pool.ensureCapacity(e) {
		e.dial()
	}
}

// setPaused stops the reading of the response, or goes on with it.
func (c *connection) setPaused(paused bool) {
	c.socket.SetPaused(paused)
	c.paused = paused
	c.resetProgressTimer()
}
