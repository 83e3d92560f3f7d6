package transport

import (
	"cmp"
	"errors"
	"net"
	"syscall"
)

// readBufferBytes is the size of one read.
const readBufferBytes = 32 << 10

// read keeps what has come for the loop. A peer that sends faster than the loop looks at it must not fill the memory:
// beyond the inbox the socket is left unread until deliver reads on, and the peer finds its window closed.
func (c *Conn) read(buf []byte) {
	c.readMutex.Lock()
	defer c.readMutex.Unlock()
	for {
		// The poller closes a connection as soon as its peer has ended it. What was sent before must not be lost.
		if c.noteInboxFull() && !c.peerHasEnded() {
			c.recordUnreadArrivals()
			return
		}
		n, err := c.socket.Read(buf)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if errors.Is(err, syscall.EAGAIN) {
			return
		}
		if n <= 0 || err != nil {
			c.releaseDescriptor() // nbio closes it next
			if err != nil {
				_ = c.socket.CloseWithError(err) // the handler is told by OnClose, whatever this returns
			}
			return
		}
		c.receive(buf[:n])
		if n < len(buf) && !c.readsToEnd.Load() {
			return // the poller reports what comes from now on
		}
	}
}

// noteInboxFull notes and reports whether the inbox is full.
func (c *Conn) noteInboxFull() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.inboxFull = len(c.inbox) >= c.engine.inboxBytes
	return c.inboxFull
}

// receive puts bytes into the inbox and tells the loop unless it has been told.
func (c *Conn) receive(p []byte) {
	c.mutex.Lock()
	c.inbox = append(c.inbox, p...)
	c.recordArrival(len(p))
	post := !c.dataPosted
	c.dataPosted = true
	c.mutex.Unlock()
	if post {
		c.post(c.deliver)
	}
}

// deliver hands the inbox to the handler, in the loop, and reads on where the socket was left unread.
func (c *Conn) deliver() {
	c.mutex.Lock()
	if c.paused {
		c.dataPosted = false
		c.mutex.Unlock()
		return
	}
	p := c.inbox
	full := c.inboxFull
	c.inbox = nil
	c.dataPosted = false
	c.inboxFull = false
	c.mutex.Unlock()
	dropped := c.promptClose && c.ended.Load()
	wanted := !c.closed && !dropped
	if wanted && len(p) > 0 {
		c.handler.Data(p)
	}
	if full && (!c.closed || c.finish.active) {
		c.read(c.engine.loopBuffer)
	}
}

// SetPaused stops the reading of the connection, or goes on with it. What has come before its end is still reported.
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

// deferClose keeps the end of a connection that is paused until it goes on.
func (c *Conn) deferClose(err error) { c.pendingClose = cmp.Or(err, net.ErrClosed) }

// ReportCloseAtOnce lets the end of the connection be reported at once, also while it is paused: what came before it
// and was not looked at is dropped. It is for peers whose end says that they want nothing more.
func (c *Conn) ReportCloseAtOnce() { c.promptClose = true }

// DetectResets lets the handler tell a reset from an end also where data came right before it, at the price of one
// more read behind all that comes.
func (c *Conn) DetectResets() { c.readsToEnd.Store(true) }

// Quiet reports whether nothing has come that the handler was not told, not even the end of the connection. It looks at
// the socket itself, because the poller may be behind.
func (c *Conn) Quiet() bool {
	c.mutex.Lock()
	waiting := len(c.inbox) > 0
	c.mutex.Unlock()
	if c.closed || waiting {
		return false
	}
	quiet := false
	ok := c.withDescriptor(func(descriptor int) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(descriptor, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
	})
	return ok && quiet
}
