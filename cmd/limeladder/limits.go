package main

import (
	"runtime/debug"
	"time"

	"limeladder/internal/config"
	"limeladder/internal/limits"
)

// computeLimits returns the limits of a process that is the only one of its router.
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
		// Clients heed no longer Retry-After than this one.
		computed.Router.DefaultRetryAfter = min(computed.Router.DefaultRetryAfter, longest)
	}
	if deploy.ExtendedQuery.Listen != "" {
		computed.Frontend.Connections /= 2 // both listeners share the descriptors
	}
	return computed
}

// applyMemoryLimits tells the Go runtime what this process may use.
func (d *daemon) applyMemoryLimits() {
	debug.SetMemoryLimit(d.limits.Memory.TargetBytes)
	debug.SetGCPercent(d.limits.Memory.GCPercent)
}
