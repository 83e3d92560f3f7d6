package main

import (
	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/config"
)

// endpointNotListed is the recorded state of an endpoint that is missing from a complete list.
const endpointNotListed = "not listed"

// requestedByDiscovery identifies the endpoint list in the audit record as the source of a change.
const requestedByDiscovery = "list"

// endpointListChanged records a watch event and every endpoint state that it changes. An event without endpoints is
// recorded only if it is a complete list from discovery.
func (r *auditRecording) endpointListChanged(event config.EndpointList, kind balance.EndpointListKind) {
	if r == nil || len(event.Endpoints) == 0 && kind != balance.ListFull {
		return
	}
	complete := kind != balance.ListDelta
	if complete {
		r.recordEndpointsNotListed(event.Endpoints)
	}
	for _, entry := range event.Endpoints {
		r.recordListedState(entry)
	}
	r.recorder.Record(summarizeEndpointList(event, complete))
}

// recordEndpointsNotListed records the endpoints that were listed before and are missing from a complete list.
func (r *auditRecording) recordEndpointsNotListed(listed []config.EndpointEntry) {
	isListed := map[string]bool{}
	for _, entry := range listed {
		isListed[entry.ID] = true
	}
	for id := range r.endpointStates {
		if !isListed[id] {
			delete(r.endpointStates, id)
			r.recorder.Record(audit.EndpointStateChange{Endpoint: id, State: endpointNotListed, Source: requestedByDiscovery})
		}
	}
}

// recordListedState records the state of an endpoint if it has changed. A new endpoint that is ready is not recorded.
func (r *auditRecording) recordListedState(entry config.EndpointEntry) {
	previous, known := r.endpointStates[entry.ID]
	newAndReady := !known && entry.State == config.StateReady
	if previous != entry.State && !newAndReady {
		r.recorder.Record(audit.EndpointStateChange{
			Endpoint: entry.ID,
			Group:    entry.Group,
			State:    entry.State,
			Source:   requestedByDiscovery,
		})
	}
	if entry.State == config.StateRemoved {
		delete(r.endpointStates, entry.ID)
	} else {
		r.endpointStates[entry.ID] = entry.State
	}
}

// summarizeEndpointList counts the endpoints of an event by state.
func summarizeEndpointList(event config.EndpointList, complete bool) audit.List {
	summary := audit.List{Version: event.Version, Full: complete}
	for _, entry := range event.Endpoints {
		switch entry.State {
		case config.StateReady:
			summary.Ready++
		case config.StateDraining:
			summary.Draining++
		default:
			summary.Gone++
		}
	}
	return summary
}
