package config

import (
	"time"

	"limeladder/balance"
)

// EndpointEntry is an endpoint as discovery describes it.
type EndpointEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int64   `json:"cell"` // the replica group
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
	Mode      string  `json:"mode"`
}

// EndpointList is the endpoint list, or a change of it, as discovery sends it.
type EndpointList struct {
	Version   int64           `json:"version"`
	Full      bool            `json:"full"`
	Endpoints []EndpointEntry `json:"servers"`
}

// endpointStates translates the states of discovery.
var endpointStates = map[string]balance.EndpointState{
	"ready":    balance.EndpointReady,
	"draining": balance.EndpointDraining,
	"gone":     balance.EndpointRemoved,
}

// Balance returns the entry in the terms of the decision module.
func (e EndpointEntry) Balance() (balance.EndpointEntry, error) {
	entry := balance.EndpointEntry{Endpoint: e.ID, Zone: e.Zone, Group: e.Cell, Primary: e.Mode == "read-write"}
	if e.StartedMs > 0 {
		entry.StartedAt = time.Duration(e.StartedMs) * time.Millisecond
	}
	state, ok := endpointStates[e.State]
	if !ok {
		return entry, fieldErrorf("state", "unknown word %q", e.State)
	}
	entry.State = state
	if e.ID == "" {
		return entry, &FieldError{Field: "id", Reason: errMissing}
	}
	return entry, nil
}
