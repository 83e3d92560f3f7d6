package frontend

import "limeladder/internal/pgwire"

// A client may send requests while earlier ones are not answered. What it has sent beyond PipelinedBytes must not stay
// unread: the end of its connection would stand behind it, and requests of a client that has gone would be started. The
// requests that wait are rejected then, the first ones first, so that reading can go on. A client that sends still more
// is told so, and its connection is closed after the responses that are due.

// maxRejectionBytes is how much the rejections that wait for an earlier response may take on one connection. While
// memory is short it is less.
const maxRejectionBytes = 64 << 10

// sentAheadBytes returns how much has arrived behind the next message, which may be long.
func (c *Conn) sentAheadBytes() int {
	return c.input.reader.Buffered() - c.input.reader.NextMessageBytes()
}

// isTooFarAhead reports whether the client has sent more than may wait for the response that is pending.
func (c *Conn) isTooFarAhead() bool {
	return c.sentAheadBytes() > c.frontend.limits.Frontend.PipelinedBytes
}

// rejectSentAhead rejects the requests that wait until few enough bytes are left.
func (c *Conn) rejectSentAhead() {
	if c.input.reading || c.exclusive.inFlight() || c.streamsResponse() || c.output.backpressured {
		return
	}
	c.input.reading = true
	c.input.rejecting = true
	defer func() {
		c.input.reading = false
		c.input.rejecting = false
	}()
	lim := &c.frontend.limits.Frontend
	for range rejectionsPerMessage * lim.TurnMessages {
		if c.lifetime.closed || c.lifetime.closeWhenAnswered || !c.owesResponse() || !c.isTooFarAhead() {
			return
		}
		c.rejectNext()
	}
	c.continueInBackground()
}

// rejectionsPerMessage is how many requests may be rejected in the time that one message takes otherwise.
const rejectionsPerMessage = 4

// rejectNext rejects the request that waits for earlier ones, or the next one that has arrived.
func (c *Conn) rejectNext() {
	if c.pipeline.newestQueued() {
		waiting := c.pipeline.newest()
		c.rejectForCapacity(waiting.request, waiting.responder)
		return
	}
	message, ok, err := c.input.reader.Next()
	if err == nil && ok {
		err = c.handleMessage(message)
	}
	if err != nil {
		c.closeWithErrorInOrder(asProtocolError(err))
		return
	}
	c.pipeline.mergeNewest()
	most := min(maxRejectionBytes, c.maxBacklogBytes())
	if newest := c.pipeline.newest(); newest != nil && newest.bufferedBytes > most {
		c.closeWithErrorInOrder(errTooFarAhead)
	}
}

// mergeNewest appends the newest response to the one before it if both are complete, so that many short ones take
// little memory.
func (p *pipeline) mergeNewest() {
	last := len(p.slots) - 1
	if last < 1 {
		return
	}
	newest, before := p.slots[last], p.slots[last-1]
	if newest.state != slotAnswered || before.state != slotAnswered {
		return
	}
	p.slots = p.slots[:last]
	for !newest.buffered.empty() {
		before.buffer(newest.takeChunk())
	}
}

// dropInput makes the connection read what still comes into nothing. Nothing more of it is handled.
func (c *Conn) dropInput() {
	lim := &c.frontend.limits.Frontend
	c.input.reader = pgwire.NewReader(lim.MessageBytes, 0)
	c.accountInput()
}
