package main

import (
	"fmt"

	"limeladder/balance"
	"limeladder/internal/config"
	"limeladder/internal/membership"
)

// knownEndpoints holds the ids of all endpoints that were ever listed, up to a maximum number.
type knownEndpoints struct {
	ids   map[string]bool
	order []string // the same ids, the oldest first
}

// contains reports whether an endpoint with the given id was ever listed.
func (k *knownEndpoints) contains(id string) bool { return k.ids[id] }

// add adds ids. Beyond the limit it drops the oldest ids, because endpoints with new ids appear day after day and would
// otherwise use up the memory.
func (k *knownEndpoints) add(ids []string, limit int) {
	if k.ids == nil {
		k.ids = map[string]bool{}
	}
	for _, id := range ids {
		if !k.ids[id] {
			k.ids[id] = true
			k.order = append(k.order, id)
		}
	}
	for len(k.order) > limit {
		delete(k.ids, k.order[0])
		k.order = k.order[1:]
	}
}

// startDiscovery applies the newest of the lists that this process has at its start, which may be outdated, and starts
// to follow discovery. Clients are accepted once discovery has answered or the timeout for the first list has expired,
// or at once if the watch resumes from the list in hand and there is no other process whose list may be newer.
func (d *daemon) startDiscovery(cfg *config.Config, saved, shared membership.Snapshot) {
	configured := membership.Snapshot{}
	if cfg.KnownEndpoints != nil {
		configured.EndpointList = *cfg.KnownEndpoints
	}
	d.replaceEndpointList(configured, membership.Configured)
	d.useNewerEndpointList(saved, membership.Saved)
	d.useNewerEndpointList(shared, membership.Shared)
	d.useNewerEndpointList(d.recoveredEndpointList(), membership.Stored)
	d.saveEndpointList() // only the newest: an older one that is saved first remains if the process is killed now
	d.restoreFailoverTerms()
	readyWithin := d.limits.Discovery.FirstListTimeout
	if d.limits.Discovery.ResumeFromKnown && d.endpoints.Len() > 0 && !d.hotRestart.otherProcess {
		readyWithin = 0
	}
	if !cfg.Balance.PollDiscovery { // otherwise the decision module decides when to poll
		d.watcher.FollowPushed(cfg.SeedValue)
	}
	d.loop.AfterFunc(readyWithin, d.becomeReady)
}

// EndpointListReceived implements discovery.Listener.
func (d *daemon) EndpointListReceived(event config.EndpointList) {
	kind := balance.ListDelta
	if event.Full {
		kind = balance.ListFull
	}
	firstAnswer := d.endpoints.Source() != membership.Received
	d.endpoints.Receive(event)
	d.endpointListChanged(event, kind)
	if event.Full || len(event.Endpoints) > 0 || firstAnswer {
		d.shareEndpointList()
		d.saveEndpointList()
		d.storeEndpointList()
	}
	d.becomeReady()
}

// PollFailed implements discovery.Listener. If discovery has not answered since the start, the list that the peers
// stored is applied if it is newer.
func (d *daemon) PollFailed(silent bool) {
	kind := balance.ListFailed
	if silent {
		kind = balance.ListSilent
	}
	d.core.UpdateEndpoints(balance.EndpointList{Kind: kind})
	var stored membership.Snapshot
	if d.loadValue(endpointListKey, &stored) {
		d.offerEndpointList(stored, membership.Stored)
	}
}

// offerEndpointList applies and saves a complete list that did not come from discovery, unless the list in hand is as
// new.
func (d *daemon) offerEndpointList(list membership.Snapshot, source membership.Source) {
	if d.useNewerEndpointList(list, source) {
		d.saveEndpointList()
	}
}

// useNewerEndpointList applies a complete list that did not come from discovery, and reports whether it did: not if the
// list in hand is as new.
func (d *daemon) useNewerEndpointList(list membership.Snapshot, source membership.Source) bool {
	if !d.endpoints.Accepts(list) {
		return false
	}
	if source == membership.Shared {
		d.log.Info("endpoint list received from another process", "version", list.Version)
	} else {
		d.log.Info("endpoint list restored", "source", source.String(), "version", list.Version)
	}
	d.replaceEndpointList(list, source)
	d.shareEndpointList()
	return true
}

// replaceEndpointList applies a complete list that did not come from discovery. The watch requests the changes since
// that list: those since an older one could undo a part of it, and those since a newer one would miss some.
func (d *daemon) replaceEndpointList(list membership.Snapshot, source membership.Source) {
	d.endpoints.Replace(list, source)
	d.endpointListChanged(list.EndpointList, balance.ListCached)
	if d.limits.Discovery.ResumeFromKnown && len(list.Endpoints) > 0 {
		d.watcher.ResumeFrom(list.Version)
	}
}

// saveEndpointList saves the list in hand on this machine's disk if this process is the one that has the store open.
func (d *daemon) saveEndpointList() {
	if d.store != nil && d.endpoints.Len() > 0 {
		d.listSaver.save(d.endpoints.Snapshot())
	}
}

// endpointListChanged passes a watch event or a cached list to every subsystem that depends on the endpoint list.
func (d *daemon) endpointListChanged(event config.EndpointList, kind balance.EndpointListKind) {
	d.pool.UpdateEndpoints(event)
	if len(event.Endpoints) > 0 {
		d.log.Info("endpoint list updated",
			"version", event.Version, "full", event.Full, "endpoints", fmt.Sprint(event.Endpoints))
	}
	newIDs := d.unknownIDs(event)
	d.recording.endpointListChanged(event, kind)
	d.core.UpdateEndpoints(balanceEndpointList(event, kind))
	if len(newIDs) > 0 {
		d.KnownEndpointsAdded(newIDs)
		d.hotRestart.shared.AddKnownEndpoints(newIDs)
	}
}

// unknownIDs returns the ids in an event that were never listed before.
func (d *daemon) unknownIDs(event config.EndpointList) []string {
	var ids []string
	for _, entry := range event.Endpoints {
		if !d.knownEndpoints.contains(entry.ID) {
			ids = append(ids, entry.ID)
		}
	}
	return ids
}

// balanceEndpointList converts an event to the type of the decision module. It omits entries that can't be converted.
func balanceEndpointList(event config.EndpointList, kind balance.EndpointListKind) balance.EndpointList {
	converted := balance.EndpointList{Kind: kind}
	for _, entry := range event.Endpoints {
		if endpoint, err := entry.Balance(); err == nil {
			converted.Entries = append(converted.Entries, endpoint)
		}
	}
	return converted
}
