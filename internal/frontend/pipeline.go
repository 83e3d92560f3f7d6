package frontend

import (
	"time"

	"limeladder/internal/pgwire"
	"limeladder/internal/router"
)

// Requests that a client sends without waiting for answers are in hand together, and their answers leave in the order of the
// requests. One that is slow holds up the answers behind it, which the protocol asks for, but not the work: each is decided within
// its own client's time.
//
// What is done is what would be done one after the other. A write begins once all before it on the connection is decided, and a
// read that has to see what was written before it waits for those writes. Other reads wait for nothing.

// Turn is the place of one answer in a connection's line.
type slot struct {
	conn           *Conn
	request        router.Request
	responder      responder
	ordering       router.Ordering
	state          slotState
	textOnly       bool        // it answers no request
	requestID      string      // the core's handle, "" = it is not in its hands
	statementBytes int         // bytes of its statement
	reservedBytes  int         // bytes set aside for its answer, as others stand before it
	buffered       []byte      // what waits for those before it
	bufferedBytes  int         // what of it is counted
	flow           router.Flow // of an answer that is passed on as it comes
	started        bool        // it has left in part
}

type slotState int

const (
	slotWaiting slotState = iota // for others of its connection
	slotInFlight
	slotAnswered
)

// Reply is a request's client that can also be told that the request is unfit.
type responder interface {
	router.Client
	Invalid(err error)
}

// turnBytes is what a turn costs beside its bytes.
const slotOverheadBytes = 256

// Join hands a request to the core as soon as those before it on the connection let it, and t its place for the answer.
func (c *Conn) enqueue(t *slot, q router.Request, to responder) {
	q.Tenant, q.Client = c.user, c.address
	*t = slot{conn: c, request: q, responder: to, ordering: c.frontend.router.OrderingOf(q.Class)}
	c.slots = append(c.slots, t)
	if !c.Reserve(c.messageBytes) {
		c.frontend.router.RecordRejection(q, capacityRetryAfter)
		to.Invalid(errNoCapacity)
		return
	}
	t.statementBytes = c.messageBytes
	c.acceptNewest()
}

// advance begins the newest request if it may be: nothing is read behind one that waits.
func (c *Conn) acceptNewest() {
	if count := len(c.slots); count > 0 && c.slots[count-1].state == slotWaiting && c.mayAccept(c.slots[count-1]) {
		t := c.slots[count-1]
		t.state = slotInFlight
		if t.ordering.ReadsOwnWrites {
			t.request.MinPosition = c.commits.positionFor(&t.request)
		}
		id, err := c.frontend.router.Accept(t.request, t.responder)
		if err != nil {
			t.responder.Invalid(err)
			return
		}
		t.requestID = id
	}
}

// may says whether a request can be begun beside those before it, and sets aside the room for its answer.
func (c *Conn) mayAccept(t *slot) bool {
	before := 0
	for _, u := range c.slots {
		if u == t {
			break
		}
		if u.state == slotAnswered {
			continue
		}
		before++
		sees := t.ordering.ReadsAllWrites || t.ordering.ReadsOwnWrites && u.request.Session == t.request.Session
		if t.ordering.Writes || u.ordering.Writes && sees || t.request.Label != "" && t.request.Label == u.request.Label {
			return false
		}
	}
	lim := &c.frontend.limits
	if before == 0 {
		return true
	}
	// Guards the places of other connections' requests, and the memory: with half of the room for statements and answers taken, requests
	// sent ahead wait until they are the first.
	if before >= lim.Frontend.ConcurrentRequests || c.frontend.usedBytes()+lim.Backend.StreamThresholdBytes > lim.Frontend.BufferedBytes/2 || !c.Reserve(lim.Backend.StreamThresholdBytes) {
		return false
	}
	t.reservedBytes = lim.Backend.StreamThresholdBytes
	return true
}

// first says that no answer stands before it.
func (t *slot) isFirst() bool { return len(t.conn.slots) > 0 && t.conn.slots[0] == t }

// keep adds to what waits for the answers before it.
func (t *slot) buffer(message []byte) {
	count := len(message)
	if len(t.buffered) == 0 {
		count += slotOverheadBytes
	}
	t.buffered = append(t.buffered, message...)
	t.bufferedBytes += count
	t.conn.backlogBytes += count
	t.conn.reservedBytes += count
	t.conn.frontend.bufferedBytes += count
}

// free gives back what is kept of it.
func (t *slot) takeBuffered() (message []byte) {
	message, t.buffered = t.buffered, nil
	t.conn.backlogBytes -= t.bufferedBytes
	t.conn.Release(t.bufferedBytes)
	t.bufferedBytes = 0
	return message
}

// Gone implements router.Client.
func (t *slot) Disconnected(look bool) bool { return t.conn.Disconnected(look) }

// Committed implements router.Committer.
func (t *slot) Committed(position time.Duration) {
	t.conn.commits.record(t.request.Session, t.request.Group, position)
}

// Answer gives the answer, or what is left of it.
func (t *slot) complete(message []byte) {
	c := t.conn
	c.Release(t.statementBytes + t.reservedBytes)
	t.statementBytes, t.reservedBytes, t.requestID, t.flow, t.state = 0, 0, "", nil, slotAnswered
	if c.closed {
		return
	}
	switch {
	case !t.isFirst(), !t.started && c.backpressure():
		t.buffer(message)
	default: // what was passed on as it came is not held up at its end
		c.flow = nil
		c.slots = c.slots[1:]
		c.write(message)
		c.writeAnswered()
	}
	c.resume()
}

// stuffed says that the client has so much to take that no more is written for now, nor read; Taken goes on.
func (c *Conn) backpressure() bool {
	if !c.backpressured && c.socket.Unsent() > c.frontend.limits.Frontend.HighWaterBytes {
		c.backpressured = true
		c.socket.Await(c.frontend.limits.Frontend.LowWaterBytes)
	}
	return c.backpressured
}

// Stream begins an answer that is passed on as it comes. Its source is held until its turn: behind others, and while the client has
// much to take.
func (t *slot) startResponse(message []byte, f router.Flow) {
	t.flow = f
	if t.isFirst() && !t.conn.backpressure() {
		t.passOn(message)
		return
	}
	f.SetPaused(true)
	t.buffer(message)
}

// begin passes on what has come of an answer whose turn it is.
func (t *slot) passOn(message []byte) {
	t.started = true
	t.conn.StartResponse(message, t.flow)
}

// Part passes on the next piece. What the source had under way when it was held is kept.
func (t *slot) ResponsePart(message []byte) {
	switch {
	case t.conn.closed:
	case t.started:
		t.conn.WriteResponsePart(message)
	default:
		t.buffer(message)
	}
}

// Cut ends an answer that was begun and will not become whole. Only the connection's end can say so, unless nothing of it has
// left yet: then the given error takes its place.
func (t *slot) truncate(instead []byte) {
	t.requestID = ""
	if t.conn.closed || t.started {
		t.conn.TruncateResponse()
		return
	}
	t.takeBuffered()
	t.complete(instead)
}

// settle writes the answers whose turn has come. Guards those that many requests in hand have got at once against Unread: a client that
// takes them slowly gets them all.
func (c *Conn) writeAnswered() {
	for len(c.slots) > 0 && !c.closed && !c.backpressure() {
		t := c.slots[0]
		message := t.takeBuffered()
		if t.state == slotAnswered {
			c.slots = c.slots[1:]
			c.write(message)
			continue
		}
		c.Release(t.reservedBytes)
		t.reservedBytes = 0
		if t.flow != nil && !t.started {
			t.passOn(message)
			if !c.closed && c.socket.Unsent() <= c.frontend.limits.Frontend.HighWaterBytes {
				t.flow.SetPaused(false)
			}
		}
		return
	}
}

// next goes on behind an answer.
func (c *Conn) resume() {
	if c.closed {
		return
	}
	c.lastActiveAt = c.frontend.eventLoop.Now()
	if c.closeWhenAnswered && len(c.slots) == 0 {
		c.Close()
		return
	}
	waits := len(c.slots) > 0 && c.slots[len(c.slots)-1].state == slotWaiting
	if (waits || c.reader.Waiting() > 0) && c.socket.Left(true) {
		return // nothing of what it sent ahead is begun: its end is on its way here
	}
	c.acceptNewest()
	c.readMessages()
	c.accountInput()
	c.closeIfDraining()
}

// busy says that an answer is owed.
func (c *Conn) owesResponse() bool { return c.request != "" || len(c.slots) > 0 }

// blocked says that no further message is read for now.
func (c *Conn) blocked() bool {
	count := len(c.slots)
	return c.request != "" || c.closeWhenAnswered || count > 0 && c.slots[count-1].state == slotWaiting || c.backlogBytes > c.frontend.limits.Frontend.HighWaterBytes
}

// Quit ends the connection once what it was sent before is answered.
func (c *Conn) CloseWhenAnswered() {
	if c.closeWhenAnswered = true; !c.owesResponse() {
		c.Close()
	}
}

// last writes a fatal error in its turn, behind the answers that are owed, and ends the connection.
func (c *Conn) closeWithErrorInOrder(code, text string) {
	if !c.owesResponse() {
		c.closeWithError(code, text)
		return
	}
	c.frontend.logger.Debug("client turned away", "code", code, "why", text, "owed", len(c.slots))
	c.Respond(pgwire.AppendError(nil, pgwire.Error{Fatal: true, Code: code, Message: text}))
	c.closeWhenAnswered = true
}
