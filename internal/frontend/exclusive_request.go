package frontend

import (
	"time"

	"limeladder/internal/router"
)

// exclusiveRequest is the request of a connection behind which nothing is read until it is answered.
type exclusiveRequest struct {
	id             string // the router's name for it, "" = none is in flight
	statementBytes int
	session        string
	group          int64
}

func (r *exclusiveRequest) inFlight() bool { return r.id != "" }

// Submit hands a request to the router; no further message is read until CompleteRequest. An error says that the
// request is invalid, and that nothing was accepted.
func (c *Conn) Submit(request router.Request, client router.Client) (err error) {
	request.Tenant = c.identity.user
	request.ClientAddress = c.identity.address
	if c.frontend.router.OrderingOf(request.Class).ReadsOwnWrites {
		request.MinPosition = c.commits.positionFor(&request)
	}
	statementBytes := c.input.messageBytes
	if !c.Reserve(statementBytes) {
		c.frontend.router.RecordRejection(request, capacityRetryAfter)
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

// Committed notes the position of the write in flight, so that reads which its client sent before it knew the
// position see the write.
func (c *Conn) Committed(position time.Duration) {
	c.commits.record(c.exclusive.session, c.exclusive.group, position)
}

// CompleteRequest ends the request in flight. The function next is called before what was sent behind the request is
// read.
func (c *Conn) CompleteRequest(next func() error) {
	c.exclusive.id = ""
	c.output.flow = nil
	c.Release(c.exclusive.statementBytes)
	c.exclusive.statementBytes = 0
	c.exclusive.session = ""
	if c.input.reader.Waiting() > 0 && c.socket.PeerClosed(true) {
		c.lifetime.lastActiveAt = c.frontend.eventLoop.Now()
		return // the client has gone: nothing of what it sent ahead is begun
	}
	if !c.lifetime.closed {
		if err := next(); err != nil {
			c.closeWithError(protocolErrorOf(err))
		}
	}
	c.resume()
}
