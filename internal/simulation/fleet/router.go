package fleet

import (
	"fmt"
	"log/slog"
	"time"

	"limeladder/balance"
	"limeladder/internal/eventloop"
	"limeladder/internal/failover"
	"limeladder/internal/limits"
	"limeladder/internal/router"
	"limeladder/internal/simulation/event"
	"limeladder/internal/simulation/model"
	"limeladder/internal/sitefailover"
)

// instance is one router: the router core on an event loop in virtual time, and its connections.
type instance struct {
	fleet       *Fleet
	number      int
	zone        string
	loop        *eventloop.Loop
	core        *router.Router
	backends    map[string]*backend
	alive       bool
	incarnation int // increased by each start and stop
	timerDue    time.Duration
	timer       *event.Event
	running     bool
	runAgain    bool
	watch       watcher
	agent       *agent // used if lists are pushed
}

// backend is the state of one endpoint at a router.
type backend struct {
	endpoint     *model.Endpoint
	idle         []conn
	suspended    bool
	leaving      bool          // it is suspended, or the endpoint list shows that it drains or is removed
	leavingSince time.Duration // since when; in the future after a lost notification
	knownReplica bool          // its newest answer to this router showed that it is a replica
}

type conn struct {
	epoch     int
	idleSince time.Duration
}

func (f *Fleet) newInstance(i int) *instance {
	r := &instance{fleet: f, number: i, zone: f.cfg.Zones[i%len(f.cfg.Zones)]}
	r.agent = &agent{router: r, entries: f.directory.list(balance.ListFull).Entries, version: f.directory.Version}
	return r
}

// start starts the router without any state but the cached endpoint list.
func (r *instance) start() error {
	f := r.fleet
	r.incarnation++
	r.loop = eventloop.NewWithClock(f.clock.Now)
	r.backends = map[string]*backend{}
	lim := limits.New(f.cfg.MemoryMB, f.cfg.Sockets, f.cfg.ConnectWithin, f.cfg.ConnIdle, f.longestTimeout)
	cfg := f.cfg.balanceConfig(r.zone)
	core, err := router.New(r.loop, lim, slog.New(slog.DiscardHandler), cfg,
		f.seed*1000+uint64(r.number)+uint64(r.incarnation)<<40+f.cfg.Salt<<50, nil)
	if err != nil {
		return err
	}
	r.core = core
	core.Connect(r, r)
	if len(f.cfg.Hold) > 0 {
		classes := map[string]failover.Class{}
		for _, k := range cfg.Classes {
			for _, name := range f.cfg.Hold {
				if k.Name == name {
					classes[name] = failover.Class{PriorityWeight: k.PriorityWeight, Work: k.LatencyObjective / 10}
				}
			}
		}
		core.EnableFailoverQueue(failover.Config{
			Instances: cfg.Instances, Classes: classes, MaxPending: lim.Router.PendingWrites, MaxPendingBytes: lim.Router.PendingWriteBytes,
			DeadlineMargin: lim.Router.DeadlineMargin, MaxRetryAfter: cfg.MaxRetryAfter,
		}, f.seed*7919+uint64(r.number)+f.cfg.Salt<<50, nil)
	}
	if f.cfg.Sites != SitesOff {
		core.EnableSiteMonitor(sitefailover.DefaultMonitorConfig(cfg.Zone, cfg.SlowStartWindow, f.cfg.Banks*f.cfg.Members))
		if f.cfg.Sites == SitesAct {
			core.EnableSiteAdmission(sitefailover.AdmissionConfig{RetrySpread: cfg.MaxRetryAfter}, sitefailover.RecoveryRampConfig{InitialShare: cfg.SlowStartFrom, Duration: cfg.SlowStartWindow}, f.seed*104729+uint64(r.number)+f.cfg.Salt<<50)
		}
	}
	r.alive = true
	r.watch = watcher{router: r}
	l := f.directory.list(balance.ListCached)
	r.recordNotification(l)
	core.UpdateEndpoints(l)
	if f.cfg.Pushed {
		r.watch.watchAgent()
	}
	r.run()
	return nil
}

// stop stops the router at once. Its open requests are lost.
func (r *instance) stop() {
	r.alive = false
	r.incarnation++
	r.timer.Stop()
	r.timer, r.timerDue = nil, 0
	for _, m := range r.fleet.world.Endpoints {
		if p := r.backends[m.ID]; p != nil {
			for _, c := range p.idle {
				m.Disconnect(c.epoch)
			}
		}
	}
	r.backends = map[string]*backend{}
}

// run runs the event loop until nothing more is due, and schedules its next timer.
func (r *instance) run() {
	if r.running {
		r.runAgain = true
		return
	}
	r.running = true
	var next time.Duration
	for r.runAgain = true; r.runAgain; {
		r.runAgain = false
		next = r.loop.RunOnce(r.core.Step)
	}
	r.running = false
	if next == 0 || next == r.timerDue && r.timer != nil {
		return
	}
	r.timer.Stop()
	r.timerDue = next
	r.timer = r.fleet.clock.At(next, func() { r.timer = nil; r.run() })
}

// after calls do after a delay, unless the router has stopped by then.
func (r *instance) after(d time.Duration, do func()) {
	incarnation := r.incarnation
	r.fleet.clock.After(d, func() {
		if r.incarnation == incarnation && r.alive {
			do()
			r.run()
		}
	})
}

// drawDelay draws the network delay of a message to or from an endpoint.
func (r *instance) drawDelay(m *model.Endpoint) time.Duration {
	if m.Zone == r.zone {
		return r.fleet.addJitter(r.fleet.cfg.Same)
	}
	return r.fleet.addJitter(r.fleet.cfg.Cross)
}

func (r *instance) backend(endpoint string) *backend {
	p := r.backends[endpoint]
	if p == nil {
		if m := r.fleet.endpoints[endpoint]; m != nil {
			p = &backend{endpoint: m}
			r.backends[endpoint] = p
		}
	}
	return p
}

// recordNotification records for the observer which endpoints a list shows as leaving.
func (r *instance) recordNotification(l balance.EndpointList) {
	for _, e := range l.Entries {
		p := r.backend(e.Endpoint)
		if leaving := e.State != balance.EndpointReady; p != nil && leaving != p.leaving {
			p.leaving, p.leavingSince = leaving, r.fleet.clock.Now()
		}
	}
}

// attempt is one attempt. It implements router.AttemptHandle.
type attempt struct {
	router    *instance
	backend   *backend
	request   *request
	done      func(router.Result)
	notAfter  time.Duration
	written   bool
	ended     bool
	statement *model.Statement
	conn      conn
	timer     *event.Event
}

// Start implements router.Backends.
func (r *instance) Start(a router.Attempt, done func(router.Result)) router.AttemptHandle {
	c := &attempt{
		router: r, backend: r.backend(a.Endpoint),
		request: a.Job.(*request), done: done, notAfter: a.NotAfter,
	}
	r.fleet.count.Attempts++
	if c.request.openAttempts++; c.request.openAttempts > 1 {
		r.fleet.observer.reportViolation("attempts", "%v has %d attempts of request %d out",
			r, c.request.openAttempts, c.request.id)
	}
	if c.backend == nil {
		r.after(0, func() { c.finish(router.Result{Status: balance.StatusConnectFailed}) })
		return c
	}
	now := r.fleet.clock.Now()
	for len(c.backend.idle) > 0 {
		last := len(c.backend.idle) - 1
		c.conn = c.backend.idle[last]
		c.backend.idle = c.backend.idle[:last]
		if c.conn.epoch != c.backend.endpoint.Epoch() {
			continue // the endpoint has been down since, which ended the connection
		}
		if now-c.conn.idleSince < r.fleet.cfg.ConnIdle*3/4 {
			c.write()
			return c
		}
		r.closeConnection(c.backend, c.conn)
	}
	c.dial()
	return c
}

// closeConnection closes a connection after the network delay.
func (r *instance) closeConnection(p *backend, k conn) {
	r.fleet.clock.After(r.drawDelay(p.endpoint), func() { p.endpoint.Disconnect(k.epoch) })
}

func (c *attempt) dial() {
	r, m := c.router, c.backend.endpoint
	r.fleet.count.Dials++
	connected := false
	incarnation := r.incarnation
	c.timer = r.fleet.clock.After(r.fleet.cfg.ConnectWithin, func() {
		if r.incarnation == incarnation && !c.ended && !connected {
			c.finish(router.Result{Status: balance.StatusConnectFailed})
			r.run()
		}
	})
	r.fleet.clock.After(r.drawDelay(m), func() {
		if r.fleet.isCut(r, m) {
			return
		}
		m.Connect(func(ok, full bool, epoch int) {
			r.fleet.clock.After(r.drawDelay(m), func() {
				if r.fleet.isCut(r, m) || r.incarnation != incarnation {
					if ok {
						m.Disconnect(epoch)
					}
					return
				}
				connected = true
				switch {
				case ok && c.ended: // the attempt was cancelled or has timed out
					c.backend.idle = append(c.backend.idle, conn{epoch, r.fleet.clock.Now()})
				case c.ended:
				case ok:
					c.conn = conn{epoch, 0}
					c.write()
				case full:
					c.finish(router.Result{Status: balance.StatusBusy})
				default:
					c.finish(router.Result{Status: balance.StatusConnectFailed})
				}
				r.run()
			})
		})
	})
}

// write sends the statement, unless the attempt's NotAfter has passed.
func (c *attempt) write() {
	r, m, now := c.router, c.backend.endpoint, c.router.fleet.clock.Now()
	c.timer.Stop()
	if c.notAfter > 0 && now > c.notAfter {
		c.backend.idle = append(c.backend.idle, conn{c.conn.epoch, now})
		r.after(0, func() { c.finish(router.Result{Status: balance.StatusNotSent}) })
		return
	}
	c.written = true
	r.fleet.checkSend(r, c.request, c.backend)
	incarnation, q := r.incarnation, c.request
	minPosition := q.minPosition
	if q.class.Consistency == balance.ConsistencyBounded {
		minPosition = now - q.class.MaxStaleness // counted from the time at which each attempt is sent
	}
	requiredPosition := minPosition
	if m.WasPrimary() && !c.backend.knownReplica {
		requiredPosition = 0 // allowed by the contract: no answer has shown this router that the endpoint is a replica
	}
	c.statement = &model.Statement{
		Work: q.work, Write: q.class.Consistency == balance.ConsistencyWrite,
		BlocksApply: q.class.Long, Deadline: q.deadline,
	}
	if r.fleet.cfg.Checks != balance.FreshnessCheckNone {
		c.statement.MinPosition = minPosition
	}
	c.statement.Done = func(o model.Outcome, pos time.Duration, primary bool) {
		c.request.copiesInFlight--
		if o == model.Served {
			r.fleet.recordExecution(q, m, pos, requiredPosition)
		}
		r.fleet.clock.After(r.drawDelay(m), func() {
			if r.fleet.isCut(r, m) || r.incarnation != incarnation {
				return
			}
			c.handleResponse(o, pos, primary)
			r.run()
		})
	}
	q.copiesInFlight++
	q.statementsSent++
	r.fleet.clock.After(r.drawDelay(m), func() {
		if r.fleet.isCut(r, m) {
			q.copiesInFlight--
			return
		}
		if c.conn.epoch != m.Epoch() {
			c.statement.Done(model.Disconnected, 0, false)
			return
		}
		m.Submit(c.statement)
	})
}

// handleResponse ends the attempt with an endpoint's answer.
func (c *attempt) handleResponse(o model.Outcome, position time.Duration, primary bool) {
	if c.ended {
		return
	}
	res := router.Result{Position: position, Role: balance.RoleReplica, Response: position}
	if primary {
		res.Role = balance.RolePrimary
	}
	switch o {
	case model.Served:
		res.Status = balance.StatusDone
	case model.QueueFull:
		res.Status = balance.StatusBusy
	case model.ReadOnly, model.TooStale:
		res.Status = balance.StatusMiss
	case model.Disconnected:
		res = router.Result{Status: balance.StatusReset}
	default:
		res.Status = balance.StatusError
	}
	if o != model.Disconnected {
		c.backend.knownReplica = !primary
		c.backend.idle = append(c.backend.idle, conn{c.conn.epoch, c.router.fleet.clock.Now()})
	}
	c.finish(res)
}

func (c *attempt) finish(res router.Result) {
	if c.ended {
		return
	}
	c.ended = true
	c.request.openAttempts--
	c.timer.Stop()
	c.router.fleet.count.Ends[res.Status]++
	c.done(res)
}

// NotWritten implements router.AttemptHandle.
func (c *attempt) NotWritten() bool { return !c.ended && !c.written }

// Cancel implements router.AttemptHandle.
func (c *attempt) Cancel() bool {
	if !c.ended {
		c.request.openAttempts--
	}
	c.ended = true
	c.timer.Stop()
	if c.written && c.router.fleet.cfg.Cancel {
		r, m := c.router, c.backend.endpoint
		r.fleet.clock.After(r.drawDelay(m), func() {
			if !r.fleet.isCut(r, m) {
				m.Cancel(c.statement)
				m.Disconnect(c.conn.epoch)
			}
		})
	} else if c.written {
		c.router.closeConnection(c.backend, c.conn)
	}
	return c.written
}

// HealthCheck implements router.Backends.
func (r *instance) HealthCheck(endpoint string, done func(router.Result)) {
	p := r.backend(endpoint)
	if p == nil || p.suspended {
		r.after(0, func() { done(router.Result{Status: balance.StatusTimedOut}) })
		return
	}
	r.fleet.count.Probes++
	finished, m, incarnation := false, p.endpoint, r.incarnation
	finish := func(res router.Result) {
		if !finished && r.incarnation == incarnation && r.alive {
			finished = true
			done(res)
			r.run()
		}
	}
	timeout := r.fleet.clock.After(r.fleet.cfg.ConnectWithin, func() {
		finish(router.Result{Status: balance.StatusTimedOut})
	})
	r.fleet.clock.After(r.drawDelay(m), func() {
		if r.fleet.isCut(r, m) {
			return
		}
		m.RequestReport(func(report model.LoadReport, ok bool) {
			r.fleet.clock.After(r.drawDelay(m), func() {
				if r.fleet.isCut(r, m) {
					return
				}
				timeout.Stop()
				res := router.Result{Status: balance.StatusConnectFailed}
				if ok {
					res = router.Result{
						Status: balance.StatusDone, Position: report.Position,
						Role: balance.RoleReplica, Utilization: report.Utilization,
					}
					if report.Primary {
						res.Role = balance.RolePrimary
					}
				}
				finish(res)
			})
		})
	})
}

// Suspend implements router.Backends.
func (r *instance) Suspend(endpoint string, suspended bool) {
	if p := r.backend(endpoint); p != nil {
		p.suspended = suspended
		if suspended != p.leaving {
			p.leaving, p.leavingSince = suspended, r.fleet.clock.Now()
		}
	}
}

// Poll implements router.DiscoveryPoller.
func (r *instance) Poll() { r.watch.poll() }

func (r *instance) String() string { return fmt.Sprintf("router %d", r.number) }
