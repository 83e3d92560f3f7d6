package frontend

import (
	"cmp"
	"slices"
	"time"
)

// sweep closes connections that are overdue or drained, evicts idle ones, and schedules the next sweep.
func (f *Frontend) sweep() {
	now := f.eventLoop.Now()
	unread := f.closeOverdue(now)
	f.rejectWaitingMessages(now)
	inputWaits := f.resumeInput()
	f.memory.refusedBytes = 0
	f.closeDrained(now)
	f.endLateUnits(now)
	if f.drain.closesIdle {
		f.closeIdle()
	}
	f.evictIdle(now)
	f.sweepCount++
	f.nextSweep = f.eventLoop.AfterFunc(f.sweepInterval(unread || inputWaits), f.sweep)
}

// closeOverdue closes the connections that have exceeded a timeout, and reports whether other clients have not read all
// of their responses.
func (f *Frontend) closeOverdue(now time.Duration) (unread bool) {
	lim := &f.limits.Frontend
	unreadBytes := 0 // of responses that are not streamed: StreamedBytes limits the others
	var unreadBy []*Conn
	for c := range f.connections {
		c.trackProgress(now)
		if err := c.overdue(now); err != nil {
			c.closeWithError(err)
			continue
		}
		unread = unread || c.output.unsentBytes > 0
		if c.output.flow == nil {
			unreadBytes += c.output.unsentBytes
		}
		if c.hasUnreadResponse() {
			unreadBy = append(unreadBy, c)
		}
	}
	f.memory.unsentBytes = unreadBytes
	if unreadBytes > lim.BufferedBytes {
		f.closeUnread(unreadBy, unreadBytes-lim.BufferedBytes)
	}
	return unread
}

// closeUnread closes connections whose clients have not read their responses, until the given number of bytes is freed.
// Many such clients exhaust the memory where one alone does not. Those that have read nothing for the longest time come
// first: others may only be slow.
func (f *Frontend) closeUnread(conns []*Conn, excess int) {
	slices.SortFunc(conns, func(a, b *Conn) int {
		return cmp.Compare(a.output.lastProgressAt, b.output.lastProgressAt)
	})
	for _, c := range conns {
		if excess <= 0 {
			return
		}
		excess -= c.output.unsentBytes
		c.closeWithError(errUnreadLimit)
	}
}

// sweepInterval returns the time to the next sweep. With a fixed short interval every idle router of a fleet would wake
// twenty times a second, which is expensive on a small share of a core. When no connection waits for capacity and no
// drain has begun, the first timeout that a sweep enforces is seconds away: a quarter of the shortest one is soon
// enough. Unread responses need the short interval, since their total is limited at each sweep, and so do messages that
// wait for memory.
func (f *Frontend) sweepInterval(frequent bool) time.Duration {
	lim := &f.limits.Frontend
	if frequent || f.needsFrequentSweeps() {
		return lim.SweepInterval
	}
	shortest := min(
		lim.StartupTimeout,
		lim.FirstCommandTimeout,
		lim.PartialMessageTimeout,
		lim.UnreadTimeout,
		lim.UnitIdleTimeout,
	)
	return max(lim.SweepInterval, shortest/4)
}

// needsFrequentSweeps reports whether connections wait for memory, are being drained, or exceed the number that may
// stay idle. Bytes that are kept for requests in flight are not a shortage of memory.
func (f *Frontend) needsFrequentSweeps() bool {
	lim := &f.limits.Frontend
	if f.memory.used(lim.BufferedBytes) > lim.BufferedBytes || f.drain.begun() {
		return true
	}
	return len(f.connections) > min(lim.SoftLimit, lim.HardLimit)
}

// sweepSoon moves the next sweep forward to the short interval, because an event has occurred that needs it.
func (f *Frontend) sweepSoon() {
	interval := f.limits.Frontend.SweepInterval
	if f.nextSweep != nil && f.eventLoop.Now()+interval < f.nextSweep.Due() {
		f.nextSweep.Stop()
		f.nextSweep = f.eventLoop.AfterFunc(interval, f.sweep)
	}
}

// evictIdle closes the connections that have been idle for the longest time, so that clients that never send a request,
// or send one and stay connected, leave capacity for others. A connection that has a request in flight or is new is not
// closed.
func (f *Frontend) evictIdle(now time.Duration) {
	lim := &f.limits.Frontend
	f.evictDownTo(now, lim.SoftLimit, lim.SoftLimitIdle)
	// Above the hard limit the idle time is short: more clients may connect, send one request and stay than there is
	// capacity for during SoftLimitIdle, and others would wait for capacity until their deadline. A client whose
	// connection is closed between two requests connects again.
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

// evictable reports whether the connection may be closed to free capacity: normally after it has been idle for the
// given time. Data that has arrived and was not read yet counts as activity.
func (c *Conn) evictable(now, idle time.Duration) bool {
	lim := &c.frontend.limits.Frontend
	if !c.lifetime.started {
		return now-c.lifetime.openedAt > lim.UnstartedIdle && !c.input.partial()
	}
	switch {
	case c.lifetime.lastInvalid:
		idle = min(idle, lim.UnstartedIdle)
	case !c.lifetime.commandSeen: // most clients send a command immediately
		idle = lim.UnusedIdle
	}
	return c.betweenRequests() && now-c.lifetime.lastActiveAt > idle && c.socket.HasNothingToReport()
}

// betweenRequests reports whether no response is pending and the client has not started a message or a unit of work.
func (c *Conn) betweenRequests() bool {
	return !c.owesResponse() && !c.input.partial() && c.handler.Idle()
}

// hasUnreadResponse reports whether the connection only waits for its client to read a response.
func (c *Conn) hasUnreadResponse() bool {
	return c.output.unsentBytes > 0 && c.output.flow == nil && !c.owesResponse()
}
