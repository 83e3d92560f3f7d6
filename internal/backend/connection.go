package backend

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/transport"
)

// connection is a connection to an endpoint. After the dial and the startup it carries one attempt at a time. It
// implements transport.Handler.
type connection struct {
	endpoint   *endpoint
	generation int             // of the endpoint when the connection was dialed
	socket     *transport.Conn // nil until the dial has succeeded
	reader     *pgwire.Reader
	dialing    bool // the dial has not returned yet
	started    bool // the startup is complete
	closed     bool
	attempt    *attempt // the attempt that it carries, nil = none
	idleSince  time.Duration
	paused     bool // reading is paused because the client is slow to read the response

	startupTimer  *eventloop.Timer // limits the dial and the startup
	reuseTimer    *eventloop.Timer // ends the delay before the next attempt, nil = no delay is in progress
	progressTimer *eventloop.Timer // limits the wait for the rest of a partial message or response

	incoming      incomingResponse
	reservedBytes int // memory reserved for it
}

// handleDialed handles the result of the dial: a socket or an error.
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
	c.releaseMemory()
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

// releaseSlot stops counting the connection once it no longer has a descriptor. An abandoned dial keeps its descriptor
// until the system ends the dial.
func (c *connection) releaseSlot() {
	c.endpoint.open--
	c.endpoint.pool.open--
}

// Closed is called when the connection has ended. It implements transport.Handler.
func (c *connection) Closed(error) { c.handleDisconnect() }

// handleDisconnect closes a connection that failed or was closed by the endpoint, and ends or reassigns the attempts
// that depend on it.
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

// disconnectResult returns the result of an attempt whose connection broke.
func (c *connection) disconnectResult() router.Result {
	if c.incoming.sqlState != "" { // a fatal error is not followed by ReadyForQuery
		return c.result()
	}
	if !c.socket.Flushed() {
		// The last byte of the attempt was never written, which proves that it did not run.
		return router.Result{Status: balance.StatusConnectFailed}
	}
	return router.Result{Status: balance.StatusReset}
}

// startupFailure returns the status of attempts that waited for a connection whose startup failed.
func (c *connection) startupFailure() balance.Status {
	if c.incoming.sqlState == pgwire.TooManyConnections {
		return balance.StatusBusy
	}
	return balance.StatusConnectFailed
}

// handleViolation closes a connection whose endpoint violated the protocol. The attempt may have run; the role and
// position in the response are discarded.
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

// detachAttempt separates the connection from the attempt that it carries, and returns that attempt. There must be one.
func (c *connection) detachAttempt() *attempt {
	a := c.attempt
	c.attempt = nil
	a.connection = nil
	c.releaseMemory()
	return a
}

// delayReuse keeps the connection from carrying another attempt right after a response. Stray bytes that follow the
// response in a later segment would otherwise be taken for the response to the next attempt. Any bytes received during
// the delay cause the connection to be closed.
func (c *connection) delayReuse() {
	c.socket.LimitInbox(0)
	c.endpoint.reuseDelayed++
	c.reuseTimer = c.endpoint.pool.loop.AfterFunc(c.endpoint.pool.limits.Backend.ReuseDelay, c.endReuseDelay)
}

func (c *connection) endReuseDelay() {
	e := c.endpoint
	c.reuseTimer = nil
	e.reuseDelayed--
	// sendOnIdle checks the socket of an idle connection, so the check is needed here only if an attempt is waiting.
	if c.reader.Buffered() == 0 && (len(e.waiting) == 0 || c.socket.HasNothingToReport()) {
		c.makeAvailable()
		return
	}
	c.close()
	e.dialForWaiting()
}

// hasNoUnreadData reports whether nothing has been received after the last response: no part of a message, and not the
// end of the connection.
func (c *connection) hasNoUnreadData() bool {
	return c.reader.Buffered() == 0 && c.socket.HasNothingToReport()
}

// hasExpired reports whether the connection has been idle for so long that its endpoint may have closed it.
func (c *connection) hasExpired(now time.Duration) bool {
	return now-c.idleSince > c.endpoint.pool.limits.Backend.IdleTimeout
}

// isOutdated reports whether the endpoint has moved, drained or been suspended since the connection was dialed.
func (c *connection) isOutdated() bool { return c.generation != c.endpoint.generation }

// makeAvailable sends the attempt that has waited longest on the connection. If none waits, it keeps the connection
// idle or closes it.
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
	if !e.canKeepIdle() {
		c.close()
		return
	}
	c.idleSince = e.pool.loop.Now()
	e.idle = append(e.idle, c)
}

// send writes an attempt to the connection. It returns false if the connection does not carry the attempt: the attempt
// has ended, or the connection broke and the attempt needs another one.
func (c *connection) send(a *attempt) bool {
	now := c.endpoint.pool.loop.Now()
	if a.ended {
		return false
	}
	if a.isLateOrAbandoned(now) {
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

// handleWriteFailure queues the attempt for another connection: it was not written completely, so it did not run.
func (c *connection) handleWriteFailure(a *attempt) {
	c.close()
	if a.connectTimer == nil {
		return // sendOnIdle tries the next idle connection
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

// setPaused pauses or resumes the reading of the response.
func (c *connection) setPaused(paused bool) {
	c.socket.SetPaused(paused)
	c.paused = paused
	c.resetProgressTimer()
}
