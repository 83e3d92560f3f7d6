package failover

import (
	"cmp"
	"slices"
	"time"
)

// trackedEndpoint is one endpoint of a replica group.
type trackedEndpoint struct {
	id        string
	group     *replicaGroup
	draining  bool // by the endpoint list, or no longer named there
	suspended bool // by an operator

	position   time.Duration // the newest replication position that it told
	positionAt time.Duration // when it told that

	silence         silenceDetector
	connectFailures int // connections refused or broken, and health checks without an answer, in a row

	healthCheckInFlight bool
	healthCheckSentAt   time.Duration
}

// inService says whether the endpoint may be primary.
func (e *trackedEndpoint) inService() bool { return !e.draining && !e.suspended }

// isUsable says whether nothing speaks against sending to the endpoint.
func (e *trackedEndpoint) isUsable() bool { return e.inService() && e.connectFailures == 0 }

// isPrimary says whether the endpoint is its group's primary, as far as is known.
func (e *trackedEndpoint) isPrimary() bool { return e.group.primary == e }

func (e *trackedEndpoint) recordPosition(position, now time.Duration) {
	if position > e.position {
		e.position = position
		e.positionAt = now
	}
}

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID       string
	Group    int64
	Draining bool
	Removed  bool // forgotten at once, or where it is the primary as soon as another one is observed
}

// UpdateEndpoints takes over entries of the endpoint list. An endpoint that has no entry stays as it was, or is
// removed where the list is complete.
func (t *Tracker) UpdateEndpoints(now time.Duration, entries []Endpoint, complete bool) {
	listed := map[string]bool{}
	for _, entry := range entries {
		listed[entry.ID] = true
		if entry.Removed {
			t.removeEndpoint(t.endpoints[entry.ID], now)
		} else {
			t.updateEndpoint(entry, now)
		}
	}
	if !complete {
		return
	}
	for _, group := range t.orderedGroups {
		for _, endpoint := range slices.Clone(group.endpoints) {
			if !listed[endpoint.id] {
				t.removeEndpoint(endpoint, now)
			}
		}
	}
}

func (t *Tracker) updateEndpoint(entry Endpoint, now time.Duration) {
	endpoint := t.endpoints[entry.ID]
	if endpoint != nil && endpoint.group.id != entry.Group {
		t.forgetEndpoint(endpoint)
		endpoint = nil
	}
	group := t.groupFor(entry.Group)
	if endpoint == nil {
		endpoint = t.addEndpoint(group, entry.ID)
	}
	endpoint.draining = entry.Draining
	if endpoint.draining {
		t.startSwitchover(endpoint, EvidenceDraining, now)
	}
}

// Suspend says that operators have taken an endpoint out of service, or put it back.
func (t *Tracker) Suspend(now time.Duration, endpointID string, suspended bool) {
	endpoint := t.endpoints[endpointID]
	if endpoint == nil {
		return
	}
	endpoint.suspended = suspended
	if suspended {
		t.startSwitchover(endpoint, EvidenceSuspended, now)
	}
}

// startSwitchover queues the writes of a group whose primary gives up its role.
func (t *Tracker) startSwitchover(endpoint *trackedEndpoint, evidence Evidence, now time.Duration) {
	if endpoint.isPrimary() && !endpoint.group.phase.queuesWrites() {
		t.transition(endpoint.group, PhaseSwitchover, evidence, endpoint.id, now)
	}
}

func (t *Tracker) addEndpoint(group *replicaGroup, id string) *trackedEndpoint {
	endpoint := &trackedEndpoint{id: id, group: group, silence: newSilenceDetector()}
	t.endpoints[id] = endpoint
	group.endpoints = append(group.endpoints, endpoint)
	slices.SortFunc(group.endpoints, func(a, b *trackedEndpoint) int { return cmp.Compare(a.id, b.id) })
	return endpoint
}

// removeEndpoint forgets an endpoint that is no longer listed. A primary is kept, draining, until another one is
// observed: its role is still evidence.
func (t *Tracker) removeEndpoint(endpoint *trackedEndpoint, now time.Duration) {
	if endpoint == nil {
		return
	}
	if !endpoint.isPrimary() {
		t.forgetEndpoint(endpoint)
		return
	}
	endpoint.draining = true
	t.startSwitchover(endpoint, EvidenceDraining, now)
}

func (t *Tracker) forgetEndpoint(endpoint *trackedEndpoint) {
	delete(t.endpoints, endpoint.id)
	group := endpoint.group
	group.endpoints = slices.DeleteFunc(group.endpoints, func(other *trackedEndpoint) bool { return other == endpoint })
	if group.primary == endpoint {
		group.primary = nil
	}
}
