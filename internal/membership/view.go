package membership

import (
	"maps"
	"slices"

	"limeladder/internal/config"
)

// Source is the way in which a list reached this process.
type Source uint8

// The sources of a list.
const (
	Configured Source = iota // the configuration that this process was started with; may be outdated
	Saved                    // this machine's disk, where an earlier process of this router has left it
	Stored                   // the replicated store
	Shared                   // the other process of a hot restart
	Received                 // discovery
)

// String returns the source for logs.
func (s Source) String() string {
	return []string{"configuration", "disk", "store", "other process", "discovery"}[s]
}

// View is the endpoint list that this process goes by.
type View struct {
	byID     map[string]config.EndpointEntry
	version  int64
	replaces int64 // as in Snapshot
	source   Source
}

// NewView returns an empty list of version 0.
func NewView() *View { return &View{byID: map[string]config.EndpointEntry{}} }

// Version returns the version of the list.
func (v *View) Version() int64 { return v.version }

// Source returns where the list, or its newest change, came from.
func (v *View) Source() Source { return v.source }

// Len returns the number of endpoints in the list.
func (v *View) Len() int { return len(v.byID) }

// Accepts reports whether a list that did not come from discovery is to replace the list in hand: it must be newer, and
// discovery must not have answered this process yet.
func (v *View) Accepts(list Snapshot) bool {
	return v.source != Received && list.NewerThan(v.Snapshot())
}

// Replace replaces the list in hand by a list that did not come from discovery.
func (v *View) Replace(list Snapshot, source Source) {
	clear(v.byID)
	v.apply(list.EndpointList)
	v.replaces = list.Replaces
	v.source = source
}

// Receive applies a list from discovery: a complete one or a change.
func (v *View) Receive(event config.EndpointList) {
	if event.Full {
		if v.beginsNumbering(event) {
			v.replaces = max(v.replaces, v.version)
		}
		clear(v.byID)
	}
	v.apply(event)
	v.source = Received
}

// beginsNumbering reports whether a complete list from discovery shows that its versions don't continue those of the
// list in hand: its version is lower, or is the same with other content.
func (v *View) beginsNumbering(event config.EndpointList) bool {
	if len(v.byID) == 0 || event.Version > v.version {
		return false
	}
	return event.Version < v.version || !v.hasContentOf(event)
}

// hasContentOf reports whether the list in hand has exactly the entries of a complete list.
func (v *View) hasContentOf(event config.EndpointList) bool {
	if len(event.Endpoints) != len(v.byID) {
		return false
	}
	for _, entry := range event.Endpoints {
		if listed, ok := v.byID[entry.ID]; !ok || listed != entry {
			return false
		}
	}
	return true
}

func (v *View) apply(event config.EndpointList) {
	for _, entry := range event.Endpoints {
		if entry.State == config.StateRemoved {
			delete(v.byID, entry.ID)
		} else {
			v.byID[entry.ID] = entry
		}
	}
	v.version = event.Version
}

// Snapshot returns the complete list, ordered by id.
func (v *View) Snapshot() Snapshot {
	list := Snapshot{EndpointList: config.EndpointList{Version: v.version, Full: true}, Replaces: v.replaces}
	for _, id := range slices.Sorted(maps.Keys(v.byID)) {
		list.Endpoints = append(list.Endpoints, v.byID[id])
	}
	return list
}
