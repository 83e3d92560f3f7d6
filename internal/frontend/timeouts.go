package frontend

import "time"

// trackProgress records whether the client continues to read its responses. A client may take seconds for a long
// response as long as it reads some of it.
func (c *Conn) trackProgress(now time.Duration) {
	c.output.unsentBytes = c.socket.BytesUnsent()
	allReceived := c.output.unsentBytes == 0 && c.output.deliveryCheck == nil
	if allReceived || c.socket.BytesSent() > c.output.progressBytes {
		c.output.lastProgressAt = now
		c.output.progressBytes = c.socket.BytesSent()
	}
}

// overdue returns the error of the timeout that the client has exceeded, or nil. While a response is pending only the
// time without reading is limited.
func (c *Conn) overdue(now time.Duration) *ProtocolError {
	switch {
	case now-c.output.lastProgressAt > c.frontend.limits.Frontend.UnreadTimeout:
		return errResponsesUnread
	case c.owesResponse():
		return nil
	case c.messageOverdue(now):
		return errMessageTimeout
	}
	err := c.silenceOverdue(now)
	if err != nil && !c.socket.HasNothingToReport() {
		return nil // what the client has sent was not read yet, because the router itself was held up
	}
	return err
}

// silenceOverdue returns the error of the timeout that a client has exceeded that has not sent what is due, or nil.
func (c *Conn) silenceOverdue(now time.Duration) *ProtocolError {
	switch {
	case c.startupOverdue(now):
		return errStartupTimeout
	case c.firstCommandOverdue(now):
		return errCommandTimeout
	case c.unitOverdue(now):
		return errUnitTimeout
	}
	return nil
}

func (c *Conn) startupOverdue(now time.Duration) bool {
	return !c.lifetime.started && now-c.lifetime.openedAt > c.frontend.limits.Frontend.StartupTimeout
}

func (c *Conn) firstCommandOverdue(now time.Duration) bool {
	if !c.lifetime.started || c.lifetime.commandSeen {
		return false
	}
	return !c.input.partial() && now-c.lifetime.openedAt > c.frontend.limits.Frontend.FirstCommandTimeout
}

// messageOverdue reports whether an incomplete message has stalled or has taken too long in total. Data counts from its
// arrival at this machine, whenever it is read: a client has not stalled while reading from it is paused, and a pause
// gives no more time to one that has.
func (c *Conn) messageOverdue(now time.Duration) bool {
	if !c.input.partial() {
		return false
	}
	lim := &c.frontend.limits.Frontend
	stalledFor := now - max(c.input.partialSince, c.socket.LastArrivalAt())
	return stalledFor > lim.PartialMessageTimeout || now-c.input.partialSince > lim.MessageTimeout
}

func (c *Conn) unitOverdue(now time.Duration) bool {
	if !c.lifetime.started || c.handler.Idle() {
		return false
	}
	return now-c.lifetime.lastActiveAt > c.frontend.limits.Frontend.UnitIdleTimeout
}
