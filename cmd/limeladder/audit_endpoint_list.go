package main

import (
	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/config"
)

// endpointNotListed is the recorded state of an endpoint that a complete list leaves out.
const endpointNotListed = "not listed"

// requestedByDiscovery is how the audit record names the endpoint list.
const requestedByDiscovery = "list"

// endpointListChanged records a watch event, and the endpoints that it takes out or lets back in. An event without
// endpoints is recorded only where it is a complete list.
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

// recordEndpointsNotListed records the endpoints that were listed and are missing from a complete list.
func (r *auditRecording) recordEndpointsNotListed(listed []config.EndpointEntry) {
	isListed := map[string]bool{}
	for _, entry := range listed {
		isListed[entry.ID] = true
	}
	for id := range r.endpointStates {
		if !isListed[id] {
			delete(r.endpointStates, id)
			r.recorder.Record(audit.Drain{Endpoint: id, State: endpointNotListed, Source: requestedByDiscovery})
		}
	}
}

// recordListedState records the state of an endpoint if it has changed. An endpoint that is new and ready is no change.
func (r *auditRecording) recordListedState(entry config.EndpointEntry) {
	previous, known := r.endpointStates[entry.ID]
	newAndReady := !known && entry.State == endpointReady
	if previous != entry.State && !newAndReady {
		r.recorder.Record(audit.Drain{
			Endpoint: entry.ID,
			Group:    entry.Cell,
			State:    entry.State,
			Source:   requestedByDiscovery,
		})
	}
	if entry.State == endpointRemoved {
		delete(r.endpointStates, entry.ID)
	} else {
		r.endpointStates[entry.ID] = entry.State
	}
}

// summarizeEndpointList counts the endpoints of an event by their state.
func summarizeEndpointList(event config.EndpointList, complete bool) audit.List {
	summary := audit.List{Version: event.Version, Full: complete}
	for _, entry := range event.Endpoints {
		switch entry.State {
		case endpointReady:
			summary.Ready++
		case endpointDraining:
			summary.Draining++
		default:
			summary.Going++
		}
	}
	return summary
}
