package frontend

import (
	"time"

	"limeladder/internal/router"
)

// outputState tracks how the client reads the data that is sent to it.
type outputState struct {
	flow          router.FlowController // source of the response that is being streamed, nil = none
	backpressured bool                  // no further message or response is started until the client has read more

	unsentBytes    int           // bytes that the client had not accepted at the last sweep
	progressBytes  int64         // bytes that it had accepted by then
	lastProgressAt time.Duration // when everything was last accepted, or more than at the sweep before
}

// Respond sends data after the pending responses.
func (c *Conn) Respond(data []byte) {
	newest := c.pipeline.newest()
	if newest == nil || c.lifetime.closed {
		c.write(data)
		return
	}
	if !newest.withoutRequest {
		newest = &slot{conn: c, state: slotAnswered, withoutRequest: true}
		c.pipeline.add(newest)
	}
	newest.buffer(data)
}

// write sends data immediately. A write error means that the client has disconnected. A client that leaves more than
// UnreadBytes unread is disconnected, which limits the memory for clients that send requests and do not read responses.
func (c *Conn) write(data []byte) {
	if c.lifetime.closed {
		return
	}
	if c.socket.Write(data) != nil || c.socket.BytesUnsent() > c.frontend.limits.Frontend.UnreadBytes {
		c.Close()
		return
	}
	if c.socket.BytesUnsent() > 0 {
		c.frontend.sweepSoon()
	}
}

// StartResponse starts a response that is streamed from flow.
func (c *Conn) StartResponse(data []byte, flow router.FlowController) {
	c.output.flow = flow
	c.WriteResponsePart(data)
}

// WriteResponsePart sends the next part of a streamed response. The amount of unsent data is limited: above the limit
// the endpoint has to wait, and the event loop does not.
func (c *Conn) WriteResponsePart(data []byte) {
	if c.lifetime.closed {
		return
	}
	if c.socket.Write(data) != nil {
		c.Close()
		return
	}
	if c.socket.BytesUnsent() > 0 {
		c.frontend.sweepSoon() // unsent data counts towards the limit of all clients
	}
	lim := &c.frontend.limits.Frontend
	if c.output.flow != nil && c.socket.BytesUnsent() > lim.HighWaterBytes {
		c.output.flow.SetPaused(true)
		c.socket.NotifyWhenUnsentBelow(lim.LowWaterBytes)
	}
}

// TruncateResponse ends a streamed response that will not be completed. Within a row only closing the connection can
// signal the truncation to the client.
func (c *Conn) TruncateResponse() {
	c.output.flow = nil
	c.exclusive.id = ""
	c.Close()
}

// applyBackpressure reports whether the client has so much unread data that nothing more is written or read for now.
// WriteDrained continues once the client has read most of it.
func (c *Conn) applyBackpressure() bool {
	lim := &c.frontend.limits.Frontend
	if !c.output.backpressured && c.socket.BytesUnsent() > lim.HighWaterBytes {
		c.output.backpressured = true
		c.socket.NotifyWhenUnsentBelow(lim.LowWaterBytes)
	}
	return c.output.backpressured
}

// WriteDrained implements transport.WriteObserver: the client has read most of the data sent to it.
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
