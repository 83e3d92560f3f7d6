package sitefailover

import (
	"maps"
	"slices"
	"time"
)

// delistedRetention is how long an endpoint that is no longer listed still counts as part of its site's loss.
const delistedRetention = 10 * time.Minute

// recordListing applies one entry of an endpoint list.
func (m *Monitor) recordListing(entry EndpointListed) {
	endpoint := m.endpoints[entry.Endpoint]
	if endpoint == nil {
		if entry.State == EndpointRemoved || len(m.endpoints) >= m.cfg.MaxEndpoints {
			return
		}
		endpoint = &endpointEvidence{id: entry.Endpoint}
		m.endpoints[entry.Endpoint] = endpoint
	}
	firstListing := endpoint.site == ""
	endpoint.group = entry.Group
	site := m.assignSite(endpoint, entry.Site)
	if firstListing && site.state != SiteHealthy {
		site.unmatchedNewEndpoints++
	}
	endpoint.recordListState(entry.State)
	m.forgetReplaced(site)
}

// assignSite assigns an endpoint to a site and returns the site.
func (m *Monitor) assignSite(endpoint *endpointEvidence, name string) *siteStatus {
	if endpoint.site == name && m.sites[name] != nil {
		return m.sites[name]
	}
	m.detach(endpoint)
	endpoint.site = name
	site := m.sites[name]
	if site == nil {
		site = &siteStatus{name: name, endpoints: map[string]*endpointEvidence{}}
		m.sites[name] = site
	}
	site.endpoints[endpoint.id] = endpoint
	return site
}

// recordListState applies the state of the endpoint in a list.
func (e *endpointEvidence) recordListState(state EndpointState) {
	e.unlistedSince = 0
	switch state {
	case EndpointReady:
		e.draining = false
		e.delisted = false
	case EndpointDraining:
		e.draining = true
	case EndpointRemoved:
		e.delisted = !e.draining
	}
}

// recordUnlisted records that the endpoint is missing from a complete list.
func (e *endpointEvidence) recordUnlisted(now time.Duration) {
	e.delisted = !e.draining
	if e.unlistedSince == 0 {
		e.unlistedSince = now
	}
}

// forgetReplaced forgets one delisted endpoint for each new one. Otherwise a site that recovers with new endpoint IDs
// would count as half lost, or lost again, because of endpoints that will never come back.
func (m *Monitor) forgetReplaced(site *siteStatus) {
	for _, id := range slices.Sorted(maps.Keys(site.endpoints)) {
		if site.unmatchedNewEndpoints > 0 && site.endpoints[id].delisted {
			site.unmatchedNewEndpoints--
			m.forget(site.endpoints[id])
		}
	}
}

// retainListed forgets the endpoints that are missing from a complete list. Endpoints that are down still count while
// their site is not healthy, because they are part of its loss.
func (m *Monitor) retainListed(list EndpointListComplete) {
	listed := map[string]bool{}
	for _, id := range list.Endpoints {
		listed[id] = true
	}
	for id, endpoint := range m.endpoints {
		if listed[id] {
			continue
		}
		site := m.sites[endpoint.site]
		siteHasFault := site != nil && site.state != SiteHealthy
		if siteHasFault && m.isDown(endpoint) {
			endpoint.recordUnlisted(m.now)
			m.forgetReplaced(site)
			continue
		}
		m.forget(endpoint)
	}
}

// forgetExpired forgets the endpoints that have been unlisted for longer than delistedRetention.
func (m *Monitor) forgetExpired() {
	for _, endpoint := range m.endpoints {
		if endpoint.unlistedSince > 0 && m.now-endpoint.unlistedSince > delistedRetention {
			m.forget(endpoint)
		}
	}
}

func (m *Monitor) forget(endpoint *endpointEvidence) {
	m.detach(endpoint)
	delete(m.endpoints, endpoint.id)
}

// detach removes an endpoint from its site, and removes the site if that was its last endpoint.
func (m *Monitor) detach(endpoint *endpointEvidence) {
	site := m.sites[endpoint.site]
	if site == nil {
		return
	}
	delete(site.endpoints, endpoint.id)
	if len(site.endpoints) == 0 {
		delete(m.sites, endpoint.site)
	}
}
