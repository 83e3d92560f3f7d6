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
type Turn struct {
	conn  *Conn
	q     router.Request
	to    Reply
	order router.Ordering
	state state
	text  bool        // it answers no request
	id    string      // the core's handle, "" = it is not in its hands
	size  int         // bytes of its statement
	room  int         // bytes set aside for its answer, as others stand before it
	out   []byte      // what waits for those before it
	kept  int         // what of it is counted
	flow  router.Flow // of an answer that is passed on as it comes
	begun bool        // it has left in part
}

type state int

const (
	waiting state = iota // for others of its connection
	inHand
	answered
)

// Reply is a request's client that can also be told that the request is unfit.
type Reply interface {
	router.Client
	Unfit(err error)
}

// turnBytes is what a turn costs beside its bytes.
const turnBytes = 256

// Join hands a request to the core as soon as those before it on the connection let it, and t its place for the answer.
func (c *Conn) Join(t *Turn, q router.Request, to Reply) {
	q.Tenant, q.Client = c.user, c.from
	*t = Turn{conn: c, q: q, to: to, order: c.front.core.OrderingOf(q.Class)}
	c.line = append(c.line, t)
	if !c.Hold(c.size) {
		c.front.core.RecordRejection(q, roomAfter)
		to.Unfit(errRoom)
		return
	}
	t.size = c.size
	c.advance()
}

// advance begins the newest request if it may be: nothing is read behind one that waits.
func (c *Conn) advance() {
	if n := len(c.line); n > 0 && c.line[n-1].state == waiting && c.may(c.line[n-1]) {
		t := c.line[n-1]
		t.state = inHand
		if t.order.ReadsOwnWrites {
			t.q.MinPosition = c.commits.see(&t.q)
		}
		id, err := c.front.core.Accept(t.q, t.to)
		if err != nil {
			t.to.Unfit(err)
			return
		}
		t.id = id
	}
}

// may says whether a request can be begun beside those before it, and sets aside the room for its answer.
func (c *Conn) may(t *Turn) bool {
	before := 0
	for _, u := range c.line {
		if u == t {
			break
		}
		if u.state == answered {
			continue
		}
		before++
		sees := t.order.ReadsAllWrites || t.order.ReadsOwnWrites && u.q.Session == t.q.Session
		if t.order.Writes || u.order.Writes && sees || t.q.Label != "" && t.q.Label == u.q.Label {
			return false
		}
	}
	lim := &c.front.lim
	if before == 0 {
		return true
	}
	// Guards the places of other connections' requests, and the memory: with half of the room for statements and answers taken, requests
	// sent ahead wait until they are the first.
	if before >= lim.Frontend.ConcurrentRequests || c.front.fill()+lim.Backend.StreamThresholdBytes > lim.Frontend.BufferedBytes/2 || !c.Hold(lim.Backend.StreamThresholdBytes) {
		return false
	}
	t.room = lim.Backend.StreamThresholdBytes
	return true
}

// first says that no answer stands before it.
func (t *Turn) first() bool { return len(t.conn.line) > 0 && t.conn.line[0] == t }

// keep adds to what waits for the answers before it.
func (t *Turn) keep(p []byte) {
	n := len(p)
	if len(t.out) == 0 {
		n += turnBytes
	}
	t.out = append(t.out, p...)
	t.kept += n
	t.conn.backlog += n
	t.conn.kept += n
	t.conn.front.buffered += n
}

// free gives back what is kept of it.
func (t *Turn) free() (p []byte) {
	p, t.out = t.out, nil
	t.conn.backlog -= t.kept
	t.conn.Release(t.kept)
	t.kept = 0
	return p
}

// Gone implements router.Client.
func (t *Turn) Disconnected(look bool) bool { return t.conn.Gone(look) }

// Committed implements router.Committer.
func (t *Turn) Committed(position time.Duration) {
	t.conn.commits.note(t.q.Session, t.q.Group, position)
}

// Answer gives the answer, or what is left of it.
func (t *Turn) Answer(p []byte) {
	c := t.conn
	c.Release(t.size + t.room)
	t.size, t.room, t.id, t.flow, t.state = 0, 0, "", nil, answered
	if c.ended {
		return
	}
	switch {
	case !t.first(), !t.begun && c.stuffed():
		t.keep(p)
	default: // what was passed on as it came is not held up at its end
		c.flow = nil
		c.line = c.line[1:]
		c.send(p)
		c.settle()
	}
	c.next()
}

// stuffed says that the client has so much to take that no more is written for now, nor read; Taken goes on.
func (c *Conn) stuffed() bool {
	if !c.choked && c.sock.Unsent() > c.front.lim.Frontend.HighWaterBytes {
		c.choked = true
		c.sock.Await(c.front.lim.Frontend.LowWaterBytes)
	}
	return c.choked
}

// Stream begins an answer that is passed on as it comes. Its source is held until its turn: behind others, and while the client has
// much to take.
func (t *Turn) Stream(p []byte, f router.Flow) {
	t.flow = f
	if t.first() && !t.conn.stuffed() {
		t.begin(p)
		return
	}
	f.SetPaused(true)
	t.keep(p)
}

// begin passes on what has come of an answer whose turn it is.
func (t *Turn) begin(p []byte) {
	t.begun = true
	t.conn.Stream(p, t.flow)
}

// Part passes on the next piece. What the source had under way when it was held is kept.
func (t *Turn) ResponsePart(p []byte) {
	switch {
	case t.conn.ended:
	case t.begun:
		t.conn.Part(p)
	default:
		t.keep(p)
	}
}

// Cut ends an answer that was begun and will not become whole. Only the connection's end can say so, unless nothing of it has
// left yet: then the given error takes its place.
func (t *Turn) Cut(instead []byte) {
	t.id = ""
	if t.conn.ended || t.begun {
		t.conn.Cut()
		return
	}
	t.free()
	t.Answer(instead)
}

// settle writes the answers whose turn has come. Guards those that many requests in hand have got at once against Unread: a client that
// takes them slowly gets them all.
func (c *Conn) settle() {
	for len(c.line) > 0 && !c.ended && !c.stuffed() {
		t := c.line[0]
		p := t.free()
		if t.state == answered {
			c.line = c.line[1:]
			c.send(p)
			continue
		}
		c.Release(t.room)
		t.room = 0
		if t.flow != nil && !t.begun {
			t.begin(p)
			if !c.ended && c.sock.Unsent() <= c.front.lim.Frontend.HighWaterBytes {
				t.flow.SetPaused(false)
			}
		}
		return
	}
}

// next goes on behind an answer.
func (c *Conn) next() {
	if c.ended {
		return
	}
	c.lastAt = c.front.loop.Now()
	if c.closing && len(c.line) == 0 {
		c.End()
		return
	}
	waits := len(c.line) > 0 && c.line[len(c.line)-1].state == waiting
	if (waits || c.reader.Waiting() > 0) && c.sock.Left(true) {
		return // nothing of what it sent ahead is begun: its end is on its way here
	}
	c.advance()
	c.read()
	c.count()
	c.rest()
}

// busy says that an answer is owed.
func (c *Conn) busy() bool { return c.request != "" || len(c.line) > 0 }

// blocked says that no further message is read for now.
func (c *Conn) blocked() bool {
	n := len(c.line)
	return c.request != "" || c.closing || n > 0 && c.line[n-1].state == waiting || c.backlog > c.front.lim.Frontend.HighWaterBytes
}

// Quit ends the connection once what it was sent before is answered.
func (c *Conn) Quit() {
	if c.closing = true; !c.busy() {
		c.End()
	}
}

// last writes a fatal error in its turn, behind the answers that are owed, and ends the connection.
func (c *Conn) last(code, text string) {
	if !c.busy() {
		c.fatal(code, text)
		return
	}
	c.front.log.Debug("client turned away", "code", code, "why", text, "owed", len(c.line))
	c.Write(pgwire.AppendError(nil, pgwire.Error{Fatal: true, Code: code, Message: text}))
	c.closing = true
}
