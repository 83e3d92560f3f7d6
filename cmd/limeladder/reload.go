package main

import (
	"limeladder/internal/config"
)

// What is reloaded, as the audit record names it.
const (
	reloadedConfiguration = "configuration"
	reloadedDeploy        = "deploy"
)

// reload reads the configuration and the operators' file again. It runs on the goroutine of the signals, not on the
// event loop: a file that is slow to read must not delay requests. A fault in either file changes nothing.
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

// rejectReload logs and records why the previous configuration stays. Any goroutine may call it.
func (d *daemon) rejectReload(what string, reason error) {
	d.log.Error(logConfigurationRejected, "error", reason)
	d.loop.Post(func() { d.recording.reloaded(what, reason) })
}

// logConfigurationRejected is the log message of a reload that changes nothing.
const logConfigurationRejected = "configuration rejected, previous one stays"

// applyConfig moves the watch to the discovery of a new configuration. The rest of it is read at the start only.
func (d *daemon) applyConfig(cfg *config.Config) {
	d.log.Info("configuration reloaded", "discovery", cfg.Discovery)
	d.recording.reloaded(reloadedConfiguration, nil)
	d.watcher.MoveTo(cfg.Discovery)
}
