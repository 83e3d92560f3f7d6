package syslog

// The goroutine of a Sender: it connects to collectors and sends them the undelivered messages, the oldest first.

import (
	"fmt"
	"time"
)

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

// closeState reports whether Close was called, and whether its time limit has passed.
func (s *Sender) closeState() (closing, expired bool) {
	select {
	case <-s.quit:
		return true, s.ctx.Err() != nil
	default:
		return false, false
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
