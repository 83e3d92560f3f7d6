package main

import (
	"fmt"

	"limeladder/internal/backend"
	"limeladder/internal/config"
	"limeladder/internal/discovery"
	"limeladder/internal/router"
)

// startCore starts the routing core with its failover queue and site monitor, the pool of backend connections and the
// discovery watcher, and connects them to each other.
func (d *daemon) startCore(cfg *config.Config) error {
	var err error
	d.core, err = router.New(d.loop, d.limits, d.log, cfg.Balance, cfg.SeedValue, d.recording.routerAudit())
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := d.startFailoverQueue(cfg); err != nil {
		return err
	}
	d.startSiteMonitor(cfg)
	d.pool = backend.New(d.loop, d.engine, d.limits, d.log)
	d.watcher = discovery.New(d.loop, d.engine, d.limits, d.log, cfg.Discovery, d)
	d.core.Connect(d.pool, d.watcher)
	d.core.ShareRequestIDs(d.hotRestart.requestIDs)
	return nil
}

// reportCounters logs and stores the counters of the core, and repeats this after every report interval.
func (d *daemon) reportCounters() {
	counts := d.core.Counts()
	attributes := counterAttributes(counts)
	attributes = append(attributes, "in_flight", d.core.InFlight(), "clients", d.listeners.openConnections())
	d.log.Info("counts", attributes...)
	d.storeValue(countersKeyPrefix+d.name, counts)
	d.loop.AfterFunc(d.limits.Router.ReportInterval, d.reportCounters)
}

// counterAttributes returns the counters as key-value pairs for a log line.
func counterAttributes(counts router.Counts) []any {
	return []any{
		"accepted", counts.Accepted,
		"served", counts.Served,
		"rejected", counts.Rejected,
		"failed", counts.Failed,
		"disconnected", counts.Disconnected,
		"attempts", fmt.Sprint(counts.Attempts),
	}
}
