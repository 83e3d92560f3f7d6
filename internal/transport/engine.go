package transport

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"limeladder/internal/eventloop"
)

// Engine owns the poller and the connections.
type Engine struct {
	loop       *eventloop.Loop
	poller     *nbio.Engine
	inboxBytes int // of one connection that may wait for the loop

	// These belong to the loop.
	finishing    int     // connections that are being finished
	lingering    []*Conn // those whose peer has yet to end its side, the oldest first; they have no slot any more
	maxLingering int
	loopBuffer   []byte // for reads by the loop

	// connectionCount orders memory: what was written to a connection before it was counted here is seen by the poller's
	// goroutine, which reads the count before it looks at a connection.
	connectionCount atomic.Int64
}

const (
	spareFiles         = 64      // entries of nbio's table beyond the descriptors that connections may have
	unusedBufferBytes  = 1 << 10 // nbio's own read buffer, which is not used
	maxUnsentBytes     = 8 << 20 // of one connection; what a peer may leave unread is bounded by its owner, at less
	pollerShutdownTime = time.Second
)

// New starts the poller. maxFiles bounds the descriptors it has room for, inboxBytes the bytes of one connection that
// may wait for the loop: beyond them it is not read until the loop has looked at them.
func New(loop *eventloop.Loop, maxFiles, inboxBytes int) (*Engine, error) {
	logging.SetLevel(logging.LevelNone)
	// nbio keeps a table of this many entries; its default follows the hard limit and may take 16 MB.
	if nbio.MaxOpenFiles > maxFiles+spareFiles {
		nbio.MaxOpenFiles = maxFiles + spareFiles
	}
	e := &Engine{
		loop:         loop,
		inboxBytes:   inboxBytes,
		maxLingering: MaxLingering(maxFiles),
		loopBuffer:   make([]byte, readBufferBytes),
		// Edge-triggered, with reads of our own: nbio cannot leave a connection unread, and its level-triggered poller
		// would spin on one that is.
		poller: nbio.NewEngine(nbio.Config{
			NPoller:            1,
			ReadBufferSize:     unusedBufferBytes,
			MaxWriteBufferSize: maxUnsentBytes,
			EpollMod:           nbio.EPOLLET,
		}),
	}
	e.registerCallbacks()
	if err := e.poller.Start(); err != nil {
		return nil, fmt.Errorf("poller: %w", err)
	}
	return e, nil
}

// registerCallbacks lets the poller report to the connections.
func (e *Engine) registerCallbacks() {
	pollerBuffer := make([]byte, readBufferBytes)
	e.poller.OnRead(func(socket *nbio.Conn) {
		if c, ok := e.connOf(socket); ok {
			c.read(pollerBuffer)
		}
	})
	e.poller.OnWrittenSize(func(socket *nbio.Conn, _ []byte, n int) {
		if c, ok := e.connOf(socket); ok {
			c.handleSent(int64(n))
		}
	})
	// nbio calls this one in a goroutine of its own: the descriptor may have been given back already.
	e.poller.OnClose(func(socket *nbio.Conn, err error) {
		c, ok := e.connOf(socket)
		if !ok {
			return
		}
		c.releaseDescriptor()
		if c.releaseSlot != nil {
			c.releaseSlot()
		}
		c.post(func() { c.handleClosed(err) })
	})
}

// connOf is the connection of a socket. ok is false for a socket that is not set up yet.
func (e *Engine) connOf(socket *nbio.Conn) (c *Conn, ok bool) {
	c, ok = socket.Session().(*Conn)
	if ok {
		e.connectionCount.Load()
	}
	return c, ok
}

// Stop closes all connections and ends the poller. nbio waits for ever for a connection that comes up while it looks
// through those it has, so its time is limited: the end of the program must not hang on it.
func (e *Engine) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), pollerShutdownTime)
	defer cancel()
	_ = e.poller.Shutdown(ctx) // its only error is that the time is over
}
