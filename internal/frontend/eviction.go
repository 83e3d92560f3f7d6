package frontend

import (
	"cmp"
	"slices"
	"time"
)

// sweep closes connections that are overdue or drained, evicts idle ones, and sets the time of the next sweep.
func (f *Frontend) sweep() {
	now := f.eventLoop.Now()
	unreadBytes := f.closeOverdue(now)
	f.closeDrained(now)
	if f.drain.closesIdle {
		f.closeIdle()
	}
	f.evictIdle(now)
	f.sweepCount++
	f.nextSweep = f.eventLoop.AfterFunc(f.sweepInterval(unreadBytes > 0), f.sweep)
}

// closeOverdue closes the connections that have overstayed a timeout, and returns how many bytes of responses the
// others have not read.
func (f *Frontend) closeOverdue(now time.Duration) (unreadBytes int) {
	lim := &f.limits.Frontend
	for c := range f.connections {
		c.trackProgress(now)
		if err := c.overdue(now); err != nil {
			c.closeWithError(err)
			continue
		}
		unreadBytes += c.output.unsentBytes
		switch {
		case unreadBytes > lim.BufferedBytes && c.hasUnreadResponse():
			// Many clients that do not read their responses exhaust the memory where each alone does not.
			c.closeWithError(errTooMuchUnread)
		case c.memory.unparsedBytes > 0:
			c.accountInput() // there may be capacity again
		}
	}
	return unreadBytes
}

// sweepInterval returns the time to the next sweep. With a fixed short interval every router of a fleet would wake
// twenty times a second for nothing, which is expensive on a small share of a core. Where no connection waits for
// capacity and nothing drains, the first timeout that a sweep enforces lies seconds ahead: a quarter of the shortest
// one is soon enough. Unread responses need the short interval, since all of them together are bounded at each sweep.
func (f *Frontend) sweepInterval(unread bool) time.Duration {
	lim := &f.limits.Frontend
	if unread || f.needsFrequentSweeps() {
		return lim.SweepInterval
	}
	shortest := min(
		lim.StartupTimeout,
		lim.FirstCommandTimeout,
		lim.PartialMessageTimeout,
		lim.UnreadTimeout,
		lim.UnitTimeout,
	)
	return max(lim.SweepInterval, shortest/4)
}

// needsFrequentSweeps reports whether connections wait for memory, are drained, or are more than may stay idle. Bytes
// that are kept for requests in flight are no shortage of memory.
func (f *Frontend) needsFrequentSweeps() bool {
	lim := &f.limits.Frontend
	if f.memory.used(lim.BufferedBytes) > lim.BufferedBytes || f.drain.begun() {
		return true
	}
	return len(f.connections) > min(lim.SoftLimit, lim.HardLimit)
}

// hastenSweep moves the next sweep to the short interval, because something has happened that needs it.
func (f *Frontend) hastenSweep() {
	interval := f.limits.Frontend.SweepInterval
	if f.nextSweep != nil && f.eventLoop.Now()+interval < f.nextSweep.Due() {
		f.nextSweep.Stop()
		f.nextSweep = f.eventLoop.AfterFunc(interval, f.sweep)
	}
}

// evictIdle closes the connections that have asked for nothing for the longest time, so that clients which ask once
// and stay, or say nothing, leave places for others. One that has a request, or has just come, is left alone.
func (f *Frontend) evictIdle(now time.Duration) {
	lim := &f.limits.Frontend
	f.evictDownTo(now, lim.SoftLimit, lim.SoftLimitIdle)
	// Above the hard limit the idle time is short: more clients may come, ask once and stay than there are places for
	// SoftLimitIdle, and others would wait for a place until their deadline. A client whose connection is closed
	// between two requests connects again.
	f.evictDownTo(now, lim.HardLimit, lim.HardLimitIdle)
}

func (f *Frontend) evictDownTo(now time.Duration, limit int, idle time.Duration) {
	excess := len(f.connections) - limit
	if excess <= 0 {
		return
	}
	var candidates []*Conn
	for c := range f.connections {
		if c.evictable(now, idle) {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *Conn) int {
		return cmp.Compare(a.lifetime.lastActiveAt, b.lifetime.lastActiveAt)
	})
	for _, c := range candidates[:min(excess, len(candidates))] {
		c.Close()
	}
}

// evictable reports whether the connection may be closed to make room for others. A usual connection may be after it
// was idle for the given time. What has come and was not read yet counts as activity.
func (c *Conn) evictable(now, idle time.Duration) bool {
	lim := &c.frontend.limits.Frontend
	if !c.lifetime.started {
		return now-c.lifetime.openedAt > lim.UnstartedIdle && !c.input.partial()
	}
	switch {
	case c.lifetime.lastInvalid:
		idle = min(idle, lim.UnstartedIdle)
	case !c.lifetime.commandSeen: // usual clients send a command at once
		idle = lim.UnusedIdle
	}
	return c.betweenRequests() && now-c.lifetime.lastActiveAt > idle && c.socket.HasNothingToReport()
}

// betweenRequests reports whether the client is owed nothing and has begun nothing.
func (c *Conn) betweenRequests() bool {
	return !c.owesResponse() && !c.input.partial() && c.handler.Idle()
}

// hasUnreadResponse reports whether all that the connection waits for is that its client reads a response.
func (c *Conn) hasUnreadResponse() bool {
	return c.output.unsentBytes > 0 && c.output.flow == nil && !c.owesResponse()
}
