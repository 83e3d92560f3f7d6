package syslog

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Collector is an address that takes messages.
type Collector struct {
	Network string // udp, tcp or tls
	Address string // host:port
}

// ParseCollector reads a collector such as tls://logs.example:6514. A missing port is the transport's own: 514 for UDP
// (RFC 5426), 601 for TCP (RFC 3195's, as common practice), 6514 for TLS (RFC 5425).
func ParseCollector(s string) (Collector, error) {
	u, err := url.Parse(s)
	if err != nil {
		return Collector{}, errors.New("not of the form udp://host:port, tcp://host:port or tls://host:port")
	}
	port := map[string]string{"udp": "514", "tcp": "601", "tls": "6514"}[u.Scheme]
	switch {
	case port == "" || u.Host == "" || u.User != nil || u.Path != "" || u.RawQuery != "" || u.Fragment != "":
		return Collector{}, fmt.Errorf("%q is not of the form udp://host:port, tcp://host:port or tls://host:port", s)
	case u.Port() != "":
		port = u.Port()
	}
	if n, err := strconv.Atoi(port); err != nil || n < 1 || n > 65535 {
		return Collector{}, fmt.Errorf("%q: port %s does not fit", s, port)
	}
	return Collector{u.Scheme, net.JoinHostPort(u.Hostname(), port)}, nil
}

// Loopback says whether the collector is on this machine. A name is not looked up.
func (c Collector) Loopback() bool {
	host, _, _ := net.SplitHostPort(c.Address)
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func (c Collector) String() string { return c.Network + "://" + c.Address }

// errLost says that an earlier message did not arrive.
var errLost = errors.New("nobody takes what was sent")

// link is one connection to a collector. One goroutine writes; another waits for its end, since no collector ever sends
// anything.
type link struct {
	raw     net.Conn // for UDP and TCP the connection itself
	conn    net.Conn // what is written to: TLS, or raw
	udp     bool
	file    syscall.RawConn
	wrote   *counter
	taken   int64       // of that, the bytes that were acknowledged when it was looked at last
	ended   atomic.Bool // the collector has closed, or the connection is broken
	orderly atomic.Bool // it has closed, and had read what had come
	since   time.Time
}

// counter counts the bytes that the system has taken.
type counter struct {
	net.Conn
	n int64
}

func (c *counter) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n += int64(n)
	return n, err
}

// dial connects within the given time, the TLS handshake included.
func dial(ctx context.Context, c Collector, conf *tls.Config, within time.Duration, buffer int) (*link, error) {
	network := c.Network
	if network == "tls" {
		network = "tcp"
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	raw, err := new(net.Dialer).DialContext(ctx, network, c.Address)
	if err != nil {
		return nil, err
	}
	k := &link{raw: raw, conn: raw, udp: c.Network == "udp", since: time.Now()}
	if k.file, err = raw.(syscall.Conn).SyscallConn(); err != nil {
		raw.Close()
		return nil, err
	}
	if t, ok := raw.(*net.TCPConn); ok {
		t.SetWriteBuffer(buffer)
		k.wrote = &counter{Conn: raw}
		k.conn = k.wrote
	}
	if c.Network == "tls" {
		conf = conf.Clone()
		conf.DynamicRecordSizingDisabled = true // a write of up to 16 KiB is one record: it arrives whole or not at all
		if conf.ServerName == "" {
			conf.ServerName, _, _ = net.SplitHostPort(c.Address)
		}
		t := tls.Client(k.wrote, conf)
		if err := t.HandshakeContext(ctx); err != nil { // guards against one that never ends
			raw.Close()
			return nil, fmt.Errorf("handshake: %w", err)
		}
		k.conn = t
	}
	if !k.udp {
		go k.watch()
	}
	return k, nil
}

// watch waits for the collector's end.
func (k *link) watch() {
	buf := make([]byte, 512)
	for {
		if _, err := k.conn.Read(buf); err != nil {
			k.orderly.Store(errors.Is(err, io.EOF))
			k.ended.Store(true)
			return
		}
	}
}

// acked is the number of bytes on the connection that the collector's system has acknowledged.
func (k *link) acked() int64 {
	// It fails on a connection that is closed, and then nothing more is acknowledged.
	_ = k.file.Control(func(fd uintptr) {
		if left, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			k.taken = max(k.taken, k.wrote.n-int64(left))
		}
	})
	return k.taken
}

// write sends bytes of one or more framed messages on a stream within the given time.
func (k *link) write(p []byte, within time.Duration) error {
	k.raw.SetWriteDeadline(time.Now().Add(within))
	_, err := k.conn.Write(p)
	return err
}

// packets sends messages as datagrams, and says how many of them have met somebody as far as this machine can tell: a
// datagram that nobody took shows as an error of the socket behind it (RFC 1122, section 4.1.3.3).
func (k *link) packets(msgs [][]byte) (n int, err error) {
	for i, m := range msgs {
		if _, err := k.conn.Write(m); err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				return max(0, i-1), errLost
			}
			return i, err
		}
	}
	lost := 0
	// It fails on a socket that is closed here, which has no error of the network to tell.
	_ = k.file.Control(func(fd uintptr) { lost, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) })
	if lost != 0 {
		return len(msgs) - 1, errLost
	}
	return len(msgs), nil
}

// finish ends a stream in order: what is written still goes out for so long. The caller closes it.
func (k *link) finish(within time.Duration) {
	k.raw.SetWriteDeadline(time.Now().Add(within))
	if t, ok := k.conn.(*tls.Conn); ok {
		_ = t.CloseWrite() // what the collector has acknowledged is counted below, whether or not it hears the end
	}
	k.raw.(*net.TCPConn).CloseWrite()
	for end := time.Now().Add(within); k.acked() < k.wrote.n && time.Now().Before(end); {
		time.Sleep(2 * time.Millisecond)
	}
}

// quiet waits until nothing new is acknowledged for so long, since an acknowledgement may be late (RFC 1122, section
// 4.2.3.2); on a connection that is broken nothing comes at all.
func (k *link) quiet(within time.Duration) {
	end := time.Now().Add(5 * within) // one that reads slowly is not waited for
	for last, since := k.acked(), time.Now(); !k.ended.Load() && time.Since(since) < within && time.Now().Before(end); time.Sleep(time.Millisecond) {
		if now := k.acked(); now != last {
			last, since = now, time.Now()
		} else if now == k.wrote.n {
			return
		}
	}
}

// abandon makes the close of a stream throw away what the other system has not acknowledged. What that has, its program
// can still read.
func (k *link) abandon() { k.raw.(*net.TCPConn).SetLinger(0) }

// Frame appends the octet count of RFC 6587, section 3.4.1, and the message.
func Frame(dst, msg []byte) []byte {
	dst = strconv.AppendInt(dst, int64(len(msg)), 10)
	return append(append(dst, ' '), msg...)
}
