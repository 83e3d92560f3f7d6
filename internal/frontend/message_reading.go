package frontend

import (
	"strings"
	"time"

	"limeladder/internal/pgwire"
)

// messageInput is what has come from the client and is not handled yet.
type messageInput struct {
	reader       *pgwire.Reader
	reading      bool          // readMessages is running
	messageBytes int           // length of the newest message's body
	fedBytes     int64         // that the reader was given since the start
	partialSince time.Duration // since when a part of a message waits, 0 = none does
	lastDataAt   time.Duration // when anything came last
}

// partial reports whether a message has come in part and its rest is awaited.
func (in *messageInput) partial() bool { return in.partialSince > 0 }

// maxUserNameBytes bounds what is kept of a user's name.
const maxUserNameBytes = 64

// Data implements transport.Handler.
func (c *Conn) Data(data []byte) {
	if c.lifetime.closed {
		return // the socket stays open only until the client has read its last response
	}
	c.input.lastDataAt = c.frontend.eventLoop.Now()
	c.input.fedBytes += int64(len(data))
	c.input.reader.Feed(data)
	c.readMessages()
	c.accountInput()
}

// ReceivedAt returns when the last byte of the newest message came to this machine. The client's deadline runs from
// its send, whatever its message has waited behind.
func (c *Conn) ReceivedAt() time.Duration {
	return c.socket.ArrivedAt(c.input.fedBytes - int64(c.input.reader.Waiting()))
}

// readMessages handles the messages that have come, until a request has to wait.
func (c *Conn) readMessages() {
	if c.input.reading {
		return // a request was answered at once: the loop below goes on behind it
	}
	c.input.reading = true
	defer func() { c.input.reading = false }()
	for c.mayReadMessage() {
		message, ok, err := c.input.reader.Next()
		if err != nil {
			c.closeWithErrorInOrder(protocolErrorOf(err))
			return
		}
		if !ok {
			return
		}
		if err := c.handleMessage(message); err != nil {
			c.closeWithErrorInOrder(protocolErrorOf(err))
		}
	}
}

// mayReadMessage reports whether the next message may be handled. Nothing is begun for a client that has gone.
func (c *Conn) mayReadMessage() bool {
	if c.lifetime.closed || c.mustNotRead() || c.socket.PeerClosed(false) {
		return false
	}
	return !c.applyBackpressure()
}

// mustNotRead reports whether the connection waits for a response before it handles another message.
func (c *Conn) mustNotRead() bool {
	if c.exclusive.inFlight() || c.lifetime.closeWhenAnswered {
		return true
	}
	return c.pipeline.newestQueued() || c.pipeline.backlogBytes > c.frontend.limits.Frontend.HighWaterBytes
}

func (c *Conn) handleMessage(message pgwire.Message) error {
	c.input.partialSince = 0
	c.input.messageBytes = len(message.Body)
	c.lifetime.lastActiveAt = c.frontend.eventLoop.Now()
	c.lifetime.commandSeen = c.lifetime.started
	c.lifetime.lastInvalid = false
	if !c.lifetime.started {
		return c.handleStartup(message.Body)
	}
	return c.handler.HandleMessage(message)
}

// handleStartup handles what stands at the start of a connection: the startup message, or a request in place of it.
func (c *Conn) handleStartup(body []byte) error {
	code, params, err := pgwire.Startup(body)
	switch {
	case err != nil:
		return err
	case code == pgwire.SSLRequest, code == pgwire.GSSENCRequest:
		c.Respond([]byte{'N'}) // plain TCP only
		return nil
	case code == pgwire.CancelRequest:
		c.Close() // no cancel keys are given out
		return nil
	case code>>16 != protocolMajorVersion:
		return errStartupMessage
	}
	if c.frontend.identifiesClients {
		user := params["user"]
		c.identity.user = strings.Clone(user[:min(len(user), maxUserNameBytes)])
		c.identity.address = c.socket.RemoteAddr()
	}
	c.lifetime.started = true
	c.input.reader.Started()
	c.Respond(pgwire.AppendWelcome(nil))
	return nil
}

// protocolMajorVersion is the version of PostgreSQL's wire protocol that a startup message has to ask for.
const protocolMajorVersion = 3
