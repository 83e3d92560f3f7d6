package backend

import (
	"log/slog"

	"limeladder/internal/config"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/pgwire"
	"limeladder/internal/router"
	"limeladder/internal/transport"
)

// Pool manages the connections to all endpoints. Its methods must be called on the event loop's goroutine.
type Pool struct {
	loop      *eventloop.Loop
	engine    *transport.Engine
	limits    limits.Limits
	log       *slog.Logger
	startup   []byte // the StartupMessage of every connection
	endpoints map[string]*endpoint
	suspended map[string]bool // endpoints suspended by operators, whether or not discovery lists them
	open      int             // connections to all endpoints, including those being dialed
	incoming  incomingMemory
	closed    bool
}

// New returns a Pool without endpoints.
func New(loop *eventloop.Loop, engine *transport.Engine, lim limits.Limits, log *slog.Logger) *Pool {
	p := &Pool{
		loop:      loop,
		engine:    engine,
		limits:    lim,
		log:       log,
		startup:   pgwire.AppendStartup(nil, "user", "portal", "database", "crm"),
		endpoints: map[string]*endpoint{},
		suspended: map[string]bool{},
	}
	p.closeExpired()
	return p
}

// UpdateEndpoints applies a new endpoint list. If an endpoint drains, has moved or is no longer listed, its idle
// connections are closed and the attempts that wait for a connection to it end as not sent.
func (p *Pool) UpdateEndpoints(list config.EndpointList) {
	listed := map[string]bool{}
	for _, entry := range list.Endpoints {
		listed[entry.ID] = true
		p.updateEndpoint(entry)
	}
	for id, e := range p.endpoints {
		if list.Full && !listed[id] {
			e.state = config.StateRemoved
			e.drain()
		}
		if e.isUnused() {
			delete(p.endpoints, id)
		}
	}
}

func (p *Pool) updateEndpoint(entry config.EndpointEntry) {
	e := p.endpoints[entry.ID]
	if e == nil {
		e = &endpoint{id: entry.ID, pool: p, suspended: p.suspended[entry.ID]}
		p.endpoints[entry.ID] = e
	}
	if entry.Addr != "" && e.addr != entry.Addr {
		e.addr = entry.Addr
		e.drain()
	}
	e.state = entry.State
	if e.state != config.StateReady {
		e.drain()
	}
}

// Suspend suspends or resumes an endpoint for an operator. No new attempt is written to a suspended endpoint, and the
// attempts that wait for a connection to it end immediately as not sent.
func (p *Pool) Suspend(id string, suspended bool) {
	if suspended {
		p.suspended[id] = true
	} else {
		delete(p.suspended, id)
	}
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.suspended = suspended
	if suspended {
		e.drain()
	}
}

// SetLimits sets new limits. Connections that exceed them are closed as they become idle.
func (p *Pool) SetLimits(lim limits.Limits) { p.limits = lim }

// Close closes all idle connections. From then on, connections are closed when they become idle.
func (p *Pool) Close() {
	p.closed = true
	for _, e := range p.endpoints {
		e.closeIdle()
	}
}

// Start begins an attempt and calls done once when it ends, unless it is cancelled before. It implements
// router.Backends.
func (p *Pool) Start(requested router.Attempt, done func(router.Result)) router.AttemptHandle {
	a := &attempt{
		pool:              p,
		job:               requested.Job.(Job),
		deadline:          requested.Deadline,
		notAfter:          requested.NotAfter,
		onResponseStarted: requested.OnResponseStarted,
		onResponsePart:    requested.OnResponsePart,
		abandoned:         requested.Abandoned,
		done:              done,
	}
	p.startAttempt(requested.Endpoint, a)
	return a
}

// startAttempt writes an attempt to an idle connection, or queues it for one that is being dialed.
func (p *Pool) startAttempt(id string, a *attempt) {
	e := p.endpoints[id]
	if e == nil || !e.acceptsAttempts() {
		a.postNotSent()
		return
	}
	a.endpoint = e
	if a.isLate(p.loop.Now()) {
		a.postNotSent()
		return
	}
	if e.sendOnIdle(a) {
		return
	}
	if !p.ensureCapacity(e) && e.expectedConnections() == 0 {
		a.postNotSent()
		return
	}
	e.enqueue(a)
}

// closeExpired closes connections that have been idle for too long, before the endpoint closes them: an attempt written
// to a connection that the endpoint has closed cannot be proven not to have run. It also closes idle connections that
// exceed the limit for all endpoints, and calls itself again after SweepInterval.
func (p *Pool) closeExpired() {
	now := p.loop.Now()
	for _, e := range p.endpoints {
		for len(e.idle) > 0 && e.idle[0].hasExpired(now) {
			e.idle[0].close()
		}
	}
	for p.open > p.limits.Backend.Connections {
		if !p.closeOldestIdle() {
			break
		}
	}
	p.loop.AfterFunc(p.limits.Backend.SweepInterval, p.closeExpired)
}

// ensureCapacity reports whether one more connection to e may be opened. If the limit for all endpoints is reached, it
// closes an idle connection to any endpoint to make room.
func (p *Pool) ensureCapacity(e *endpoint) bool {
	if e.open >= p.limits.Backend.ConnectionsPerEndpoint {
		return false
	}
	if p.open < p.limits.Backend.Connections {
		return true
	}
	return p.closeOldestIdle()
}

// closeOldestIdle closes the connection that has been idle longest, and reports whether there was one.
func (p *Pool) closeOldestIdle() bool {
	var oldest *connection
	for _, e := range p.endpoints {
		if len(e.idle) > 0 && (oldest == nil || e.idle[0].idleSince < oldest.idleSince) {
			oldest = e.idle[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	return true
}
