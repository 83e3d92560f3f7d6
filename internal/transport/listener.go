package transport

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"
)

// Listener accepts connections until it is closed. Its methods may be called from any goroutine.
type Listener struct {
	listener net.Listener
	closing  chan struct{} // closed by Close
	done     chan struct{} // closed when the accepting goroutine has ended

	mutex     sync.Mutex
	slotFreed *sync.Cond
	open      int // connections that are open, or being accepted
	maxOpen   int
	closed    bool
}

// The pauses after an accept has failed, which grow.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 500 * time.Millisecond
)

// Listen accepts at addr, at most maxOpen connections at a time: further ones wait in the system's queue until there is
// room, rather than being closed on what they have sent. accept is called in the loop; it returns nil to turn the
// connection away.
func (e *Engine) Listen(
	addr string, maxOpen int, log *slog.Logger, accept func(c *Conn) Handler,
) (*Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return e.Serve(listener, maxOpen, e.loop.Post, log, accept), nil
}

// Serve is Listen on a socket that is bound already. What happens on its connections enters the loop by post, which is
// Loop.Post or Loop.PostUrgent.
func (e *Engine) Serve(
	listener net.Listener, maxOpen int, post func(func()), log *slog.Logger, accept func(c *Conn) Handler,
) *Listener {
	l := &Listener{listener: listener, maxOpen: maxOpen, closing: make(chan struct{}), done: make(chan struct{})}
	l.slotFreed = sync.NewCond(&l.mutex)
	go l.acceptLoop(e, post, log, accept)
	return l
}

// acceptLoop accepts connections, in a goroutine of its own, until the listener is closed.
func (l *Listener) acceptLoop(e *Engine, post func(func()), log *slog.Logger, accept func(c *Conn) Handler) {
	defer close(l.done)
	backoff := minAcceptBackoff
	for l.acquireSlot() {
		conn, err := l.listener.Accept()
		if err != nil {
			l.releaseSlot()
			if !isTemporary(err) {
				return
			}
			// Without a pause this loop would be all that runs, and all that is logged, while no descriptor is free.
			if backoff == minAcceptBackoff {
				log.Warn("accept failed", "error", err)
			}
			l.pause(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
			continue
		}
		backoff = minAcceptBackoff
		post(func() {
			if err := e.adopt(conn, l.releaseSlot, post, accept); err != nil {
				log.Warn("connection lost", "error", err)
			}
		})
	}
}

// pause waits for a time, or until the listener is closed: Close, which the event loop calls, waits for this goroutine.
func (l *Listener) pause(backoff time.Duration) {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.closing:
	}
}

// isTemporary reports whether a later accept may succeed: all errors but that of a closed listener are.
func isTemporary(err error) bool {
	var netErr net.Error
	timeout := errors.As(err, &netErr) && netErr.Timeout()
	return timeout || !errors.Is(err, net.ErrClosed)
}

// Addr is the address that it listens at.
func (l *Listener) Addr() net.Addr { return l.listener.Addr() }

// Close stops accepting. What waits in the system's queue is left to whoever else holds the socket. It waits for an
// accept that is under way, so it is not for the loop's goroutine. All connections that were accepted are posted to the
// loop before it returns.
func (l *Listener) Close() {
	l.listener.Close() // never a shutdown, which would end it for the other process too
	l.update(func() {
		if !l.closed {
			close(l.closing)
		}
		l.closed = true
	})
	<-l.done
}

// Resize sets how many connections may be open at a time. Those that exceed it stay.
func (l *Listener) Resize(maxOpen int) { l.update(func() { l.maxOpen = maxOpen }) }

// update changes what acquireSlot waits for.
func (l *Listener) update(change func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	change()
	l.slotFreed.Broadcast()
}

func (l *Listener) releaseSlot() { l.update(func() { l.open-- }) }

// acquireSlot waits until one more connection may be open; false says that the listener is closed.
func (l *Listener) acquireSlot() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.open >= l.maxOpen && !l.closed {
		l.slotFreed.Wait()
	}
	l.open++
	return !l.closed
}
