package balance

// discoveryState is what discovery and the operators say of an endpoint.
type discoveryState struct {
	state         EndpointState
	everDraining  bool // it was listed as draining once: it is never sent anything again but as ready
	listedPrimary bool // the endpoint list calls it primary
	removedAt     Time // when it left the list
	suspended     bool // operators have taken it out of service, whatever the list says
	resumed       bool // operators have let it back in, and it was not used since
}

// allowsSends says whether an endpoint in this state may get requests. One that drains must get nothing new, from the
// moment that this is known. One that has only left the list may still serve where removal is soft.
func (d *discoveryState) allowsSends(softRemoval bool) bool {
	if d.state == EndpointReady {
		return true
	}
	draining := d.everDraining || d.state == EndpointDraining
	return softRemoval && !draining
}

// withdraw notes that the list no longer calls the endpoint ready.
func (d *discoveryState) withdraw(state EndpointState, now Time) {
	if d.state != EndpointRemoved {
		d.removedAt = now
	}
	d.state = state
	d.everDraining = d.everDraining || state == EndpointDraining
}

// handleDiscovery applies an endpoint list, or notes that none came.
func (b *Balancer) handleDiscovery(list EndpointList) {
	switch list.Kind {
	case ListFailed, ListSilent:
		b.poll.failed(b.now, list.Kind == ListSilent)
		return
	case ListCached:
		b.poll.startedFromCache(b.now)
	default:
		b.poll.succeeded(b.now)
	}
	listed := map[string]bool{}
	for _, entry := range list.Entries {
		listed[entry.Endpoint] = true
		b.applyEntry(entry)
	}
	if list.Kind != ListDelta {
		b.withdrawUnlisted(listed)
	}
}

// withdrawUnlisted removes the endpoints that a complete list doesn't name.
func (b *Balancer) withdrawUnlisted(listed map[string]bool) {
	for _, group := range b.sortedGroups {
		for _, endpoint := range group.endpoints {
			if !listed[endpoint.id] && endpoint.discovery.state != EndpointRemoved {
				b.withdraw(endpoint, EndpointRemoved)
			}
		}
	}
}

// applyEntry takes in what the list says of one endpoint.
func (b *Balancer) applyEntry(entry EndpointEntry) {
	endpoint := b.endpoints[entry.Endpoint]
	if endpoint == nil {
		if entry.State == EndpointRemoved {
			return
		}
		endpoint = b.addEndpoint(entry)
	}
	endpoint.zone = entry.Zone
	if entry.State != EndpointReady {
		b.withdraw(endpoint, entry.State)
		return
	}
	group := endpoint.group
	if entry.StartedAt > endpoint.slowStart.startedAt {
		endpoint.restart(entry.StartedAt, b.config.initialLimit())
		if group.primary.endpoint == endpoint && entry.StartedAt > group.primary.observedAt {
			b.markPrimarySuspect(group, "it restarted")
		}
	}
	endpoint.discovery.state = EndpointReady
	// The list may lag by seconds: it counts only where no answer or report has said anything newer.
	newlyListed := entry.Primary && !endpoint.discovery.listedPrimary
	unobserved := !group.primary.known() && endpoint.role.replicaAt == 0
	if newlyListed && unobserved {
		b.promote(endpoint)
	}
	endpoint.discovery.listedPrimary = entry.Primary
}

// addEndpoint takes in an endpoint that is new to the list.
func (b *Balancer) addEndpoint(entry EndpointEntry) *endpoint {
	group := b.groupFor(entry.Group)
	endpoint := newEndpoint(entry, group, b.config.initialLimit())
	endpoint.discovery.suspended = b.suspended[entry.Endpoint]
	b.endpoints[entry.Endpoint] = endpoint
	group.add(endpoint)
	return endpoint
}

// withdraw takes an endpoint out of use that drains, is gone or is suspended.
func (b *Balancer) withdraw(endpoint *endpoint, state EndpointState) {
	endpoint.discovery.withdraw(state, b.now)
	if endpoint.isPrimary() {
		b.markPrimarySuspect(endpoint.group, "it leaves")
	}
}

// handleSuspend takes an endpoint out of service until operators resume it. The suspension stands beside the state
// that discovery tells, since the list goes on calling the endpoint ready, or does so again once it is back.
func (b *Balancer) handleSuspend(event Suspend) {
	b.suspended[event.Endpoint] = event.Suspended
	endpoint := b.endpoints[event.Endpoint]
	if endpoint == nil || endpoint.discovery.suspended == event.Suspended {
		return
	}
	endpoint.discovery.suspended = event.Suspended
	if event.Suspended {
		b.withdraw(endpoint, endpoint.discovery.state)
		return
	}
	endpoint.resume(b.now, b.config.initialLimit())
	b.healthChecks.ensureInitial()
	endpoint.group.hasSuspects = true
}
