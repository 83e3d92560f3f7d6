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
type conn struct {
	machine *machine
	since   int // machine.left when it was dialled
	sock    *transport.Conn
	reader  *pgwire.Reader
	welcome *eventloop.Timer // until it is welcomed
	rest    *eventloop.Timer // until it may carry the next call
	stall   *eventloop.Timer // until what has begun to come goes on
	ready   bool
	ended   bool
	dialing bool // the system still has the dial
	call    *call
	idleAt  time.Duration

	// of the answer that is coming in
	answer *Response
	cameAt time.Duration     // when it began to, 0 = it has not
	begun  bool              // it is passed on as it comes
	row    *pgwire.RowStream // the row that is being passed on, nil = none is
	held   bool              // the client takes no more for now
	beside int               // bytes that came beside it
	code   string
	bad    bool // it is spoilt
	role   balance.Role
	pos    time.Duration
}

// dial opens a connection for whoever waits first.
func (m *machine) dial() *conn {
	p := m.pool
	k := &conn{machine: m, since: m.left, reader: pgwire.NewReader(p.lim.Backend.RowBytes, 0)}
	m.open++
	m.opening++
	p.open++
	k.dialing = true
	k.welcome = p.loop.AfterFunc(p.lim.Backend.ConnectTimeout, func() { k.broken() })
	p.engine.Dial(m.addr, p.lim.Backend.ConnectTimeout, func(c *transport.Conn, err error) transport.Handler {
		if k.dialing = false; k.ended {
			k.left()
		}
		if err != nil || k.ended {
			if c != nil {
				c.Close()
			}
			k.broken()
			return k
		}
		k.sock = c
		if c.Write(p.startup) != nil {
			k.broken()
		}
		return k
	})
	return k
}

// end closes the connection and takes it off the books.
func (k *conn) end() {
	if k.ended {
		return
	}
	k.ended = true
	k.welcome.Stop()
	k.stall.Stop()
	if k.rest != nil {
		k.rest.Stop()
		k.rest = nil
		k.machine.resting--
	}
	if k.sock != nil {
		k.sock.Close()
	}
	m := k.machine
	if !k.dialing {
		k.left()
	}
	if !k.ready {
		m.opening--
	}
	for i, o := range m.idle {
		if o == k {
			m.idle = append(m.idle[:i], m.idle[i+1:]...)
			break
		}
	}
}

// left gives back the place of a connection, once it has no descriptor any more: a dial that is given up has one until it ends.
func (k *conn) left() {
	k.machine.open--
	k.machine.pool.open--
}

// broken is the end of a connection that was not ours to choose.
func (k *conn) broken() {
	if k.ended {
		return
	}
	k.end()
	m := k.machine
	if c := k.call; c != nil {
		r := router.Result{Status: balance.StatusReset}
		if k.code != "" { // a fatal error needs no ReadyForQuery
			r = k.result()
		} else if !k.sock.Flushed() {
			r.Status = balance.StatusConnectFailed // its last byte was never written: proof that it did not run
		}
		k.call, c.conn = nil, nil
		c.finish(r)
		return
	}
	if k.ready {
		m.more()
		return
	}
	// Those who wait with no connection on its way to them could not connect: nothing of them was written.
	status := balance.StatusConnectFailed
	if k.code == pgwire.TooManyConnections {
		status = balance.StatusBusy
	}
	for len(m.waiting) > m.opening+m.resting {
		c := m.waiting[0]
		m.waiting = m.waiting[1:]
		c.finish(router.Result{Status: status})
	}
}

// Closed implements sock.Handler.
func (k *conn) Closed(error) { k.broken() }

// Data implements sock.Handler.
func (k *conn) Data(p []byte) {
	k.reader.Feed(p)
	k.stall.Stop()
	if k.call != nil && k.cameAt == 0 {
		k.cameAt = k.machine.pool.loop.Now()
	}
	for !k.ended {
		if k.row != nil && !k.pass() {
			break
		}
		m, ok, err := k.reader.Next()
		if err != nil {
			k.spoilt(err.Error())
			return
		}
		if !ok {
			if k.begin() {
				continue
			}
			break
		}
		k.message(m)
	}
	k.watch()
}

// watch looks for the rest of what has begun to come. Guards against lengths that do not fit: the rest of such a message
// never comes.
func (k *conn) watch() {
	lim := &k.machine.pool.lim
	within := lim.Backend.StallTimeout
	if k.begun {
		within = lim.Backend.StreamStallTimeout // a slow db machine still gives it
	}
	k.stall.Stop()
	if !k.ended && !k.held && (k.reader.Waiting() > 0 || k.call != nil && (k.begun || k.closing())) {
		k.stall = k.machine.pool.loop.AfterFunc(within, func() { k.spoilt("it stops within an answer") })
	}
}

// begin passes an answer on that is too long to be kept, once enough of it has come and its lengths fit so far. Before that
// an attempt that fails can be made again.
func (k *conn) begin() bool {
	lim := &k.machine.pool.lim
	typ, length, have, ok := k.reader.Begun()
	if ok && length > lim.Backend.ResponseBytes && (typ != 'D' || k.call == nil || k.call.begun == nil || !k.call.job.StartsResponse(k.answer)) {
		k.spoilt("a message too long to keep") // and it can't be passed on either
		return false
	}
	if !ok || typ != 'D' || length <= lim.Backend.StreamThresholdBytes || len(have) < lim.Backend.StreamStartBytes || k.call == nil || k.call.begun == nil || k.code != "" ||
		!k.call.job.StartsResponse(k.answer) {
		return false
	}
	if err := pgwire.NewRowStream(length).Feed(have); err != nil {
		k.spoilt("long row: " + err.Error())
		return false
	}
	if !k.begun {
		k.begun = true
		k.call.begun(k.answer, k.call)
		k.answer.Messages = nil
	}
	k.row = pgwire.NewRowStream(length)
	k.call.part(k.reader.Cut(5))
	return true
}

// pass hands on what has come of a long row, and says whether that was its end.
func (k *conn) pass() bool {
	p := k.reader.Cut(min(k.row.Left, k.reader.Waiting()))
	if len(p) == 0 {
		return false
	}
	if err := k.row.Feed(p); err != nil {
		k.spoilt("long row: " + err.Error())
		return false
	}
	k.call.part(p)
	if k.row.Left > 0 {
		return false
	}
	columns := k.row.Columns
	k.row = nil
	k.answer.Types = append(k.answer.Types, 'D')
	if !k.answer.Shape.Row(columns) {
		k.spoilt("long row: it does not fit those before it")
		return false
	}
	return true
}

// closing says whether only ReadyForQuery is missing.
func (k *conn) closing() bool { return k.code != "" || k.answer.Shape.Tag != "" }

// spoilt gives the connection up on bytes that are not an answer. What they claimed is not believed, and the attempt
// may have run.
func (k *conn) spoilt(why string) {
	k.machine.pool.log.Warn("db machine breaks the protocol", "node", k.machine.id, "why", why)
	c := k.call
	if c == nil {
		k.broken()
		return
	}
	k.call, c.conn = nil, nil
	k.end()
	c.finish(router.Result{Status: balance.StatusError})
}

func (k *conn) message(m pgwire.Message) {
	switch m.Type {
	case 'S', 'N', 'A', 'K':
		// Guards against an answer without end: where a part of it is passed on already no time of the request's ends it.
		if k.beside += 5 + len(m.Body); k.beside > k.machine.pool.lim.Backend.ResponseBytes {
			k.spoilt("it says too much beside its answer")
			return
		}
		if name, value, err := pgwire.Pair(m.Body); err == nil && m.Type == 'S' {
			k.status(name, value)
		}
		return
	}
	if !k.ready {
		switch m.Type {
		case 'R':
			if len(m.Body) != 4 || string(m.Body) != "\x00\x00\x00\x00" {
				k.broken() // it asks for a password, which the platform does not use
			}
		case 'E':
			k.failed(m)
			k.broken()
		case 'Z':
			k.ready = true
			k.machine.opening--
			k.welcome.Stop()
			k.free()
		default:
			k.broken()
		}
		return
	}
	if k.call == nil {
		// Guards against a late or stray answer: it must not be taken for that of the next request.
		k.broken()
		return
	}
	switch m.Type {
	case 'Z':
		c := k.call
		r := k.result()
		c.SetPaused(false) // the last of a long answer may have come while its client took no more
		k.call, c.conn = nil, nil
		if len(m.Body) != 1 || m.Body[0] != 'I' || k.reader.Waiting() > 0 {
			k.end() // an open transaction or bytes that belong to no request: not to be used again
		} else if k.bad {
			k.end()
		} else {
			k.pause()
		}
		c.finish(r)
		return
	case 'E':
		k.failed(m)
	}
	if len(k.answer.Messages)+len(m.Body) > k.machine.pool.lim.Backend.ResponseBytes {
		k.spoilt("its answer is too long")
		return
	}
	if err := k.answer.Shape.Add(m); err != nil {
		k.spoilt(fmt.Sprintf("%c: %v", m.Type, err))
		return
	}
	if k.begun && m.Type == 'D' {
		if !k.call.job.StartsResponse(k.answer) {
			k.spoilt("more rows than were asked for") // and they might never end
			return
		}
		k.call.part(pgwire.Append(nil, m.Type, m.Body))
	} else {
		k.answer.Messages = pgwire.Append(k.answer.Messages, m.Type, m.Body)
	}
	k.answer.Types = append(k.answer.Types, m.Type)
}

func (k *conn) failed(m pgwire.Message) {
	k.code = pgwire.InternalError
	if f, err := pgwire.Fields(m.Body); err == nil && len(f['C']) == 5 {
		k.code = f['C']
	}
}

// status notes what an answer tells of its sender.
func (k *conn) status(name, value string) {
	switch name {
	case "mode":
		switch value {
		case "read-write":
			k.role = balance.RolePrimary
		case "read-only":
			k.role = balance.RoleReplica
		}
	case "wal_time":
		if ms, err := strconv.ParseFloat(value, 64); err == nil && ms > 0 && ms < 1<<42 {
			k.pos = time.Duration(ms) * time.Millisecond // rounded down
		}
	}
}

// result says how the call ended. Codes that concern the statement itself go back to the client as they came;
// those of PROTOCOL's table are outcomes for the module.
func (k *conn) result() router.Result {
	r := router.Result{Role: k.role, Position: k.pos, ResponseStartedAt: k.cameAt}
	switch {
	case k.code == "" && k.call.job.Complete(k.answer):
		r.Status, r.Response = balance.StatusDone, k.answer
	case k.code == "", bytes.ContainsAny(k.answer.Types, "DC"):
		k.bad = true // what a spoilt answer claims is not believed
		return router.Result{Status: balance.StatusError}
	case k.code == pgwire.TooManyConnections:
		r.Status = balance.StatusBusy
	case k.code == pgwire.ReadOnly, k.code == pgwire.SnapshotTooOld:
		r.Status = balance.StatusMiss
	case k.code != "" && strings.Contains("21 22 23 26 34 42 44 0A", k.code[:2]):
		k.answer.Code = k.code
		r.Status, r.Response, r.Code = balance.StatusDone, k.answer, k.code
	default:
		r.Status = balance.StatusError
	}
	return r
}

// pause lets the connection rest behind an answer. Guards the next request against bytes that belong to the answer
// before it and come in a later segment: whatever comes now closes the connection.
func (k *conn) pause() {
	m := k.machine
	m.resting++
	k.rest = m.pool.loop.AfterFunc(m.pool.lim.Backend.ReuseDelay, func() {
		k.rest = nil
		m.resting--
		// start looks at the socket of an idle connection; here it counts where one waits for it.
		if k.reader.Waiting() == 0 && (len(m.waiting) == 0 || k.sock.Quiet()) {
			k.free()
			return
		}
		k.end()
		m.more()
	})
}

// clean says that nothing has come behind the last answer, not even a part of a message or the connection's end.
func (k *conn) clean() bool { return k.reader.Waiting() == 0 && k.sock.Quiet() }

// more opens a connection if some wait with none on its way to them.
func (m *machine) more() {
	if len(m.waiting) > m.opening+m.resting && m.pool.room(m) {
		m.dial()
	}
}

// free hands the connection to whoever waits, or keeps it.
func (k *conn) free() {
	m, p := k.machine, k.machine.pool
	if k.since != m.left { // it leads to where the machine was, or has been told to leave since
		k.end()
		m.more()
		return
	}
	for len(m.waiting) > 0 {
		c := m.waiting[0]
		m.waiting = m.waiting[1:]
		if k.serve(c) {
			return
		}
		if k.ended {
			return
		}
	}
	if p.closed || m.barred || m.state != "ready" || len(m.idle) >= p.lim.Backend.IdlePerEndpoint {
		k.end()
		return
	}
	k.idleAt = p.loop.Now()
	m.idle = append(m.idle, k)
}

// serve writes the messages of a call. False says that the call is not on this connection: either it is over, or
// the connection broke first and the call waits for another.
func (k *conn) serve(c *call) bool {
	p := k.machine.pool
	now := p.loop.Now()
	if c.over {
		return false
	}
	if c.late(now) || c.gone != nil && c.gone() {
		// Too late, or its client has gone while the connection came up.
		p.loop.Post(func() { c.finish(router.Result{Status: balance.StatusNotSent}) })
		return false
	}
	k.answer, k.code, k.role, k.pos = &Response{Shape: pgwire.NewShape()}, "", balance.RoleUnknown, 0
	k.begun, k.row, k.cameAt, k.beside = false, nil, 0, 0
	if err := k.sock.Write(c.job.Messages(c.until - now)); err != nil {
		// Nothing was written whole, so the call may go out on another connection.
		k.end()
		if c.connect == nil {
			return false // still with start, which goes on to the next
		}
		if k.machine.barred || k.since != k.machine.left {
			p.loop.Post(func() { c.finish(router.Result{Status: balance.StatusNotSent}) })
			return false
		}
		k.machine.waiting = append(k.machine.waiting, c)
		if p.room(k.machine) {
			k.machine.dial()
		}
		return false
	}
	c.connect.Stop()
	c.redial.Stop()
	k.call, c.conn = c, k
	return true
}
