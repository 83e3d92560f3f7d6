package transport

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// LingerTimeout is how long a connection that is finished waits for its peer to end its side. A peer that is there
// needs a round trip and a turn of its own; one that is not there must not hold a descriptor for longer.
const LingerTimeout = time.Second

// MaxLingering is how many connections may wait for their peer to end its side, of so many descriptors.
func MaxLingering(maxFiles int) int { return max(1, maxFiles/32) }

// Finishing is the number of connections that are being finished: their last bytes are not taken yet, or their peer has
// yet to end its side.
func (e *Engine) Finishing() int { return e.finishing }

// Finish ends the connection in order; the handler is told nothing more. Once the system has taken all that was
// written, the sending side is shut: the peer reads all of it and then the end. What the peer still sends is read and
// dropped until it ends its side, for Linger at most. A peer that takes nothing for the given time is given up.
//
// A close while bytes lie unread would reset the connection, and what the peer has not read by then, the last response,
// may be lost to it. A request that crosses the end is not accepted, and the peer, which reads an end in place of a
// response, can tell.
func (c *Conn) Finish(timeout time.Duration) {
	if c.closed {
		return
	}
	c.closed = true
	if c.pendingClose != nil {
		return // its end has been reported here
	}
	c.finish.active = true
	c.engine.finishing++
	if c.ended.Load() {
		return // the poller has closed it, and the report of its end is on its way here
	}
	c.finish.timeout = timeout
	c.finish.lastProgress = c.bytesSent.Load()
	c.finish.timer = c.engine.loop.AfterFunc(timeout, c.checkProgress)
	if c.Flushed() {
		c.shutdownWrite()
	} else {
		c.NotifyWhenUnsentBelow(0)
	}
	c.resumeToFinish()
}

// resumeToFinish goes on with a connection that was paused: what is left unread would make a reset of its close.
func (c *Conn) resumeToFinish() {
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

// checkProgress gives up a peer that has taken nothing since the last check.
func (c *Conn) checkProgress() {
	sent := c.bytesSent.Load()
	if sent > c.finish.lastProgress {
		c.finish.lastProgress = sent
		c.finish.timer = c.engine.loop.AfterFunc(c.finish.timeout, c.checkProgress)
		return
	}
	c.closeSocket()
}

// shutdownWrite ends the sending side and waits for the peer to end its own.
func (c *Conn) shutdownWrite() {
	// It fails where the peer has reset the connection, the report of whose end is on its way here then.
	c.withDescriptor(func(descriptor int) { _ = unix.Shutdown(descriptor, unix.SHUT_WR) })
	if c.releaseSlot != nil {
		c.releaseSlot() // connections that linger have a limit of their own
	}
	c.finish.timer.Stop()
	c.finish.timer = c.engine.loop.AfterFunc(LingerTimeout, c.closeSocket)
	c.engine.addLingering(c)
}

// stopFinishing stops counting the connection among those that are being finished.
func (c *Conn) stopFinishing() {
	if !c.finish.active {
		return
	}
	c.finish.active = false
	c.finish.timer.Stop()
	c.engine.finishing--
	c.engine.lingering = slices.DeleteFunc(c.engine.lingering, func(other *Conn) bool { return other == c })
}

// addLingering keeps a connection until its peer ends its side. Peers that never do must not take the descriptors that
// others need, so beyond the limit the oldest one is closed.
func (e *Engine) addLingering(c *Conn) {
	e.lingering = append(e.lingering, c)
	if len(e.lingering) > e.maxLingering {
		oldest := e.lingering[0]
		e.lingering = slices.Delete(e.lingering, 0, 1)
		oldest.closeSocket()
	}
}
