package frontend

import "time"

// trackProgress notes whether the client goes on reading what it was sent. A client may take seconds over a long
// response, as long as it reads some of it.
func (c *Conn) trackProgress(now time.Duration) {
	c.output.unsentBytes = c.socket.BytesUnsent()
	if c.output.unsentBytes == 0 || c.socket.BytesSent() > c.output.progressBytes {
		c.output.lastProgressAt = now
		c.output.progressBytes = c.socket.BytesSent()
	}
}

// overdue returns the error of the timeout that the client has overstayed, nil if there is none. While a response is
// owed only its reading has a time limit.
func (c *Conn) overdue(now time.Duration) *ProtocolError {
	switch {
	case now-c.output.lastProgressAt > c.frontend.limits.Frontend.UnreadTimeout:
		return errResponsesUnread
	case c.owesResponse():
		return nil
	case c.startupOverdue(now):
		return errStartupTimeout
	case c.firstCommandOverdue(now):
		return errCommandTimeout
	case c.messageOverdue(now):
		return errMessageTimeout
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

// messageOverdue reports whether a message that has come in part stalls, or takes too long altogether.
func (c *Conn) messageOverdue(now time.Duration) bool {
	if !c.input.partial() {
		return false
	}
	lim := &c.frontend.limits.Frontend
	stalledFor := now - max(c.input.partialSince, c.input.lastDataAt)
	return stalledFor > lim.PartialMessageTimeout || now-c.input.partialSince > lim.MessageTimeout
}

func (c *Conn) unitOverdue(now time.Duration) bool {
	if !c.lifetime.started || c.handler.Idle() {
		return false
	}
	return now-c.lifetime.lastActiveAt > c.frontend.limits.Frontend.UnitTimeout
}
