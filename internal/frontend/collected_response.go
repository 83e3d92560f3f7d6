package frontend

import "slices"

// A long response is streamed to its client only if no other response is due on its connection. If it breaks off, only
// closing the connection can tell its client, and that would drop the responses behind it, of requests that have been
// accepted. A long response with others behind it is therefore collected: it is kept until it is complete, and if it
// breaks off, an error replaces it and the others follow.
//
// All collected responses share CollectedBytes. Each one reserves its whole length before it is read from its endpoint;
// until there is room its source stays paused, and at its deadline the request is answered with an error.

// collector limits the memory for the collected responses of all connections.
type collector struct {
	reservedBytes int
	waiting       []*slot // responses that wait for room, the oldest first
}

// mustCollect reports whether the response may not be sent in parts, because others are due after it.
func (s *slot) mustCollect() bool { return len(s.conn.pipeline.slots) > 1 }

// collect starts to keep the first response of the pipeline until it is complete, as soon as there is room for it.
func (s *slot) collect() {
	collected := &s.conn.frontend.memory.collector
	s.withheld = true
	if !s.reserveCollected() {
		collected.waiting = append(collected.waiting, s)
		s.flow.SetPaused(true)
		return
	}
	s.flow.SetPaused(false)
}

// reserveCollected reserves the memory for the rest of the response, and reports whether there is enough.
func (s *slot) reserveCollected() bool {
	frontend := s.conn.frontend
	collected := &frontend.memory.collector
	bytes := s.flow.BytesToCome()
	if collected.reservedBytes+bytes > frontend.limits.Frontend.CollectedBytes {
		return false
	}
	collected.reservedBytes += bytes
	s.collectedBytes = bytes
	return true
}

// releaseCollected releases memory that was reserved for a collected response, or its place among those that wait for
// some. Others that wait continue if there is room now.
func (s *slot) releaseCollected(bytes int) {
	collected := &s.conn.frontend.memory.collector
	if i := slices.Index(collected.waiting, s); i >= 0 {
		collected.waiting = slices.Delete(collected.waiting, i, i+1)
	}
	s.collectedBytes -= bytes
	collected.reservedBytes -= bytes
	collected.resumeWaiting()
}

// resumeWaiting resumes the responses that there is room for now, in the order in which they came.
func (c *collector) resumeWaiting() {
	for len(c.waiting) > 0 && c.waiting[0].reserveCollected() {
		s := c.waiting[0]
		c.waiting = c.waiting[1:]
		s.flow.SetPaused(false)
	}
}

// WithholdsResponse implements router.Client.
func (s *slot) WithholdsResponse() bool { return s.withheld }
