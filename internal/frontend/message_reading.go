package frontend

import (
	"strings"
	"time"

	"limeladder/internal/pgwire"
)

// messageInput is the state of the input from the client that has not been handled yet.
type messageInput struct {
	reader       *pgwire.Reader
	reading      bool          // readMessages is running
	rejecting    bool          // requests are rejected, since the client has sent too much ahead
	yielded      bool          // the rest of the messages that have arrived is handled in the background
	turnMessages int           // messages that were handled in this turn of the event loop
	turnBytes    int           // their length
	messageBytes int           // length of the newest message's body
	fedBytes     int64         // bytes given to the reader since the connection was accepted
	partialSince time.Duration // when the first part of an incomplete message arrived, 0 = no message is incomplete
	waitingSince time.Duration // when reading first paused within the message because memory is short, 0 = never
}

// partial reports whether a message has arrived only in part.
func (in *messageInput) partial() bool { return in.partialSince > 0 }

// trackMemoryWait records that the message waits for memory. Later waits of the same message count from the first one,
// so that its whole delay is limited.
func (in *messageInput) trackMemoryWait(now time.Duration) {
	if in.waitingSince == 0 {
		in.waitingSince = now
	}
}

// maxUserNameBytes limits the length of the user name that is kept.
const maxUserNameBytes = 64

// Data implements transport.Handler.
func (c *Conn) Data(data []byte) {
	if c.lifetime.closed || c.lifetime.closeWhenAnswered {
		return // the socket stays open only until the client has read its last response
	}
	c.input.fedBytes += int64(len(data))
	c.input.reader.Feed(data)
	c.readMessages()
	c.accountInput()
}

// continueReading handles further messages of a client that has sent more than is handled in one turn.
func (c *Conn) continueReading() {
	c.input.yielded = false
	if c.lifetime.closed {
		return
	}
	c.readMessages()
	c.accountInput()
	c.closeIfDraining()
}

// yield reports whether the connection has used up its turn of the event loop. The rest of its messages is handled in
// the background then: a client that sends at full speed must not delay those of other clients.
func (c *Conn) yield() bool {
	lim := &c.frontend.limits.Frontend
	if c.input.turnMessages < lim.TurnMessages && c.input.turnBytes < lim.TurnBytes {
		return false
	}
	c.continueInBackground()
	return true
}

// continueInBackground handles the rest of the messages that have arrived once other connections have had their turn.
func (c *Conn) continueInBackground() {
	if !c.input.yielded {
		c.input.yielded = true
		c.frontend.eventLoop.PostBackground(c.continueReading)
	}
}

// ReceivedAt returns when the last byte of the newest message arrived at this machine. The client's deadline starts
// then, however long the message has waited for earlier ones.
func (c *Conn) ReceivedAt() time.Duration {
	return c.socket.ArrivedAt(c.input.fedBytes - int64(c.input.reader.Buffered()))
}

// readMessages handles the messages that have arrived, until a request has to wait or the connection's turn is over.
func (c *Conn) readMessages() {
	if c.input.reading {
		return // a request was answered synchronously: the loop below continues after it
	}
	c.input.reading = true
	defer func() { c.input.reading = false }()
	c.input.turnMessages = 0
	c.input.turnBytes = 0
	for c.mayReadMessage() {
		if c.input.reader.Buffered() > 0 && c.yield() {
			return
		}
		message, ok, err := c.input.reader.Next()
		if err != nil {
			c.closeWithErrorInOrder(asProtocolError(err))
			return
		}
		if !ok {
			return
		}
		// What is kept of the message is reserved by its handler.
		c.memory.setUnparsed(c.input.reader.Buffered(), c.memory.countedAsPipelined)
		if err := c.handleMessage(message); err != nil {
			c.closeWithErrorInOrder(asProtocolError(err))
		}
	}
}

// mayReadMessage reports whether the next message may be handled. No request is started for a disconnected client.
func (c *Conn) mayReadMessage() bool {
	if c.lifetime.closed || c.input.yielded || c.waitsForResponse() || c.socket.PeerClosed(false) {
		return false
	}
	return !c.applyBackpressure()
}

// waitsForResponse reports whether the connection waits for a response before it handles another message. Behind a
// response that is being streamed no request is accepted, since it could not be answered if that response breaks off.
func (c *Conn) waitsForResponse() bool {
	if c.exclusive.inFlight() || c.lifetime.closeWhenAnswered || c.streamsResponse() {
		return true
	}
	return c.pipeline.newestQueued() || c.pipeline.backlogBytes > c.maxBacklogBytes()
}

// maxBacklogBytes returns how much may wait in the pipeline for earlier responses while further requests are accepted.
// While memory is short it is little, since hundreds of clients may have as much.
func (c *Conn) maxBacklogBytes() int {
	lim := &c.frontend.limits.Frontend
	if c.frontend.memory.used(lim.BufferedBytes) > lim.BufferedBytes/2 {
		return lim.ReservedInputBytes
	}
	return lim.HighWaterBytes
}

func (c *Conn) handleMessage(message pgwire.Message) error {
	c.input.partialSince = 0
	c.input.waitingSince = 0
	c.input.messageBytes = len(message.Body)
	c.input.turnMessages++
	c.input.turnBytes += len(message.Body)
	c.lifetime.lastActiveAt = c.frontend.eventLoop.Now()
	c.lifetime.commandSeen = c.lifetime.started
	c.lifetime.lastInvalid = false
	if !c.lifetime.started {
		return c.handleStartup(message.Body)
	}
	return c.handler.HandleMessage(message)
}

// handleStartup handles the first message of a connection: the startup message, or an encryption or cancel request.
func (c *Conn) handleStartup(body []byte) error {
	code, params, err := pgwire.Startup(body)
	switch {
	case err != nil:
		return err
	case code == pgwire.SSLRequest, code == pgwire.GSSENCRequest:
		c.Respond([]byte{'N'}) // plain TCP only
		return nil
	case code == pgwire.CancelRequest:
		c.Close() // cancel keys are not supported
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
	c.input.reader.StartupDone()
	c.Respond(pgwire.AppendStartupResponse(nil))
	return nil
}

// protocolMajorVersion is the major version of the PostgreSQL wire protocol that a startup message must request.
const protocolMajorVersion = 3
