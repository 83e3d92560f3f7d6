package transport

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// LingerTimeout is how long a connection closed by CloseGracefully waits for the peer to close its side. A reachable
// peer needs a round trip and some time to process the end; an unreachable one must not hold a descriptor for longer.
const LingerTimeout = time.Second

// MaxLingering returns how many connections may wait for their peer to close its side, given the number of descriptors.
func MaxLingering(maxFiles int) int { return max(1, maxFiles/32) }

// ClosingCount returns the number of connections that are being closed by CloseGracefully: their last bytes are not
// sent yet, or their peer has not closed its side yet.
func (e *Engine) ClosingCount() int { return e.closingCount }

// CloseGracefully closes the connection in order; the handler is not called any more. Once the system has accepted all
// written bytes, the sending side is shut down, so that the peer reads all of them and then the end. Data that the peer
// still sends is read and dropped until the peer closes its side, for LingerTimeout at most. If the peer accepts no
// bytes during the given timeout, the connection is closed.
//
// Closing a socket with unread bytes would reset the connection, and the peer might lose what it has not read by then,
// which is the last response. A request that the peer sends at the same time is not accepted. The peer can tell,
// because it reads the end of the connection instead of a response.
func (c *Conn) CloseGracefully(timeout time.Duration) {
	if c.closed {
		return
	}
	c.closed = true
	if c.pendingClose != nil {
		return // the poller has reported the end already
	}
	c.gracefulClose.active = true
	c.engine.closingCount++
	if c.ended.Load() {
		return // the poller has closed the connection; its report of the end has been or will be posted
	}
	c.gracefulClose.timeout = timeout
	c.gracefulClose.lastProgress = c.bytesSent.Load()
	c.gracefulClose.timer = c.engine.loop.AfterFunc(timeout, c.checkProgress)
	if c.Flushed() {
		c.shutdownWrite()
	} else {
		c.NotifyWhenUnsentBelow(0)
	}
	c.resumeForClose()
}

// resumeForClose resumes the reading of a paused connection: closing it with unread bytes would reset it.
func (c *Conn) resumeForClose() {
	c.mutex.Lock()
	paused := c.paused
	c.paused = false
	post := paused && !c.dataPosted
	c.dataPosted = c.dataPosted || post
	c.mutex.Unlock()
	if post {
		c.post(c.deliver)
	}
}

// checkProgress closes the connection if the system has accepted no bytes since the last check.
func (c *Conn) checkProgress() {
	sent := c.bytesSent.Load()
	if sent > c.gracefulClose.lastProgress {
		c.gracefulClose.lastProgress = sent
		c.gracefulClose.timer = c.engine.loop.AfterFunc(c.gracefulClose.timeout, c.checkProgress)
		return
	}
	c.closeSocket()
}

// shutdownWrite shuts down the sending side and waits for the peer to close its own.
func (c *Conn) shutdownWrite() {
	// It fails if the peer has reset the connection; the end is reported separately in that case.
	c.withDescriptor(func(descriptor int) { _ = unix.Shutdown(descriptor, unix.SHUT_WR) })
	if c.releaseSlot != nil {
		c.releaseSlot() // lingering connections have a limit of their own
	}
	c.gracefulClose.timer.Stop()
	c.gracefulClose.timer = c.engine.loop.AfterFunc(LingerTimeout, c.closeSocket)
	c.engine.addLingering(c)
}

// endGracefulClose ends the orderly close of a connection that has ended, if one is in progress.
func (c *Conn) endGracefulClose() {
	if !c.gracefulClose.active {
		return
	}
	c.gracefulClose.active = false
	c.gracefulClose.timer.Stop()
	c.engine.closingCount--
	c.engine.lingering = slices.DeleteFunc(c.engine.lingering, func(other *Conn) bool { return other == c })
}

// addLingering keeps a connection open until the peer closes its side. Peers that never do must not use up the
// descriptors, so beyond the limit the oldest lingering connection is closed.
func (e *Engine) addLingering(c *Conn) {
	e.lingering = append(e.lingering, c)
	if len(e.lingering) > e.maxLingering {
		oldest := e.lingering[0]
		e.lingering = slices.Delete(e.lingering, 0, 1)
		oldest.closeSocket()
	}
}
