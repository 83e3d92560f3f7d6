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
	Complete(response *Response) bool
	// Begins says whether a may be the start of such an answer, with a long row to follow.
	StartsResponse(response *Response) bool
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
	loop      *eventloop.Loop
	engine    *transport.Engine
	limits    limits.Limits
	log       *slog.Logger
	startup   []byte
	endpoints map[string]*endpoint
	suspended map[string]bool // taken out by operators, listed or not
	open      int             // connections, those being opened included
	closed    bool
}

type endpoint struct {
	id, addr     string
	pool         *Pool
	state        string
	suspended    bool // operators have taken it out
	generation   int  // so often it was told to leave, was taken out or has moved: older connections are not kept
	open         int
	starting     int
	reuseDelayed int           // connections that have just carried an answer
	idle         []*connection // the one used last stands last
	waiting      []*attempt    // for a connection
}

// New returns a Pool that knows no db machine.
func New(l *eventloop.Loop, e *transport.Engine, lim limits.Limits, log *slog.Logger) *Pool {
	p := &Pool{
		loop: l, engine: e, limits: lim, log: log, endpoints: map[string]*endpoint{}, suspended: map[string]bool{},
		startup: pgwire.AppendStartup(nil, "user", "portal", "database", "crm"),
	}
	p.closeExpired()
	return p
}

// List takes the addresses that discovery names.
func (p *Pool) UpdateEndpoints(list config.List) {
	seen := map[string]bool{}
	for _, entry := range list.Servers {
		seen[entry.ID] = true
		e := p.endpoints[entry.ID]
		if e == nil {
			e = &endpoint{id: entry.ID, pool: p, suspended: p.suspended[entry.ID]}
			p.endpoints[entry.ID] = e
		}
		if entry.Addr != "" && e.addr != entry.Addr {
			e.addr = entry.Addr
			e.drain()
		}
		if e.state = entry.State; e.state != "ready" {
			e.drain()
		}
	}
	for id, e := range p.endpoints {
		if list.Full && !seen[id] {
			e.state = "gone"
			e.drain()
		}
		if e.state == "gone" && e.open == 0 && len(e.waiting) == 0 {
			delete(p.endpoints, id)
		}
	}
}

// Suspend takes a db machine out, or lets it back in: nothing new is written there, and who waits for a connection to it
// is told at once that nothing was.
func (p *Pool) Suspend(id string, out bool) {
	if delete(p.suspended, id); out {
		p.suspended[id] = true
	}
	e := p.endpoints[id]
	if e == nil {
		return
	}
	if e.suspended = out; !out {
		return
	}
	e.drain()
}

// Limit sets new limits. What is beyond them is closed as it becomes idle.
func (p *Pool) SetLimits(lim limits.Limits) { p.limits = lim }

// Close ends all idle connections and keeps none from now on.
func (p *Pool) Close() {
	p.closed = true
	for _, e := range p.endpoints {
		e.closeIdle()
	}
}

// sweep closes connections before the db machine does: what is written to one that it has closed may have run.
func (p *Pool) closeExpired() {
	now := p.loop.Now()
	for _, e := range p.endpoints {
		for len(e.idle) > 0 && now-e.idle[0].idleSince > p.limits.Backend.IdleTimeout {
			e.idle[0].close()
		}
	}
	for p.open > p.limits.Backend.Connections && p.closeOldestIdle() {
	}
	p.loop.AfterFunc(p.limits.Backend.SweepInterval, p.closeExpired)
}

// room says whether one more connection may be opened, and closes an idle one elsewhere to make room.
func (p *Pool) ensureCapacity(e *endpoint) bool {
	if e.open >= p.limits.Backend.ConnectionsPerEndpoint {
		return false
	}
	if p.open < p.limits.Backend.Connections {
		return true
	}
	return p.closeOldestIdle()
}

// shed closes the connection that has been idle for the longest time, if any is.
func (p *Pool) closeOldestIdle() bool {
	var oldest *connection
	for _, o := range p.endpoints {
		if len(o.idle) > 0 && (oldest == nil || o.idle[0].idleSince < oldest.idleSince) {
			oldest = o.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	return true
}

// Start implements router.Servers.
func (p *Pool) Start(requested router.Attempt, done func(router.Result)) router.AttemptHandle {
	a := &attempt{pool: p, job: requested.Job.(Job), deadline: requested.Deadline, notAfter: requested.NotAfter, onResponseStarted: requested.OnResponseStarted, onResponsePart: requested.OnResponsePart, abandoned: requested.Abandoned, done: done}
	p.startAttempt(requested.Endpoint, a)
	return a
}

// Probe implements router.Servers.
func (p *Pool) HealthCheck(node string, done func(router.Result)) {
	a := &attempt{pool: p, job: healthCheck{}, deadline: p.loop.Now() + p.limits.Backend.HealthCheckTimeout}
	a.done = func(r router.Result) {
		a.timeoutTimer.Stop()
		if response, ok := r.Response.(*Response); ok && r.Status == balance.StatusDone {
			r.Role, r.Position, r.Utilization = parseLoadReport(response)
		}
		done(r)
	}
	a.timeoutTimer = p.loop.AfterFunc(p.limits.Backend.HealthCheckTimeout, func() {
		a.Cancel()
		if e := p.endpoints[node]; e != nil {
			e.closeIdle() // what is silent to a probe is silent on every connection
		}
		done(router.Result{Status: balance.StatusTimedOut})
	})
	p.startAttempt(node, a)
}

func (p *Pool) startAttempt(node string, a *attempt) {
	e := p.endpoints[node]
	if e == nil || e.addr == "" || e.suspended {
		p.loop.Post(func() { a.finish(router.Result{Status: balance.StatusNotSent}) })
		return
	}
	a.endpoint = e
	if a.isLate(p.loop.Now()) {
		p.loop.Post(func() { a.finish(router.Result{Status: balance.StatusNotSent}) })
		return
	}
	for len(e.idle) > 0 {
		c := e.idle[len(e.idle)-1]
		if p.loop.Now()-c.idleSince > p.limits.Backend.IdleTimeout || !c.isQuiet() {
			c.close()
			continue
		}
		e.idle = e.idle[:len(e.idle)-1]
		if c.send(a) {
			return
		}
	}
	if !p.ensureCapacity(e) && e.starting+e.reuseDelayed == 0 {
		p.loop.Post(func() { a.finish(router.Result{Status: balance.StatusNotSent}) })
		return
	}
	e.waiting = append(e.waiting, a)
	within, status := p.limits.Backend.ConnectTimeout, balance.StatusConnectFailed
	if left := a.notAfter - p.loop.Now(); a.notAfter > 0 && left < within {
		within, status = left, balance.StatusNotSent // it may not be written any more then
	}
	a.connectTimer = p.loop.AfterFunc(within, func() {
		e.removeWaiting(a)
		a.finish(router.Result{Status: status})
	})
	// Guards against a lost SYN: the system would send the next one only after a second.
	a.redialTimer = p.loop.AfterFunc(p.limits.Backend.RedialAfter, func() {
		if p.ensureCapacity(e) {
			e.dial()
		}
	})
	e.dialForWaiting()
}

// call is an attempt or a probe under way. It waits for a connection, then its messages are written, then it
// waits for the answer; it ends once.
type attempt struct {
	pool              *Pool
	endpoint          *endpoint
	job               Job
	deadline          time.Duration
	notAfter          time.Duration
	onResponseStarted func(router.Response, router.Flow) // nil = its answer is kept whole
	onResponsePart    func(p []byte)
	abandoned         func() bool // nobody waits for it any more, nil = somebody does
	done              func(router.Result)

	connection                *connection // once its messages are written
	connectTimer, redialTimer *eventloop.Timer
	timeoutTimer              *eventloop.Timer
	ended                     bool
}

// late guards the age of data and the client's time: what opening a connection has held up for too long is not
// sent any more.
func (a *attempt) isLate(now time.Duration) bool {
	return a.notAfter > 0 && now > a.notAfter || now >= a.deadline
}

func (a *attempt) finish(r router.Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.connectTimer.Stop()
	a.redialTimer.Stop()
	a.done(r)
}

// Waiting implements router.Call.
func (a *attempt) NotWritten() bool { return !a.ended && a.connection == nil }

// Cancel implements router.Call.
func (a *attempt) Cancel() (written bool) {
	if a.ended {
		return false
	}
	a.ended = true
	a.connectTimer.Stop()
	a.redialTimer.Stop()
	a.timeoutTimer.Stop()
	if a.connection != nil {
		// Guards against a late answer that meets a later request: its connection goes with it.
		s := a.connection.sock
		a.connection.close()
		return s.Flushed()
	}
	if a.endpoint != nil {
		a.endpoint.removeWaiting(a)
	}
	return false
}

// Hold implements router.Flow.
func (a *attempt) SetPaused(on bool) {
	if a.connection != nil {
		a.connection.sock.SetPaused(on)
		a.connection.paused = on
		a.connection.resetStallTimer()
	}
}

func (e *endpoint) removeWaiting(a *attempt) {
	for i, w := range e.waiting {
		if w == a {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

// leave ends what is only on its way there: idle connections, and the waits for one, as never sent. Guards the drain against
// sends that were decided before it was told and whose connection comes up after. What the module decides from now on, with
// the news in hand, is let through.
func (e *endpoint) drain() {
	e.generation++
	e.closeIdle()
	for _, a := range e.waiting {
		e.pool.loop.Post(func() { a.finish(router.Result{Status: balance.StatusNotSent}) })
	}
	e.waiting = nil
}

// hangUp closes what carries nothing.
func (e *endpoint) closeIdle() {
	for len(e.idle) > 0 {
		e.idle[0].close()
	}
}
