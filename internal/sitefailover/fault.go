package sitefailover

import "time"

// FaultKind is what the evidence says of a site that is not healthy.
type FaultKind uint8

// The kinds of fault.
const (
	// FaultUnclear means that the evidence does not tell, or that there is no fault.
	FaultUnclear FaultKind = iota
	// FaultSiteLost means that nothing suggests that the site's endpoints are alive.
	FaultSiteLost
	// FaultPartitioned means that this router cannot reach the site although it is alive: its groups go on committing.
	FaultPartitioned
	// FaultIsolated means that this router reaches no site but its own, or none at all, so that the fault is as likely
	// on its own side.
	FaultIsolated
	// FaultDelisted means that the endpoint list has dropped the site's endpoints.
	FaultDelisted
)

// String returns the words that operators read.
func (k FaultKind) String() string {
	return [...]string{"unclear", "site lost", "cut off from here", "alone on this side", "listed as gone"}[k]
}

// classifyFault says what fault the evidence speaks for, once a site is suspected or lost.
func (m *Monitor) classifyFault(site *siteStatus, evidence assessment) FaultKind {
	delisted := site.countDelisted()
	mostDelisted := delisted > 0 && 2*delisted >= site.countExpected()
	nothingElseAnswers := evidence.elsewhere.answering == 0
	onlyOwnSiteAnswers := !evidence.otherSiteAnswers && len(m.sites) > 2
	switch {
	case m.commitsProveAlive(site):
		return FaultPartitioned
	case mostDelisted:
		return FaultDelisted
	case nothingElseAnswers, onlyOwnSiteAnswers:
		return FaultIsolated
	case m.isOnlyOtherSite(site):
		return FaultUnclear // with two sites, one side cannot tell by itself on which of them the fault is
	}
	return FaultSiteLost
}

func (s *siteStatus) countDelisted() int {
	delisted := 0
	for _, endpoint := range s.endpoints {
		if endpoint.delisted {
			delisted++
		}
	}
	return delisted
}

// isOnlyOtherSite reports whether there is no site beside the given one and the router's own.
func (m *Monitor) isOnlyOtherSite(site *siteStatus) bool {
	ownSiteKnown := m.cfg.OwnSite != ""
	return ownSiteKnown && site.name != m.cfg.OwnSite && len(m.sites) <= 2
}

// commitsProveAlive reports whether a group whose primary stands in the site has committed since the primary failed
// here.
func (m *Monitor) commitsProveAlive(site *siteStatus) bool {
	for group, id := range m.primaries {
		primary := site.endpoints[id]
		if primary != nil && primary.group == group && primary.committedAfterFailure {
			return true
		}
	}
	return false
}

// recordAppliedPosition notes up to when a group has committed. Commits that lie further behind the primary's failure
// than the evidence window prove nothing, because a successor may have made them.
func (m *Monitor) recordAppliedPosition(group int64, position time.Duration) {
	primary := m.endpoints[m.primaries[group]]
	if primary == nil || primary.failingSince == 0 {
		return
	}
	earliest := primary.failingSince + m.cfg.EvidenceWindow/silenceFraction
	latest := primary.failingSince + m.cfg.EvidenceWindow
	if position > earliest && position <= latest {
		primary.committedAfterFailure = true
	}
}
