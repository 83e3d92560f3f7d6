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

// The bounds of the delay after a failed accept, which doubles with each failure.
const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = 500 * time.Millisecond
)

// Listen listens at addr and accepts connections while fewer than maxOpen are open. Further ones wait in the system's
// queue for a slot: accepting and closing them would lose what they have sent. accept is called in the loop with each
// connection; it returns nil to reject the connection.
func (e *Engine) Listen(
	addr string, maxOpen int, log *slog.Logger, accept func(c *Conn) Handler,
) (*Listener, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return e.Serve(listener, maxOpen, e.loop.Post, log, accept), nil
}

// Serve is like Listen, on a listener that exists already. The events of its connections are posted to the loop with
// post, which is Loop.Post or Loop.PostUrgent.
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
			// While no descriptor is free, this loop would use all of a core without a delay, and flood the log with a
			// record for each failure.
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
				log.Warn("accepted connection could not be added to the poller", "error", err)
			}
		})
	}
}

// pause waits for the given time, or until the listener is closed, because Close waits for this goroutine.
func (l *Listener) pause(backoff time.Duration) {
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.closing:
	}
}

// isTemporary reports whether a later accept may succeed, which is so for all errors except that of a closed listener.
func isTemporary(err error) bool {
	var netErr net.Error
	timeout := errors.As(err, &netErr) && netErr.Timeout()
	return timeout || !errors.Is(err, net.ErrClosed)
}

// Addr returns the address that the listener listens at.
func (l *Listener) Addr() net.Addr { return l.listener.Addr() }

// Close stops accepting. Connections that wait in the system's queue are left to the other processes that hold the
// socket. Close waits for an accept that is in progress, so it must not be called on the loop's goroutine. All accepted
// connections have been posted to the loop when it returns.
func (l *Listener) Close() {
	l.listener.Close() // not a shutdown, which would stop the other processes from accepting too
	l.update(func() {
		if !l.closed {
			close(l.closing)
		}
		l.closed = true
	})
	<-l.done
}

// Resize sets how many connections may be open at a time. Open connections beyond the new limit are not closed.
func (l *Listener) Resize(maxOpen int) { l.update(func() { l.maxOpen = maxOpen }) }

// update changes the state that acquireSlot waits for, under the mutex, and wakes it.
func (l *Listener) update(change func()) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	change()
	l.slotFreed.Broadcast()
}

func (l *Listener) releaseSlot() { l.update(func() { l.open-- }) }

// acquireSlot waits until one more connection may be opened. It returns false if the listener is closed.
func (l *Listener) acquireSlot() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.open >= l.maxOpen && !l.closed {
		l.slotFreed.Wait()
	}
	l.open++
	return !l.closed
}
