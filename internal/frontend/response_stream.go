package frontend

import (
	"time"

	"limeladder/internal/eventloop"
	"limeladder/internal/router"
)

// outputState tracks how the client reads the data that is sent to it.
type outputState struct {
	flow          router.FlowController // source of the response that is being streamed, nil = none
	backpressured bool                  // no further message or response is started until the client has read more
	deliveryCheck *eventloop.Timer      // checks again whether the client has read more, nil = nothing waits for that
	deliveryDelay time.Duration         // time to the next such check
	undelivered   int                   // bytes that the client had not received at the last such check
	checkedBytes  int64                 // bytes written when the client had last been found to have read almost all

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
	before := c.socket.BytesUnsent()
	if c.socket.Write(data) != nil || c.socket.BytesUnsent() > c.frontend.limits.Frontend.UnreadBytes {
		c.Close()
		return
	}
	if unsent := c.socket.BytesUnsent(); unsent > 0 {
		c.frontend.memory.unsentBytes += max(0, unsent-before)
		c.frontend.sweepSoon() // the sweep counts what is unsent
	}
}

// StartResponse starts a response that is streamed from flow.
func (c *Conn) StartResponse(data []byte, flow router.FlowController) {
	c.setFlow(flow)
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
	high, low := c.frontend.streamWaterMarks()
	if c.output.flow != nil && c.socket.BytesUnsent() > high {
		c.output.flow.SetPaused(true)
		c.output.flow.LimitParts(high / 2)
		c.socket.NotifyWhenUnsentBelow(low)
	}
}

// streamsResponse reports whether a response is being streamed to the client.
func (c *Conn) streamsResponse() bool { return c.output.flow != nil }

// setFlow sets the source of the response that is being streamed, nil = none.
func (c *Conn) setFlow(flow router.FlowController) {
	if c.output.flow != nil {
		c.frontend.memory.streamCount--
	}
	if flow != nil {
		c.frontend.memory.streamCount++
	}
	c.output.flow = flow
}

// streamWaterMarks returns how many bytes of a streamed response may be unsent before its source is paused, and with
// how many its source is resumed. All streamed responses share StreamedBytes: the more clients read slowly, the less
// waits for each of them.
func (f *Frontend) streamWaterMarks() (high, low int) {
	lim := &f.limits.Frontend
	share := lim.StreamedBytes / max(1, f.memory.streamCount)
	high = min(lim.HighWaterBytes, max(lim.MinStreamedBytes, share))
	return high, min(lim.LowWaterBytes, high/4)
}

// resumeFlow resumes the source of the streamed response if few enough bytes are unsent. Otherwise WriteDrained calls
// it again: more responses may have been started since its last mark was set.
func (c *Conn) resumeFlow(flow router.FlowController) {
	high, low := c.frontend.streamWaterMarks()
	if c.socket.BytesUnsent() > high {
		c.socket.NotifyWhenUnsentBelow(low)
		return
	}
	flow.LimitParts(high / 2)
	flow.SetPaused(false)
}

// TruncateResponse ends a streamed response that will not be completed. Within a row only closing the connection can
// signal the truncation to the client.
func (c *Conn) TruncateResponse() {
	c.setFlow(nil)
	c.exclusive.id = ""
	c.Close()
}

// applyBackpressure reports whether the client has so much unread data that nothing more is written or read for now.
// WriteDrained continues once the client has read most of it.
func (c *Conn) applyBackpressure() bool {
	lim := &c.frontend.limits.Frontend
	if c.output.backpressured {
		return true
	}
	if c.socket.BytesUnsent() > lim.HighWaterBytes {
		c.output.backpressured = true
		c.socket.NotifyWhenUnsentBelow(lim.LowWaterBytes)
	} else if c.readsSlowly() {
		c.output.backpressured = true
		c.output.deliveryDelay = minDeliveryDelay
		c.checkDeliveryLater()
	}
	return c.output.backpressured
}

// The bounds of the time between two checks whether a client has read more, which doubles with each check.
const (
	minDeliveryDelay = time.Millisecond
	maxDeliveryDelay = 40 * time.Millisecond
)

// readsSlowly reports whether most of a send buffer waits to be received by the client. Its next request would add a
// whole response to that, which is kept in memory: with hundreds of such clients that exceeds it, however little is
// kept for each.
func (c *Conn) readsSlowly() bool {
	lim := &c.frontend.limits.Frontend
	written := c.socket.BytesSent() + int64(c.socket.BytesUnsent())
	if written-c.output.checkedBytes <= int64(lim.LowWaterBytes) {
		return false // no more than that can be left
	}
	undelivered := c.socket.BytesUndelivered()
	if undelivered < c.output.undelivered {
		c.output.lastProgressAt = c.frontend.eventLoop.Now()
	}
	c.output.undelivered = undelivered
	if undelivered > lim.LowWaterBytes {
		return true
	}
	c.output.checkedBytes = written - int64(undelivered)
	return false
}

// checkDeliveryLater checks after a while whether the client has read more. The system does not tell when it has.
func (c *Conn) checkDeliveryLater() {
	c.output.deliveryCheck = c.frontend.eventLoop.AfterFunc(c.output.deliveryDelay, c.checkDelivery)
	c.output.deliveryDelay = min(2*c.output.deliveryDelay, maxDeliveryDelay)
}

func (c *Conn) checkDelivery() {
	switch {
	case c.lifetime.closed:
	case c.readsSlowly():
		c.checkDeliveryLater()
	default:
		c.output.deliveryCheck = nil
		c.WriteDrained()
	}
}

// WriteDrained implements transport.WriteObserver: the client has read most of the data sent to it.
func (c *Conn) WriteDrained() {
	if c.output.backpressured && c.output.deliveryCheck == nil {
		c.output.backpressured = false
		c.writeAnswered()
		c.resume()
	}
	if c.output.flow != nil {
		c.resumeFlow(c.output.flow)
	}
}
