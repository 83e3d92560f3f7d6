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
	inboxBytes int // maximum unprocessed bytes of one connection before reading stops
	inboxes    inboxBudget

	// Only the loop uses these.
	closingCount int     // connections that are being closed by CloseGracefully
	lingering    []*Conn // those that wait for the peer to close its side, oldest first; they no longer have a slot
	maxLingering int
	loopBuffer   []byte // for reads by the loop

	// connectionCount provides memory ordering: writes to a Conn before it is counted here are visible to the poller's
	// goroutine, which loads the count before it uses a Conn.
	connectionCount atomic.Int64
}

const (
	spareFiles         = 64      // entries of nbio's table in addition to the descriptors that connections may have
	unusedBufferBytes  = 1 << 10 // size of nbio's own read buffer, which is not used
	maxUnsentBytes     = 8 << 20 // of one connection; the connection's owner sets a lower limit
	pollerShutdownTime = time.Second
)

// New returns an Engine with a running poller. maxFiles is the number of descriptors that the poller has room for.
// inboxBytes bounds the bytes of one connection that wait for the loop: beyond it the connection is not read until the
// loop has processed them.
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
		// Edge-triggered, with reads by this package: nbio itself cannot stop reading a connection, and its
		// level-triggered poller would spin on a connection that is not read.
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

// LimitInboxes bounds the unprocessed bytes of all connections together, with what each one may have in any case. It
// must be called before the first connection is opened.
func (e *Engine) LimitInboxes(total, least int) {
	e.inboxes.totalBytes = int64(total)
	e.inboxes.leastBytes = least
}

// registerCallbacks registers the callbacks with which the poller reports events to the connections.
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
	// nbio calls this one in a goroutine of its own: the descriptor may have been closed already.
	e.poller.OnClose(func(socket *nbio.Conn, err error) {
		c, ok := e.connOf(socket)
		if !ok {
			return
		}
		c.releaseDescriptor()
		c.post(func() { c.handleClosed(err) })
	})
}

// connOf returns the connection of a socket. ok is false for a socket that is not set up yet.
func (e *Engine) connOf(socket *nbio.Conn) (c *Conn, ok bool) {
	c, ok = socket.Session().(*Conn)
	if ok {
		e.connectionCount.Load()
	}
	return c, ok
}

// Stop closes all connections and stops the poller. nbio's shutdown never returns if a connection is established while
// it iterates over the existing ones, so it runs with a timeout: the end of the process must not hang on it.
func (e *Engine) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), pollerShutdownTime)
	defer cancel()
	_ = e.poller.Shutdown(ctx) // the only error is that the timeout has passed
}
