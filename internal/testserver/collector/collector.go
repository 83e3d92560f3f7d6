// Package collector is a fake syslog collector on loopback: UDP, TCP with octet counts, and TLS. It can be slow, stop
// reading, close midway, refuse, hang in the handshake, and come back at the same address.
//
// It owns the messages that it has received, as they came, and the count of those that the system dropped. It checks
// the framing alone and never reads a message's content. It accepts on one goroutine and reads each connection on
// another one; Stop returns when all of them have ended.
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

// Options say how a collector behaves.
type Options struct {
	Network    string // udp, tcp or tls
	Address    string // "" = a loopback port that the kernel picks
	TLS        *tls.Config
	MaxMessage int           // bytes of the longest message, 0 = 1 MiB
	Keep       func([]byte)  // called with each message, one at a time; nil = they are kept for Messages
	Pause      time.Duration // it waits so long behind each message
	CloseAfter int           // it closes a connection behind so many messages of it, 0 = never
	Abrupt     bool          // with After and Stop: without having read what has come
	Silent     bool          // it accepts, and never reads; with TLS the handshake never ends
}

// settle is how long no datagram comes before a collector that stops closes its socket.
const settle = 20 * time.Millisecond

const (
	defaultMaxMessage = 1 << 20
	maxDatagram       = 64 << 10
	// socketBuffer is what a datagram socket asks the system for, so that a burst is not dropped.
	socketBuffer = 8 << 20
	// closeTimeout is how long a collector that stops in order reads what its peers still send.
	closeTimeout = 5 * time.Second
	// silentInterval is how often a silent connection looks whether the collector has stopped.
	silentInterval = 5 * time.Millisecond
)

// Collector is a server that keeps the messages it receives.
type Collector struct {
	opt   Options
	addr  string
	conns atomic.Int64
	got   atomic.Int64

	mu         sync.Mutex
	msgs       [][]byte
	fault      error
	listener   net.Listener
	packetConn net.PacketConn
	open       map[net.Conn]bool
	dropped    int // by sockets that are closed
	stopped    bool
	paused     chan struct{} // not nil = it reads nothing until this is closed
	handlers   sync.WaitGroup
}

// New starts a collector.
func New(opt Options) (*Collector, error) {
	if opt.Address == "" {
		opt.Address = "127.0.0.1:0"
	}
	if opt.MaxMessage == 0 {
		opt.MaxMessage = defaultMaxMessage
	}
	c := &Collector{opt: opt, open: map[net.Conn]bool{}}
	return c, c.Start()
}

// Start lets it come back at its address. It does nothing where it runs.
func (c *Collector) Start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener != nil || c.packetConn != nil {
		return nil
	}
	c.stopped = false
	addr := c.opt.Address
	if c.addr != "" {
		addr = c.addr
	}
	if c.opt.Network == "udp" {
		return c.startPackets(addr)
	}
	return c.startListener(addr)
}

func (c *Collector) startPackets(addr string) error {
	pc, err := net.ListenPacket("udp", addr)
	if err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	pc.(*net.UDPConn).SetReadBuffer(socketBuffer)
	c.packetConn = pc
	c.addr = pc.LocalAddr().String()
	c.handlers.Add(1)
	go c.receivePackets(pc)
	return nil
}

func (c *Collector) startListener(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("collector: %w", err)
	}
	c.listener = ln
	c.addr = ln.Addr().String()
	c.handlers.Add(1)
	go c.accept(ln)
	return nil
}

// Stop ends it: nobody takes what is sent. In order, it reads all that has come until its peers close, unless Abrupt is
// set.
func (c *Collector) Stop() {
	c.mu.Lock()
	c.stopped = true
	if c.listener != nil {
		c.listener.Close()
	}
	if c.packetConn != nil {
		c.packetConn.SetReadDeadline(time.Now().Add(settle)) // what has come is read first
	}
	c.listener = nil
	c.packetConn = nil
	for conn := range c.open {
		c.closeConn(conn)
	}
	paused := c.paused
	c.paused = nil
	c.mu.Unlock()
	if paused != nil {
		close(paused)
	}
	c.handlers.Wait()
}

// closeConn closes a connection: abruptly, so that what was not read is lost and the peer gets a reset; or its own side
// only, and what still comes is read to the end.
func (c *Collector) closeConn(conn net.Conn) {
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
	tcp.SetReadDeadline(time.Now().Add(closeTimeout))
}

// Hang makes it read nothing until the returned function is called.
func (c *Collector) Hang() (goOn func()) {
	paused := make(chan struct{})
	c.mu.Lock()
	c.paused = paused
	c.mu.Unlock()
	return sync.OnceFunc(func() {
		c.mu.Lock()
		current := c.paused == paused
		if current {
			c.paused = nil
		}
		c.mu.Unlock()
		if current {
			close(paused)
		}
	})
}

// blockWhilePaused returns once the collector may read.
func (c *Collector) blockWhilePaused() {
	c.mu.Lock()
	paused := c.paused
	c.mu.Unlock()
	if paused != nil {
		<-paused
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

// Received is how many messages have come.
func (c *Collector) Received() int { return int(c.got.Load()) }

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

func (c *Collector) receivePackets(pc net.PacketConn) {
	defer c.handlers.Done()
	defer pc.Close()
	buf := make([]byte, maxDatagram)
	for {
		c.blockWhilePaused()
		n, _, err := pc.ReadFrom(buf)
		if err != nil {
			c.drainSocket(pc.(*net.UDPConn), buf)
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

// drainSocket takes what still lies in a socket that stops, since a deadline that is over tells nothing of what has
// come: on a busy machine its reader may not have run. Then it notes what the system had no room for.
func (c *Collector) drainSocket(pc *net.UDPConn, buf []byte) {
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
	n := socketDrops(pc)
	c.mu.Lock()
	c.dropped += n
	c.mu.Unlock()
}

// Dropped is how many datagrams the system threw away because the collector had not read those before them.
func (c *Collector) Dropped() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.dropped
	if pc, ok := c.packetConn.(*net.UDPConn); ok {
		n += socketDrops(pc)
	}
	return n
}

// The socket option that tells a socket's memory, and the place of the drops in it.
const (
	socketMemInfo = 55 // SO_MEMINFO
	dropsIndex    = 8  // SK_MEMINFO_DROPS
)

// socketDrops is the system's count of datagrams that one socket had no room for.
func socketDrops(pc *net.UDPConn) (n int) {
	raw, err := pc.SyscallConn()
	if err != nil {
		return 0
	}
	// It fails on a socket that is closed, whose drops were counted when it closed.
	_ = raw.Control(func(fd uintptr) {
		var info [dropsIndex + 1]uint32
		size := uint32(unsafe.Sizeof(info))
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.SOL_SOCKET, socketMemInfo,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		if errno == 0 {
			n = int(info[dropsIndex])
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
		if !c.register(conn) {
			conn.Close()
			return
		}
		go c.serve(conn)
	}
}

// register adds a connection. It says no where the collector has stopped meanwhile.
func (c *Collector) register(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.open[conn] = true
	c.handlers.Add(1)
	return true
}

func (c *Collector) remove(conn net.Conn) {
	c.mu.Lock()
	delete(c.open, conn)
	c.mu.Unlock()
	conn.Close()
}

func (c *Collector) serve(conn net.Conn) {
	defer c.handlers.Done()
	defer c.remove(conn)
	if c.opt.Silent {
		c.blockUntilStopped()
		return
	}
	frames := parser.NewFrames(conn, c.opt.MaxMessage)
	for n := 1; ; n++ {
		c.blockWhilePaused()
		message, err := frames.Next()
		if err != nil {
			c.noteFault(err)
			return
		}
		c.keep(message)
		if n != c.opt.CloseAfter {
			continue
		}
		c.closeConn(conn)
		if c.opt.Abrupt {
			return
		}
	}
}

// blockUntilStopped returns when the collector has stopped.
func (c *Collector) blockUntilStopped() {
	for {
		time.Sleep(silentInterval)
		c.mu.Lock()
		stopped := c.stopped
		c.mu.Unlock()
		if stopped {
			return
		}
	}
}

// noteFault keeps the first breach of the framing. A message that the connection's end cuts off is none: it comes again
// on another connection.
func (c *Collector) noteFault(err error) {
	if !errors.Is(err, parser.ErrOctetCount) && !errors.Is(err, parser.ErrTooLong) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fault == nil {
		c.fault = err
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
