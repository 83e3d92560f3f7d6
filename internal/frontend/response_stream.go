package frontend

import (
	"time"

	"limeladder/internal/router"
)

// outputState is how the client takes what it is sent.
type outputState struct {
	flow          router.FlowController // source of the response that is streamed now, nil = none is
	backpressured bool                  // no further message or response is begun until the client has read more

	unsentBytes    int           // that the client had not taken at the last sweep
	progressBytes  int64         // that it had taken by then
	lastProgressAt time.Duration // when it had taken everything, or more than before
}

// Respond sends data behind the responses that are owed.
func (c *Conn) Respond(data []byte) {
	newest := c.pipeline.newest()
	if newest == nil || c.lifetime.closed {
		c.write(data)
		return
	}
	if !newest.textOnly {
		newest = &slot{conn: c, state: slotAnswered, textOnly: true}
		c.pipeline.add(newest)
	}
	newest.buffer(data)
}

// write sends data now. A broken connection means that the client has gone. A client that leaves too much unread is
// given up, which bounds the memory against one that asks and does not read.
func (c *Conn) write(data []byte) {
	if c.lifetime.closed {
		return
	}
	if c.socket.Write(data) != nil || c.socket.BytesUnsent() > c.frontend.limits.Frontend.UnreadBytes {
		c.Close()
		return
	}
	if c.socket.BytesUnsent() > 0 {
		c.frontend.hastenSweep()
	}
}

// StartResponse begins a response that is streamed as it comes from the flow.
func (c *Conn) StartResponse(data []byte, flow router.FlowController) {
	c.output.flow = flow
	c.WriteResponsePart(data)
}

// WriteResponsePart sends the next part of a streamed response. What a client has not taken is bounded: beyond that
// its endpoint has to wait, and the event loop does not.
func (c *Conn) WriteResponsePart(data []byte) {
	if c.lifetime.closed {
		return
	}
	if c.socket.Write(data) != nil {
		c.Close()
		return
	}
	if c.socket.BytesUnsent() > 0 {
		c.frontend.hastenSweep() // what is not taken counts against the bound of all clients
	}
	lim := &c.frontend.limits.Frontend
	if c.output.flow != nil && c.socket.BytesUnsent() > lim.HighWaterBytes {
		c.output.flow.SetPaused(true)
		c.socket.NotifyWhenUnsentBelow(lim.LowWaterBytes)
	}
}

// TruncateResponse ends a streamed response that will not become complete. Within a row only the end of the
// connection can say so.
func (c *Conn) TruncateResponse() {
	c.output.flow = nil
	c.exclusive.id = ""
	c.Close()
}

// applyBackpressure reports whether the client has so much to read that nothing more is written or read for now. Taken
// goes on once the client has read.
func (c *Conn) applyBackpressure() bool {
	lim := &c.frontend.limits.Frontend
	if !c.output.backpressured && c.socket.BytesUnsent() > lim.HighWaterBytes {
		c.output.backpressured = true
		c.socket.NotifyWhenUnsentBelow(lim.LowWaterBytes)
	}
	return c.output.backpressured
}

// WriteDrained implements transport.WriteObserver: the client has read most of what it was sent.
func (c *Conn) WriteDrained() {
	if c.output.backpressured {
		c.output.backpressured = false
		c.writeAnswered()
		c.resume()
	}
	if c.output.flow != nil && c.socket.BytesUnsent() <= c.frontend.limits.Frontend.HighWaterBytes {
		c.output.flow.SetPaused(false)
	}
}
