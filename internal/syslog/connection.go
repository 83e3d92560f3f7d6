package syslog

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// errDatagramLost means that the network has reported an error for an earlier datagram.
var errDatagramLost = errors.New("a datagram did not reach the collector")

// connection is a connection to a collector. One goroutine writes to it; another one reads only to notice the end of
// the connection, since collectors send nothing.
type connection struct {
	socket        net.Conn // the UDP or TCP connection
	transport     net.Conn // what messages are written to: the TLS connection, or socket
	udp           bool
	rawControl    syscall.RawConn
	counter       *countingConn
	acknowledged  int64       // the result of the last ackedBytes: of the written bytes, those that are acknowledged
	closed        atomic.Bool // the collector has closed the connection, or it is broken
	closedCleanly atomic.Bool // the collector ended the stream instead of resetting it: it had read what had arrived
	connectedAt   time.Time
}

// countingConn counts the bytes that the kernel has accepted for sending.
type countingConn struct {
	net.Conn
	written int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += int64(n)
	return n, err
}

// dial connects to a collector. The timeout includes the TLS handshake. sendBuffer is the size of the socket's send
// buffer in bytes.
func dial(
	ctx context.Context, c Collector, conf *tls.Config, timeout time.Duration, sendBuffer int,
) (*connection, error) {
	network := c.Network
	if network == "tls" {
		network = "tcp"
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := new(net.Dialer).DialContext(ctx, network, c.Address)
	if err != nil {
		return nil, err
	}
	conn := &connection{socket: raw, transport: raw, udp: c.Network == "udp", connectedAt: time.Now()}
	if conn.rawControl, err = raw.(syscall.Conn).SyscallConn(); err != nil {
		raw.Close()
		return nil, err
	}
	if t, ok := raw.(*net.TCPConn); ok {
		t.SetWriteBuffer(sendBuffer)
		conn.counter = &countingConn{Conn: raw}
		conn.transport = conn.counter
	}
	if c.Network == "tls" {
		conf = conf.Clone()
		conf.DynamicRecordSizingDisabled = true // a write of up to 16 KiB is one record: it arrives whole or not at all
		if conf.ServerName == "" {
			conf.ServerName, _, _ = net.SplitHostPort(c.Address)
		}
		t := tls.Client(conn.counter, conf)
		if err := t.HandshakeContext(ctx); err != nil { // with ctx, so that a collector can't stall the handshake
			raw.Close()
			return nil, fmt.Errorf("handshake: %w", err)
		}
		conn.transport = t
	}
	if !conn.udp {
		go conn.watchForClose()
	}
	return conn, nil
}

// watchForClose reads until the collector closes the connection or it breaks.
func (conn *connection) watchForClose() {
	buf := make([]byte, 512)
	for {
		if _, err := conn.transport.Read(buf); err != nil {
			conn.closedCleanly.Store(errors.Is(err, io.EOF))
			conn.closed.Store(true)
			return
		}
	}
}

// ackedBytes returns the number of bytes on the connection that the collector's system has acknowledged.
func (conn *connection) ackedBytes() int64 {
	// Control fails on a closed connection; nothing more is acknowledged then.
	_ = conn.rawControl.Control(func(fd uintptr) {
		if left, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			conn.acknowledged = max(conn.acknowledged, conn.counter.written-int64(left))
		}
	})
	return conn.acknowledged
}

// write writes one or more framed messages to a stream. It fails if this takes longer than timeout.
func (conn *connection) write(p []byte, timeout time.Duration) error {
	conn.socket.SetWriteDeadline(time.Now().Add(timeout))
	_, err := conn.transport.Write(p)
	return err
}

// sendDatagrams sends each message as a datagram, and returns how many of them have arrived as far as this machine can
// tell: if the network reports an error for a datagram, a later operation on the socket fails (RFC 1122, section
// 4.1.3.3).
func (conn *connection) sendDatagrams(msgs [][]byte) (n int, err error) {
	for i, m := range msgs {
		if _, err := conn.transport.Write(m); err != nil {
			if errors.Is(err, syscall.ECONNREFUSED) {
				return max(0, i-1), errDatagramLost
			}
			return i, err
		}
	}
	lost := 0
	// Control fails on a socket that is closed on this side, which has no network error to report.
	_ = conn.rawControl.Control(func(fd uintptr) { lost, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) })
	if lost != 0 {
		return len(msgs) - 1, errDatagramLost
	}
	return len(msgs), nil
}

// closeWriting shuts down the sending side of a stream, and waits at most timeout until everything that was written is
// acknowledged. The caller closes the connection.
func (conn *connection) closeWriting(timeout time.Duration) {
	conn.socket.SetWriteDeadline(time.Now().Add(timeout))
	if t, ok := conn.transport.(*tls.Conn); ok {
		_ = t.CloseWrite() // on failure the acknowledgements are still counted below
	}
	conn.socket.(*net.TCPConn).CloseWrite()
	for end := time.Now().Add(timeout); conn.ackedBytes() < conn.counter.written && time.Now().Before(end); {
		time.Sleep(2 * time.Millisecond)
	}
}

// awaitLateAcks waits until everything that was written is acknowledged, or no acknowledgement has come for the given
// time, since acknowledgements may be delayed (RFC 1122, section 4.2.3.2). On a broken connection it returns at
// once, since no acknowledgement can come.
func (conn *connection) awaitLateAcks(timeout time.Duration) {
	end := time.Now().Add(5 * timeout) // so that a collector that reads slowly does not hold this up
	for last, since := conn.ackedBytes(), time.Now(); !conn.closed.Load() && time.Since(since) < timeout &&
		time.Now().Before(end); time.Sleep(time.Millisecond) {
		if now := conn.ackedBytes(); now != last {
			last, since = now, time.Now()
		} else if now == conn.counter.written {
			return
		}
	}
}

// discardUnackedOnClose makes the close of a stream discard bytes that are not acknowledged. The collector can still
// read what its system has acknowledged.
func (conn *connection) discardUnackedOnClose() { conn.socket.(*net.TCPConn).SetLinger(0) }

// Frame appends a message to dst, framed with its octet count (RFC 6587, section 3.4.1).
func Frame(dst, msg []byte) []byte {
	dst = strconv.AppendInt(dst, int64(len(msg)), 10)
	return append(append(dst, ' '), msg...)
}
