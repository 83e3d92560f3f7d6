package transport

import (
	"net"

	"golang.org/x/sys/unix"
)

// Write sends p, or buffers it until it can be sent. If it returns an error, the connection is broken and the handler
// is not called any more.
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

// SetWriteBuffer sets the size of the system's send buffer, in bytes. With a buffer of several megabytes, a slow peer
// would seem to accept nothing for seconds.
func (c *Conn) SetWriteBuffer(n int) {
	_ = c.socket.SetWriteBuffer(n) // it fails on a closed connection, which buffers nothing
}

// Flushed reports whether the system has accepted all written bytes. It does not change once the connection is closed.
func (c *Conn) Flushed() bool { return c.bytesSent.Load() == c.bytesQueued.Load() }

// BytesSent returns the number of written bytes that the system has accepted so far.
func (c *Conn) BytesSent() int64 { return c.bytesSent.Load() }

// BytesUnsent returns the number of bytes passed to Write that the system has not accepted yet.
func (c *Conn) BytesUnsent() int { return int(c.bytesQueued.Load() - c.bytesSent.Load()) }

// BytesUndelivered returns how many of the written bytes the peer's system has not received yet, as far as that is
// known: those that this system has not accepted, and those in its send buffer. It asks the system.
func (c *Conn) BytesUndelivered() int {
	unsent := c.BytesUnsent()
	c.withDescriptor(func(descriptor int) {
		if queued, err := unix.IoctlGetInt(descriptor, unix.TIOCOUTQ); err == nil {
			unsent += queued
		}
	})
	return unsent
}

// NotifyWhenUnsentBelow requests one call of WriteDrained, once at most low bytes are unsent.
func (c *Conn) NotifyWhenUnsentBelow(low int) {
	c.lowWaterMark.Store(int64(low) + 1)
	c.handleSent(0)
}

// handleSent records that the system has accepted n more bytes. It is called by the poller's goroutine or the loop's.
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

// handleLowWater runs in the loop when few bytes are unsent. It notifies the handler, or shuts down the sending side of
// a connection that is being closed by CloseGracefully.
func (c *Conn) handleLowWater() {
	if observer, ok := c.handler.(WriteObserver); ok && !c.closed {
		observer.WriteDrained()
	} else if c.gracefulClose.active && c.Flushed() {
		c.shutdownWrite()
	}
}
