package main

import (
	"log/slog"

	"limeladder/internal/backend"
	"limeladder/internal/config"
	"limeladder/internal/discovery"
	"limeladder/internal/eventloop"
	"limeladder/internal/limits"
	"limeladder/internal/membership"
	"limeladder/internal/router"
	"limeladder/internal/store"
	"limeladder/internal/transport"
)

// daemon is the assembled program. After newDaemon has returned, its fields belong to the goroutine of the event loop.
type daemon struct {
	log    *slog.Logger
	name   string // of this router
	deploy config.Deploy
	limits limits.Limits // currently in force; lower while another process of this router is alive

	loop           *eventloop.Loop
	engine         *transport.Engine
	recording      *auditRecording  // nil if audit recording is off
	store          *store.Store     // nil if the store is off or not open yet
	openingStore   chan openedStore // delivers the store that is being opened; nil if none is
	core           *router.Router
	pool           *backend.Pool
	watcher        *discovery.Watcher
	listeners      listeners
	endpoints      *membership.View
	listWriter     endpointListWriter
	listSaver      *endpointListSaver // nil if the store is off
	knownEndpoints knownEndpoints
	hotRestart     hotRestart
	shutdown       shutdownState

	// failoverTermsRestored is true once the core has received the terms that an earlier process stored.
	failoverTermsRestored bool
}

// newDaemon starts the subsystems in the order of their dependencies. If one fails to start, it does not close those
// that are already running: the caller ends the process.
func newDaemon(cfg *config.Config, deploy config.Deploy, log *slog.Logger) (*daemon, error) {
	d := &daemon{
		log:       log,
		name:      cfg.Name,
		deploy:    deploy,
		loop:      eventloop.New(),
		endpoints: membership.NewView(),
	}
	d.limits = computeLimits(cfg, deploy)
	previous := d.joinHotRestart(cfg)
	d.applyMemoryLimits()

	var err error
	d.engine, err = transport.New(d.loop, cfg.Limits.Sockets, d.limits.Transport.InboxBytes)
	if err != nil {
		return nil, err
	}
	d.engine.LimitInboxes(d.limits.Transport.InboxTotalBytes, d.limits.Transport.LeastInboxBytes)
	d.recording, err = startAuditRecording(d.loop, d.limits, deploy, cfg.Name, cfg.SeedValue, log)
	if err != nil {
		return nil, err
	}
	d.listSaver = newEndpointListSaver(deploy.Store, maxSavedListBytes(d.limits), log)
	savedList := d.listSaver.load()
	if err := d.startStore(); err != nil {
		return nil, err
	}
	if err := d.startCore(cfg); err != nil {
		return nil, err
	}
	if err := d.startListeners(cfg); err != nil {
		return nil, err
	}
	if err := d.startAdminAPI(cfg.AdminAddress); err != nil {
		return nil, err
	}
	d.loop.Post(func() {
		d.applySharedState(previous)
		d.startDiscovery(cfg, savedList, decodeSharedList(previous.EndpointList))
		d.reportCounters()
	})
	d.watchOtherProcess()
	return d, nil
}

// run runs the event loop until the graceful shutdown is complete, and then closes the subsystems.
func (d *daemon) run() {
	d.loop.Run(func() {
		d.core.Step()
		if d.shutdownComplete() {
			d.loop.Stop()
		}
	})
	d.close()
}

// close closes the subsystems that hold queued data, in the reverse order of their start with one exception: audit
// recording is closed before the store, so that the end is recorded and shipped before anything else takes time. The
// graceful shutdown has closed the listeners already. The shared state is closed last, because that is how the next
// process learns that this one has ended.
func (d *daemon) close() {
	counts := d.core.Counts()
	d.log.Info("stopped serving", counterAttributes(counts)...)
	d.recording.close(counts)
	d.listSaver.close()
	d.closeStore()
	d.engine.Stop()
	if err := d.hotRestart.requestIDs.Close(); err != nil {
		d.log.Warn("request ids not closed", "error", err)
	}
	d.hotRestart.shared.Close()
}
