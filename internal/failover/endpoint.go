package failover

import (
	"cmp"
	"slices"
	"time"
)

// trackedEndpoint is the state of one endpoint of a replica group.
type trackedEndpoint struct {
	id        string
	group     *replicaGroup
	draining  bool // draining according to the endpoint list, or no longer listed
	suspended bool // by an operator

	position   time.Duration // the highest replication position that it reported, a time on the caller's clock
	positionAt time.Duration // when it reported that position

	silence             silenceDetector
	consecutiveFailures int // consecutive refused or broken connections and failed health checks

	healthCheckInFlight bool
	healthCheckSentAt   time.Duration
}

// inService reports whether the endpoint may be the primary.
func (e *trackedEndpoint) inService() bool { return !e.draining && !e.suspended }

// isUsable reports whether the endpoint is in service, and no connection or health check has failed since its last
// response.
func (e *trackedEndpoint) isUsable() bool { return e.inService() && e.consecutiveFailures == 0 }

// isPrimary reports whether the endpoint is the last observed primary of its group.
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
	Removed  bool // the endpoint is no longer part of the deployment; see UpdateEndpoints
}

// UpdateEndpoints applies entries of the endpoint list. An endpoint without an entry is removed if the list is
// complete, and stays unchanged otherwise. A removed endpoint is forgotten immediately, unless it is the primary: then
// it is kept as draining, and forgotten with the next list after another primary was observed.
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

// SetSuspended records that operators have suspended an endpoint, or, if suspended is false, resumed it.
func (t *Tracker) SetSuspended(now time.Duration, endpointID string, suspended bool) {
	endpoint := t.endpoints[endpointID]
	if endpoint == nil {
		return
	}
	endpoint.suspended = suspended
	if suspended {
		t.startSwitchover(endpoint, EvidenceSuspended, now)
	}
}

// startSwitchover starts to queue the writes of the endpoint's group if the endpoint is its primary. evidence is why
// the primary is giving up its role.
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

// removeEndpoint forgets an endpoint that is no longer listed. A primary is kept as draining until another one is
// observed, because its responses are still evidence about the group.
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
