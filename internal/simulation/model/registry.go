package model

import "time"

// Registry is the endpoint list of a world as discovery publishes it: delayed, and limited to what discovery can
// observe. It owns the entries and their versions, but not how they are delivered to a router.
type Registry struct {
	Version int64 // of the latest change; the initial list has version 1
	Entries []Listing

	world     *World
	delays    NoticeDelays
	draw      func([2]time.Duration) time.Duration
	onChange  func(i int)
	primaries map[*ReplicaGroup]*Endpoint // the last primaries for which a notice was scheduled
}

// NoticeDelays are the delays with which a registry notices changes. Each delay is drawn between the two bounds of its
// pair.
type NoticeDelays struct {
	Change [2]time.Duration // of an endpoint that drains, was removed or has restarted
	Silent [2]time.Duration // of an endpoint that died or hangs
	Role   [2]time.Duration // of a change of primary; both 0 = the list keeps naming the initial primary
}

// Listing is the entry of an endpoint in a Registry.
type Listing struct {
	Endpoint  *Endpoint
	State     ListingState
	Primary   bool
	StartedAt time.Duration // of its last start; 0 = not restarted since it was added
	Changed   int64         // the version of its latest change; 0 = never listed
}

// ListingState is the state in which an endpoint is listed.
type ListingState int

// The states of a listing.
const (
	ListedRemoved ListingState = iota
	ListedReady
	ListedDraining
)

// String returns the name of the state.
func (s ListingState) String() string { return [...]string{"gone", "ready", "draining"}[s] }

// NewRegistry returns a Registry that lists all endpoints of a world in their present state and follows their changes.
// draw draws a duration between two bounds; onChange is called after each change of an entry, with the entry's index.
func NewRegistry(
	world *World, delays NoticeDelays, draw func([2]time.Duration) time.Duration, onChange func(i int),
) *Registry {
	r := &Registry{
		Version:   1,
		world:     world,
		delays:    delays,
		draw:      draw,
		onChange:  onChange,
		primaries: map[*ReplicaGroup]*Endpoint{},
	}
	for _, endpoint := range world.Endpoints {
		listing := Listing{Endpoint: endpoint, State: ListedReady, Primary: endpoint.IsPrimary(), Changed: 1}
		if endpoint.Removed() { // a spare is never listed until it joins
			listing.State = ListedRemoved
			listing.Changed = 0
		}
		r.Entries = append(r.Entries, listing)
	}
	for _, group := range world.Groups {
		r.primaries[group] = group.Primary
	}
	world.Watch(r.endpointChanged)
	return r
}

// Since calls visit for each entry whose latest change is newer than version. With version 0 it visits all entries that
// were ever listed.
func (r *Registry) Since(version int64, visit func(listing Listing)) {
	for _, listing := range r.Entries {
		if listing.Changed > version {
			visit(listing)
		}
	}
}

// listsRoles reports whether the list follows changes of primary.
func (r *Registry) listsRoles() bool { return r.delays.Role[1] > 0 }

// endpointChanged schedules the update of the list after a change of an endpoint.
func (r *Registry) endpointChanged(endpoint *Endpoint) {
	delay := r.delays.Change
	if failedSilently(endpoint) {
		delay = r.delays.Silent
	}
	r.world.Clock.After(r.draw(delay), func() {
		r.update(endpoint, func(listing *Listing) { r.describe(endpoint, listing) })
	})
	if r.listsRoles() {
		r.noticePrimary(endpoint.Group)
	}
}

// failedSilently reports whether the endpoint hangs, or died without announcing that it would leave.
func failedSilently(endpoint *Endpoint) bool {
	died := endpoint.State() == Down && !endpoint.Draining() && !endpoint.Removed()
	return endpoint.State() == Hung || died
}

// describe updates the entry of an endpoint to the endpoint's present state.
func (r *Registry) describe(endpoint *Endpoint, listing *Listing) {
	switch {
	case endpoint.Removed() || endpoint.State() != Up:
		listing.State = ListedRemoved
	case endpoint.Draining():
		listing.State = ListedDraining
	default:
		listing.State = ListedReady
	}
	if endpoint.StartedAt() > 0 {
		listing.StartedAt = endpoint.StartedAt()
	}
	if listing.State != ListedReady && !r.listsRoles() {
		listing.Primary = false
	}
}

// noticePrimary schedules the listing of a group's new primary. After the delay, the endpoint that is the primary now
// is listed, even if the primary has changed again by then.
func (r *Registry) noticePrimary(group *ReplicaGroup) {
	if !group.AcceptsWrites() || r.primaries[group] == group.Primary {
		return
	}
	primary := group.Primary
	r.primaries[group] = primary
	r.world.Clock.After(r.draw(r.delays.Role), func() {
		for _, endpoint := range group.Endpoints {
			r.update(endpoint, func(listing *Listing) { listing.Primary = endpoint == primary })
		}
	})
}

// update applies change to the entry of an endpoint, and gives the entry a new version if it differs afterwards.
func (r *Registry) update(endpoint *Endpoint, change func(listing *Listing)) {
	for i, old := range r.Entries {
		if old.Endpoint != endpoint {
			continue
		}
		listing := old
		change(&listing)
		if listing == old {
			continue
		}
		r.Version++
		listing.Changed = r.Version
		r.Entries[i] = listing
		r.onChange(i)
	}
}
