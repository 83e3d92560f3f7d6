package transport

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"limeladder/internal/eventloop"
)

// Handler handles the events of a connection. It is not called again after Closed.
type Handler interface {
	// Data is called with received bytes. p is valid only until Data returns.
	Data(p []byte)
	// Closed is called when the connection has ended, with the reason.
	Closed(err error)
}

// WriteObserver is implemented by a Handler that is notified when most of the written bytes have been sent.
type WriteObserver interface {
	// WriteDrained is called once the number of unsent bytes is at most the one given to NotifyWhenUnsentBelow.
	WriteDrained()
}

// Conn is one connection. Its exported methods must be called on the loop's goroutine.
type Conn struct {
	engine  *Engine
	socket  *nbio.Conn
	handler Handler
	closed  bool // the handler is not called any more

	post        func(func()) // posts events of the connection to the loop
	releaseSlot func()       // releases the listener's slot, nil = the connection was dialed

	// Writing.
	bytesQueued  atomic.Int64 // passed to Write
	bytesSent    atomic.Int64 // accepted by the system
	lowWaterMark atomic.Int64 // WriteDrained is called once fewer bytes than this are unsent; 0 = no call is due

	// Reading.
	readMutex         sync.Mutex  // held while the socket is read, by the poller or the loop
	paused            bool        // the loop has paused reading; written under mutex
	pendingClose      error       // the connection ended while it was paused, nil = it has not
	reportCloseAtOnce atomic.Bool // the end is reported without delay, and unprocessed bytes before it are dropped
	readsToEnd        atomic.Bool // each read continues until no data is left, so that a reset after data is detected

	// Closing.
	gracefulClose gracefulCloseState
	ended         atomic.Bool // by the peer, or closed by this process

	descriptorMutex    sync.Mutex // held while code other than nbio uses the descriptor
	descriptorReleased bool       // the descriptor must not be used any more

	mutex           sync.Mutex // guards the fields below
	inbox           []byte     // received and not yet processed by the loop
	inboxFull       bool       // reading has stopped; the system may hold more bytes
	inboxLimit      int        // see LimitInbox; 0 = that of the engine
	dataPosted      bool       // a call of deliver has been posted to the loop
	recordsArrivals bool       // set before anything is received
	bytesRead       int64
	arrivals        arrivalLog
}

// gracefulCloseState is the state of a connection that is being closed by CloseGracefully. Only the loop uses it.
type gracefulCloseState struct {
	active       bool
	timeout      time.Duration // how long the peer may accept none of the written bytes
	lastProgress int64         // the value of bytesSent at the last check
	timer        *eventloop.Timer
}

// RemoteAddr returns the address of the peer.
func (c *Conn) RemoteAddr() string { return c.socket.RemoteAddr().String() }

// PeerClosed reports whether the peer has ended the connection, even if the handler was not called yet. With askSystem
// it also checks the socket, which shows the end before the poller's goroutine has processed it.
func (c *Conn) PeerClosed(askSystem bool) bool {
	return c.ended.Load() || askSystem && c.peerHasEnded()
}

// Close closes the connection. The handler is not called any more.
func (c *Conn) Close() {
	if !c.closed || c.gracefulClose.active {
		c.closed = true
		c.closeSocket()
	}
}

func (c *Conn) closeSocket() {
	c.releaseDescriptor()
	_ = c.socket.Close() // the only error is that it is closed already
}

// handleClosed reports the end of the connection to its handler. If the connection is paused, the report is deferred,
// unless ReportCloseAtOnce was called.
func (c *Conn) handleClosed(err error) {
	c.endGracefulClose()
	if c.releaseSlot != nil {
		// Only now: connections that have ended and wait for the loop would otherwise not be bounded.
		c.releaseSlot()
	}
	if c.paused && !c.reportCloseAtOnce.Load() {
		c.deferClose(err)
		return
	}
	c.dropInbox()
	if !c.closed {
		c.closed = true
		c.handler.Closed(err)
	}
}

// releaseDescriptor marks the connection as ended, or about to be closed: its descriptor must not be used any more.
func (c *Conn) releaseDescriptor() {
	c.descriptorMutex.Lock()
	c.descriptorReleased = true
	c.descriptorMutex.Unlock()
	c.ended.Store(true)
}

// withDescriptor calls f with the descriptor and reports whether it did. It does not once the descriptor has been
// released or is about to be, because another connection may have got the same number in the meantime.
//
// nbio's poller closes connections in a goroutine of its own. It reads first, and where a connection is read until no
// data is left (readsToEnd), that read finds the end of the connection and releases the descriptor. On other
// connections f must not modify the socket.
func (c *Conn) withDescriptor(f func(descriptor int)) (ok bool) {
	c.descriptorMutex.Lock()
	defer c.descriptorMutex.Unlock()
	if !c.descriptorReleased {
		f(c.socket.Hash())
	}
	return !c.descriptorReleased
}

// peerHasEnded checks the socket and reports whether the peer has ended the connection.
func (c *Conn) peerHasEnded() (ended bool) {
	ok := c.withDescriptor(func(descriptor int) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		ended = err == nil && n > 0
	})
	return !ok || ended
}

// discardHandler is the Handler of a connection that was rejected. It ignores all events.
type discardHandler struct{}

// Data implements Handler.
func (discardHandler) Data([]byte) {}

// Closed implements Handler.
func (discardHandler) Closed(error) {}
