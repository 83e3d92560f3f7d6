package balance

// discoveryState is the state of an endpoint according to discovery and the operators.
type discoveryState struct {
	state         EndpointState
	everDraining  bool // it was once listed as draining: it gets requests again only when listed as ready
	listedPrimary bool // the endpoint list names it as the primary
	removedAt     Time // when it left the list
	suspended     bool // operators have taken it out of service, whatever the list says
	resumed       bool // operators have resumed it, and it has not been used since
}

// allowsSends reports whether an endpoint in this state may get requests. A draining endpoint gets no new request from
// the moment that its state is known. An endpoint that was only removed from the list may still serve requests if
// removal is soft.
func (d *discoveryState) allowsSends(softRemoval bool) bool {
	if d.state == EndpointReady {
		return true
	}
	draining := d.everDraining || d.state == EndpointDraining
	return softRemoval && !draining
}

// withdraw records that the endpoint is out of service from now on, with its state in the list.
func (d *discoveryState) withdraw(state EndpointState, now Time) {
	if d.state != EndpointRemoved {
		d.removedAt = now
	}
	d.state = state
	d.everDraining = d.everDraining || state == EndpointDraining
}

// handleDiscovery applies an endpoint list, or records that a poll failed.
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

// withdrawUnlisted marks the endpoints that a complete list doesn't contain as removed.
func (b *Balancer) withdrawUnlisted(listed map[string]bool) {
	for _, group := range b.sortedGroups {
		for _, endpoint := range group.endpoints {
			if !listed[endpoint.id] && endpoint.discovery.state != EndpointRemoved {
				b.withdraw(endpoint, EndpointRemoved)
			}
		}
	}
}

// applyEntry applies the entry of one endpoint.
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
	// The list may lag by seconds, so its primary counts only if no response or health check has shown the role yet.
	newlyListed := entry.Primary && !endpoint.discovery.listedPrimary
	unobserved := !group.primary.known() && endpoint.role.replicaAt == 0
	if newlyListed && unobserved {
		b.promote(endpoint)
	}
	endpoint.discovery.listedPrimary = entry.Primary
}

// addEndpoint adds an endpoint that is new in the list.
func (b *Balancer) addEndpoint(entry EndpointEntry) *endpoint {
	group := b.groupFor(entry.Group)
	endpoint := newEndpoint(entry, group, b.config.initialLimit())
	endpoint.discovery.suspended = b.suspended[entry.Endpoint]
	b.endpoints[entry.Endpoint] = endpoint
	group.add(endpoint)
	return endpoint
}

// withdraw takes an endpoint out of service that is draining, removed or suspended.
func (b *Balancer) withdraw(endpoint *endpoint, state EndpointState) {
	endpoint.discovery.withdraw(state, b.now)
	if endpoint.isPrimary() {
		b.markPrimarySuspect(endpoint.group, "it leaves")
	}
}

// handleSuspend suspends or resumes an endpoint on behalf of operators. The suspension is kept separately from the
// discovery state, since the list may go on showing the endpoint as ready, or show it so again after a restart.
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
	b.healthChecks.refillToInitial()
	endpoint.group.hasSuspects = true
}
