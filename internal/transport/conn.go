package transport

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"

	"limeladder/internal/eventloop"
)

// Handler is told what happens on a connection. After Closed nothing more is reported.
type Handler interface {
	// Data hands over bytes that have come. p is valid until it returns.
	Data(p []byte)
	// Closed says that the connection has ended, and why.
	Closed(err error)
}

// WriteObserver is a Handler that is told when its peer has taken most of what was written.
type WriteObserver interface {
	// WriteDrained says that no more bytes are left to take than Await has named.
	WriteDrained()
}

// Conn is one connection. Its exported methods belong to the loop's goroutine.
type Conn struct {
	engine  *Engine
	socket  *nbio.Conn
	handler Handler
	closed  bool // the handler is told nothing more

	post        func(func()) // hands the loop what happens on the connection
	releaseSlot func()       // gives the listener's slot back, nil = the connection was dialed

	// Writing.
	bytesQueued  atomic.Int64 // handed to Write
	bytesSent    atomic.Int64 // taken by the system
	lowWaterMark atomic.Int64 // Taken is called once fewer bytes than this are left to take; 0 = it is not

	// Reading.
	readMutex    sync.Mutex  // held by whoever reads the socket: the poller, or the loop
	paused       bool        // the loop wants nothing more for now; written under mutex
	pendingClose error       // the connection ended while it was paused, nil = it has not
	promptClose  bool        // its end is reported at once, and what came before it is dropped
	readsToEnd   atomic.Bool // it is read until nothing is left, so that a reset behind data is seen

	// Closing.
	finish finishState
	ended  atomic.Bool // by the peer, or because it was closed here

	descriptorMutex    sync.Mutex // held while the descriptor is used other than by nbio
	descriptorReleased bool       // it must not be used any more

	mutex           sync.Mutex // guards what follows
	inbox           []byte     // received and not looked at by the loop
	inboxFull       bool       // the system may hold more, which is not read for now
	dataPosted      bool       // the loop has been told of the inbox
	recordsArrivals bool       // set before anything is received
	bytesRead       int64
	arrivals        arrivalLog
}

// finishState belongs to a connection that is being finished. Only the loop uses it.
type finishState struct {
	active       bool
	timeout      time.Duration // for the peer to take more of what was written
	lastProgress int64         // what it had taken when that was looked at last
	timer        *eventloop.Timer
}

// RemoteAddr is the address of the peer.
func (c *Conn) RemoteAddr() string { return c.socket.RemoteAddr().String() }

// PeerClosed reports whether the peer has ended the connection, though the handler may not have been told yet. With
// look it asks the system too, which knows before the poller's goroutine has had its turn.
func (c *Conn) PeerClosed(look bool) bool { return c.ended.Load() || look && c.peerHasEnded() }

// Close ends the connection; the handler is told nothing more.
func (c *Conn) Close() {
	if !c.closed || c.finish.active {
		c.closed = true
		c.closeSocket()
	}
}

func (c *Conn) closeSocket() {
	c.releaseDescriptor()
	_ = c.socket.Close() // its only error is that it is closed already
}

// handleClosed reports the end of the connection to its handler, later if it is paused.
func (c *Conn) handleClosed(err error) {
	c.stopFinishing()
	if c.paused && !c.promptClose {
		c.deferClose(err)
		return
	}
	if !c.closed {
		c.closed = true
		c.handler.Closed(err)
	}
}

// releaseDescriptor notes that the connection has ended, or is about to be closed: its descriptor is not used any more.
func (c *Conn) releaseDescriptor() {
	c.descriptorMutex.Lock()
	c.descriptorReleased = true
	c.descriptorMutex.Unlock()
	c.ended.Store(true)
}

// withDescriptor calls f with the descriptor, and reports whether it did: not once the descriptor is given back, or
// is about to be, because another connection may have got the same number meanwhile. nbio's poller closes connections
// in a goroutine of its own. Before that it reads, and where a connection is read until nothing is left (Exact) its
// end is found by the read; elsewhere f may only look.
func (c *Conn) withDescriptor(f func(descriptor int)) (ok bool) {
	c.descriptorMutex.Lock()
	defer c.descriptorMutex.Unlock()
	if !c.descriptorReleased {
		f(c.socket.Hash())
	}
	return !c.descriptorReleased
}

// peerHasEnded asks the system whether the peer has ended the connection.
func (c *Conn) peerHasEnded() (ended bool) {
	ok := c.withDescriptor(func(descriptor int) {
		poll := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(poll, 0)
		ended = err == nil && n > 0
	})
	return !ok || ended
}

// discardHandler ignores a connection that was turned away.
type discardHandler struct{}

// Data drops what has come.
func (discardHandler) Data([]byte) {}

// Closed does nothing.
func (discardHandler) Closed(error) {}
