package sitefailover

import (
	"cmp"
	"slices"
	"time"
)

// SiteView is a site as operators see it.
type SiteView struct {
	Site      string
	State     SiteState
	Fault     FaultKind
	Since     time.Duration // Since is when the site entered its state, on the caller's clock.
	Evidence  string        // Evidence is that of the last change of state.
	Endpoints int
	Down      int
	Flaps     int
}

// Views returns all sites in the order of their names.
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

// AnyLost reports whether some site is lost. A suspected site does not count because the suspicion may be wrong, nor a
// recovering one because slow start bounds the use of each of its endpoints.
func (m *Monitor) AnyLost() bool {
	for _, site := range m.sites {
		if site.state == SiteLost {
			return true
		}
	}
	return false
}

// IsLost reports whether a site is taken for lost, by the evidence or by an operator's declaration.
func (m *Monitor) IsLost(name string) bool {
	site := m.sites[name]
	return site != nil && site.state == SiteLost
}

// EndpointsOfFailedSites returns the ids of the endpoints of sites that are lost or recovering, in order. Endpoints
// that drain or are not listed are left out.
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

// Flaps returns how often a site has failed again while it recovered.
func (m *Monitor) Flaps(name string) int {
	if site := m.sites[name]; site != nil {
		return site.flaps
	}
	return 0
}

// SiteOf returns the site of an endpoint, "" if the endpoint is not known.
func (m *Monitor) SiteOf(id string) string {
	if endpoint := m.endpoints[id]; endpoint != nil {
		return endpoint.site
	}
	return ""
}

// IsDown reports whether an endpoint is taken for down.
func (m *Monitor) IsDown(id string) bool {
	endpoint := m.endpoints[id]
	return endpoint != nil && m.isDown(endpoint)
}
