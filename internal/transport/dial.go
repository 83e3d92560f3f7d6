package transport

import (
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

// dialedReadBuffer is the size in bytes of the system's receive buffer for a dialed connection. It bounds what is
// buffered while the connection is paused, and what is read in one go when the connection ends.
const dialedReadBuffer = 4 * readBufferBytes

// Dial opens a connection within the given timeout. done is called once, in the loop, with the connection or an error.
// The Handler that it returns handles the events of the connection.
//
// nbio's own dial function uses the first four of the sixteen bytes that net.IP has for an IPv4 address, so it connects
// to 0.0.0.0 whatever the address. The dialer of package net is used instead, and nbio takes over the connection.
func (e *Engine) Dial(addr string, timeout time.Duration, done func(c *Conn, err error) Handler) {
	go func() {
		dialed, err := net.DialTimeout("tcp", addr, timeout)
		e.loop.Post(func() {
			if err == nil {
				dialed.(*net.TCPConn).SetReadBuffer(dialedReadBuffer)
				err = e.adopt(dialed, nil, e.loop.Post, func(c *Conn) Handler { return done(c, nil) })
			}
			if err != nil {
				done(nil, err)
			}
		})
	}()
}

// adopt adds a connection to the poller. It runs in the loop, so open is called before the first event of the
// connection; open returns nil to reject the connection. releaseSlot is nil for a connection that was dialed. Otherwise
// it is called once, when the connection no longer needs its slot.
func (e *Engine) adopt(
	conn net.Conn, releaseSlot func(), post func(func()), open func(c *Conn) Handler,
) error {
	accepted := releaseSlot != nil
	if accepted {
		releaseSlot = sync.OnceFunc(releaseSlot)
	}
	socket, err := nbio.NBConn(conn)
	if err != nil {
		conn.Close()
		if accepted {
			releaseSlot()
		}
		return err
	}
	c := &Conn{engine: e, socket: socket, releaseSlot: releaseSlot, post: post}
	c.recordsArrivals = accepted
	// For CloseGracefully, the end of an accepted connection must be detected before nbio closes it.
	c.readsToEnd.Store(accepted)
	c.recordArrivalsBeforeAccept()
	socket.SetSession(c)
	e.connectionCount.Add(1)
	if _, err := e.poller.AddConn(socket); err != nil {
		if accepted {
			releaseSlot()
		}
		return err
	}
	c.handler = open(c)
	if c.handler == nil {
		c.handler = discardHandler{}
		c.Close()
	}
	return nil
}
