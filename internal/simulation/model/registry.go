package model

import "time"

// Registry is the endpoint list of a world as discovery has it: late, and with no more in it than discovery can know.
// It owns the entries and their versions, not the way in which they reach a router.
type Registry struct {
	Version int64 // of the newest change; the first list has version 1
	Entries []Listing

	world     *World
	delays    NoticeDelays
	draw      func([2]time.Duration) time.Duration
	onChange  func(i int)
	primaries map[*ReplicaGroup]*Endpoint // those that were noticed last
}

// NoticeDelays says how late a registry notices what happens. Each delay is drawn between the two bounds of a pair.
type NoticeDelays struct {
	Change [2]time.Duration // that an endpoint drains, was removed or is back
	Silent [2]time.Duration // that an endpoint died or hangs
	Role   [2]time.Duration // which endpoint is the primary now; both 0 = the list keeps naming the first primary
}

// Listing is the entry of one endpoint.
type Listing struct {
	Endpoint  *Endpoint
	State     ListingState
	Primary   bool
	StartedAt time.Duration // of its last start; 0 = before the world began
	Changed   int64         // the version of its newest change; 0 = it was never listed
}

// ListingState is the state in which an endpoint is listed.
type ListingState int

// The states of a listing.
const (
	ListedRemoved ListingState = iota
	ListedReady
	ListedDraining
)

// String returns the word for the state.
func (s ListingState) String() string { return [...]string{"gone", "ready", "draining"}[s] }

// NewRegistry lists all endpoints of a world as they are, and follows their changes. draw draws a time between two
// bounds; onChange is called with the index of an entry after each change of it.
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

// Since calls visit for each entry that has changed after a version. After version 0 these are all that were ever
// listed.
func (r *Registry) Since(version int64, visit func(listing Listing)) {
	for _, listing := range r.Entries {
		if listing.Changed > version {
			visit(listing)
		}
	}
}

// listsRoles reports whether the list follows changes of primary.
func (r *Registry) listsRoles() bool { return r.delays.Role[1] > 0 }

// endpointChanged schedules the notice of a change in the world.
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

// failedSilently reports whether the endpoint hangs, or died without having announced it.
func failedSilently(endpoint *Endpoint) bool {
	died := endpoint.State() == Down && !endpoint.Draining() && !endpoint.Removed()
	return endpoint.State() == Hung || died
}

// describe sets the entry of an endpoint to the endpoint's present state.
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

// noticePrimary schedules the notice that a group has another primary. What is listed then is the primary of now,
// whichever endpoint is the primary by then.
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

// update changes the entry of an endpoint, and gives it a new version if that made a difference.
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
