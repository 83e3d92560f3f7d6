// Package transport puts nbio's sockets under the loop: whatever happens on a connection is told in the loop's
// goroutine, in order.
package transport

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"golang.org/x/sys/unix"

	"limeladder/internal/eventloop"
)

// Handler is told what happens on a connection. After Closed nothing more comes.
type Handler interface {
	// Data hands over bytes that have come. p is valid until it returns.
	Data(p []byte)
	// Closed says that the connection has ended, and why.
	Closed(err error)
}

// Taker is a Handler that is told when its peer has taken most of what was written.
type Taker interface {
	// Taken says that no more is left to take than Await has named.
	Taken()
}

// Engine owns the poller.
type Engine struct {
	loop      *eventloop.Loop
	nb        *nbio.Engine
	inbox     int
	finishing int     // connections that are being finished; owned by the loop, like all below
	lingering []*Conn // those of them whose peer has yet to end its side, the oldest first: they have no listener's place any more
	most      int     // of them
	buf       []byte  // the loop's own, to read on

	made atomic.Int64 // connections made: what was written of one before it was counted is seen by those who look at this
}

// Finishing is the number of connections that are being finished: their last bytes are not taken yet, or their peer has yet
// to end its side.
func (e *Engine) Finishing() int { return e.finishing }

// Linger is how long a connection that is finished waits for its peer to end its side. A peer that is there needs a round
// trip and a turn of its own; one that is not there must not hold a descriptor for longer.
const Linger = time.Second

// Lingering is how many connections may wait for their peer to end its side, of so many descriptors.
func Lingering(maxFiles int) int { return max(1, maxFiles/32) }

// New starts the poller. maxFiles bounds the descriptors it has room for, inbox the bytes of one connection that may
// wait for the loop: beyond them it is not read until the loop has looked at them.
func New(l *eventloop.Loop, maxFiles, inbox int) (*Engine, error) {
	logging.SetLevel(logging.LevelNone)
	// nbio keeps a table of this many entries; its default follows the hard limit and may take 16 MB.
	if nbio.MaxOpenFiles > maxFiles+64 {
		nbio.MaxOpenFiles = maxFiles + 64
	}
	// Edge-triggered, with reads of our own: nbio cannot leave a connection unread, and at the level its poller would
	// spin on one that is.
	e := &Engine{loop: l, inbox: inbox, most: Lingering(maxFiles), buf: make([]byte, readSize), nb: nbio.NewEngine(nbio.Config{
		NPoller:            1,
		ReadBufferSize:     1 << 10, // not used
		MaxWriteBufferSize: 8 << 20, // what a peer may leave unread is bounded by its owner
		EpollMod:           nbio.EPOLLET,
	})}
	poller := make([]byte, readSize)
	e.nb.OnRead(func(c *nbio.Conn) {
		if k, ok := c.Session().(*Conn); ok {
			e.made.Load()
			k.read(poller)
		}
	})
	e.nb.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if k, ok := c.Session().(*Conn); ok {
			e.made.Load()
			k.took(int64(n))
		}
	})
	e.nb.OnClose(func(c *nbio.Conn, err error) { // in a goroutine of its own: the descriptor may be given back already
		if k, ok := c.Session().(*Conn); ok {
			e.made.Load()
			k.retire()
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
	_ = e.nb.Shutdown(ctx) // its only error is that the second is over
}

const readSize = 32 << 10

// Conn is one connection. Its methods belong to the loop's goroutine.
type Conn struct {
	engine *Engine
	nb     *nbio.Conn
	h      Handler
	closed bool
	queued atomic.Int64 // bytes handed to Write
	sent   atomic.Int64 // bytes that the system has taken

	release func()       // gives back the listener's place, nil = it has none
	post    func(func()) // how what happens on it enters the loop

	low     atomic.Int64 // Taken is told once no more than this is left to take, less 1; 0 = it is not
	reading sync.Mutex   // held by whoever reads the socket: the poller, or the loop that reads on
	held    bool         // the loop wants nothing more for now
	lost    error        // the connection ended while held
	prompt  bool         // its end is told at once, whatever came before and is not looked at
	exact   atomic.Bool  // it is read to the end of what has come, so that a reset behind it is seen

	// Ending it. All but over belongs to the loop.
	finishing bool
	within    time.Duration // to take more of what was written
	before    int64         // what it had taken when that was looked at last
	timer     *eventloop.Timer
	over      atomic.Bool // the peer has ended it, or it is closed

	file sync.Mutex // held while the descriptor is used past nbio,
	dead bool       // which may not be done any more

	mu     sync.Mutex
	in     []byte // what has come and the loop has not looked at
	full   bool   // and more may be there
	posted bool   // the loop is told of it

	stamped bool     // it is noted when what comes has come; set before anything has
	got     int64    // bytes that were read
	arrived arrivals // when
}

// read keeps what has come for the loop. Guards memory against a peer that sends faster than the loop looks at it: beyond
// the inbox the socket is left alone until data reads on, and the peer finds its window closed.
func (c *Conn) read(buf []byte) {
	c.reading.Lock()
	defer c.reading.Unlock()
	for {
		c.mu.Lock()
		full := len(c.in) >= c.engine.inbox
		c.full = full
		c.mu.Unlock()
		// The poller closes a connection as soon as its peer has ended it. What was sent before must not be lost.
		if full && !c.ending() {
			c.unread()
			return
		}
		n, err := c.nb.Read(buf)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if errors.Is(err, syscall.EAGAIN) {
			return
		}
		if n <= 0 || err != nil {
			c.retire() // nbio closes it next
			if err != nil {
				_ = c.nb.CloseWithError(err) // the handler is told by OnClose, whatever this returns
			}
			return
		}
		c.mu.Lock()
		c.in = append(c.in, buf[:n]...)
		c.arrive(n)
		post := !c.posted
		c.posted = true
		c.mu.Unlock()
		if post {
			c.post(c.data)
		}
		if n < len(buf) && !c.exact.Load() {
			return // what comes from now on is told
		}
	}
}

// retire notes that the connection has ended, or is about to be closed: its descriptor is not used any more.
func (c *Conn) retire() {
	c.file.Lock()
	c.dead = true
	c.file.Unlock()
	c.over.Store(true)
}

// use calls f with the descriptor, unless that is given back, or is about to be. Guards against acting on another connection that has got
// the same number meanwhile: nbio's poller closes connections in a goroutine of its own. Before that it reads, and where a
// connection is read to the end of what has come (exact) the end is found there; elsewhere f may only look.
func (c *Conn) use(f func(fd int)) (ok bool) {
	c.file.Lock()
	defer c.file.Unlock()
	if !c.dead {
		f(c.nb.Hash())
	}
	return !c.dead
}

// ending says whether the peer has ended the connection.
func (c *Conn) ending() (ended bool) {
	return !c.use(func(fd int) {
		p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(p, 0)
		ended = err == nil && n > 0
	}) || ended
}

// Left says whether the peer has ended the connection, though the handler may not be told yet. look asks the system too, which
// knows before the poller's goroutine has had its turn.
func (c *Conn) Left(look bool) bool { return c.over.Load() || look && c.ending() }

// Prompt lets the end of the connection be told at once, also while it is held: what came before and was not looked at is dropped.
// It is for peers whose end says that they want nothing more.
func (c *Conn) Prompt() { c.prompt = true }

// Exact lets the handler know a reset from an end also where data came right before it, at the price of a further read behind all
// that comes.
func (c *Conn) Exact() { c.exact.Store(true) }

func (c *Conn) data() {
	c.mu.Lock()
	if c.held {
		c.posted = false
		c.mu.Unlock()
		return
	}
	p, full := c.in, c.full
	c.in, c.posted, c.full = nil, false, false
	c.mu.Unlock()
	dropped := c.prompt && c.over.Load()
	if !c.closed && len(p) > 0 && !dropped {
		c.h.Data(p)
	}
	if full && (!c.closed || c.finishing) {
		c.read(c.engine.buf)
	}
}

func (c *Conn) gone(err error) {
	c.finished()
	if c.held && !c.prompt {
		c.lost = cmp.Or(err, net.ErrClosed)
	} else if !c.closed {
		c.closed = true
		c.h.Closed(err)
	}
}

// Buffer bounds what the system keeps of what was written and not taken. Guards the sight of progress: behind megabytes of
// them a slow peer would seem to take nothing for seconds.
func (c *Conn) Buffer(n int) {
	_ = c.nb.SetWriteBuffer(n) // it fails on a connection that is closed, which keeps nothing
}

// SetPaused stops the reading of the connection, or goes on with it. What has come before its end is still told.
func (c *Conn) SetPaused(on bool) {
	if c.closed || c.held == on {
		return
	}
	c.mu.Lock()
	c.held = on
	post := !on && !c.posted
	c.posted = c.posted || post
	c.mu.Unlock()
	if post {
		c.post(c.data)
	}
	if !on && c.lost != nil {
		c.post(func() { c.gone(c.lost) })
	}
}

// took notes that the system has taken n bytes; the poller's goroutine calls it, or the loop's.
func (c *Conn) took(n int64) {
	sent := c.sent.Add(n)
	if low := c.low.Load(); low > 0 && c.queued.Load()-sent < low && c.low.CompareAndSwap(low, 0) {
		c.post(func() {
			if h, ok := c.h.(Taker); ok && !c.closed {
				h.Taken()
			} else if c.finishing && c.Flushed() {
				c.shut()
			}
		})
	}
}

// Await asks for Taken once no more than low bytes are left to take.
func (c *Conn) Await(low int) {
	c.low.Store(int64(low) + 1)
	c.took(0)
}

// Remote is the other end's address.
func (c *Conn) Remote() string { return c.nb.RemoteAddr().String() }

// Progress is the number of bytes the system has taken so far.
func (c *Conn) Progress() int64 { return c.sent.Load() }

// Write sends p, or keeps it until the peer takes it. An error says that the connection is broken; the handler
// is told nothing more.
func (c *Conn) Write(p []byte) error {
	if c.closed {
		return net.ErrClosed
	}
	c.queued.Add(int64(len(p)))
	if _, err := c.nb.Write(p); err != nil {
		c.closed = true
		c.retire()
		return err
	}
	return nil
}

// Close ends the connection; the handler is told nothing more.
func (c *Conn) Close() {
	if !c.closed || c.finishing {
		c.closed = true
		c.hangUp()
	}
}

// hangUp closes it.
func (c *Conn) hangUp() {
	c.retire()
	_ = c.nb.Close() // its only error is that it is closed already
}

// Flushed says whether the system has taken all that was written. Once the connection is closed it does not change.
func (c *Conn) Flushed() bool { return c.sent.Load() == c.queued.Load() }

// Quiet says that nothing has come which the handler was not told, not even the end of the connection. It looks at the
// socket itself: the poller may be behind.
func (c *Conn) Quiet() bool {
	c.mu.Lock()
	waiting := len(c.in) > 0
	c.mu.Unlock()
	if c.closed || waiting {
		return false
	}
	quiet := false
	return c.use(func(fd int) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	}) && quiet
}

// Unsent is the number of bytes handed to Write that the system has not taken yet.
func (c *Conn) Unsent() int { return int(c.queued.Load() - c.sent.Load()) }

// Finish ends the connection in order; the handler is told nothing more. Once the system has taken all that was written, its
// sending side is shut: the peer reads the whole and then the end. What the peer still sends is read and dropped until it ends its
// side, for Linger at most. A peer that takes nothing for the given time is given up.
//
// Guards the last answer: a close while bytes lie unread resets the connection, and what the peer has not read by then may be lost
// to it. A request that crosses the end is not taken, and the peer, which reads an end in place of an answer, can tell.
func (c *Conn) Finish(within time.Duration) {
	if c.closed {
		return
	}
	c.closed = true
	if c.lost != nil {
		return // its end has been told here
	}
	c.finishing = true
	c.engine.finishing++
	if c.over.Load() {
		return // the poller has closed it, and its end is on its way here
	}
	c.within, c.before = within, c.sent.Load()
	if c.timer = c.engine.loop.AfterFunc(within, c.wait); c.Flushed() {
		c.shut()
	} else {
		c.Await(0)
	}
	c.mu.Lock()
	held := c.held
	c.held = false
	post := held && !c.posted
	c.posted = c.posted || post
	c.mu.Unlock()
	if post {
		c.post(c.data) // what is left unread would make a reset of its close
	}
}

// wait gives up a peer that has taken nothing since.
func (c *Conn) wait() {
	if sent := c.sent.Load(); sent > c.before {
		c.before = sent
		c.timer = c.engine.loop.AfterFunc(c.within, c.wait)
		return
	}
	c.hangUp()
}

// shut ends the sending side and waits for the peer to end its own.
func (c *Conn) shut() {
	e := c.engine
	// It fails where the peer has reset the connection, whose end is on its way here then.
	c.use(func(fd int) { _ = unix.Shutdown(fd, unix.SHUT_WR) })
	if c.release != nil {
		c.release() // what lingers has a bound of its own
	}
	c.timer.Stop()
	c.timer = e.loop.AfterFunc(Linger, c.hangUp)
	// Guards the descriptors: peers that never end their side must not take those that others need.
	if e.lingering = append(e.lingering, c); len(e.lingering) > e.most {
		oldest := e.lingering[0]
		e.lingering = slices.Delete(e.lingering, 0, 1)
		oldest.hangUp()
	}
}

// finished takes it off the books of what is being finished.
func (c *Conn) finished() {
	if !c.finishing {
		return
	}
	c.finishing = false
	c.timer.Stop()
	c.engine.finishing--
	c.engine.lingering = slices.DeleteFunc(c.engine.lingering, func(o *Conn) bool { return o == c })
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
				// What the system keeps of a connection that is held, and what comes at once with its end.
				std.(*net.TCPConn).SetReadBuffer(4 * readSize)
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
	c.stamped = release != nil
	c.exact.Store(release != nil) // those that were accepted are finished: their end has to be seen before nbio closes them
	c.early()
	nb.SetSession(c)
	e.made.Add(1)
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
	const first, last = 5 * time.Millisecond, 500 * time.Millisecond
	wait := first
	for {
		if !l.take() {
			return
		}
		std, err := l.ln.Accept()
		if err != nil {
			l.give()
			var netErr net.Error
			timeout := errors.As(err, &netErr) && netErr.Timeout()
			if timeout || !errors.Is(err, net.ErrClosed) {
				// Guards against a hot loop, and a log of nothing else, while no descriptor is free.
				if wait == first {
					log.Warn("accept failed", "err", err)
				}
				time.Sleep(wait)
				wait = min(2*wait, last)
				continue
			}
			return
		}
		wait = first
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
	defer func() { _ = f.Close() }() // the listener has a descriptor of its own
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

type nobody struct{}

func (nobody) Data([]byte)  {}
func (nobody) Closed(error) {}
