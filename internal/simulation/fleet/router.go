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

// instance is one router: its core on a loop of virtual time, and its connections.
type instance struct {
	f       *Fleet
	number  int
	zone    string
	loop    *eventloop.Loop
	core    *router.Router
	peers   map[string]*peer
	alive   bool
	life    int // it has been started so often
	due     time.Duration
	timer   *event.Event
	turning bool
	again   bool
	watch   watcher
	agent   *agent // where lists are pushed
}

// peer is what a router has of one machine.
type peer struct {
	m       *model.Machine
	idle    []conn
	barred  bool
	out     bool          // the list says that it drains or is gone,
	outAt   time.Duration // and was here then
	replica bool          // its newest answer to this router came from a replica
}

type conn struct {
	epoch int
	since time.Duration
}

func (f *Fleet) instance(i int) *instance {
	r := &instance{f: f, number: i, zone: f.cfg.Zones[i%len(f.cfg.Zones)]}
	r.agent = &agent{r: r, entries: f.directory.list(balance.ListFull).Entries, version: f.directory.Version}
	return r
}

// start runs it anew, with nothing but the list as it was when discovery told it last.
func (r *instance) start() error {
	f := r.f
	r.life++
	r.loop = eventloop.NewWithClock(f.clock.Now)
	r.peers = map[string]*peer{}
	lim := limits.New(f.cfg.MemoryMB, f.cfg.Sockets, f.cfg.ConnectWithin, f.cfg.ConnIdle, f.longest)
	cfg := f.cfg.balance(r.zone)
	core, err := router.New(r.loop, lim, slog.New(slog.DiscardHandler), cfg, f.seed*1000+uint64(r.number)+uint64(r.life)<<40+f.cfg.Salt<<50, nil)
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
	r.watch = watcher{r: r}
	l := f.directory.list(balance.ListCached)
	r.told(l)
	core.UpdateEndpoints(l)
	if f.cfg.Pushed {
		r.watch.follow()
	}
	r.turn()
	return nil
}

// stop ends it: what it had in hand is lost to its clients.
func (r *instance) stop() {
	r.alive = false
	r.life++
	r.timer.Stop()
	r.timer, r.due = nil, 0
	for _, m := range r.f.world.Machines {
		if p := r.peers[m.ID]; p != nil {
			for _, c := range p.idle {
				m.Disconnect(c.epoch)
			}
		}
	}
	r.peers = map[string]*peer{}
}

// turn lets it do what has come and what is due.
func (r *instance) turn() {
	if r.turning {
		r.again = true
		return
	}
	r.turning = true
	var next time.Duration
	for r.again = true; r.again; {
		r.again = false
		next = r.loop.RunOnce(r.core.Step)
	}
	r.turning = false
	if next == 0 || next == r.due && r.timer != nil {
		return
	}
	r.timer.Stop()
	r.due = next
	r.timer = r.f.clock.At(next, func() { r.timer = nil; r.turn() })
}

// later does something at this router after a while, unless it has ended by then.
func (r *instance) later(d time.Duration, do func()) {
	life := r.life
	r.f.clock.After(d, func() {
		if r.life == life && r.alive {
			do()
			r.turn()
		}
	})
}

// way is how long a message is on its way to or from a machine.
func (r *instance) way(m *model.Machine) time.Duration {
	if m.Zone == r.zone {
		return r.f.jitter(r.f.cfg.Same)
	}
	return r.f.jitter(r.f.cfg.Cross)
}

func (r *instance) peer(node string) *peer {
	p := r.peers[node]
	if p == nil {
		if m := r.f.machine[node]; m != nil {
			p = &peer{m: m}
			r.peers[node] = p
		}
	}
	return p
}

// told notes what a list says of machines, for the observer.
func (r *instance) told(l balance.EndpointList) {
	for _, e := range l.Entries {
		p := r.peer(e.Endpoint)
		if out := e.State != balance.EndpointReady; p != nil && out != p.out {
			p.out, p.outAt = out, r.f.clock.Now()
		}
	}
}

// call is one attempt. It implements router.Call.
type call struct {
	r       *instance
	p       *peer
	q       *request
	done    func(router.Result)
	by      time.Duration
	written bool
	over    bool
	work    *model.Work
	conn    conn
	timer   *event.Event
}

// Start implements router.Servers.
func (r *instance) Start(a router.Attempt, done func(router.Result)) router.AttemptHandle {
	c := &call{r: r, p: r.peer(a.Endpoint), q: a.Job.(*request), done: done, by: a.NotAfter}
	r.f.count.Attempts++
	if c.q.live++; c.q.live > 1 {
		r.f.obs.fault("attempts", "%v has %d attempts of request %d out", r, c.q.live, c.q.id)
	}
	if c.p == nil {
		r.later(0, func() { c.end(router.Result{Status: balance.StatusConnectFailed}) })
		return c
	}
	now := r.f.clock.Now()
	for len(c.p.idle) > 0 {
		last := len(c.p.idle) - 1
		c.conn = c.p.idle[last]
		c.p.idle = c.p.idle[:last]
		if c.conn.epoch != c.p.m.Epoch() {
			continue // its end has been seen
		}
		if now-c.conn.since < r.f.cfg.ConnIdle*3/4 {
			c.write()
			return c
		}
		r.hang(c.p, c.conn)
	}
	c.dial()
	return c
}

// hang closes a connection.
func (r *instance) hang(p *peer, k conn) {
	r.f.clock.After(r.way(p.m), func() { p.m.Disconnect(k.epoch) })
}

func (c *call) dial() {
	r, m := c.r, c.p.m
	r.f.count.Dials++
	up := false
	life := r.life
	c.timer = r.f.clock.After(r.f.cfg.ConnectWithin, func() {
		if r.life == life && !c.over && !up {
			c.end(router.Result{Status: balance.StatusConnectFailed})
			r.turn()
		}
	})
	r.f.clock.After(r.way(m), func() {
		if r.f.cut(r, m) {
			return
		}
		m.Connect(func(ok, full bool, epoch int) {
			r.f.clock.After(r.way(m), func() {
				if r.f.cut(r, m) || r.life != life {
					if ok {
						m.Disconnect(epoch)
					}
					return
				}
				up = true
				switch {
				case ok && c.over: // nobody waits for it any more
					c.p.idle = append(c.p.idle, conn{epoch, r.f.clock.Now()})
				case c.over:
				case ok:
					c.conn = conn{epoch, 0}
					c.write()
				case full:
					c.end(router.Result{Status: balance.StatusBusy})
				default:
					c.end(router.Result{Status: balance.StatusConnectFailed})
				}
				r.turn()
			})
		})
	})
}

// write sends the statement, unless it is too late for it.
func (c *call) write() {
	r, m, now := c.r, c.p.m, c.r.f.clock.Now()
	c.timer.Stop()
	if c.by > 0 && now > c.by {
		c.p.idle = append(c.p.idle, conn{c.conn.epoch, now})
		r.later(0, func() { c.end(router.Result{Status: balance.StatusNotSent}) })
		return
	}
	c.written = true
	r.f.seen(r, c.q, c.p)
	life, q := r.life, c.q
	see := q.see
	if q.class.Consistency == balance.ConsistencyBounded {
		see = now - q.class.MaxStaleness // from when it is sent: each attempt has one of its own
	}
	must := see
	if m.Led() && !c.p.replica {
		must = 0 // the contract lets it pass: no answer has told this router that it leads no more
	}
	c.work = &model.Work{Need: q.need, Write: q.class.Consistency == balance.ConsistencyWrite, Long: q.class.Long, Until: q.until}
	if r.f.cfg.Checks != balance.FreshnessCheckNone {
		c.work.See = see
	}
	c.work.Done = func(o model.Outcome, pos time.Duration, primary bool) {
		c.q.out--
		if o == model.Served {
			r.f.ran(q, m, pos, must)
		}
		r.f.clock.After(r.way(m), func() {
			if r.f.cut(r, m) || r.life != life {
				return
			}
			c.answer(o, pos, primary)
			r.turn()
		})
	}
	q.out++
	q.sent++
	r.f.clock.After(r.way(m), func() {
		if r.f.cut(r, m) {
			q.out--
			return
		}
		if c.conn.epoch != m.Epoch() {
			c.work.Done(model.Broke, 0, false)
			return
		}
		m.Submit(c.work)
	})
}

// answer takes what the machine has said.
func (c *call) answer(o model.Outcome, pos time.Duration, primary bool) {
	if c.over {
		return
	}
	res := router.Result{Position: pos, Role: balance.RoleReplica, Response: pos}
	if primary {
		res.Role = balance.RolePrimary
	}
	switch o {
	case model.Served:
		res.Status = balance.StatusDone
	case model.Full:
		res.Status = balance.StatusBusy
	case model.ReadOnly, model.Behind:
		res.Status = balance.StatusMiss
	case model.Broke:
		res = router.Result{Status: balance.StatusReset}
	default:
		res.Status = balance.StatusError
	}
	if o != model.Broke {
		c.p.replica = !primary
		c.p.idle = append(c.p.idle, conn{c.conn.epoch, c.r.f.clock.Now()})
	}
	c.end(res)
}

func (c *call) end(res router.Result) {
	if c.over {
		return
	}
	c.over = true
	c.q.live--
	c.timer.Stop()
	c.r.f.count.Ends[res.Status]++
	c.done(res)
}

// Waiting implements router.Call.
func (c *call) NotWritten() bool { return !c.over && !c.written }

// Cancel implements router.Call.
func (c *call) Cancel() bool {
	if !c.over {
		c.q.live--
	}
	c.over = true
	c.timer.Stop()
	if c.written && c.r.f.cfg.Cancel {
		r, m := c.r, c.p.m
		r.f.clock.After(r.way(m), func() {
			if !r.f.cut(r, m) {
				m.Cancel(c.work)
				m.Disconnect(c.conn.epoch)
			}
		})
	} else if c.written {
		c.r.hang(c.p, c.conn)
	}
	return c.written
}

// Probe implements router.Servers.
func (r *instance) HealthCheck(node string, done func(router.Result)) {
	p := r.peer(node)
	if p == nil || p.barred {
		r.later(0, func() { done(router.Result{Status: balance.StatusTimedOut}) })
		return
	}
	r.f.count.Probes++
	over, m, life := false, p.m, r.life
	end := func(res router.Result) {
		if !over && r.life == life && r.alive {
			over = true
			done(res)
			r.turn()
		}
	}
	limit := r.f.clock.After(r.f.cfg.ConnectWithin, func() { end(router.Result{Status: balance.StatusTimedOut}) })
	r.f.clock.After(r.way(m), func() {
		if r.f.cut(r, m) {
			return
		}
		m.Ask(func(rep model.Report, ok bool) {
			r.f.clock.After(r.way(m), func() {
				if r.f.cut(r, m) {
					return
				}
				limit.Stop()
				res := router.Result{Status: balance.StatusConnectFailed}
				if ok {
					res = router.Result{Status: balance.StatusDone, Position: rep.Position, Role: balance.RoleReplica, Utilization: rep.Use}
					if rep.Primary {
						res.Role = balance.RolePrimary
					}
				}
				end(res)
			})
		})
	})
}

// Suspend implements router.Servers.
func (r *instance) Suspend(node string, out bool) {
	if p := r.peer(node); p != nil {
		p.barred = out
		if out != p.out {
			p.out, p.outAt = out, r.f.clock.Now()
		}
	}
}

// Track implements router.Watcher.
func (r *instance) Poll() { r.watch.track() }

func (r *instance) String() string { return fmt.Sprintf("router %d", r.number) }
