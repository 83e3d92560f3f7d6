package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"syscall"
	"time"

	"limeladder/balance"
	"limeladder/internal/adminapi"
	"limeladder/internal/backend"
	"limeladder/internal/config"
	"limeladder/internal/discovery"
	"limeladder/internal/eventloop"
	"limeladder/internal/frontend"
	"limeladder/internal/frontend/extendedquery"
	"limeladder/internal/hotrestart"
	"limeladder/internal/limits"
	"limeladder/internal/router"
	"limeladder/internal/store"
	"limeladder/internal/transport"
)

// daemon is the assembled program.
type daemon struct {
	log      *slog.Logger
	lim      limits.Limits
	loop     *eventloop.Loop
	engine   *transport.Engine
	core     *router.Router
	pool     *backend.Pool
	watcher  *discovery.Watcher
	fronts   []front
	ending   bool // SIGTERM has come
	draining bool // and the listeners are closed
	name     string
	record   *recording              // nil = off
	store    *store.Store            // nil = off
	told     bool                    // discovery has answered
	latest   map[string]config.Entry // the list as it stands, by id; its version is
	version  int64
	two      bool                // another process of this router is alive
	hinted   bool                // what an earlier start knew of primaries is told to the core
	operator *transport.Listener // nil = off
	known    map[string]bool     // the db machines that discovery has named, ever
	order    []string            // the same, in the order it did
	shared   *hotrestart.SharedState
	full     limits.Limits // while no other process of this router is alive
	dep      config.Deploy
	serving  bool // clients may come
	emptied  bool // operators have drained the router
	passed   bool // the listening socket is held by the platform: the next process has it too
}

// front is one address where clients connect.
type front struct {
	*frontend.Front
	listener *transport.Listener
}

func newDaemon(cfg *config.Config, dep config.Deploy, log *slog.Logger) (*daemon, error) {
	var longest time.Duration
	for _, c := range cfg.Balance.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	d := &daemon{log: log, loop: eventloop.New(), name: cfg.Name, known: map[string]bool{}, latest: map[string]config.Entry{}}
	d.lim = limits.New(cfg.Limits.MemoryMB, cfg.Limits.Sockets, time.Duration(cfg.Settings.Limits.ConnectTimeoutNs),
		time.Duration(cfg.Settings.Limits.ConnIdleNs), longest).ForFleet(cfg.Balance.Instances)
	if !cfg.Balance.PollDiscovery {
		d.lim = d.lim.ForPushedLists(cfg.Balance.DrainGrace)
	}
	if most := cfg.Balance.MaxRetryAfter; most > 0 {
		d.lim.Router.DefaultRetryAfter = min(d.lim.Router.DefaultRetryAfter, most) // clients heed nothing longer
	}
	if dep.Extended.Listen != "" {
		d.lim.Frontend.Connections /= 2 // both fronts share the descriptors
	}
	d.full, d.dep, d.passed = d.lim, dep, cfg.Inherited > 0
	var left hotrestart.State
	if d.shared, left = hotrestart.Open(os.Getenv("TMPDIR"), cfg.Listen, d.lim.Discovery.KnownEndpoints, log); !d.shared.StartedAlone() {
		d.two = true
		log.Info("another process of this router serves")
		d.lim = d.full.DuringHotRestart()
	}
	d.memory()
	var err error
	if d.engine, err = transport.New(d.loop, cfg.Limits.Sockets, d.lim.Transport.InboxBytes); err != nil {
		return nil, err
	}
	if d.record, err = startRecording(d.loop, d.lim, dep, cfg.Name, cfg.SeedValue, log); err != nil {
		return nil, err
	}
	if d.shared.StartedAlone() { // otherwise the other process has it: it is opened once that is gone
		if d.store, err = d.openStore(); err != nil {
			return nil, err
		}
	}
	if d.core, err = router.New(d.loop, d.lim, log, cfg.Balance, cfg.SeedValue, d.record.audit()); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if err := d.holdThrough(cfg); err != nil {
		return nil, err
	}
	d.watchSites(cfg)
	d.pool = backend.New(d.loop, d.engine, d.lim, log)
	d.watcher = discovery.New(d.loop, d.engine, d.lim, log, cfg.Discovery, d)
	d.core.Connect(d.pool, d.watcher)
	if err := d.listen("listen", cfg.Inherited, cfg.Listen, frontend.Platform); err != nil {
		return nil, err
	}
	if err := d.second(); err != nil {
		return nil, err
	}
	if cfg.Operator != "" {
		ln, err := net.Listen("tcp", cfg.Operator)
		if err != nil {
			return nil, fmt.Errorf("operator: %w", err)
		}
		d.operator = d.engine.Serve(ln, d.lim.AdminAPI.Connections, d.loop.PostUrgent, log, adminapi.New(d.loop, d.lim, log, d).Accept)
		log.Info("listening", "front", "operator", "addr", ln.Addr().String())
	}
	known := config.List{}
	if cfg.Known != nil {
		known = *cfg.Known
	}
	d.loop.Post(func() {
		d.KnownEndpointsAdded(left.KnownEndpoints)
		for id := range left.Suspended {
			d.suspend(id, true, "another process")
		}
		if left.Drained {
			d.empty(true, "another process")
		}
		d.listed(known, balance.ListCached)
		d.hint()
		first := d.lim.Discovery.FirstListTimeout
		if d.lim.Discovery.ResumeFromKnown && len(known.Servers) > 0 {
			d.watcher.ResumeFrom(known.Version)
			first = 0
		}
		if !cfg.Balance.PollDiscovery { // otherwise the decision module says when
			d.watcher.FollowPushed(cfg.SeedValue)
		}
		d.loop.AfterFunc(first, d.ready)
		d.report()
	})
	d.shared.Watch(d.lim.HotRestart.PollInterval, d.loop.PostUrgent, d)
	return d, nil
}

// openStore opens the store, if deploy/limeladder.toml says so. Two processes must never have its log at once.
func (d *daemon) openStore() (*store.Store, error) {
	c := d.dep.Store
	if c.Name == "" {
		return nil, nil
	}
	s, err := store.Open(store.Config{Name: c.Name, Folder: c.Folder, Peers: c.Peers, Entries: d.lim.Store.LogEntries,
		Queue: d.lim.Store.QueuedWrites, Secret: store.Files{CA: c.CA, Cert: c.Cert, Key: c.Key}}, d.log)
	if err != nil {
		return nil, err
	}
	if n := s.Torn(); n > 0 {
		d.loop.Post(func() { d.record.note("store", fmt.Sprintf("%d bytes of torn data were dropped", n)) })
	}
	d.loop.Post(func() { d.keep("config/"+d.name, d.dep) })
	return s, nil
}

// second opens the second front, if deploy/limeladder.toml says so. While another process of this router holds its
// address, it is tried again until that lets go.
func (d *daemon) second() error {
	addr := d.dep.Extended.Listen
	if addr == "" || d.draining {
		return nil
	}
	err := d.listen("extended.listen", 0, addr, extendedquery.New(d.core))
	if errors.Is(err, syscall.EADDRINUSE) && !d.shared.StartedAlone() {
		d.loop.AfterFunc(d.lim.HotRestart.PollInterval, func() {
			if err := d.second(); err != nil {
				d.log.Error("the second front stays closed", "err", err)
			}
		})
		return nil
	}
	return err
}

// memory tells the runtime what this process may use.
func (d *daemon) memory() {
	debug.SetMemoryLimit(d.lim.Memory.TargetBytes)
	debug.SetGCPercent(d.lim.Memory.GCPercent)
}

// keep queues a value for the store; nothing waits for it.
func (d *daemon) keep(key string, v any) {
	if d.store == nil {
		return
	}
	p, err := json.Marshal(v)
	if err != nil {
		d.log.Warn("not kept", "key", key, "err", err)
		return
	}
	if !d.store.Put(key, p) {
		d.log.Warn("not kept: the store's queue is full", "key", key, "dropped", d.store.Dropped())
	}
}

// report logs and keeps the counters now and then.
func (d *daemon) report() {
	c := d.core.Counts()
	d.log.Info("counts", "taken", c.Accepted, "served", c.Served, "refused", c.Rejected, "failed", c.Failed, "left", c.Disconnected,
		"attempts", fmt.Sprint(c.Attempts), "inhand", d.core.InFlight(), "clients", d.clients())
	d.keep("counts/"+d.name, c)
	d.loop.AfterFunc(d.lim.Router.ReportInterval, d.report)
}

// listen opens a front, on the socket that was inherited or, where that is 0, on one of its own.
func (d *daemon) listen(field string, inherited int, addr string, speak func(*frontend.Conn) frontend.Speaker) (err error) {
	var ln net.Listener
	if inherited > 0 {
		if ln, err = transport.Inherit(inherited, addr); err != nil {
			return fmt.Errorf("EDGE_INHERITED_FD: %w", err)
		}
	} else if ln, err = net.Listen("tcp", addr); err != nil {
		return fmt.Errorf("%s: %w", field, err)
	}
	f := frontend.New(d.loop, d.lim, d.log, d.core, speak)
	if d.record != nil {
		f.Name()
	}
	if f.Empty(d.emptied); d.serving {
		f.Ready()
	}
	l := d.engine.Serve(ln, d.places(), d.loop.Post, d.log, f.Accept)
	d.log.Info("listening", "front", field, "addr", l.Addr().String(), "inherited", inherited)
	d.fronts = append(d.fronts, front{f, l})
	return nil
}

func (d *daemon) ready() {
	if d.serving {
		return
	}
	d.serving = true
	for _, f := range d.fronts {
		f.Ready()
		f.listener.Resize(d.places())
	}
}

// places is how many connections a front takes now. Guards requests at an upgrade: on a socket that both processes hold, the one
// that begins takes none while it has no list but the one of its start, since the other one serves.
func (d *daemon) places() int {
	if d.passed && d.two && !d.serving {
		return 0
	}
	return d.lim.Frontend.Connections
}

func (d *daemon) clients() (n int) {
	for _, f := range d.fronts {
		n += f.Open()
	}
	return n
}

func (d *daemon) run() {
	d.loop.Run(func() {
		d.core.Step()
		if d.draining && d.core.InFlight() == 0 && d.clients() == 0 && d.engine.Finishing() == 0 {
			d.loop.Stop()
		}
	})
	c := d.core.Counts()
	d.log.Info("ended", "taken", c.Accepted, "served", c.Served, "refused", c.Rejected, "failed", c.Failed, "left", c.Disconnected,
		"attempts", fmt.Sprint(c.Attempts))
	d.record.end(c)
	if d.store != nil {
		if err := d.store.Close(); err != nil {
			d.log.Warn("store", "err", err)
		}
	}
	d.engine.Stop()
	d.shared.Close()
}

// Told implements list.Sink.
func (d *daemon) EndpointListReceived(l config.List) {
	kind := balance.ListDelta
	if l.Full {
		kind = balance.ListFull
	}
	d.told = true
	d.listed(l, kind)
	if l.Full || len(l.Servers) > 0 {
		d.pass()
	}
	d.ready()
	if l.Full {
		d.keep("list", l)
	}
}

func (d *daemon) listed(l config.List, kind balance.EndpointListKind) {
	d.pool.UpdateEndpoints(l)
	b := balance.EndpointList{Kind: kind}
	var ids []string
	for _, e := range l.Servers {
		if !d.known[e.ID] {
			ids = append(ids, e.ID)
		}
		if entry, err := e.Balance(); err == nil {
			b.Entries = append(b.Entries, entry)
		}
	}
	if len(l.Servers) > 0 {
		d.log.Info("list", "version", l.Version, "full", l.Full, "servers", fmt.Sprint(l.Servers))
	}
	d.merge(l, kind)
	d.record.listed(l, kind)
	if d.core.UpdateEndpoints(b); len(ids) > 0 {
		d.KnownEndpointsAdded(ids)
		d.shared.AddKnownEndpoints(ids)
	}
}

// ListFailed implements list.Sink.
func (d *daemon) PollFailed(silent bool) {
	kind := balance.ListFailed
	if silent {
		kind = balance.ListSilent
	}
	d.core.UpdateEndpoints(balance.EndpointList{Kind: kind})
	if d.told || d.store == nil {
		return
	}
	// Discovery has not answered since the start: go by the last list that the peers have kept.
	var l config.List
	if p, ok := d.store.Get("list"); ok && json.Unmarshal(p, &l) == nil {
		d.told = true
		d.listed(l, balance.ListCached)
	}
}

// reload takes a new configuration: the watch moves to its discovery. The rest is only read at the start.
func (d *daemon) reload(cfg *config.Config) {
	d.log.Info("reloaded", "discovery", cfg.Discovery)
	d.record.reloaded("configuration", nil)
	d.watcher.MoveTo(cfg.Discovery)
}

// heed acts on signals until the program ends.
func (d *daemon) heed(signals <-chan os.Signal, getenv func(string) string) {
	for s := range signals {
		if s != syscall.SIGHUP {
			d.loop.Post(d.drain)
			continue
		}
		// Here, off the loop: a file that is slow to read must not hold up requests.
		cfg, err := config.Load(getenv)
		if err != nil {
			d.log.Error("configuration not taken, the old one stays", "err", err)
			d.loop.Post(func() { d.record.reloaded("configuration", err) })
			continue
		}
		dep, err := config.LoadDeploy(deployPath(getenv))
		if err != nil {
			d.log.Error("configuration not taken, the old one stays", "err", err)
			d.loop.Post(func() { d.record.reloaded("deploy", err) })
			continue
		}
		d.loop.Post(func() {
			d.reload(cfg)
			d.record.change(dep)
		})
	}
}

// drain ends the program after SIGTERM: connections are still taken for a while, since the platform sends some;
// what is taken is finished.
func (d *daemon) drain() {
	if d.ending {
		return
	}
	d.ending = true
	d.log.Info("draining")
	d.record.router("ending", "signal")
	for _, f := range d.fronts {
		f.Drain(d.passed)
	}
	until := d.loop.Now() + d.lim.Shutdown.GuaranteedTime
	accept := d.lim.Shutdown.AcceptTime
	if d.passed {
		accept = 0 // the next process has the socket: what comes from now on is its own
	}
	d.loop.AfterFunc(accept, func() {
		for _, f := range d.fronts {
			f.listener.Close()
		}
		// What the listeners had taken is in the loop's queue: look at it first.
		d.loop.Post(func() {
			for _, f := range d.fronts {
				if !d.passed {
					f.Finish()
				}
			}
			d.draining = true
			d.core.SetShutdownDeadline(until) // clients send on every connection that stays open
		})
	})
	d.loop.AfterFunc(d.lim.Shutdown.MaxTime, d.loop.Stop)
}
