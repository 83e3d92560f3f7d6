package frontend

import (
	"time"

	"limeladder/internal/router"
)

// exclusiveRequest is a request that stops its connection from reading further messages until it is answered.
type exclusiveRequest struct {
	id             string // the router's id of the request, "" = none is in flight
	statementBytes int
	session        string
	group          int64
}

func (r *exclusiveRequest) inFlight() bool { return r.id != "" }

// Submit submits a request to the router; no further message is read until CompleteRequest. An error means that the
// request was not accepted.
func (c *Conn) Submit(request router.Request, client router.Client) (err error) {
	request.Tenant = c.identity.user
	request.ClientAddress = c.identity.address
	if c.frontend.router.OrderingOf(request.Class).ReadsOwnWrites {
		request.MinPosition = c.commits.positionFor(&request)
	}
	statementBytes := c.input.messageBytes
	if !c.Reserve(statementBytes) {
		c.RecordCapacityRejection(request)
		return errNoCapacity
	}
	c.exclusive.id, err = c.frontend.router.Accept(request, client)
	if err != nil {
		c.Release(statementBytes)
		return err
	}
	c.exclusive.statementBytes = statementBytes
	c.exclusive.session = request.Session
	c.exclusive.group = request.Group
	return nil
}

// Committed records the position of the write in flight, so that reads that the client sent before it knew the position
// see the write.
func (c *Conn) Committed(position time.Duration) {
	c.commits.record(c.exclusive.session, c.exclusive.group, position)
}

// CompleteRequest ends the request in flight. It calls next before it reads messages that were sent after the request.
func (c *Conn) CompleteRequest(next func() error) {
	c.exclusive.id = ""
	c.setFlow(nil)
	c.Release(c.exclusive.statementBytes)
	c.exclusive.statementBytes = 0
	c.exclusive.session = ""
	if c.input.reader.Buffered() > 0 && c.socket.PeerClosed(true) {
		c.lifetime.lastActiveAt = c.frontend.eventLoop.Now()
		return // the client has disconnected: its pipelined requests are not started
	}
	if !c.lifetime.closed {
		if err := next(); err != nil {
			c.closeWithError(asProtocolError(err))
		}
	}
	c.resume()
}
