package backend

import (
	"errors"
	"fmt"

	"limeladder/internal/pgwire"
)

// The types of the messages that an endpoint sends and that are told apart here.
const (
	typeAuthentication       = 'R'
	typeBackendKeyData       = 'K'
	typeDataRow              = 'D'
	typeErrorResponse        = 'E'
	typeNoticeResponse       = 'N'
	typeNotificationResponse = 'A'
	typeParameterStatus      = 'S'
	typeReadyForQuery        = 'Z'
)

const (
	authenticationOk   = "\x00\x00\x00\x00" // the body of AuthenticationOk
	transactionIdle    = "I"                // the body of ReadyForQuery outside of a transaction
	messageHeaderBytes = 5                  // the type and the length of a message
)

// The ways in which an endpoint violates the protocol, apart from messages that cannot be parsed.
var (
	errResponseStalled  = errors.New("no more bytes came in the middle of a response")
	errResponseTooLong  = errors.New("response is too long")
	errMessageTooLong   = errors.New("message is too long to be buffered and cannot be streamed")
	errTooMuchAsyncData = errors.New("too many bytes that are not part of a response")
	errTooManyRows      = errors.New("more rows than were asked for")
	errRowMismatch      = errors.New("row does not fit those before it")
)

// Data takes bytes that have come. It implements transport.Handler.
func (c *connection) Data(p []byte) {
	c.reader.Feed(p)
	c.progressTimer.Stop()
	if c.attempt != nil && c.incoming.startedAt == 0 {
		c.incoming.startedAt = c.endpoint.pool.loop.Now()
	}
	for !c.closed {
		if c.incoming.streamedRow != nil && !c.streamRow() {
			break
		}
		message, ok, err := c.reader.Next()
		if err != nil {
			c.handleViolation(err)
			return
		}
		if ok {
			c.handleMessage(message)
			continue
		}
		if !c.startStreaming() {
			break
		}
	}
	c.resetProgressTimer()
}

// resetProgressTimer waits for the rest of what has begun to come. Where the length of a message does not fit, its rest
// never comes.
func (c *connection) resetProgressTimer() {
	limits := &c.endpoint.pool.limits.Backend
	timeout := limits.StallTimeout
	if c.incoming.streaming {
		timeout = limits.StreamStallTimeout // a slow endpoint still sends it
	}
	c.progressTimer.Stop()
	if !c.closed && !c.paused && c.expectsMore() {
		c.progressTimer = c.endpoint.pool.loop.AfterFunc(timeout, func() { c.handleViolation(errResponseStalled) })
	}
}

// expectsMore reports whether a message or a response has come in part and its rest should follow soon.
func (c *connection) expectsMore() bool {
	if c.reader.Waiting() > 0 {
		return true
	}
	return c.attempt != nil && (c.incoming.streaming || c.incoming.awaitsReady())
}

// handleMessage takes one complete message.
func (c *connection) handleMessage(message pgwire.Message) {
	switch {
	case isAsynchronous(message.Type):
		c.handleAsynchronous(message)
	case !c.started:
		c.handleStartup(message)
	case c.attempt == nil:
		// A late or stray response must not be taken for that of the next attempt.
		c.handleDisconnect()
	case message.Type == typeReadyForQuery:
		c.handleReady(message)
	default:
		c.appendToResponse(message)
	}
}

// isAsynchronous reports whether messages of a type may come at any time and are not part of a response.
func isAsynchronous(messageType byte) bool {
	switch messageType {
	case typeParameterStatus, typeNoticeResponse, typeNotificationResponse, typeBackendKeyData:
		return true
	}
	return false
}

// handleAsynchronous takes a message that is not part of a response. Their bytes are limited, because they might come
// without end, and no deadline ends a response of which a part has been forwarded.
func (c *connection) handleAsynchronous(message pgwire.Message) {
	c.incoming.asyncBytes += messageHeaderBytes + len(message.Body)
	if c.incoming.asyncBytes > c.endpoint.pool.limits.Backend.ResponseBytes {
		c.handleViolation(errTooMuchAsyncData)
		return
	}
	name, value, err := pgwire.Pair(message.Body)
	if err == nil && message.Type == typeParameterStatus {
		c.incoming.recordParameter(name, value)
	}
}

// handleStartup takes a message that comes before the first ReadyForQuery.
func (c *connection) handleStartup(message pgwire.Message) {
	switch message.Type {
	case typeAuthentication:
		if string(message.Body) != authenticationOk {
			c.handleDisconnect() // it asks for a password, which the platform does not use
		}
	case typeErrorResponse:
		c.incoming.recordError(message)
		c.handleDisconnect()
	case typeReadyForQuery:
		c.started = true
		c.endpoint.starting--
		c.startupTimer.Stop()
		c.makeAvailable()
	default:
		c.handleDisconnect()
	}
}

// handleReady ends the attempt with the response that has come.
func (c *connection) handleReady(message pgwire.Message) {
	result := c.result()
	c.attempt.SetPaused(false) // the end of a long response may have come while its client took no more
	a := c.detachAttempt()
	// In an open transaction, or with bytes that belong to no request, the connection is not used again.
	reusable := string(message.Body) == transactionIdle && c.reader.Waiting() == 0 && !c.incoming.invalid
	if reusable {
		c.delayReuse()
	} else {
		c.close()
	}
	a.finish(result)
}

// appendToResponse adds a message to the response, or forwards it where the response is streamed.
func (c *connection) appendToResponse(message pgwire.Message) {
	in := &c.incoming
	if message.Type == typeErrorResponse {
		in.recordError(message)
	}
	if len(in.response.Messages)+len(message.Body) > c.endpoint.pool.limits.Backend.ResponseBytes {
		c.handleViolation(errResponseTooLong)
		return
	}
	if err := in.response.Shape.Add(message); err != nil {
		c.handleViolation(fmt.Errorf("message %c: %w", message.Type, err))
		return
	}
	if in.streaming && message.Type == typeDataRow {
		if !c.attempt.job.StartsResponse(in.response) {
			c.handleViolation(errTooManyRows) // and they might never end
			return
		}
		c.attempt.onResponsePart(pgwire.Append(nil, message.Type, message.Body))
	} else {
		in.response.Messages = pgwire.Append(in.response.Messages, message.Type, message.Body)
	}
	in.response.Types = append(in.response.Types, message.Type)
}
