package main

import (
	"fmt"
	"maps"
	"slices"

	"limeladder/balance"
	"limeladder/internal/config"
)

// The states in which discovery lists endpoints.
const (
	endpointReady    = "ready"
	endpointDraining = "draining"
	endpointRemoved  = "gone" // no longer in the list
)

// endpointList is the endpoint list as this process last received it.
type endpointList struct {
	byID    map[string]config.EndpointEntry
	version int64

	// received is true if the list came from discovery or is the last one that the peers stored.
	received bool
}

func newEndpointList() endpointList {
	return endpointList{byID: map[string]config.EndpointEntry{}}
}

// apply applies a watch event to the list.
func (l *endpointList) apply(event config.EndpointList, kind balance.EndpointListKind) {
	if kind != balance.ListDelta {
		clear(l.byID)
	}
	for _, entry := range event.Endpoints {
		if entry.State == endpointRemoved {
			delete(l.byID, entry.ID)
		} else {
			l.byID[entry.ID] = entry
		}
	}
	l.version = event.Version
}

// complete returns the whole list, ordered by id.
func (l *endpointList) complete() config.EndpointList {
	list := config.EndpointList{Version: l.version, Full: true}
	for _, id := range slices.Sorted(maps.Keys(l.byID)) {
		list.Endpoints = append(list.Endpoints, l.byID[id])
	}
	return list
}

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

// startDiscovery applies the endpoint list of the configuration, which may be outdated, and starts to follow discovery.
// Clients are accepted once discovery has answered or the timeout for the first list has expired, or at once if the
// watch resumes from the configured list.
func (d *daemon) startDiscovery(cfg *config.Config) {
	configured := config.EndpointList{}
	if cfg.KnownEndpoints != nil {
		configured = *cfg.KnownEndpoints
	}
	d.applyEndpointList(configured, balance.ListCached)
	d.restoreFailoverTerms()
	readyWithin := d.limits.Discovery.FirstListTimeout
	if d.limits.Discovery.ResumeFromKnown && len(configured.Endpoints) > 0 {
		d.watcher.ResumeFrom(configured.Version)
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
	d.endpoints.received = true
	d.applyEndpointList(event, kind)
	if event.Full || len(event.Endpoints) > 0 {
		d.shareEndpointList()
	}
	d.becomeReady()
	if event.Full {
		d.storeValue(endpointListKey, event)
	}
}

// PollFailed implements discovery.Listener. If discovery has not answered since the start, the last list that the peers
// stored is applied, which is better than none.
func (d *daemon) PollFailed(silent bool) {
	kind := balance.ListFailed
	if silent {
		kind = balance.ListSilent
	}
	d.core.UpdateEndpoints(balance.EndpointList{Kind: kind})
	if d.endpoints.received {
		return
	}
	var stored config.EndpointList
	if d.loadValue(endpointListKey, &stored) {
		d.endpoints.received = true
		d.applyEndpointList(stored, balance.ListCached)
	}
}

// applyEndpointList passes a watch event or a cached list to every subsystem that depends on the endpoint list.
func (d *daemon) applyEndpointList(event config.EndpointList, kind balance.EndpointListKind) {
	d.pool.UpdateEndpoints(event)
	if len(event.Endpoints) > 0 {
		d.log.Info("endpoint list updated",
			"version", event.Version, "full", event.Full, "endpoints", fmt.Sprint(event.Endpoints))
	}
	newIDs := d.unknownIDs(event)
	d.endpoints.apply(event, kind)
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
