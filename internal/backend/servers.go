// Package backend holds the connections to the db machines and carries attempts and probes over them.
package backend

import (
	"log/slog"
	"time"

	"limeladder/balance"
	"limeladder/internal/config"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/transport"
)

// Job is what a front wants written to a db machine; router.Job holds one.
type Job interface {
	// Messages are the messages to write, up to the one that ends with ReadyForQuery.
	Messages(left time.Duration) []byte
	// Whole says whether an answer is complete and one to this job. Each of its messages has its type's form.
	Complete(a *Response) bool
	// Begins says whether a may be the start of such an answer, with a long row to follow.
	StartsResponse(a *Response) bool
}

// Answer is what came back before ReadyForQuery, as it came, without what concerns the connection only.
type Response struct {
	Messages []byte
	Types    []byte
	Shape    pgwire.Shape
	Code     string // the SQLSTATE of an error that concerns the statement, "" = none
}

// Pool holds the connections, by db machine. All of it runs in the loop's goroutine.
type Pool struct {
	loop     *eventloop.Loop
	engine   *transport.Engine
	lim      limits.Limits
	log      *slog.Logger
	startup  []byte
	machines map[string]*machine
	barred   map[string]bool // taken out by operators, listed or not
	open     int             // connections, those being opened included
	closed   bool
}

type machine struct {
	id, addr string
	pool     *Pool
	state    string
	barred   bool // operators have taken it out
	left     int  // so often it was told to leave, was taken out or has moved: older connections are not kept
	open     int
	opening  int
	resting  int     // connections that have just carried an answer
	idle     []*conn // the one used last stands last
	waiting  []*call // for a connection
}

// New returns a Pool that knows no db machine.
func New(l *eventloop.Loop, e *transport.Engine, lim limits.Limits, log *slog.Logger) *Pool {
	p := &Pool{loop: l, engine: e, lim: lim, log: log, machines: map[string]*machine{}, barred: map[string]bool{},
		startup: pgwire.AppendStartup(nil, "user", "portal", "database", "crm")}
	p.sweep()
	return p
}

// List takes the addresses that discovery names.
func (p *Pool) UpdateEndpoints(l config.List) {
	seen := map[string]bool{}
	for _, e := range l.Servers {
		seen[e.ID] = true
		m := p.machines[e.ID]
		if m == nil {
			m = &machine{id: e.ID, pool: p, barred: p.barred[e.ID]}
			p.machines[e.ID] = m
		}
		if e.Addr != "" && m.addr != e.Addr {
			m.addr = e.Addr
			m.leave()
		}
		if m.state = e.State; m.state != "ready" {
			m.leave()
		}
	}
	for id, m := range p.machines {
		if l.Full && !seen[id] {
			m.state = "gone"
			m.leave()
		}
		if m.state == "gone" && m.open == 0 && len(m.waiting) == 0 {
			delete(p.machines, id)
		}
	}
}

// Suspend takes a db machine out, or lets it back in: nothing new is written there, and who waits for a connection to it
// is told at once that nothing was.
func (p *Pool) Suspend(id string, out bool) {
	if delete(p.barred, id); out {
		p.barred[id] = true
	}
	m := p.machines[id]
	if m == nil {
		return
	}
	if m.barred = out; !out {
		return
	}
	m.leave()
}

// Limit sets new limits. What is beyond them is closed as it becomes idle.
func (p *Pool) SetLimits(lim limits.Limits) { p.lim = lim }

// Close ends all idle connections and keeps none from now on.
func (p *Pool) Close() {
	p.closed = true
	for _, m := range p.machines {
		m.hangUp()
	}
}

// sweep closes connections before the db machine does: what is written to one that it has closed may have run.
func (p *Pool) sweep() {
	now := p.loop.Now()
	for _, m := range p.machines {
		for len(m.idle) > 0 && now-m.idle[0].idleAt > p.lim.Backend.IdleTimeout {
			m.idle[0].end()
		}
	}
	for p.open > p.lim.Backend.Connections && p.shed() {
	}
	p.loop.AfterFunc(p.lim.Backend.SweepInterval, p.sweep)
}

// room says whether one more connection may be opened, and closes an idle one elsewhere to make room.
func (p *Pool) room(m *machine) bool {
	if m.open >= p.lim.Backend.ConnectionsPerEndpoint {
		return false
	}
	if p.open < p.lim.Backend.Connections {
		return true
	}
	return p.shed()
}

// shed closes the connection that has been idle for the longest time, if any is.
func (p *Pool) shed() bool {
	var oldest *conn
	for _, o := range p.machines {
		if len(o.idle) > 0 && (oldest == nil || o.idle[0].idleAt < oldest.idleAt) {
			oldest = o.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.end()
	return true
}

// Start implements router.Servers.
func (p *Pool) Start(a router.Attempt, done func(router.Result)) router.AttemptHandle {
	c := &call{pool: p, job: a.Job.(Job), until: a.Deadline, by: a.NotAfter, begun: a.OnResponseStarted, part: a.OnResponsePart, gone: a.Abandoned, done: done}
	p.start(a.Endpoint, c)
	return c
}

// Probe implements router.Servers.
func (p *Pool) HealthCheck(node string, done func(router.Result)) {
	c := &call{pool: p, job: probe{}, until: p.loop.Now() + p.lim.Backend.HealthCheckTimeout}
	c.done = func(r router.Result) {
		c.timer.Stop()
		if a, ok := r.Response.(*Response); ok && r.Status == balance.StatusDone {
			r.Role, r.Position, r.Utilization = report(a)
		}
		done(r)
	}
	c.timer = p.loop.AfterFunc(p.lim.Backend.HealthCheckTimeout, func() {
		c.Cancel()
		if m := p.machines[node]; m != nil {
			m.hangUp() // what is silent to a probe is silent on every connection
		}
		done(router.Result{Status: balance.StatusTimedOut})
	})
	p.start(node, c)
}

func (p *Pool) start(node string, c *call) {
	m := p.machines[node]
	if m == nil || m.addr == "" || m.barred {
		p.loop.Post(func() { c.finish(router.Result{Status: balance.StatusNotSent}) })
		return
	}
	c.machine = m
	if c.late(p.loop.Now()) {
		p.loop.Post(func() { c.finish(router.Result{Status: balance.StatusNotSent}) })
		return
	}
	for len(m.idle) > 0 {
		k := m.idle[len(m.idle)-1]
		if p.loop.Now()-k.idleAt > p.lim.Backend.IdleTimeout || !k.clean() {
			k.end()
			continue
		}
		m.idle = m.idle[:len(m.idle)-1]
		if k.serve(c) {
			return
		}
	}
	if !p.room(m) && m.opening+m.resting == 0 {
		p.loop.Post(func() { c.finish(router.Result{Status: balance.StatusNotSent}) })
		return
	}
	m.waiting = append(m.waiting, c)
	within, status := p.lim.Backend.ConnectTimeout, balance.StatusConnectFailed
	if left := c.by - p.loop.Now(); c.by > 0 && left < within {
		within, status = left, balance.StatusNotSent // it may not be written any more then
	}
	c.connect = p.loop.AfterFunc(within, func() {
		m.drop(c)
		c.finish(router.Result{Status: status})
	})
	// Guards against a lost SYN: the system would send the next one only after a second.
	c.redial = p.loop.AfterFunc(p.lim.Backend.RedialAfter, func() {
		if p.room(m) {
			m.dial()
		}
	})
	m.more()
}

// call is an attempt or a probe under way. It waits for a connection, then its messages are written, then it
// waits for the answer; it ends once.
type call struct {
	pool    *Pool
	machine *machine
	job     Job
	until   time.Duration
	by      time.Duration
	begun   func(router.Response, router.Flow) // nil = its answer is kept whole
	part    func(p []byte)
	gone    func() bool // nobody waits for it any more, nil = somebody does
	done    func(router.Result)

	conn            *conn // once its messages are written
	connect, redial *eventloop.Timer
	timer           *eventloop.Timer
	over            bool
}

// late guards the age of data and the client's time: what opening a connection has held up for too long is not
// sent any more.
func (c *call) late(now time.Duration) bool { return c.by > 0 && now > c.by || now >= c.until }

func (c *call) finish(r router.Result) {
	if c.over {
		return
	}
	c.over = true
	c.connect.Stop()
	c.redial.Stop()
	c.done(r)
}

// Waiting implements router.Call.
func (c *call) NotWritten() bool { return !c.over && c.conn == nil }

// Cancel implements router.Call.
func (c *call) Cancel() (written bool) {
	if c.over {
		return false
	}
	c.over = true
	c.connect.Stop()
	c.redial.Stop()
	c.timer.Stop()
	if c.conn != nil {
		// Guards against a late answer that meets a later request: its connection goes with it.
		s := c.conn.sock
		c.conn.end()
		return s.Flushed()
	}
	if c.machine != nil {
		c.machine.drop(c)
	}
	return false
}

// Hold implements router.Flow.
func (c *call) SetPaused(on bool) {
	if c.conn != nil {
		c.conn.sock.SetPaused(on)
		c.conn.held = on
		c.conn.watch()
	}
}

func (m *machine) drop(c *call) {
	for i, w := range m.waiting {
		if w == c {
			m.waiting = append(m.waiting[:i], m.waiting[i+1:]...)
			return
		}
	}
}

// leave ends what is only on its way there: idle connections, and the waits for one, as never sent. Guards the drain against
// sends that were decided before it was told and whose connection comes up after. What the module decides from now on, with
// the news in hand, is let through.
func (m *machine) leave() {
	m.left++
	m.hangUp()
	for _, c := range m.waiting {
		m.pool.loop.Post(func() { c.finish(router.Result{Status: balance.StatusNotSent}) })
	}
	m.waiting = nil
}

// hangUp closes what carries nothing.
func (m *machine) hangUp() {
	for len(m.idle) > 0 {
		m.idle[0].end()
	}
}
