// Package collector provides a fake syslog collector on loopback for UDP, TCP with octet counting, and TLS. It can be
// slow, stop reading, close connections midway, refuse connections, hang in the TLS handshake, and restart at the same
// address.
//
// It owns the messages that it has received, unchanged, and the count of datagrams that the kernel dropped. It checks
// the framing but never reads a message's content. It accepts connections on one goroutine and reads each connection on
// another; Stop returns when all of them have ended.
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

// Options configure how a collector behaves.
type Options struct {
	Network    string // "udp", "tcp" or "tls"
	Address    string // "" = a loopback port that the kernel chooses
	TLS        *tls.Config
	MaxMessage int           // maximum length of a message in bytes, 0 = 1 MiB
	Keep       func([]byte)  // called with each message, one at a time; nil = messages are kept for Messages
	Pause      time.Duration // time to wait after each message
	CloseAfter int           // close a connection after this many messages, 0 = never
	Abrupt     bool          // CloseAfter and Stop reset connections and discard unread input
	Silent     bool          // accept connections but never read; a TLS handshake never completes
}

// quietPeriod is how long no datagram must have arrived before a stopping collector closes its socket.
const quietPeriod = 20 * time.Millisecond

const (
	defaultMaxMessage = 1 << 20  // bytes
	maxDatagram       = 64 << 10 // bytes
	// socketBuffer is the receive buffer in bytes that a datagram socket requests, so that the kernel drops no burst.
	socketBuffer = 8 << 20
	// closeTimeout is how long the collector still reads from a connection whose write side it has closed.
	closeTimeout = 5 * time.Second
	// silentInterval is the interval at which a silent connection checks whether the collector has stopped.
	silentInterval = 5 * time.Millisecond
)

// Collector is a syslog server that keeps the messages it receives.
type Collector struct {
	options  Options
	addr     string
	accepted atomic.Int64
	received atomic.Int64

	mu         sync.Mutex
	messages   [][]byte
	fault      error
	listener   net.Listener
	packetConn net.PacketConn
	openConns  map[net.Conn]bool
	dropped    int // datagrams dropped at sockets that are closed by now
	stopped    bool
	paused     chan struct{} // not nil while the collector hangs; closed when it continues
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
	c := &Collector{options: opt, openConns: map[net.Conn]bool{}}
	return c, c.Start()
}

// Start starts the collector. After a Stop, the collector listens at the same address as before. Start does nothing if
// the collector is running.
func (c *Collector) Start() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener != nil || c.packetConn != nil {
		return nil
	}
	c.stopped = false
	addr := c.options.Address
	if c.addr != "" {
		addr = c.addr
	}
	if c.options.Network == "udp" {
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

// Stop stops the collector and refuses further connections. Unless Abrupt is set, it first reads everything that its
// peers have sent until they close their connections, for at most closeTimeout.
func (c *Collector) Stop() {
	c.mu.Lock()
	c.stopped = true
	if c.listener != nil {
		c.listener.Close()
	}
	if c.packetConn != nil {
		c.packetConn.SetReadDeadline(time.Now().Add(quietPeriod)) // datagrams that have arrived are read first
	}
	c.listener = nil
	c.packetConn = nil
	for conn := range c.openConns {
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

// closeConn closes a connection. With Abrupt it discards unread input and the peer gets a reset. Otherwise it closes
// the write side only, so that the remaining input can be read.
func (c *Collector) closeConn(conn net.Conn) {
	raw := conn
	if t, ok := conn.(*tls.Conn); ok {
		raw = t.NetConn()
	}
	tcp := raw.(*net.TCPConn)
	if c.options.Abrupt {
		tcp.SetLinger(0)
		tcp.Close()
		return
	}
	if t, ok := conn.(*tls.Conn); ok {
		_ = t.CloseWrite() // the peer may have disconnected, which the following reads report
	}
	tcp.CloseWrite()
	tcp.SetReadDeadline(time.Now().Add(closeTimeout))
}

// Hang makes the collector read nothing until the returned function is called or the collector is stopped.
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

// blockWhilePaused returns when the collector no longer hangs.
func (c *Collector) blockWhilePaused() {
	c.mu.Lock()
	paused := c.paused
	c.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// Address returns the host and port at which the collector listens.
func (c *Collector) Address() string { return c.addr }

// URL returns the address in the form used in the operator's settings file: network://host:port.
func (c *Collector) URL() string { return c.options.Network + "://" + c.addr }

// Messages returns the messages received so far.
func (c *Collector) Messages() [][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([][]byte(nil), c.messages...)
}

// Received returns the number of messages received.
func (c *Collector) Received() int { return int(c.received.Load()) }

// Connections returns the number of connections accepted.
func (c *Collector) Connections() int { return int(c.accepted.Load()) }

// Fault returns the first framing error, nil if there was none.
func (c *Collector) Fault() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}

func (c *Collector) record(p []byte) {
	c.received.Add(1)
	c.mu.Lock()
	if c.options.Keep != nil {
		c.options.Keep(p)
	} else {
		c.messages = append(c.messages, p)
	}
	c.mu.Unlock()
	if c.options.Pause > 0 {
		time.Sleep(c.options.Pause)
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
			pc.SetReadDeadline(time.Now().Add(quietPeriod))
		}
		c.mu.Unlock()
		c.record(append([]byte(nil), buf[:n]...))
	}
}

// drainSocket reads the datagrams that are still queued at the socket of a stopping collector, and then counts those
// that the kernel dropped. The read deadline may expire while datagrams are queued: on a busy machine the reading
// goroutine may not have run in time.
func (c *Collector) drainSocket(pc *net.UDPConn, buf []byte) {
	raw, err := pc.SyscallConn()
	if err != nil {
		return
	}
	// Control fails only on a closed socket, which has nothing left to read.
	_ = raw.Control(func(fd uintptr) {
		for {
			n, _, err := syscall.Recvfrom(int(fd), buf, syscall.MSG_DONTWAIT)
			if err != nil {
				return
			}
			c.record(append([]byte(nil), buf[:n]...))
		}
	})
	n := socketDrops(pc)
	c.mu.Lock()
	c.dropped += n
	c.mu.Unlock()
}

// Dropped returns the number of datagrams that the kernel dropped because the socket's receive buffer was full.
func (c *Collector) Dropped() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.dropped
	if pc, ok := c.packetConn.(*net.UDPConn); ok {
		n += socketDrops(pc)
	}
	return n
}

// The socket option that returns a socket's memory counters, and the index of the drop count among them.
const (
	socketMemInfo = 55 // SO_MEMINFO
	dropsIndex    = 8  // SK_MEMINFO_DROPS
)

// socketDrops returns the kernel's count of datagrams dropped at a socket, 0 if the socket is closed.
func socketDrops(pc *net.UDPConn) (n int) {
	raw, err := pc.SyscallConn()
	if err != nil {
		return 0
	}
	// Control fails only on a closed socket, whose drops were counted before it was closed.
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
		c.accepted.Add(1)
		if c.options.Network == "tls" && !c.options.Silent {
			conn = tls.Server(conn, c.options.TLS)
		}
		if !c.register(conn) {
			conn.Close()
			return
		}
		go c.serve(conn)
	}
}

// register adds a connection. It returns false if the collector has stopped meanwhile.
func (c *Collector) register(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.openConns[conn] = true
	c.handlers.Add(1)
	return true
}

func (c *Collector) remove(conn net.Conn) {
	c.mu.Lock()
	delete(c.openConns, conn)
	c.mu.Unlock()
	conn.Close()
}

func (c *Collector) serve(conn net.Conn) {
	defer c.handlers.Done()
	defer c.remove(conn)
	if c.options.Silent {
		c.blockUntilStopped()
		return
	}
	frames := parser.NewFrames(conn, c.options.MaxMessage)
	for n := 1; ; n++ {
		c.blockWhilePaused()
		message, err := frames.Next()
		if err != nil {
			c.noteFault(err)
			return
		}
		c.record(message)
		if n != c.options.CloseAfter {
			continue
		}
		c.closeConn(conn)
		if c.options.Abrupt {
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

// noteFault records the first framing error. A message that the end of its connection truncates is not an error: the
// sender repeats it on another connection.
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

// Write writes the received messages to w with octet counting, the format of a collector's file.
func (c *Collector) Write(w io.Writer) error {
	for _, p := range c.Messages() {
		if _, err := fmt.Fprintf(w, "%d %s", len(p), p); err != nil {
			return err
		}
	}
	return nil
}
