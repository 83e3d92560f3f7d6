package main

import (
	"runtime/debug"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/limits"
)

// computeLimits returns the limits of a process that is the only one of its router, without a hot restart.
func computeLimits(cfg *config.Config, deploy config.Deploy) limits.Limits {
	var longestClientTimeout time.Duration
	for _, class := range cfg.Balance.Classes {
		longestClientTimeout = max(longestClientTimeout, class.ClientTimeout)
	}
	connectTimeout := time.Duration(cfg.Settings.Limits.ConnectTimeoutNs)
	connectionIdle := time.Duration(cfg.Settings.Limits.ConnIdleNs)
	computed := limits.New(cfg.Limits.MemoryMB, cfg.Limits.Sockets, connectTimeout, connectionIdle, longestClientTimeout)
	computed = computed.ForFleet(cfg.Balance.Instances)
	if !cfg.Balance.PollDiscovery {
		computed = computed.ForPushedLists(cfg.Balance.DrainGrace)
	}
	if longest := cfg.Balance.MaxRetryAfter; longest > 0 {
		// Clients do not honor a Retry-After above this maximum.
		computed.Router.DefaultRetryAfter = min(computed.Router.DefaultRetryAfter, longest)
	}
	if deploy.ExtendedQuery.Listen != "" {
		computed.Frontend.Connections /= 2 // the descriptors are split between both listeners
	}
	return computed
}

// applyMemoryLimits sets the Go runtime's memory limit and garbage collection percentage from the current limits.
func (d *daemon) applyMemoryLimits() {
	debug.SetMemoryLimit(d.limits.Memory.TargetBytes)
	debug.SetGCPercent(d.limits.Memory.GCPercent)
}
