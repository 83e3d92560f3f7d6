package transport

import (
	"cmp"
	"errors"
	"net"
	"syscall"
)

// readBufferBytes is the size of the buffer for one read, in bytes.
const readBufferBytes = 32 << 10

// read reads from the socket into the inbox. A peer that sends faster than the loop processes its data must not exhaust
// the memory: once the inbox is full, the socket is not read until deliver resumes it, and TCP flow control stops the
// peer.
func (c *Conn) read(buf []byte) {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	for {
		// The poller closes a connection as soon as its peer has ended it. Data sent before the end must not be lost, so
		// it is read even beyond the limit of the inbox.
		full, room := c.updateInboxFull()
		if full && !c.peerHasEnded() {
			c.recordUnreadArrivals()
			return
		}
		unwanted := full && c.reportCloseAtOnce.Load() // the end is reported, and nothing of what precedes it
		piece := buf[:min(room, len(buf))]
		n, err := c.socket.Read(piece)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if errors.Is(err, syscall.EAGAIN) {
			return
		}
		if n <= 0 || err != nil {
			c.releaseDescriptor() // nbio closes it next
			if err != nil {
				_ = c.socket.CloseWithError(err) // OnClose reports the end, whatever this returns
			}
			return
		}
		if !unwanted {
			c.receive(piece[:n])
		}
		if n < len(piece) && !c.readsToEnd.Load() {
			return // the poller reports data that arrives later
		}
	}
}

// updateInboxFull updates inboxFull and returns it, with the most bytes to be read at once. While the connection is
// paused any data fills the inbox: the rest stays in the system's buffer, so that many paused connections take little
// memory.
func (c *Conn) updateInboxFull() (full bool, readBytes int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	limit := c.engine.inboxes.limit(c.engine.inboxBytes)
	if c.inboxLimit > 0 && c.inboxLimit < limit {
		limit = c.inboxLimit
	}
	c.inboxFull = len(c.inbox) >= limit || c.paused && len(c.inbox) > 0
	return c.inboxFull, min(readBufferBytes, limit)
}

// LimitInbox lowers the number of unprocessed bytes beyond which the connection is not read, and reads at most as many
// at once. 0 restores the limit that was given to New.
func (c *Conn) LimitInbox(bytes int) {
	c.mutex.Lock()
	c.inboxLimit = bytes
	c.mutex.Unlock()
}

// receive appends bytes to the inbox and posts deliver unless it has been posted already.
func (c *Conn) receive(p []byte) {
	c.mutex.Lock()
	c.inbox = append(c.inbox, p...)
	c.engine.inboxes.usedBytes.Add(int64(len(p)))
	c.recordArrival(len(p))
	post := !c.dataPosted
	c.dataPosted = true
	c.mutex.Unlock()
	if post {
		c.post(c.deliver)
	}
}

// deliver passes the inbox to the handler, in the loop, and resumes reading if it had stopped because the inbox was
// full.
func (c *Conn) deliver() {
	c.mutex.Lock()
	if c.paused {
		c.dataPosted = false
		c.mutex.Unlock()
		return
	}
	dropped := c.reportCloseAtOnce.Load() && c.ended.Load()
	var p []byte
	if c.closed || dropped {
		c.emptyInbox()
	} else {
		p = c.takeInbox()
	}
	full := c.inboxFull
	c.dataPosted = false
	c.inboxFull = false
	c.mutex.Unlock()
	if len(p) > 0 {
		c.handler.Data(p)
	}
	if full && (!c.closed || c.gracefulClose.active) {
		c.read(c.engine.loopBuffer)
	}
}

// SetPaused pauses or resumes the connection. While it is paused no data is reported, and reading stops once there is
// some in the inbox. If the connection ends meanwhile, the data received before the end is still reported after the
// pause.
func (c *Conn) SetPaused(paused bool) {
	if c.closed || c.paused == paused {
		return
	}
	c.mutex.Lock()
	c.paused = paused
	post := !paused && !c.dataPosted
	c.dataPosted = c.dataPosted || post
	c.mutex.Unlock()
	if post {
		c.post(c.deliver)
	}
	if !paused && c.pendingClose != nil {
		c.post(func() { c.handleClosed(c.pendingClose) })
	}
}

// deferClose stores the end of a paused connection until the connection is resumed.
func (c *Conn) deferClose(err error) { c.pendingClose = cmp.Or(err, net.ErrClosed) }

// ReportCloseAtOnce requests that the end of the connection be reported without delay, even while it is paused.
// Unprocessed data received before the end is dropped. It is for peers that no longer want a response once they close
// the connection.
func (c *Conn) ReportCloseAtOnce() { c.reportCloseAtOnce.Store(true) }

// DetectResets makes a reset distinguishable from an orderly end even if it follows data immediately. The cost is one
// more read after each batch of data.
func (c *Conn) DetectResets() { c.readsToEnd.Store(true) }

// HasNothingToReport reports whether the connection is open and nothing is left to report to the handler: neither
// received data nor the end of the connection. It checks the socket itself, because the poller may not have processed
// the latest events.
func (c *Conn) HasNothingToReport() bool {
	if !c.readMutex.TryLock() {
		return false // a read in progress may have taken bytes from the socket that are not in the inbox yet
	}
	defer c.readMutex.Unlock()
	c.mutex.Lock()
	waiting := len(c.inbox) > 0
	c.mutex.Unlock()
	if c.closed || waiting {
		return false
	}
	empty := false
	ok := c.withDescriptor(func(descriptor int) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(descriptor, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = errors.Is(err, syscall.EAGAIN)
	})
	return ok && empty
}
