package syslog

// The goroutine of a Sender: it connects to collectors, writes messages, counts the acknowledged ones as delivered, and
// queues the others again when a connection ends.

import (
	"crypto/tls"
	"fmt"
	"time"

	"limeladder/internal/spool"
)

// closeState reports whether Close was called, and whether its time limit has passed.
func (s *Sender) closeState() (closing, expired bool) {
	select {
	case <-s.quit:
		return true, s.ctx.Err() != nil
	default:
		return false, false
	}
}

// run is the goroutine that sends messages to collectors until Close ends it.
func (s *Sender) run() {
	defer close(s.done)
	var conn *connection
	defer func() {
		if conn != nil {
			s.disconnect(conn, true)
		}
	}()
	for {
		closing, expired := s.closeState()
		if expired {
			return
		}
		if s.applyChange() && conn != nil {
			s.disconnect(conn, true)
			conn = nil
		}
		s.syncSpools()
		if conn == nil {
			if closing && s.hasNothingToSend() {
				return
			}
			if conn = s.connect(); conn == nil {
				continue
			}
		}
		s.processAcks(conn)
		if conn.closed.Load() {
			s.connectionFailed(conn, nil)
			conn = nil
			continue
		}
		if time.Since(conn.connectedAt) > s.opt.StallTimeout {
			s.failover.ResetBackoff(s.collectorIndex)
			s.earlyResets = 0
		}
		if s.collectorIndex > 0 && time.Since(conn.connectedAt) > s.opt.FailbackInterval &&
			s.failover.CanRetryPreferred(s.collectorIndex, time.Since(s.startedAt)) {
			s.disconnect(conn, true)
			conn = nil
			continue
		}
		c, wait := s.nextChunk()
		if c == nil {
			if closing && s.hasNothingToSend() {
				return
			}
			s.pause(wait)
			continue
		}
		if err := s.sendChunk(conn, c); err != nil {
			s.connectionFailed(conn, err)
			conn = nil
		}
	}
}

// pause waits until run is woken, Close is called or its time limit passes, but no longer than timeout.
func (s *Sender) pause(timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	quit := s.quit
	if closing, _ := s.closeState(); closing {
		quit = nil
	}
	select {
	case <-s.wake:
	case <-t.C:
	case <-quit:
	case <-s.ctx.Done():
	}
}

// hasNothingToSend reports whether memory and the process's own spool hold no undelivered message.
func (s *Sender) hasNothingToSend() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting) == 0 && len(s.unacked) == 0 && (s.ownSpool == nil || s.ownSpool.Empty())
}

// applyChange applies the collectors set by the last call of SetCollectors, and reports whether there was one.
func (s *Sender) applyChange() bool {
	next := s.pendingChange.Swap(nil)
	if next == nil {
		return false
	}
	s.opt.Collectors = next.collectors
	s.opt.TLS = next.tls
	s.failover = *NewFailover(len(s.opt.Collectors), s.opt.Seed, s.opt.MinBackoff, s.opt.MaxBackoff)
	return true
}

// connect connects to the next collector, or waits up to 1 s until one may be tried. It returns nil if it has not
// connected.
func (s *Sender) connect() *connection {
	now := time.Since(s.startedAt)
	i, wait := s.failover.Next(now)
	if i < 0 {
		s.pause(min(wait, time.Second))
		return nil
	}
	c := s.opt.Collectors[i]
	conn, err := dial(s.ctx, c, s.opt.TLS, s.opt.ConnectTimeout, s.opt.MemoryBytes)
	if err != nil {
		s.failover.Failed(i, time.Since(s.startedAt))
		if s.ctx.Err() == nil {
			s.log.Warn("syslog: connecting to the collector failed; trying the next one, or this one after the backoff",
				"collector", c.String(), "err", err)
		}
		return nil
	}
	s.collectorIndex = i
	s.connections.Add(1)
	s.connected.Store(true)
	if !conn.udp {
		s.log.Info("syslog: connected to the collector", "collector", c.String())
	}
	s.mu.Lock()
	s.connection = conn
	s.mu.Unlock()
	return conn
}

// nextChunk returns the next messages to send: from memory, then from the process's own spool, then from the spools of
// dead processes. If there are none it returns nil and how long to wait before the next call.
func (s *Sender) nextChunk() (c *chunk, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait = 50 * time.Millisecond
	if len(s.unacked) > 0 {
		// Frequent polling would delay the timers of the event loop: on a machine with one processor, a wakeup between two
		// timers makes the next one late, because waits are rounded to milliseconds. So a connection without new
		// acknowledgements is polled less and less often.
		wait = min(wait, 2*time.Millisecond<<min(s.idleAckChecks/8, 5))
		s.idleAckChecks++
	}
	if n, size := 0, 0; len(s.waiting) > 0 {
		for n < len(s.waiting) && (n == 0 || size+len(s.waiting[n])+8 <= maxChunkBytes) {
			size += len(s.waiting[n]) + 8
			n++
		}
		c = &chunk{msgs: s.waiting[:n:n]}
		s.waiting = s.waiting[n:]
		if len(s.waiting) == 0 {
			s.waiting = nil
		}
		return c, 0
	}
	now := time.Now()
	limit := 1 << 20
	if s.opt.ReplayRate > 0 {
		s.replayTokens = min(float64(s.opt.ReplayRate),
			s.replayTokens+now.Sub(s.tokensFilledAt).Seconds()*float64(s.opt.ReplayRate))
		limit = int(s.replayTokens)
	}
	s.tokensFilledAt = now
	for _, source := range append([]*spool.Spool{s.ownSpool}, s.adoptedSpools...) {
		if source == nil || limit == 0 {
			continue
		}
		msgs, err := source.Next(nil, min(limit, maxChunkBytes/64), maxChunkBytes-1024)
		if err != nil {
			s.noteSpoolError(err)
			continue
		}
		if len(msgs) == 0 {
			continue
		}
		s.replayTokens -= float64(len(msgs))
		c = &chunk{msgs: msgs, source: source, sourceOffset: source.ReadOffset()}
		for _, m := range msgs {
			c.sourceOffset -= int64(len(m) + spool.Overhead)
		}
		return c, 0
	}
	s.removeDeliveredSpools()
	return nil, wait
}

// removeDeliveredSpools removes the adopted spools all of whose messages are delivered.
func (s *Sender) removeDeliveredSpools() {
	remaining := s.adoptedSpools[:0]
	for _, other := range s.adoptedSpools {
		if other.Empty() {
			s.skippedBytes.Add(uint64(other.Skipped()))
			_ = other.Remove() // if this fails, the folder is empty and the next start removes it
		} else {
			remaining = append(remaining, other)
		}
	}
	clear(s.adoptedSpools[len(remaining):])
	s.adoptedSpools = remaining
}

// sendChunk writes a chunk to the connection. On a stream the chunk is unacknowledged until processAcks finds it
// delivered.
func (s *Sender) sendChunk(conn *connection, c *chunk) error {
	if conn.udp {
		n, err := conn.sendDatagrams(c.msgs)
		s.noteDelivered(c, n)
		if err != nil {
			c.msgs = c.msgs[n:]
			s.requeue([]chunk{*c}, nil)
		}
		return err
	}
	s.writeBuffer = s.writeBuffer[:0]
	start := conn.counter.written
	_, isTLS := conn.transport.(*tls.Conn)
	for _, m := range c.msgs {
		s.writeBuffer = Frame(s.writeBuffer, m)
		if !isTLS {
			c.endOffsets = append(c.endOffsets, start+int64(len(s.writeBuffer)))
		}
	}
	s.unacked = append(s.unacked, *c)
	timeout := s.opt.StallTimeout
	if closing, _ := s.closeState(); closing {
		timeout = min(timeout, time.Until(s.closeDeadline))
	}
	err := conn.write(s.writeBuffer, timeout)
	if isTLS {
		// A collector can't decrypt a part of a TLS record, so a chunk that was not completely written has not arrived: its
		// end offset lies beyond the bytes that were written.
		s.unacked[len(s.unacked)-1].endOffsets = []int64{conn.counter.written}
		if err != nil {
			s.unacked[len(s.unacked)-1].endOffsets[0]++
		}
	}
	return err
}

// processAcks counts the messages that the collector's system has acknowledged as delivered.
func (s *Sender) processAcks(conn *connection) {
	if len(s.unacked) == 0 {
		return
	}
	acked := conn.ackedBytes()
	for len(s.unacked) > 0 {
		c := &s.unacked[0]
		n := 0
		for n < len(c.endOffsets) && c.endOffsets[n] <= acked {
			n++
		}
		if n > 0 && len(c.endOffsets) == 1 {
			n = len(c.msgs) // a TLS chunk has one end offset for all of its messages
		}
		s.noteDelivered(c, n)
		if n < len(c.msgs) {
			c.msgs, c.endOffsets = c.msgs[n:], c.endOffsets[n:]
			return
		}
		s.unacked = s.unacked[1:]
	}
	s.unacked = nil
}

// noteDelivered counts the first n messages of a chunk as delivered, in the spool too if they come from one.
func (s *Sender) noteDelivered(c *chunk, n int) {
	if n == 0 {
		return
	}
	s.sent.Add(uint64(n))
	s.idleAckChecks = 0
	s.mu.Lock()
	for _, m := range c.msgs[:n] {
		if c.source == nil {
			s.memoryBytes -= len(m)
		} else {
			c.sourceOffset += int64(len(m) + spool.Overhead)
		}
	}
	if c.source != nil {
		c.source.MarkDelivered(c.sourceOffset)
	}
	s.mu.Unlock()
	if s.opt.RepeatBytes > 0 {
		for _, m := range c.msgs[:n] {
			s.recent = append(s.recent, m)
			s.recentBytes += len(m)
		}
		for s.recentBytes > s.opt.RepeatBytes {
			s.recentBytes -= len(s.recent[0])
			s.recent = s.recent[1:]
		}
	}
}

// requeue queues undelivered chunks again, oldest first, and in front of them the delivered messages that are repeated.
func (s *Sender) requeue(remaining []chunk, repeat [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var front [][]byte
	for _, m := range repeat {
		front = append(front, m)
		s.memoryBytes += len(m)
	}
	for _, c := range remaining {
		if c.source != nil {
			c.source.Rewind()
			continue
		}
		front = append(front, c.msgs...)
	}
	s.waiting = append(front, s.waiting...)
	s.moveToSpool()
}

// moveToSpool moves the messages that wait in memory to the front of the spool, so that they survive the process. It
// does nothing while there is a connection or the disk has failed recently.
func (s *Sender) moveToSpool() {
	if s.ownSpool == nil || len(s.waiting) == 0 || s.connection != nil || s.spoolFailedRecently() {
		return
	}
	if err := s.ownSpool.Prepend(s.waiting); err != nil {
		s.noteSpoolError(err)
		return
	}
	for _, m := range s.waiting {
		s.memoryBytes -= len(m)
	}
	s.spooled.Add(uint64(len(s.waiting)))
	s.waiting = nil
}

// connectionFailed ends a connection that broke, and starts the collector's backoff. A nil error means that reading
// from the connection ended, because the collector closed it or it broke.
func (s *Sender) connectionFailed(conn *connection, err error) {
	s.failover.Failed(s.collectorIndex, time.Since(s.startedAt))
	if !conn.udp {
		s.log.Warn("syslog: connection to the collector ended; connecting to the next one, or this one after the backoff",
			"collector", s.opt.Collectors[s.collectorIndex].String(), "err", fmt.Sprint(err))
	}
	s.disconnect(conn, false)
}

// disconnect closes a connection and queues undelivered messages again. graceful is set if the connection works: it is
// then closed when all written bytes are acknowledged, or after a timeout.
func (s *Sender) disconnect(conn *connection, graceful bool) {
	s.mu.Lock()
	s.connection = nil
	s.mu.Unlock()
	s.connected.Store(false)
	if conn.udp {
		conn.socket.Close()
		s.requeue(nil, nil)
		return
	}
	orderly := graceful || conn.closed.Load() && conn.closedCleanly.Load()
	if orderly {
		timeout := min(s.opt.StallTimeout, closeAckTimeout)
		if _, expired := s.closeState(); expired {
			timeout = closeAckTimeout / 10
		}
		conn.closeWriting(timeout)
	}
	s.processAcks(conn)
	if len(s.unacked) > 0 {
		// Unacknowledged messages are sent again on another connection, so the kernel must not go on sending them in the
		// background.
		conn.awaitLateAcks(lateAckTimeout)
		s.processAcks(conn)
		conn.discardUnackedOnClose()
	}
	conn.socket.Close()
	var repeat [][]byte
	if !orderly {
		// The collector may never have read messages that its system has acknowledged, so the newest of them are sent
		// again. A collector that resets again and again before it has read the repeated messages would never get to newer
		// ones, so each such reset halves the number of bytes that are repeated.
		repeat = s.recent
		for maxRepeat := s.opt.RepeatBytes >> min(s.earlyResets, 30); s.recentBytes > maxRepeat; repeat = repeat[1:] {
			s.recentBytes -= len(repeat[0])
		}
		s.earlyResets++
		s.repeated.Add(uint64(len(repeat)))
	}
	s.recent, s.recentBytes = nil, 0
	remaining := s.unacked
	s.unacked = nil
	s.requeue(remaining, repeat)
}

// syncSpools flushes the spool to the disk and saves the cursors once a second. Every adoptInterval it adopts the
// spools of processes that have died.
func (s *Sender) syncSpools() {
	if s.ownSpool == nil || time.Since(s.syncedAt) < time.Second {
		return
	}
	s.syncedAt = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.adoptedAt) > adoptInterval {
		s.adoptedAt = time.Now()
		adopted, err := spool.Adopt(s.opt.SpoolFolder, s.opt.SpoolOptions)
		if err != nil {
			s.noteSpoolError(err)
		}
		s.adoptedSpools = append(s.adoptedSpools, adopted...)
	}
	if err := s.ownSpool.Sync(); err != nil {
		s.noteSpoolError(err)
	}
	for _, other := range append([]*spool.Spool{s.ownSpool}, s.adoptedSpools...) {
		if !other.Empty() {
			if err := other.SaveCursor(); err != nil {
				s.noteSpoolError(err)
			}
		}
	}
}
