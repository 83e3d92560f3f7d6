package sitefailover

// What a Model says of sites and machines to those who ask.

import (
	"cmp"
	"slices"
	"time"
)

// View is a site as those on call see it.
type SiteView struct {
	Site      string
	State     SiteState
	Kind      FaultKind
	Since     time.Duration // of its state, on the caller's clock
	Evidence  string        // of its last change
	Endpoints int
	Down      int
	Flaps     int
}

// Views are all sites, in the order of their names.
func (m *Monitor) Views() (out []SiteView) {
	for _, s := range m.sites {
		f := evidenceCounts{downGroups: map[int64]bool{}}
		m.countEvidence(s, &f)
		out = append(out, SiteView{s.name, s.state, s.fault, s.stateSince, s.evidence, len(s.endpoints), f.down, s.flaps})
	}
	slices.SortFunc(out, func(a, b SiteView) int { return cmp.Compare(a.Site, b.Site) })
	return out
}

// Troubled says that some site is lost. A suspicion alone is not enough: it may be wrong. One that returns is bounded machine by machine.
func (m *Monitor) AnyLost() bool {
	for _, s := range m.sites {
		if s.state == SiteLost {
			return true
		}
	}
	return false
}

// Lost says that a site is taken for lost, by evidence or an operators' word.
func (m *Monitor) IsLost(name string) bool {
	s := m.sites[name]
	return s != nil && s.state == SiteLost
}

// Flaps is how often a site has gone again while it came back.
func (m *Monitor) Flaps(name string) int {
	if s := m.sites[name]; s != nil {
		return s.flaps
	}
	return 0
}

// Site is where a machine stands, "" = not known.
func (m *Monitor) SiteOf(id string) string {
	if x := m.endpoints[id]; x != nil {
		return x.site
	}
	return ""
}

// Down says whether a machine is taken for down.
func (m *Monitor) IsDown(id string) bool {
	x := m.endpoints[id]
	return x != nil && x.isDown(m.now, m.cfg.EvidenceWindow)
}
