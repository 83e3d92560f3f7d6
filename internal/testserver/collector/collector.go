// Package collector is a stand-in for a syslog collector on loopback: UDP, TCP with octet counts, and TLS. It can be
// slow, stop reading, close midway, refuse, hang in the handshake, and come back at the same address. It keeps what it
// has got, as it came.
package collector

import (
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"limeladder/internal/syslog/parser"
)

// Options say what a collector is.
type Options struct {
	Network string // udp, tcp or tls
	Address string // "" = a loopback port that the kernel picks
	TLS     *tls.Config
	Most    int           // bytes of the longest message, 0 = 1 MiB
	Keep    func([]byte)  // called with each message, one at a time; nil = they are kept for Messages
	Pause   time.Duration // it rests this long behind each message
	After   int           // it closes a connection behind so many messages of it, 0 = never
	Abrupt  bool          // with After and Stop: without having read what has come
	Silent  bool          // it accepts, and never reads; with TLS the handshake never ends
}

// settle is how long no datagram comes before a collector that stops closes its socket.
const settle = 20 * time.Millisecond

// Collector is one.
type Collector struct {
	opt   Options
	addr  string
	conns atomic.Int64
	got   atomic.Int64

	mu       sync.Mutex
	msgs     [][]byte
	fault    error
	ln       net.Listener
	pc       net.PacketConn
	open     map[net.Conn]bool
	dropped  int // by sockets that are closed
	stopped  bool
	paused   chan struct{} // not nil = it reads nothing until this is closed
	handlers sync.WaitGroup
}

// New starts one.
func New(opt Options) (*Collector, error) {
	if opt.Address == "" {
		opt.Address = "127.0.0.1:0"
	}
	if opt.Most == 0 {
		opt.Most = 1 << 20
	}
	c := &Collector{opt: opt, open: map[net.Conn]bool{}}
	return c, c.Start()
}

// Start lets it come back at its address. It does nothing where it runs.
func (c *Collector) Start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	addr := c.opt.Address
	if c.addr != "" {
		addr = c.addr
	}
	if c.ln != nil || c.pc != nil {
		return nil
	}
	c.stopped = false
	if c.opt.Network == "udp" {
		pc, err := net.ListenPacket("udp", addr)
		if err != nil {
			return fmt.Errorf("collector: %w", err)
		}
		pc.(*net.UDPConn).SetReadBuffer(8 << 20)
		c.pc, c.addr = pc, pc.LocalAddr().String()
		c.handlers.Add(1)
		go c.packets(pc)
		return nil
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	c.ln, c.addr = ln, ln.Addr().String()
	c.handlers.Add(1)
	go c.accept(ln)
	return nil
}

// Stop ends it: nobody takes what is sent. In order, it reads all that has come until its peers close, unless Abrupt is set.
func (c *Collector) Stop() {
	c.mu.Lock()
	c.stopped = true
	if c.ln != nil {
		c.ln.Close()
	}
	if c.pc != nil {
		c.pc.SetReadDeadline(time.Now().Add(settle)) // what has come is read first
	}
	c.ln, c.pc = nil, nil
	for conn := range c.open {
		c.end(conn)
	}
	paused := c.paused
	c.paused = nil
	c.mu.Unlock()
	if paused != nil {
		close(paused)
	}
	c.handlers.Wait()
}

// end closes a connection: abruptly, so that what was not read is lost and the peer gets a reset; or its own side only, and
// what still comes is read to the end.
func (c *Collector) end(conn net.Conn) {
	raw := conn
	if t, ok := conn.(*tls.Conn); ok {
		raw = t.NetConn()
	}
	tcp := raw.(*net.TCPConn)
	if c.opt.Abrupt {
		tcp.SetLinger(0)
		tcp.Close()
		return
	}
	if t, ok := conn.(*tls.Conn); ok {
		_ = t.CloseWrite() // the peer may have gone, which the reads that follow show
	}
	tcp.CloseWrite()
	tcp.SetReadDeadline(time.Now().Add(5 * time.Second))
}

// Hang makes it read nothing until the returned function is called.
func (c *Collector) Hang() (goOn func()) {
	ch := make(chan struct{})
	c.mu.Lock()
	c.paused = ch
	c.mu.Unlock()
	return sync.OnceFunc(func() {
		c.mu.Lock()
		mine := c.paused == ch
		if mine {
			c.paused = nil
		}
		c.mu.Unlock()
		if mine {
			close(ch)
		}
	})
}

func (c *Collector) wait() {
	c.mu.Lock()
	ch := c.paused
	c.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

// Address is where it listens.
func (c *Collector) Address() string { return c.addr }

// URL is the same as the operators' file writes it.
func (c *Collector) URL() string { return c.opt.Network + "://" + c.addr }

// Messages returns what has come so far.
func (c *Collector) Messages() [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([][]byte(nil), c.msgs...)
}

// Got is how many messages have come.
func (c *Collector) Got() int { return int(c.got.Load()) }

// Connections is how many connections have come.
func (c *Collector) Connections() int { return int(c.conns.Load()) }

// Fault is the first breach of the framing that was met.
func (c *Collector) Fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}

func (c *Collector) keep(p []byte) {
	c.got.Add(1)
	c.mu.Lock()
	if c.opt.Keep != nil {
		c.opt.Keep(p)
	} else {
		c.msgs = append(c.msgs, p)
	}
	c.mu.Unlock()
	if c.opt.Pause > 0 {
		time.Sleep(c.opt.Pause)
	}
}

func (c *Collector) packets(pc net.PacketConn) {
	defer c.handlers.Done()
	defer pc.Close()
	buf := make([]byte, 64<<10)
	for {
		c.wait()
		n, _, err := pc.ReadFrom(buf)
		if err != nil {
			c.leave(pc.(*net.UDPConn), buf)
			return
		}
		c.mu.Lock()
		if c.stopped {
			pc.SetReadDeadline(time.Now().Add(settle))
		}
		c.mu.Unlock()
		c.keep(append([]byte(nil), buf[:n]...))
	}
}

// leave takes what still lies in a socket that stops, since a deadline that is over tells nothing of what has come: on a busy
// machine its reader may not have run. Then it notes what the system had no room for.
func (c *Collector) leave(pc *net.UDPConn, buf []byte) {
	raw, err := pc.SyscallConn()
	if err != nil {
		return
	}
	// It fails on a socket that is closed, and nothing is left to take from that.
	_ = raw.Control(func(fd uintptr) {
		for {
			n, _, err := syscall.Recvfrom(int(fd), buf, syscall.MSG_DONTWAIT)
			if err != nil {
				return
			}
			c.keep(append([]byte(nil), buf[:n]...))
		}
	})
	n := drops(pc)
	c.mu.Lock()
	c.dropped += n
	c.mu.Unlock()
}

// Dropped is how many datagrams the system threw away because the collector had not read those before them.
func (c *Collector) Dropped() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.dropped
	if pc, ok := c.pc.(*net.UDPConn); ok {
		n += drops(pc)
	}
	return n
}

// drops asks the system for its count for one socket.
func drops(pc *net.UDPConn) (n int) {
	raw, err := pc.SyscallConn()
	if err != nil {
		return 0
	}
	// It fails on a socket that is closed, whose drops were counted when it closed.
	_ = raw.Control(func(fd uintptr) {
		const meminfo, of = 55, 8 // SO_MEMINFO, and the place of SK_MEMINFO_DROPS in it
		var info [of + 1]uint32
		size := uint32(unsafe.Sizeof(info))
		if _, _, e := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.SOL_SOCKET, meminfo, uintptr(unsafe.Pointer(&info)),
			uintptr(unsafe.Pointer(&size)), 0); e == 0 {
			n = int(info[of])
		}
	})
	return n
}

func (c *Collector) accept(ln net.Listener) {
	defer c.handlers.Done()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		c.conns.Add(1)
		if c.opt.Network == "tls" && !c.opt.Silent {
			conn = tls.Server(conn, c.opt.TLS)
		}
		c.mu.Lock()
		if c.stopped {
			c.mu.Unlock()
			conn.Close()
			return
		}
		c.open[conn] = true
		c.handlers.Add(1)
		c.mu.Unlock()
		go c.serve(conn)
	}
}

func (c *Collector) serve(conn net.Conn) {
	defer c.handlers.Done()
	defer func() {
		c.mu.Lock()
		delete(c.open, conn)
		c.mu.Unlock()
		conn.Close()
	}()
	if c.opt.Silent {
		for {
			time.Sleep(5 * time.Millisecond)
			c.mu.Lock()
			stopped := c.stopped
			c.mu.Unlock()
			if stopped {
				return
			}
		}
	}
	frames := parser.NewFrames(conn, c.opt.Most)
	for n := 1; ; n++ {
		c.wait()
		p, err := frames.Next()
		if err != nil {
			// A message that the connection's end cuts off is no breach: it comes again on another one.
			if errors.Is(err, parser.ErrFrame) || errors.Is(err, parser.ErrLong) {
				c.mu.Lock()
				if c.fault == nil {
					c.fault = err
				}
				c.mu.Unlock()
			}
			return
		}
		c.keep(p)
		if n == c.opt.After {
			c.end(conn)
			if c.opt.Abrupt {
				return
			}
		}
	}
}

// Write writes what has come as a file with octet counts, as a collector would keep it.
func (c *Collector) Write(w io.Writer) error {
	for _, p := range c.Messages() {
		if _, err := fmt.Fprintf(w, "%d %s", len(p), p); err != nil {
			return err
		}
	}
	return nil
}
