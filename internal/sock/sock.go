// Package sock puts nbio's sockets under the loop: whatever happens on a connection is told in the loop's
// goroutine, in order.
package sock

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"

	"limeladder/internal/loop"
)

// Handler is told what happens on a connection. After Closed nothing more comes.
type Handler interface {
	Data(p []byte) // p is valid until it returns
	Closed(err error)
}

// Engine owns the poller.
type Engine struct {
	loop      *loop.Loop
	nb        *nbio.Engine
	finishing int // connections that are to close once their last bytes are taken; owned by the loop
}

// Finishing is the number of connections that are to close once their last bytes are taken.
func (e *Engine) Finishing() int { return e.finishing }

// New starts the poller. maxFiles bounds the descriptors it has room for, inbox the bytes of one connection that may
// wait for the loop.
func New(l *loop.Loop, maxFiles, inbox int) (*Engine, error) {
	logging.SetLevel(logging.LevelNone)
	// nbio keeps a table of this many entries; its default follows the hard limit and may take 16 MB.
	if nbio.MaxOpenFiles > maxFiles+64 {
		nbio.MaxOpenFiles = maxFiles + 64
	}
	e := &Engine{loop: l, nb: nbio.NewEngine(nbio.Config{
		NPoller:            1,
		ReadBufferSize:     32 << 10,
		MaxWriteBufferSize: 4 << 20, // what a peer may leave unread is bounded by its owner
	})}
	e.nb.OnData(func(c *nbio.Conn, data []byte) {
		if k, ok := c.Session().(*Conn); ok {
			k.receive(c, data, inbox)
		}
	})
	e.nb.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if k, ok := c.Session().(*Conn); ok {
			k.sent.Add(int64(n))
		}
	})
	e.nb.OnClose(func(c *nbio.Conn, err error) {
		if k, ok := c.Session().(*Conn); ok {
			if k.release != nil {
				k.release()
			}
			k.post(func() { k.gone(err) })
		}
	})
	if err := e.nb.Start(); err != nil {
		return nil, fmt.Errorf("poller: %w", err)
	}
	return e, nil
}

// Stop closes all connections and ends the poller. nbio waits for ever for a connection that comes up while it looks
// through those it has, so it gets a second at most: the end of the program must not hang on it.
func (e *Engine) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	e.nb.Shutdown(ctx)
}

// Conn is one connection. Its methods belong to the loop's goroutine.
type Conn struct {
	engine *Engine
	nb     *nbio.Conn
	h      Handler
	closed bool
	queued int64        // bytes handed to Write
	sent   atomic.Int64 // bytes that the system has taken

	release func()       // gives back the listener's place, nil = it has none
	post    func(func()) // how what happens on it enters the loop

	mu     sync.Mutex
	in     []byte // what has come and the loop has not looked at
	posted bool   // the loop is told of it
}

// receive keeps what has come for the loop; the poller's goroutine calls it. Guards memory against a peer that sends
// faster than the loop reads: it is closed, nothing that is served sends so much ahead.
func (c *Conn) receive(nb *nbio.Conn, p []byte, most int) {
	c.mu.Lock()
	full := len(c.in)+len(p) > most
	if !full {
		c.in = append(c.in, p...) // the poller reads into the same buffer again
	}
	post := !c.posted && !full
	c.posted = c.posted || post
	c.mu.Unlock()
	if full {
		nb.CloseWithError(errFlood)
	} else if post {
		c.post(c.data)
	}
}

var errFlood = errors.New("too much sent at once")

func (c *Conn) data() {
	c.mu.Lock()
	p := c.in
	c.in, c.posted = nil, false
	c.mu.Unlock()
	if !c.closed {
		c.h.Data(p)
	}
}

func (c *Conn) gone(err error) {
	if !c.closed {
		c.closed = true
		c.h.Closed(err)
	}
}

// Write sends p, or keeps it until the peer takes it. An error says that the connection is broken; the handler
// is told nothing more.
func (c *Conn) Write(p []byte) error {
	if c.closed {
		return net.ErrClosed
	}
	c.queued += int64(len(p))
	if _, err := c.nb.Write(p); err != nil {
		c.closed = true
		return err
	}
	return nil
}

// Close ends the connection; the handler is told nothing more.
func (c *Conn) Close() {
	if !c.closed {
		c.closed = true
		c.nb.Close()
	}
}

// Flushed says whether the system has taken all that was written. Once the connection is closed it does not change.
func (c *Conn) Flushed() bool { return c.sent.Load() == c.queued }

// Quiet says that nothing has come which the handler was not told, not even the end of the connection. It looks at the
// socket itself: the poller may be behind.
func (c *Conn) Quiet() bool {
	c.mu.Lock()
	waiting := len(c.in) > 0
	c.mu.Unlock()
	if c.closed || waiting {
		return false
	}
	var b [1]byte
	_, _, err := syscall.Recvfrom(c.nb.Hash(), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN
}

// Unsent is the number of bytes handed to Write that the system has not taken yet.
func (c *Conn) Unsent() int { return int(c.queued - c.sent.Load()) }

// Finish closes the connection once the system has taken all that was written, or after the given time.
func (c *Conn) Finish(within time.Duration) {
	if c.closed {
		return
	}
	if c.Flushed() || within <= 0 {
		c.Close()
		return
	}
	const step = 5 * time.Millisecond
	c.engine.finishing++
	c.engine.loop.After(step, func() {
		c.engine.finishing--
		c.Finish(within - step)
	})
}

// Dial opens a connection within the given time. done is called in the loop, once; the handler it returns is told
// what happens on the connection.
//
// nbio's own dial cuts the first four bytes of the sixteen that an IPv4 address has in net.IP, so whatever it is
// given it connects to 0.0.0.0. The system's dialer connects instead and nbio takes over from there.
func (e *Engine) Dial(addr string, within time.Duration, done func(c *Conn, err error) Handler) {
	go func() {
		std, err := net.DialTimeout("tcp", addr, within)
		e.loop.Post(func() {
			if err == nil {
				err = e.adopt(std, nil, e.loop.Post, func(c *Conn) Handler { return done(c, nil) })
			}
			if err != nil {
				done(nil, err)
			}
		})
	}()
}

// adopt hands a connection to the poller, in the loop: what the poller tells of it comes after open, which returns
// nil to turn it away. release, if not nil, is called once, when its descriptor is given back.
func (e *Engine) adopt(std net.Conn, release func(), post func(func()), open func(c *Conn) Handler) error {
	if release != nil {
		release = sync.OnceFunc(release)
	}
	nb, err := nbio.NBConn(std)
	if err != nil {
		std.Close()
		if release != nil {
			release()
		}
		return err
	}
	c := &Conn{engine: e, nb: nb, release: release, post: post}
	nb.SetSession(c)
	if _, err := e.nb.AddConn(nb); err != nil {
		if release != nil {
			release()
		}
		return err
	}
	if c.h = open(c); c.h == nil {
		c.h = nobody{}
		c.Close()
	}
	return nil
}

// Listener accepts connections until it is closed.
type Listener struct {
	ln   net.Listener
	done chan struct{}

	mu     sync.Mutex
	freed  *sync.Cond
	used   int // connections that are open, or being accepted
	most   int
	closed bool
}

// Listen accepts at addr, so many connections at a time: further ones wait in the system's queue until there is
// room, rather than being closed on what they have sent. accept is called in the loop; it returns nil to turn the
// connection away.
func (e *Engine) Listen(addr string, most int, log *slog.Logger, accept func(c *Conn) Handler) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return e.Serve(ln, most, e.loop.Post, log, accept), nil
}

// Serve is Listen on a socket that is bound already. What happens on its connections enters the loop by post, which is
// Loop.Post or Loop.Urgent.
func (e *Engine) Serve(ln net.Listener, most int, post func(func()), log *slog.Logger, accept func(c *Conn) Handler) *Listener {
	l := &Listener{ln: ln, most: most, done: make(chan struct{})}
	l.freed = sync.NewCond(&l.mu)
	go l.run(e, post, log, accept)
	return l
}

func (l *Listener) run(e *Engine, post func(func()), log *slog.Logger, accept func(c *Conn) Handler) {
	defer close(l.done)
	for {
		if !l.take() {
			return
		}
		std, err := l.ln.Accept()
		if err != nil {
			l.give()
			if ne, ok := err.(net.Error); ok && ne.Timeout() || !isClosed(err) {
				// Guards against a hot loop while no descriptor is free.
				log.Warn("accept failed", "err", err)
				time.Sleep(5 * time.Millisecond)
				continue
			}
			return
		}
		post(func() {
			if err := e.adopt(std, l.give, post, accept); err != nil {
				log.Warn("connection lost", "err", err)
			}
		})
	}
}

// Addr is where it listens.
func (l *Listener) Addr() net.Addr { return l.ln.Addr() }

// Close stops accepting. What waits in the system's queue is left to whoever else holds the socket.
func (l *Listener) Close() {
	l.ln.Close() // never a shutdown, which would end it for the other process too
	l.change(func() { l.closed = true })
	<-l.done
}

// Resize sets how many connections may be open at a time. Those that are beyond stay.
func (l *Listener) Resize(most int) { l.change(func() { l.most = most }) }

func (l *Listener) change(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
	l.freed.Broadcast()
}

func (l *Listener) give() { l.change(func() { l.used-- }) }

// take waits for a place; false says that the listener is closed.
func (l *Listener) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.used >= l.most && !l.closed {
		l.freed.Wait()
	}
	l.used++
	return !l.closed
}

// Inherit makes a listener of a socket that this process was given and that others hold too. addr is where it should
// listen.
func Inherit(fd int, addr string) (net.Listener, error) {
	f := os.NewFile(uintptr(fd), "listener")
	if f == nil {
		return nil, fmt.Errorf("%d is no descriptor", fd)
	}
	defer f.Close() // the listener has one of its own
	if on, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
		return nil, fmt.Errorf("descriptor %d is no socket that listens", fd)
	}
	ln, err := net.FileListener(f)
	if err != nil {
		return nil, err
	}
	want, err := net.ResolveTCPAddr("tcp", addr)
	if tcp, ok := ln.Addr().(*net.TCPAddr); err != nil || !ok || want.Port != 0 && want.Port != tcp.Port ||
		want.IP != nil && !want.IP.Equal(tcp.IP) {
		ln.Close()
		return nil, fmt.Errorf("descriptor %d listens at %s, not at %s", fd, ln.Addr(), addr)
	}
	return ln, nil
}

func isClosed(err error) bool {
	op, ok := err.(*net.OpError)
	return ok && op.Err == net.ErrClosed || err == net.ErrClosed
}

type nobody struct{}

func (nobody) Data([]byte)  {}
func (nobody) Closed(error) {}
