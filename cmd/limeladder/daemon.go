package main

import (
	"fmt"
	"log/slog"
	"time"

	"limeladder/balance"
	"limeladder/internal/clients"
	"limeladder/internal/config"
	"limeladder/internal/limits"
	"limeladder/internal/list"
	"limeladder/internal/loop"
	"limeladder/internal/router"
	"limeladder/internal/servers"
	"limeladder/internal/sock"
)

// daemon is the assembled program.
type daemon struct {
	log      *slog.Logger
	lim      limits.Limits
	loop     *loop.Loop
	engine   *sock.Engine
	core     *router.Router
	pool     *servers.Pool
	watcher  *list.Watcher
	front    *clients.Front
	listener *sock.Listener
	draining bool
}

// noEvents is used where no syslog is configured.
type noEvents struct{}

func (noEvents) Event(string, ...string) {}

func newDaemon(cfg *config.Config, log *slog.Logger) (*daemon, error) {
	var longest time.Duration
	for _, c := range cfg.Balance.Classes {
		longest = max(longest, c.GiveUp)
	}
	d := &daemon{log: log, loop: loop.New()}
	d.lim = limits.For(cfg.Limits.MemoryMB, cfg.Limits.Sockets, time.Duration(cfg.Settings.Limits.ConnectTimeoutNs),
		time.Duration(cfg.Settings.Limits.ConnIdleNs), longest)
	var err error
	if d.engine, err = sock.New(d.loop, cfg.Limits.Sockets); err != nil {
		return nil, err
	}
	if d.core, err = router.New(d.loop, d.lim, log, cfg.Balance, cfg.SeedValue, noEvents{}); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	d.pool = servers.New(d.loop, d.engine, d.lim, log)
	version := int64(0)
	if cfg.Known != nil {
		version = cfg.Known.Version
	}
	d.watcher = list.New(d.loop, d.engine, d.lim, log, cfg.Discovery, version, d)
	d.core.Connect(d.pool, d.watcher)
	d.front = clients.New(d.loop, d.lim, log, d.core)
	if d.listener, err = d.engine.Listen(cfg.Listen, log, d.front.Accept); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	known := config.List{}
	if cfg.Known != nil {
		known = *cfg.Known
	}
	d.loop.Post(func() {
		d.listed(known, balance.ListCached)
		d.watcher.Track()
		d.loop.After(d.lim.ListFirst, d.front.Ready)
	})
	return d, nil
}

func (d *daemon) run() {
	d.log.Info("listening", "addr", d.listener.Addr())
	d.loop.Run(func() {
		d.core.Step()
		if d.draining && d.core.InHand() == 0 && d.front.Open() == 0 {
			d.loop.Stop()
		}
	})
	c := d.core.Counts()
	d.log.Info("ended", "taken", c.Taken, "served", c.Served, "refused", c.Refused, "failed", c.Failed, "left", c.Left,
		"attempts", fmt.Sprint(c.Attempts))
}

// Listed implements list.Sink.
func (d *daemon) Listed(l config.List) {
	kind := balance.ListDelta
	if l.Full {
		kind = balance.ListFull
	}
	d.listed(l, kind)
	d.front.Ready()
}

func (d *daemon) listed(l config.List, kind balance.ListKind) {
	d.pool.List(l)
	b := balance.List{Kind: kind}
	for _, e := range l.Servers {
		if entry, err := e.Balance(); err == nil {
			b.Entries = append(b.Entries, entry)
		}
	}
	if len(l.Servers) > 0 {
		d.log.Info("list", "version", l.Version, "full", l.Full, "servers", fmt.Sprint(l.Servers))
	}
	d.core.List(b)
}

// ListFailed implements list.Sink.
func (d *daemon) ListFailed() { d.core.List(balance.List{Kind: balance.ListFailed}) }

// drain ends the program after SIGTERM: connections are still taken for a while, since the platform sends some;
// what is taken is finished.
func (d *daemon) drain() {
	if d.draining {
		return
	}
	d.log.Info("draining")
	d.front.Drain()
	d.loop.After(d.lim.DrainAccept, func() {
		d.listener.Close()
		// What the listener had taken is in the loop's queue: look at it first.
		d.loop.Post(func() {
			d.front.Finish()
			d.draining = true
		})
	})
	d.loop.After(d.lim.DrainMost, d.loop.Stop)
}
