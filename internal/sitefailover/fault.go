package sitefailover

import "time"

// FaultKind classifies the fault of a site that is not healthy.
type FaultKind uint8

// The kinds of fault.
const (
	// FaultUnclear means that the evidence is inconclusive, or that there is no fault.
	FaultUnclear FaultKind = iota
	// FaultSiteLost means that there is no sign that the site's endpoints are alive.
	FaultSiteLost
	// FaultPartitioned means that this router cannot reach the site although it is alive: its primaries still commit.
	FaultPartitioned
	// FaultIsolated means that this router reaches no site other than its own, or none at all, so the fault may just as
	// well be on the router's side.
	FaultIsolated
	// FaultDelisted means that at least half of the site's endpoints were removed from the endpoint list.
	FaultDelisted
)

// String returns the text for operators.
func (k FaultKind) String() string {
	return [...]string{"unclear", "site lost", "cut off from here", "alone on this side", "listed as gone"}[k]
}

// classifyFault returns the most likely fault of a suspected or lost site.
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
		return FaultUnclear // with two sites, a router can't know which side the fault is on
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

// isOnlyOtherSite reports whether there is no other site than the given one and the router's own.
func (m *Monitor) isOnlyOtherSite(site *siteStatus) bool {
	ownSiteKnown := m.cfg.OwnSite != ""
	return ownSiteKnown && site.name != m.cfg.OwnSite && len(m.sites) <= 2
}

// commitsProveAlive reports whether a group whose primary is in the site has committed after the primary failed for
// this router.
func (m *Monitor) commitsProveAlive(site *siteStatus) bool {
	for group, id := range m.primaries {
		primary := site.endpoints[id]
		if primary != nil && primary.group == group && primary.committedAfterFailure {
			return true
		}
	}
	return false
}

// recordAppliedPosition records the position up to which a replica has applied the commits of a group. Commits prove
// that the primary is alive only if they are later than its failure by more than 1/silenceFraction of the evidence
// window. Commits later than the failure plus the whole window prove nothing, because they may come from a successor.
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
