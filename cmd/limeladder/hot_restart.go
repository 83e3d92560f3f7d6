package main

import (
	"encoding/json"
	"os"
	"runtime/debug"

	"limeladder/balance"
	"limeladder/internal/config"
	"limeladder/internal/hotrestart"
	"limeladder/internal/limits"
)

// requestedByOtherProcess is how the audit record names the other process of this router.
const requestedByOtherProcess = "another process"

// hotRestart is what this process knows of the other process of the same router, which it replaces or is replaced by.
type hotRestart struct {
	shared *hotrestart.SharedState
	// otherProcess says that another process of this router is alive.
	otherProcess bool
	// aloneLimits are in force while there is no other process.
	aloneLimits limits.Limits
}

// joinHotRestart opens the state that is shared with another process of this router, lowers the limits where one is
// alive, and returns what earlier processes have left in the shared state.
func (d *daemon) joinHotRestart(cfg *config.Config) hotrestart.State {
	d.hotRestart.aloneLimits = d.limits
	shared, previous := hotrestart.Open(os.Getenv("TMPDIR"), cfg.Listen, d.limits.Discovery.KnownEndpoints, d.log)
	d.hotRestart.shared = shared
	if !shared.StartedAlone() {
		d.hotRestart.otherProcess = true
		d.log.Info("another process of this router is serving")
		d.limits = d.hotRestart.aloneLimits.DuringHotRestart()
	}
	return previous
}

// watchOtherProcess starts to follow what the other process changes.
func (d *daemon) watchOtherProcess() {
	d.hotRestart.shared.Watch(d.limits.HotRestart.PollInterval, d.loop.PostUrgent, d)
}

// applySharedState applies what earlier processes were asked for.
func (d *daemon) applySharedState(previous hotrestart.State) {
	d.KnownEndpointsAdded(previous.KnownEndpoints)
	for id := range previous.Suspended {
		d.setSuspended(id, true, requestedByOtherProcess)
	}
	if previous.Drained {
		d.setDrained(true, requestedByOtherProcess)
	}
}

// Suspended implements hotrestart.Listener.
func (d *daemon) Suspended(id string, suspended bool) {
	d.setSuspended(id, suspended, requestedByOtherProcess)
}

// Drained implements hotrestart.Listener.
func (d *daemon) Drained(drained bool) { d.setDrained(drained, requestedByOtherProcess) }

// KnownEndpointsAdded implements hotrestart.Listener.
func (d *daemon) KnownEndpointsAdded(ids []string) {
	d.knownEndpoints.add(ids, d.limits.Discovery.KnownEndpoints)
}

// shareEndpointList gives the other process the list as discovery has notified this one. A new process whose own
// calls to discovery are not answered would otherwise send requests to endpoints that this one knows to be draining.
func (d *daemon) shareEndpointList() {
	if !d.hotRestart.otherProcess || !d.endpoints.received {
		return
	}
	if encoded, err := json.Marshal(d.endpoints.complete()); err == nil {
		d.hotRestart.shared.ShareEndpointList(encoded)
	}
}

// EndpointListShared implements hotrestart.Listener. What discovery itself has told this process is not replaced.
func (d *daemon) EndpointListShared(encoded []byte) {
	if d.endpoints.received {
		return
	}
	var list config.EndpointList
	if json.Unmarshal(encoded, &list) != nil || len(list.Endpoints) == 0 {
		return
	}
	d.log.Info("endpoint list received from another process")
	d.applyEndpointList(list, balance.ListCached)
}

// AloneChanged implements hotrestart.Listener. The platform counts memory and descriptors over both processes, so each
// one goes by lower limits while there are two.
func (d *daemon) AloneChanged(alone bool) {
	d.log.Info("hot restart state changed", "alone", alone)
	d.hotRestart.otherProcess = !alone
	d.shareEndpointList()
	d.limits = d.hotRestart.aloneLimits
	if !alone {
		d.limits = d.hotRestart.aloneLimits.DuringHotRestart()
	}
	d.applyLimits()
	if !alone {
		go debug.FreeOSMemory() // the other process starts with what this one returns to the system
		return
	}
	if !d.shutdown.requested {
		d.openStoreInBackground()
	}
}

// applyLimits tells everything that outlives a change of limits of the new ones.
func (d *daemon) applyLimits() {
	d.applyMemoryLimits()
	d.pool.SetLimits(d.limits)
	for _, listener := range d.listeners.open {
		listener.SetLimits(d.limits)
		listener.socket.Resize(d.acceptLimit())
	}
}
