package syslog

// The messages of a Sender: which ones are sent next, which ones are delivered, and which ones are queued again when a
// connection ends.

import (
	"crypto/tls"
	"time"

	"limeladder/internal/spool"
)

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
