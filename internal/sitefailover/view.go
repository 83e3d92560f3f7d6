package sitefailover

import (
	"cmp"
	"slices"
	"time"
)

// SiteView is the state of a site as operators see it.
type SiteView struct {
	Site      string
	State     SiteState
	Fault     FaultKind
	Since     time.Duration // Since is when the site entered its state, on the caller's clock.
	Evidence  string        // Evidence is the text for the last change of the state.
	Endpoints int
	Down      int
	Flaps     int
}

// Views returns the state of all sites, sorted by name.
func (m *Monitor) Views() []SiteView {
	var views []SiteView
	for _, site := range m.sites {
		views = append(views, SiteView{
			Site:      site.name,
			State:     site.state,
			Fault:     site.fault,
			Since:     site.stateSince,
			Evidence:  site.evidence,
			Endpoints: len(site.endpoints),
			Down:      m.countEvidence(site).down,
			Flaps:     site.flaps,
		})
	}
	slices.SortFunc(views, func(a, b SiteView) int { return cmp.Compare(a.Site, b.Site) })
	return views
}

// AnyLost reports whether any site is lost. Suspected sites don't count, because the suspicion may be wrong. Recovering
// sites don't count, because slow start already limits the load of each of their endpoints.
func (m *Monitor) AnyLost() bool {
	for _, site := range m.sites {
		if site.state == SiteLost {
			return true
		}
	}
	return false
}

// IsLost reports whether a site is lost, according to the evidence or to an operator's declaration.
func (m *Monitor) IsLost(name string) bool {
	site := m.sites[name]
	return site != nil && site.state == SiteLost
}

// EndpointsOfFailedSites returns the sorted IDs of the endpoints of lost and recovering sites. It omits endpoints that
// are draining or not listed.
func (m *Monitor) EndpointsOfFailedSites() []string {
	var ids []string
	for _, site := range m.sites {
		if site.state != SiteLost && site.state != SiteRecovering {
			continue
		}
		for id, endpoint := range site.endpoints {
			if !endpoint.draining && endpoint.unlistedSince == 0 {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// Flaps returns the flap count of a site: how often it has failed again while it recovered, minus one for each time it
// became healthy since.
func (m *Monitor) Flaps(name string) int {
	if site := m.sites[name]; site != nil {
		return site.flaps
	}
	return 0
}

// SiteOf returns the site of an endpoint, or "" if the endpoint is not known.
func (m *Monitor) SiteOf(id string) string {
	if endpoint := m.endpoints[id]; endpoint != nil {
		return endpoint.site
	}
	return ""
}

// IsDown reports whether an endpoint counts as down.
func (m *Monitor) IsDown(id string) bool {
	endpoint := m.endpoints[id]
	return endpoint != nil && m.isDown(endpoint)
}
