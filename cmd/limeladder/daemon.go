package main

import (
	"log/slog"

	"limeladder/internal/backend"
	"limeladder/internal/config"
	"limeladder/internal/discovery"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/router"
	"limeladder/internal/store"
	"limeladder/internal/transport"
)

// daemon is the assembled program. After newDaemon has returned, its fields belong to the goroutine of the event loop.
type daemon struct {
	log    *slog.Logger
	name   string // of this router
	deploy config.Deploy
	limits limits.Limits // in force now; lower while another process of this router is alive

	loop           *eventloop.Loop
	engine         *transport.Engine
	recording      *auditRecording  // nil where audit recording is off
	store          *store.Store     // nil where the store is off or not open yet
	openingStore   chan openedStore // brings the store that is being opened; nil where none is
	core           *router.Router
	pool           *backend.Pool
	watcher        *discovery.Watcher
	listeners      listeners
	endpoints      endpointList
	knownEndpoints knownEndpoints
	hotRestart     hotRestart
	shutdown       shutdownState

	// failoverTermsRestored says that the core has been told the terms that an earlier start has stored.
	failoverTermsRestored bool
}

// newDaemon starts every subsystem in the order in which they need each other. Nothing is closed where one of them
// can't be started: the caller ends the process.
func newDaemon(cfg *config.Config, deploy config.Deploy, log *slog.Logger) (*daemon, error) {
	d := &daemon{
		log:       log,
		name:      cfg.Name,
		deploy:    deploy,
		loop:      eventloop.New(),
		endpoints: newEndpointList(),
	}
	d.limits = computeLimits(cfg, deploy)
	previous := d.joinHotRestart(cfg)
	d.applyMemoryLimits()

	var err error
	d.engine, err = transport.New(d.loop, cfg.Limits.Sockets, d.limits.Transport.InboxBytes)
	if err != nil {
		return nil, err
	}
	d.recording, err = startAuditRecording(d.loop, d.limits, deploy, cfg.Name, cfg.SeedValue, log)
	if err != nil {
		return nil, err
	}
	if err := d.startStore(); err != nil {
		return nil, err
	}
	if err := d.startCore(cfg); err != nil {
		return nil, err
	}
	if err := d.startListeners(cfg); err != nil {
		return nil, err
	}
	if err := d.startAdminAPI(cfg.Operator); err != nil {
		return nil, err
	}
	d.loop.Post(func() {
		d.applySharedState(previous)
		d.startDiscovery(cfg)
		d.reportCounters()
	})
	d.watchOtherProcess()
	return d, nil
}

// run runs the event loop until the graceful shutdown is complete, and closes everything.
func (d *daemon) run() {
	d.loop.Run(func() {
		d.core.Step()
		if d.shutdownComplete() {
			d.loop.Stop()
		}
	})
	d.close()
}

// close closes the subsystems that hold queued data, in the reverse order of their start but for one: audit recording
// comes before the store, so that the end is recorded and shipped before anything else takes time. Listeners are closed
// by the shutdown before. The shared state is last, because closing it tells the next process that this one is gone.
func (d *daemon) close() {
	counts := d.core.Counts()
	d.log.Info("stopped serving", counterAttributes(counts)...)
	d.recording.close(counts)
	d.closeStore()
	d.engine.Stop()
	d.hotRestart.shared.Close()
}
