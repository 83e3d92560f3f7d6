package transport

import "sync/atomic"

// inboxBudget bounds the received bytes of all connections that the loop has not processed yet.
//
// A connection may have a share of what is left of the budget. A few connections with much to process have as much as
// one connection may have; the more of them there are, the less each is read ahead, and the system's buffers hold the
// rest.
type inboxBudget struct {
	totalBytes int64 // 0 = only the limit of each connection applies
	leastBytes int   // a connection may have as much in any case
	usedBytes  atomic.Int64
}

// inboxShare is the part of the remaining budget that one connection may have.
const inboxShare = 8

// limit returns how many unprocessed bytes one connection may have now, at most the given number.
func (b *inboxBudget) limit(most int) int {
	if b.totalBytes == 0 {
		return most
	}
	share := int((b.totalBytes - b.usedBytes.Load()) / inboxShare)
	return min(most, max(b.leastBytes, share))
}

// takeInbox empties the inbox and returns its bytes. The caller holds c.mutex.
func (c *Conn) takeInbox() []byte {
	data := c.inbox
	c.inbox = nil
	c.engine.inboxes.usedBytes.Add(-int64(len(data)))
	return data
}

// emptyInbox drops the bytes in the inbox and keeps its memory for those that come next. A peer that goes on sending on
// a connection that is being closed would otherwise make garbage as fast as it sends. The caller holds c.mutex.
func (c *Conn) emptyInbox() {
	c.engine.inboxes.usedBytes.Add(-int64(len(c.inbox)))
	c.inbox = c.inbox[:0]
}

// dropInbox drops received bytes that will not be processed.
func (c *Conn) dropInbox() {
	c.mutex.Lock()
	c.takeInbox()
	c.mutex.Unlock()
}
