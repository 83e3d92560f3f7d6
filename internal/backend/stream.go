package backend

import (
	"fmt"

	"limeladder/internal/pgwire"
)

// startStreaming begins to forward a row that is too long to be buffered, once enough of it has been received and the
// lengths in it are consistent so far. Until the first such row a failed attempt can be retried. It reports whether it
// has begun to stream a row.
func (c *connection) startStreaming() bool {
	in := &c.incoming
	limits := &c.endpoint.pool.limits.Backend
	messageType, length, received, ok := c.reader.Incomplete()
	if !ok {
		return false
	}
	isRow := messageType == typeDataRow
	if length > limits.ResponseBytes && (!isRow || !c.canStream()) {
		c.handleViolation(errMessageTooLong)
		return false
	}
	isLong := length > limits.StreamThresholdBytes && len(received) >= limits.StreamStartBytes
	if !isRow || !isLong {
		return false
	}
	if in.sqlState != "" || !c.canStream() {
		return false
	}
	if err := pgwire.NewRowStream(length).Feed(received); err != nil {
		c.handleViolation(fmt.Errorf("streamed row: %w", err))
		return false
	}
	in.streamedRow = pgwire.NewRowStream(length)
	c.releaseMemory()
	if !in.streaming {
		in.streaming = true
		c.attempt.onResponseStarted(in.response, c.attempt)
		in.response.Messages = nil
	}
	c.attempt.onResponsePart(c.reader.NextBytes(messageHeaderBytes))
	return true
}

// canStream reports whether the attempt accepts a response in parts and the messages so far may start such a response.
func (c *connection) canStream() bool {
	a := c.attempt
	if a == nil || a.onResponseStarted == nil {
		return false
	}
	return a.job.StartsResponse(c.incoming.response)
}

// streamDirectly forwards the bytes of a long row without keeping a copy of them, unless earlier ones are still
// buffered. It returns the bytes that it has not forwarded.
func (c *connection) streamDirectly(p []byte) []byte {
	row := c.incoming.streamedRow
	if row == nil || c.reader.Buffered() > 0 {
		return p
	}
	count := min(row.BytesLeft, len(p))
	c.forwardRow(p[:count])
	return p[count:]
}

// streamRow forwards the buffered part of a long row, and reports whether the row is now complete.
func (c *connection) streamRow() bool {
	p := c.reader.NextBytes(min(c.incoming.streamedRow.BytesLeft, c.reader.Buffered()))
	c.reader.ReleaseBuffer() // the rest of the row is not buffered
	return len(p) > 0 && c.forwardRow(p)
}

// forwardRow forwards the next part of a long row, and reports whether the row is now complete.
func (c *connection) forwardRow(p []byte) bool {
	in := &c.incoming
	if err := in.streamedRow.Feed(p); err != nil {
		c.handleViolation(fmt.Errorf("streamed row: %w", err))
		return false
	}
	c.attempt.onResponsePart(p)
	if in.streamedRow.BytesLeft > 0 {
		return false
	}
	columns := in.streamedRow.Columns
	in.streamedRow = nil
	in.response.Types = append(in.response.Types, typeDataRow)
	if !in.response.Shape.AddRow(columns) {
		c.handleViolation(fmt.Errorf("streamed row: %w", errRowMismatch))
		return false
	}
	return true
}
