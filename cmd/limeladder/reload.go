package main

import (
	"limeladder/internal/config"
)

// The names of the reloaded files in the audit record.
const (
	reloadedConfiguration = "configuration"
	reloadedDeploy        = "deploy"
)

// reload reads the configuration and the deploy file again. It runs on the goroutine that handles signals, not on the
// event loop, because a file that is slow to read must not delay requests. If either file is invalid, both are ignored.
func (d *daemon) reload(getenv func(string) string) {
	cfg, err := config.Load(getenv)
	if err != nil {
		d.rejectReload(reloadedConfiguration, err)
		return
	}
	deploy, err := config.LoadDeploy(deployPath(getenv))
	if err != nil {
		d.rejectReload(reloadedDeploy, err)
		return
	}
	d.loop.Post(func() {
		d.applyConfig(cfg)
		d.recording.applyDeploy(deploy)
	})
}

// rejectReload logs and records why a reload was rejected. Any goroutine may call it.
func (d *daemon) rejectReload(what string, reason error) {
	d.log.Error(logConfigurationRejected, "error", reason)
	d.loop.Post(func() { d.recording.reloaded(what, reason) })
}

// logConfigurationRejected is the log message for a reload that is rejected.
const logConfigurationRejected = "configuration rejected, keeping the previous one"

// applyConfig switches the watch to the discovery address of a new configuration. All other settings are read only at
// the start.
func (d *daemon) applyConfig(cfg *config.Config) {
	d.log.Info("configuration reloaded", "discovery", cfg.Discovery)
	d.recording.reloaded(reloadedConfiguration, nil)
	d.watcher.MoveTo(cfg.Discovery)
}
