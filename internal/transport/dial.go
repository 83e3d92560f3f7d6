package transport

import (
	"net"
	"sync"
	"time"

	"github.com/lesismal/nbio"
)

// dialedReadBuffer is what the system keeps of a dialed connection that is paused, and what comes at once with its end.
const dialedReadBuffer = 4 * readBufferBytes

// Dial opens a connection within the given time. done is called in the loop, once; the handler it returns is told what
// happens on the connection.
//
// nbio's own dial cuts the first four bytes of the sixteen that an IPv4 address has in net.IP, so whatever it is
// given it connects to 0.0.0.0. The system's dialer connects instead and nbio takes over from there.
func (e *Engine) Dial(addr string, within time.Duration, done func(c *Conn, err error) Handler) {
	go func() {
		dialed, err := net.DialTimeout("tcp", addr, within)
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

// adopt hands a connection to the poller, in the loop: what the poller reports of it comes after open, which returns
// nil to turn it away. releaseSlot is nil for a connection that was dialed; otherwise it is called once, when the
// connection needs no slot any more.
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
	c.readsToEnd.Store(accepted) // accepted connections are finished: their end has to be seen before nbio closes them
	c.recordEarlyArrivals()
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
