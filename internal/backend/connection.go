package backend

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/transport"
)

// conn is a connection to a db machine. It carries one call at a time.
type connection struct {
	endpoint     *endpoint
	generation   int // machine.left when it was dialled
	sock         *transport.Conn
	reader       *pgwire.Reader
	startupTimer *eventloop.Timer // until it is welcomed
	reuseTimer   *eventloop.Timer // until it may carry the next call
	stallTimer   *eventloop.Timer // until what has begun to come goes on
	started      bool
	closed       bool
	dialing      bool // the system still has the dial
	attempt      *attempt
	idleSince    time.Duration

	// of the answer that is coming in
	response          *Response
	responseStartedAt time.Duration     // when it began to, 0 = it has not
	streaming         bool              // it is passed on as it comes
	streamedRow       *pgwire.RowStream // the row that is being passed on, nil = none is
	paused            bool              // the client takes no more for now
	overheadBytes     int               // bytes that came beside it
	sqlState          string
	invalid           bool // it is spoilt
	role              balance.Role
	position          time.Duration
}

// dial opens a connection for whoever waits first.
func (e *endpoint) dial() *connection {
	p := e.pool
	c := &connection{endpoint: e, generation: e.generation, reader: pgwire.NewReader(p.limits.Backend.RowBytes, 0)}
	e.open++
	e.starting++
	p.open++
	c.dialing = true
	c.startupTimer = p.loop.AfterFunc(p.limits.Backend.ConnectTimeout, func() { c.handleDisconnect() })
	p.engine.Dial(e.addr, p.limits.Backend.ConnectTimeout, func(socket *transport.Conn, err error) transport.Handler {
		if c.dialing = false; c.closed {
			c.releaseSlot()
		}
		if err != nil || c.closed {
			if socket != nil {
				socket.Close()
			}
			c.handleDisconnect()
			return c
		}
		c.sock = socket
		if socket.Write(p.startup) != nil {
			c.handleDisconnect()
		}
		return c
	})
	return c
}

// end closes the connection and takes it off the books.
func (c *connection) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.startupTimer.Stop()
	c.stallTimer.Stop()
	if c.reuseTimer != nil {
		c.reuseTimer.Stop()
		c.reuseTimer = nil
		c.endpoint.reuseDelayed--
	}
	if c.sock != nil {
		c.sock.Close()
	}
	e := c.endpoint
	if !c.dialing {
		c.releaseSlot()
	}
	if !c.started {
		e.starting--
	}
	for i, o := range e.idle {
		if o == c {
			e.idle = append(e.idle[:i], e.idle[i+1:]...)
			break
		}
	}
}

// left gives back the place of a connection, once it has no descriptor any more: a dial that is given up has one until it ends.
func (c *connection) releaseSlot() {
	c.endpoint.open--
	c.endpoint.pool.open--
}

// broken is the end of a connection that was not ours to choose.
func (c *connection) handleDisconnect() {
	if c.closed {
		return
	}
	c.close()
	e := c.endpoint
	if a := c.attempt; a != nil {
		r := router.Result{Status: balance.StatusReset}
		if c.sqlState != "" { // a fatal error needs no ReadyForQuery
			r = c.result()
		} else if !c.sock.Flushed() {
			r.Status = balance.StatusConnectFailed // its last byte was never written: proof that it did not run
		}
		c.attempt, a.connection = nil, nil
		a.finish(r)
		return
	}
	if c.started {
		e.dialForWaiting()
		return
	}
	// Those who wait with no connection on its way to them could not connect: nothing of them was written.
	status := balance.StatusConnectFailed
	if c.sqlState == pgwire.TooManyConnections {
		status = balance.StatusBusy
	}
	for len(e.waiting) > e.starting+e.reuseDelayed {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		a.finish(router.Result{Status: status})
	}
}

// Closed implements sock.Handler.
func (c *connection) Closed(error) { c.handleDisconnect() }

// Data implements sock.Handler.
func (c *connection) Data(p []byte) {
	c.reader.Feed(p)
	c.stallTimer.Stop()
	if c.attempt != nil && c.responseStartedAt == 0 {
		c.responseStartedAt = c.endpoint.pool.loop.Now()
	}
	for !c.closed {
		if c.streamedRow != nil && !c.streamRow() {
			break
		}
		message, ok, err := c.reader.Next()
		if err != nil {
			c.handleViolation(err.Error())
			return
		}
		if !ok {
			if c.startStreaming() {
				continue
			}
			break
		}
		c.handleMessage(message)
	}
	c.resetStallTimer()
}

// watch looks for the rest of what has begun to come. Guards against lengths that do not fit: the rest of such a message
// never comes.
func (c *connection) resetStallTimer() {
	lim := &c.endpoint.pool.limits
	within := lim.Backend.StallTimeout
	if c.streaming {
		within = lim.Backend.StreamStallTimeout // a slow db machine still gives it
	}
	c.stallTimer.Stop()
	if !c.closed && !c.paused && (c.reader.Waiting() > 0 || c.attempt != nil && (c.streaming || c.awaitsReady())) {
		c.stallTimer = c.endpoint.pool.loop.AfterFunc(within, func() { c.handleViolation("it stops within an answer") })
	}
}

// begin passes an answer on that is too long to be kept, once enough of it has come and its lengths fit so far. Before that
// an attempt that fails can be made again.
func (c *connection) startStreaming() bool {
	lim := &c.endpoint.pool.limits
	typ, length, have, ok := c.reader.Begun()
	if ok && length > lim.Backend.ResponseBytes && (typ != 'D' || c.attempt == nil || c.attempt.onResponseStarted == nil || !c.attempt.job.StartsResponse(c.response)) {
		c.handleViolation("a message too long to keep") // and it can't be passed on either
		return false
	}
	if !ok || typ != 'D' || length <= lim.Backend.StreamThresholdBytes || len(have) < lim.Backend.StreamStartBytes || c.attempt == nil || c.attempt.onResponseStarted == nil || c.sqlState != "" ||
		!c.attempt.job.StartsResponse(c.response) {
		return false
	}
	if err := pgwire.NewRowStream(length).Feed(have); err != nil {
		c.handleViolation("long row: " + err.Error())
		return false
	}
	if !c.streaming {
		c.streaming = true
		c.attempt.onResponseStarted(c.response, c.attempt)
		c.response.Messages = nil
	}
	c.streamedRow = pgwire.NewRowStream(length)
	c.attempt.onResponsePart(c.reader.Cut(5))
	return true
}

// pass hands on what has come of a long row, and says whether that was its end.
func (c *connection) streamRow() bool {
	p := c.reader.Cut(min(c.streamedRow.Left, c.reader.Waiting()))
	if len(p) == 0 {
		return false
	}
	if err := c.streamedRow.Feed(p); err != nil {
		c.handleViolation("long row: " + err.Error())
		return false
	}
	c.attempt.onResponsePart(p)
	if c.streamedRow.Left > 0 {
		return false
	}
	columns := c.streamedRow.Columns
	c.streamedRow = nil
	c.response.Types = append(c.response.Types, 'D')
	if !c.response.Shape.Row(columns) {
		c.handleViolation("long row: it does not fit those before it")
		return false
	}
	return true
}

// closing says whether only ReadyForQuery is missing.
func (c *connection) awaitsReady() bool { return c.sqlState != "" || c.response.Shape.Tag != "" }

// spoilt gives the connection up on bytes that are not an answer. What they claimed is not believed, and the attempt
// may have run.
func (c *connection) handleViolation(why string) {
	c.endpoint.pool.log.Warn("db machine breaks the protocol", "node", c.endpoint.id, "why", why)
	a := c.attempt
	if a == nil {
		c.handleDisconnect()
		return
	}
	c.attempt, a.connection = nil, nil
	c.close()
	a.finish(router.Result{Status: balance.StatusError})
}

func (c *connection) handleMessage(message pgwire.Message) {
	switch message.Type {
	case 'S', 'N', 'A', 'K':
		// Guards against an answer without end: where a part of it is passed on already no time of the request's ends it.
		if c.overheadBytes += 5 + len(message.Body); c.overheadBytes > c.endpoint.pool.limits.Backend.ResponseBytes {
			c.handleViolation("it says too much beside its answer")
			return
		}
		if name, value, err := pgwire.Pair(message.Body); err == nil && message.Type == 'S' {
			c.recordParameter(name, value)
		}
		return
	}
	if !c.started {
		switch message.Type {
		case 'R':
			if len(message.Body) != 4 || string(message.Body) != "\x00\x00\x00\x00" {
				c.handleDisconnect() // it asks for a password, which the platform does not use
			}
		case 'E':
			c.recordError(message)
			c.handleDisconnect()
		case 'Z':
			c.started = true
			c.endpoint.starting--
			c.startupTimer.Stop()
			c.makeAvailable()
		default:
			c.handleDisconnect()
		}
		return
	}
	if c.attempt == nil {
		// Guards against a late or stray answer: it must not be taken for that of the next request.
		c.handleDisconnect()
		return
	}
	switch message.Type {
	case 'Z':
		a := c.attempt
		r := c.result()
		a.SetPaused(false) // the last of a long answer may have come while its client took no more
		c.attempt, a.connection = nil, nil
		if len(message.Body) != 1 || message.Body[0] != 'I' || c.reader.Waiting() > 0 {
			c.close() // an open transaction or bytes that belong to no request: not to be used again
		} else if c.invalid {
			c.close()
		} else {
			c.delayReuse()
		}
		a.finish(r)
		return
	case 'E':
		c.recordError(message)
	}
	if len(c.response.Messages)+len(message.Body) > c.endpoint.pool.limits.Backend.ResponseBytes {
		c.handleViolation("its answer is too long")
		return
	}
	if err := c.response.Shape.Add(message); err != nil {
		c.handleViolation(fmt.Sprintf("%c: %v", message.Type, err))
		return
	}
	if c.streaming && message.Type == 'D' {
		if !c.attempt.job.StartsResponse(c.response) {
			c.handleViolation("more rows than were asked for") // and they might never end
			return
		}
		c.attempt.onResponsePart(pgwire.Append(nil, message.Type, message.Body))
	} else {
		c.response.Messages = pgwire.Append(c.response.Messages, message.Type, message.Body)
	}
	c.response.Types = append(c.response.Types, message.Type)
}

func (c *connection) recordError(message pgwire.Message) {
	c.sqlState = pgwire.InternalError
	if f, err := pgwire.Fields(message.Body); err == nil && len(f['C']) == 5 {
		c.sqlState = f['C']
	}
}

// status notes what an answer tells of its sender.
func (c *connection) recordParameter(name, value string) {
	switch name {
	case "mode":
		switch value {
		case "read-write":
			c.role = balance.RolePrimary
		case "read-only":
			c.role = balance.RoleReplica
		}
	case "wal_time":
		if ms, err := strconv.ParseFloat(value, 64); err == nil && ms > 0 && ms < 1<<42 {
			c.position = time.Duration(ms) * time.Millisecond // rounded down
		}
	}
}

// result says how the call ended. Codes that concern the statement itself go back to the client as they came;
// those of PROTOCOL's table are outcomes for the module.
func (c *connection) result() router.Result {
	r := router.Result{Role: c.role, Position: c.position, ResponseStartedAt: c.responseStartedAt}
	switch {
	case c.sqlState == "" && c.attempt.job.Complete(c.response):
		r.Status, r.Response = balance.StatusDone, c.response
	case c.sqlState == "", bytes.ContainsAny(c.response.Types, "DC"):
		c.invalid = true // what a spoilt answer claims is not believed
		return router.Result{Status: balance.StatusError}
	case c.sqlState == pgwire.TooManyConnections:
		r.Status = balance.StatusBusy
	case c.sqlState == pgwire.ReadOnly, c.sqlState == pgwire.SnapshotTooOld:
		r.Status = balance.StatusMiss
	case c.sqlState != "" && strings.Contains("21 22 23 26 34 42 44 0A", c.sqlState[:2]):
		c.response.Code = c.sqlState
		r.Status, r.Response, r.Code = balance.StatusDone, c.response, c.sqlState
	default:
		r.Status = balance.StatusError
	}
	return r
}

// pause lets the connection rest behind an answer. Guards the next request against bytes that belong to the answer
// before it and come in a later segment: whatever comes now closes the connection.
func (c *connection) delayReuse() {
	e := c.endpoint
	e.reuseDelayed++
	c.reuseTimer = e.pool.loop.AfterFunc(e.pool.limits.Backend.ReuseDelay, func() {
		c.reuseTimer = nil
		e.reuseDelayed--
		// start looks at the socket of an idle connection; here it counts where one waits for it.
		if c.reader.Waiting() == 0 && (len(e.waiting) == 0 || c.sock.Quiet()) {
			c.makeAvailable()
			return
		}
		c.close()
		e.dialForWaiting()
	})
}

// clean says that nothing has come behind the last answer, not even a part of a message or the connection's end.
func (c *connection) isQuiet() bool { return c.reader.Waiting() == 0 && c.sock.Quiet() }

// more opens a connection if some wait with none on its way to them.
func (e *endpoint) dialForWaiting() {
	if len(e.waiting) > e.starting+e.reuseDelayed && e.pool.ensureCapacity(e) {
		e.dial()
	}
}

// free hands the connection to whoever waits, or keeps it.
func (c *connection) makeAvailable() {
	e, p := c.endpoint, c.endpoint.pool
	if c.generation != e.generation { // it leads to where the machine was, or has been told to leave since
		c.close()
		e.dialForWaiting()
		return
	}
	for len(e.waiting) > 0 {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		if c.send(a) {
			return
		}
		if c.closed {
			return
		}
	}
	if p.closed || e.suspended || e.state != "ready" || len(e.idle) >= p.limits.Backend.IdlePerEndpoint {
		c.close()
		return
	}
	c.idleSince = p.loop.Now()
	e.idle = append(e.idle, c)
}

// serve writes the messages of a call. False says that the call is not on this connection: either it is over, or
// the connection broke first and the call waits for another.
func (c *connection) send(a *attempt) bool {
	p := c.endpoint.pool
	now := p.loop.Now()
	if a.ended {
		return false
	}
	if a.isLate(now) || a.abandoned != nil && a.abandoned() {
		// Too late, or its client has gone while the connection came up.
		p.loop.Post(func() { a.finish(router.Result{Status: balance.StatusNotSent}) })
		return false
	}
	c.response, c.sqlState, c.role, c.position = &Response{Shape: pgwire.NewShape()}, "", balance.RoleUnknown, 0
	c.streaming, c.streamedRow, c.responseStartedAt, c.overheadBytes = false, nil, 0, 0
	if err := c.sock.Write(a.job.Messages(a.deadline - now)); err != nil {
		// Nothing was written whole, so the call may go out on another connection.
		c.close()
		if a.connectTimer == nil {
			return false // still with start, which goes on to the next
		}
		if c.endpoint.suspended || c.generation != c.endpoint.generation {
			p.loop.Post(func() { a.finish(router.Result{Status: balance.StatusNotSent}) })
			return false
		}
		c.endpoint.waiting = append(c.endpoint.waiting, a)
		if p.ensureCapacity(c.endpoint) {
			c.endpoint.dial()
		}
		return false
	}
	a.connectTimer.Stop()
	a.redialTimer.Stop()
	c.attempt, a.connection = a, c
	return true
}
