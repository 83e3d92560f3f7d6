package config

import (
	"time"

	"limeladder/balance"
)

// The states of an endpoint in the format of discovery.
const (
	StateReady    = "ready"
	StateDraining = "draining" // finishes what it has and wants nothing new
	StateRemoved  = "gone"     // no longer in the list; only changes contain it
)

// EndpointEntry describes an endpoint in the format of discovery.
type EndpointEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Group     int64   `json:"cell"` // replica group
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`
	Mode      string  `json:"mode"`
}

// EndpointList is a complete endpoint list, or a change to one, in the format of discovery.
type EndpointList struct {
	Version   int64           `json:"version"`
	Full      bool            `json:"full"` // complete list rather than a change
	Endpoints []EndpointEntry `json:"servers"`
}

// endpointStates maps the states of discovery to those of the decision module.
var endpointStates = map[string]balance.EndpointState{
	StateReady:    balance.EndpointReady,
	StateDraining: balance.EndpointDraining,
	StateRemoved:  balance.EndpointRemoved,
}

// Balance converts the entry to the type of the decision module.
func (e EndpointEntry) Balance() (balance.EndpointEntry, error) {
	entry := balance.EndpointEntry{Endpoint: e.ID, Zone: e.Zone, Group: e.Group, Primary: e.Mode == "read-write"}
	if e.StartedMs > 0 {
		entry.StartedAt = time.Duration(e.StartedMs) * time.Millisecond
	}
	state, ok := endpointStates[e.State]
	if !ok {
		return entry, fieldErrorf("state", "unknown state %q", e.State)
	}
	entry.State = state
	if e.ID == "" {
		return entry, &FieldError{Field: "id", Reason: errMissing}
	}
	return entry, nil
}
