package main

import (
	"encoding/json"
	"os"
	"runtime/debug"

	"limeladder/internal/config"
	"limeladder/internal/hotrestart"
	"limeladder/internal/limits"
	"limeladder/internal/membership"
)

// requestedByOtherProcess identifies the other process of this router in the audit record as the source of a change.
const requestedByOtherProcess = "another process"

// hotRestart connects this process to the other process of the same router: the one it replaces or is replaced by.
type hotRestart struct {
	shared *hotrestart.SharedState
	// requestIDs are the ids of writes that this process and the other one have accepted, nil if none are shared.
	requestIDs *hotrestart.RequestIDs
	// otherProcess is true while another process of this router is alive.
	otherProcess bool
	// aloneLimits are the limits in force while there is no other process.
	aloneLimits limits.Limits
}

// joinHotRestart opens the state that is shared with another process of this router, lowers the limits if one is alive,
// and returns the state that earlier processes left.
func (d *daemon) joinHotRestart(cfg *config.Config) hotrestart.State {
	d.hotRestart.aloneLimits = d.limits
	shared, previous := hotrestart.Open(os.Getenv("TMPDIR"), cfg.Listen, d.limits.Discovery.KnownEndpoints, d.log)
	d.hotRestart.shared = shared
	d.openRequestIDs()
	if !shared.StartedAlone() {
		d.hotRestart.otherProcess = true
		d.log.Info("another process of this router is serving")
		d.limits = d.hotRestart.aloneLimits.DuringHotRestart()
	}
	return previous
}

// openRequestIDs opens the ids that are shared with the other process of this router. Without them the router serves
// too.
func (d *daemon) openRequestIDs() {
	ids, err := d.hotRestart.shared.OpenRequestIDs()
	if err != nil {
		d.log.Warn("request ids not shared", "error", err)
	}
	d.hotRestart.requestIDs = ids
}

// watchOtherProcess starts to watch the shared state for changes by the other process.
func (d *daemon) watchOtherProcess() {
	d.hotRestart.shared.Watch(d.limits.HotRestart.PollInterval, d.loop.PostUrgent, d)
}

// applySharedState applies the known endpoints, suspensions and draining that earlier processes left.
func (d *daemon) applySharedState(previous hotrestart.State) {
	if d.hotRestart.otherProcess {
		d.core.SetOtherProcess(true)
	}
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

// shareEndpointList passes the list that this process goes by to the other process, wherever it came from. A new
// process whose own calls to discovery are not answered would otherwise send requests to endpoints that this one knows
// to be draining.
func (d *daemon) shareEndpointList() {
	if !d.hotRestart.otherProcess || d.endpoints.Len() == 0 {
		return
	}
	if encoded, err := json.Marshal(d.endpoints.Snapshot()); err == nil {
		d.hotRestart.shared.ShareEndpointList(encoded)
	}
}

// EndpointListShared implements hotrestart.Listener. Where this process need not wait for discovery, it has waited for
// this list to become ready.
func (d *daemon) EndpointListShared(encoded []byte) {
	d.offerEndpointList(decodeSharedList(encoded), membership.Shared)
	if d.limits.Discovery.ResumeFromKnown {
		d.becomeReady()
	}
}

// decodeSharedList decodes a list that a process has shared. It returns an empty list if that is not possible.
func decodeSharedList(encoded []byte) membership.Snapshot {
	var list membership.Snapshot
	if json.Unmarshal(encoded, &list) != nil {
		return membership.Snapshot{}
	}
	return list
}

// AloneChanged implements hotrestart.Listener. The platform counts the memory and descriptors of both processes
// together, so each one has lower limits while there are two.
func (d *daemon) AloneChanged(alone bool) {
	d.log.Info("hot restart state changed", "alone", alone)
	d.hotRestart.otherProcess = !alone
	d.core.SetOtherProcess(!alone)
	d.shareEndpointList()
	d.limits = d.hotRestart.aloneLimits
	if !alone {
		d.limits = d.hotRestart.aloneLimits.DuringHotRestart()
	}
	d.applyLimits()
	if !alone {
		go debug.FreeOSMemory() // the other process can use the memory that this one returns to the system
		return
	}
	if !d.shutdown.requested {
		d.openStoreInBackground()
	}
}

// applyLimits applies the current limits to the subsystems that are already running.
func (d *daemon) applyLimits() {
	d.applyMemoryLimits()
	d.pool.SetLimits(d.limits)
	for _, listener := range d.listeners.open {
		listener.SetLimits(d.limits)
		listener.socket.Resize(d.acceptLimit())
	}
}
