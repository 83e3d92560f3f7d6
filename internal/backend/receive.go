package backend

import (
	"errors"
	"fmt"

	"limeladder/internal/pgwire"
)

// The types of messages from an endpoint that this package handles specially.
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
	transactionIdle    = "I"                // the body of ReadyForQuery outside a transaction
	messageHeaderBytes = 5                  // the type byte and the length of a message
)

// The protocol violations of an endpoint, apart from messages that cannot be parsed.
var (
	errResponseStalled  = errors.New("response stalled before it was complete")
	errResponseTooLong  = errors.New("response is too long")
	errMessageTooLong   = errors.New("message is too long to buffer and cannot be streamed")
	errTooMuchAsyncData = errors.New("too many bytes in asynchronous messages")
	errTooManyRows      = errors.New("more rows than requested")
	errRowMismatch      = errors.New("row does not match the preceding messages")
)

// Data handles received bytes. It implements transport.Handler.
func (c *connection) Data(p []byte) {
	c.progressTimer.Stop()
	p = c.streamDirectly(p)
	if len(p) > 0 {
		c.reader.Feed(p)
	}
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
	if !c.closed {
		c.awaitMemory()
	}
	c.resetProgressTimer()
}

// resetProgressTimer limits the wait for the rest of a partial message or response. If the declared length of a message
// is too large, its rest never arrives.
func (c *connection) resetProgressTimer() {
	limits := &c.endpoint.pool.limits.Backend
	timeout := limits.StallTimeout
	if c.incoming.streaming {
		timeout = limits.StreamStallTimeout // longer, because a slow endpoint may still be sending
	}
	c.progressTimer.Stop()
	if !c.closed && !c.paused && c.expectsMore() {
		c.progressTimer = c.endpoint.pool.loop.AfterFunc(timeout, c.handleStall)
	}
}

// handleStall ends a response of which nothing more has come in time. If more has come and was not read yet, because
// the router itself was held up, the wait begins anew.
func (c *connection) handleStall() {
	if !c.socket.HasNothingToReport() {
		c.resetProgressTimer()
		return
	}
	c.handleViolation(errResponseStalled)
}

// expectsMore reports whether a message or a response has been received in part and the rest should follow soon.
func (c *connection) expectsMore() bool {
	if c.reader.Buffered() > 0 {
		return true
	}
	return c.attempt != nil && (c.incoming.streaming || c.incoming.awaitsReady())
}

// handleMessage handles one complete message.
func (c *connection) handleMessage(message pgwire.Message) {
	switch {
	case isAsynchronous(message.Type):
		c.handleAsynchronous(message)
	case !c.started:
		c.handleStartup(message)
	case c.attempt == nil:
		// A late or stray response must not be taken for the response to the next attempt.
		c.handleDisconnect()
	case message.Type == typeReadyForQuery:
		c.handleReady(message)
	default:
		c.appendToResponse(message)
	}
}

// isAsynchronous reports whether messages of the type may arrive at any time and are not part of a response.
func isAsynchronous(messageType byte) bool {
	switch messageType {
	case typeParameterStatus, typeNoticeResponse, typeNotificationResponse, typeBackendKeyData:
		return true
	}
	return false
}

// handleAsynchronous handles a message that is not part of a response. The total bytes of such messages are limited: an
// endpoint might send them without end, and no deadline ends a response that has been forwarded in part.
func (c *connection) handleAsynchronous(message pgwire.Message) {
	c.incoming.asyncBytes += messageHeaderBytes + len(message.Body)
	if c.incoming.asyncBytes > c.endpoint.pool.limits.Backend.ResponseBytes {
		c.handleViolation(errTooMuchAsyncData)
		return
	}
	name, value, err := pgwire.ParameterStatus(message.Body)
	if err == nil && message.Type == typeParameterStatus {
		c.incoming.recordParameter(name, value)
	}
}

// handleStartup handles a message that arrives before the first ReadyForQuery.
func (c *connection) handleStartup(message pgwire.Message) {
	switch message.Type {
	case typeAuthentication:
		if string(message.Body) != authenticationOk {
			c.handleDisconnect() // the endpoint requests a password, which the platform does not use
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

// handleReady ends the attempt with the response received so far, at its ReadyForQuery.
func (c *connection) handleReady(message pgwire.Message) {
	result := c.result()
	c.attempt.SetPaused(false) // the end of a long response may have been received while reading was paused
	a := c.detachAttempt()
	// The connection is not reused if a transaction is still open or bytes follow the response.
	reusable := string(message.Body) == transactionIdle && c.reader.Buffered() == 0 && !c.incoming.invalid
	if reusable {
		c.delayReuse()
	} else {
		c.close()
	}
	a.finish(result)
}

// appendToResponse adds a message to the response; a data row of a streamed response is forwarded instead.
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
			c.handleViolation(errTooManyRows) // there might be no end to them
			return
		}
		c.attempt.onResponsePart(pgwire.Append(nil, message.Type, message.Body))
	} else {
		in.response.Messages = pgwire.Append(in.response.Messages, message.Type, message.Body)
	}
	in.response.Types = append(in.response.Types, message.Type)
}
