package frontend

import (
	"time"

	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/transport"
)

// Conn is one connection of a client.
type Conn struct {
	frontend *Frontend
	handler  ProtocolHandler
	socket   *transport.Conn

	identity  clientIdentity
	lifetime  lifetime
	input     messageInput
	pipeline  pipeline
	exclusive exclusiveRequest
	output    outputState
	memory    byteAccount
	commits   sessionCommits
}

// clientIdentity identifies the client of a connection. It is empty unless requests have to carry the identity.
type clientIdentity struct {
	user    string
	address string
}

// lifetime is the state of a connection between its accept and its close.
type lifetime struct {
	started           bool // the startup message was accepted
	commandSeen       bool // a message has arrived since then
	lastInvalid       bool // the last message was invalid
	closeWhenAnswered bool // nothing more is read, and the connection is closed after the last pending response
	closed            bool

	openedAt     time.Duration // when the connection was accepted
	lastActiveAt time.Duration // when the last message became complete or the last response was written
}

// Limits returns the limits of the program.
func (c *Conn) Limits() limits.Limits { return c.frontend.limits }

// MarkInvalid records that the last message was invalid, which makes the connection one of the first to be evicted.
func (c *Conn) MarkInvalid() { c.lifetime.lastInvalid = true }

// Disconnected implements the method of router.Client for the protocol handlers.
func (c *Conn) Disconnected(askSystem bool) bool {
	return c.lifetime.closed || c.socket.PeerClosed(askSystem)
}

// Close closes the connection, and reports it to the router as disconnected for each request in flight.
func (c *Conn) Close() {
	if c.lifetime.closed {
		return
	}
	c.lifetime.closed = true
	// A response that the operating system has accepted only in part must not be cut off.
	c.socket.CloseGracefully(c.frontend.limits.Frontend.FlushTimeout)
	c.releaseAll()
}

// CloseWhenAnswered closes the connection once all earlier requests are answered.
func (c *Conn) CloseWhenAnswered() {
	c.lifetime.closeWhenAnswered = true
	if !c.owesResponse() {
		c.Close()
		return
	}
	c.dropInput()
}

// Closed implements transport.Handler.
func (c *Conn) Closed(error) {
	if !c.lifetime.closed {
		c.lifetime.closed = true
		c.releaseAll()
	}
}

// releaseAll releases the memory of the connection, and reports to the router that the client of its requests has
// disconnected.
func (c *Conn) releaseAll() {
	delete(c.frontend.connections, c)
	c.memory.releaseAll()
	if c.output.flow != nil {
		c.output.flow.SetPaused(false) // the rest of the response is still read from the endpoint, and discarded
		c.setFlow(nil)
	}
	if c.exclusive.inFlight() {
		c.frontend.router.Disconnect(c.exclusive.id)
		c.exclusive.id = ""
	}
	for _, s := range c.pipeline.removeAll() {
		s.releaseCollected(s.collectedBytes)
		if s.flow != nil {
			s.flow.SetPaused(false)
		}
		if s.requestID != "" {
			c.frontend.router.Disconnect(s.requestID)
		}
	}
}

// closeWithError sends a fatal error and closes the connection.
func (c *Conn) closeWithError(err *ProtocolError) {
	c.frontend.logger.Debug("client rejected",
		"sqlstate", err.SQLSTATE, "error", err.Reason, "command_seen", c.lifetime.commandSeen)
	if c.output.flow == nil { // within a row the client would read the error as part of the value
		c.write(err.appendFatal())
	}
	c.Close()
}

// closeWithErrorInOrder sends a fatal error after the pending responses, and then closes the connection.
func (c *Conn) closeWithErrorInOrder(err *ProtocolError) {
	if !c.owesResponse() {
		c.closeWithError(err)
		return
	}
	c.frontend.logger.Debug("client rejected",
		"sqlstate", err.SQLSTATE, "error", err.Reason, "pending_responses", len(c.pipeline.slots))
	c.Respond(err.appendFatal())
	c.lifetime.closeWhenAnswered = true
	c.dropInput()
}

// owesResponse reports whether a request of the client has not been answered yet.
func (c *Conn) owesResponse() bool { return c.exclusive.inFlight() || !c.pipeline.empty() }

// RespondToEmptyQuery answers an empty query, which the platform uses as a readiness check.
func (c *Conn) RespondToEmptyQuery() {
	c.Respond(c.frontend.emptyQueryResponse())
	c.closeIfDraining()
}

func (f *Frontend) emptyQueryResponse() []byte {
	if f.ready && !f.drain.byOperator {
		return pgwire.AppendReady(pgwire.Append(nil, 'I'))
	}
	reason := "starting up"
	if f.ready {
		reason = "drained"
	}
	return pgwire.AppendReady(pgwire.AppendError(nil, pgwire.Error{
		Code:       pgwire.CannotConnectNow,
		Message:    reason,
		RetryAfter: notReadyRetryAfter,
	}))
}
