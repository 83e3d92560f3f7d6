package transport

import "net"

// Write sends p, or keeps it until the peer takes it. An error says that the connection is broken; the handler is told
// nothing more.
func (c *Conn) Write(p []byte) error {
	if c.closed {
		return net.ErrClosed
	}
	c.bytesQueued.Add(int64(len(p)))
	if _, err := c.socket.Write(p); err != nil {
		c.closed = true
		c.releaseDescriptor()
		return err
	}
	return nil
}

// SetWriteBuffer bounds, in bytes, what the system keeps of what was written and not taken. Behind megabytes of it a
// slow peer would seem to take nothing for seconds.
func (c *Conn) SetWriteBuffer(n int) {
	_ = c.socket.SetWriteBuffer(n) // it fails on a connection that is closed, which keeps nothing
}

// Flushed reports whether the system has taken all that was written. Once the connection is closed it does not change.
func (c *Conn) Flushed() bool { return c.bytesSent.Load() == c.bytesQueued.Load() }

// BytesSent is the number of bytes that the system has taken so far.
func (c *Conn) BytesSent() int64 { return c.bytesSent.Load() }

// BytesUnsent is the number of bytes handed to Write that the system has not taken yet.
func (c *Conn) BytesUnsent() int { return int(c.bytesQueued.Load() - c.bytesSent.Load()) }

// NotifyWhenUnsentBelow asks for one call of Taken, once no more than low bytes are left to take.
func (c *Conn) NotifyWhenUnsentBelow(low int) {
	c.lowWaterMark.Store(int64(low) + 1)
	c.handleSent(0)
}

// handleSent notes that the system has taken n more bytes. The poller's goroutine calls it, or the loop's.
func (c *Conn) handleSent(n int64) {
	sent := c.bytesSent.Add(n)
	mark := c.lowWaterMark.Load()
	if mark <= 0 || c.bytesQueued.Load()-sent >= mark {
		return
	}
	if c.lowWaterMark.CompareAndSwap(mark, 0) {
		c.post(c.handleLowWater)
	}
}

// handleLowWater tells the handler, in the loop, that little is left to take, or shuts the sending side of a connection
// that is being finished.
func (c *Conn) handleLowWater() {
	if taker, ok := c.handler.(WriteObserver); ok && !c.closed {
		taker.WriteDrained()
	} else if c.finish.active && c.Flushed() {
		c.shutdownWrite()
	}
}
