package sitefailover

import (
	"fmt"
	"time"
)

// SiteState is the state of a site. The package comment lists the transitions.
type SiteState uint8

// The states of a site.
const (
	SiteHealthy    SiteState = iota // SiteHealthy: no evidence of a fault of the site.
	SiteSuspected                   // SiteSuspected: the site fails as a whole, but not yet for long enough to be lost.
	SiteLost                        // SiteLost: the site has failed for long enough, or was declared lost.
	SiteRecovering                  // SiteRecovering: the site answers again, but may still flap.
	SiteSettled                     // SiteSettled: the site has answered for some time; it becomes healthy next.
)

// String returns the word for operators.
func (s SiteState) String() string {
	return [...]string{"well", "suspected", "lost", "returning", "settled"}[s]
}

// Shares of the known endpoints that determine the state of a site.
const (
	// suspectDownShare is the smallest share of down endpoints at which a site is suspected.
	suspectDownShare = 0.6
	// maxDownShareElsewhere is the largest share of down endpoints in the other sites at which a fault counts as
	// specific to the site.
	maxDownShareElsewhere = 0.3
	// settleDownShare is the largest share of down endpoints at which a recovering site settles.
	settleDownShare = 0.2
)

// maxFlapDoublings bounds how often the wait times of a flapping site are doubled.
const maxFlapDoublings = 5

// siteStatus is the status of one site.
type siteStatus struct {
	name              string
	endpoints         map[string]*endpointEvidence
	state             SiteState
	stateSince        time.Duration
	fault             FaultKind
	evidence          string        // text for operators on the last change of state
	mostlyUpSince     time.Duration // since when at most settleDownShare of the endpoints are down, 0 = more
	flaps             int           // number of failures during a recovery, minus one for each return to healthy
	declaredLostUntil time.Duration // end of an operator's declaration

	// unmatchedNewEndpoints is the number of endpoints that were first listed while the site was not healthy, and that
	// have not replaced a delisted endpoint yet.
	unmatchedNewEndpoints int
}

// assessment is the evidence about one site at one time.
type assessment struct {
	site             evidenceCounts
	elsewhere        evidenceCounts // of the other sites, except those that fail as a whole
	otherSiteAnswers bool           // a site other than the assessed one and the router's own answers
	failing          bool           // the site fails as a whole
	declaredLost     bool           // an operator's declaration is in effect
	enoughAnswering  bool           // enough of the site's endpoints answer for it not to be suspected
}

// assess evaluates the evidence about a site.
func (m *Monitor) assess(site *siteStatus, counts map[string]evidenceCounts) assessment {
	result := assessment{site: counts[site.name], declaredLost: site.declaredLostUntil > m.now}
	for name, other := range counts {
		if name == site.name || other.downShare() >= suspectDownShare {
			continue // a failing site doesn't show whether all sites share the fault
		}
		result.elsewhere.down += other.down
		result.elsewhere.answering += other.answering
		if name != m.cfg.OwnSite && other.answering > 0 {
			result.otherSiteAnswers = true
		}
	}
	result.enoughAnswering = result.site.downShare() < suspectDownShare
	result.failing = !result.enoughAnswering && site.hasOwnFault(result.site, result.elsewhere)
	return result
}

// hasOwnFault reports whether the fault of a site, most of whose known endpoints are down, is specific to the site: it
// doesn't affect only a single replica group, the other sites don't share it, and the state of at least half of the
// site's endpoints is known.
func (s *siteStatus) hasOwnFault(counts, elsewhere evidenceCounts) bool {
	if 2*counts.known() < s.countExpected() {
		return false
	}
	faultOfOneGroup := s.countGroups() > 1 && len(counts.downGroups) < 2
	faultOfAllSites := elsewhere.answering > 0 && elsewhere.downShare() > maxDownShareElsewhere
	return !faultOfOneGroup && !faultOfAllSites
}

// countExpected returns the number of endpoints that should be in service: those that are not draining.
func (s *siteStatus) countExpected() int {
	expected := 0
	for _, endpoint := range s.endpoints {
		if !endpoint.draining {
			expected++
		}
	}
	return expected
}

// countGroups returns the number of replica groups with an endpoint in the site that should be in service.
func (s *siteStatus) countGroups() int {
	groups := map[int64]bool{}
	for _, endpoint := range s.endpoints {
		if !endpoint.draining {
			groups[endpoint.group] = true
		}
	}
	return len(groups)
}

// updateMostlyUp updates mostlyUpSince for the current share of down endpoints.
func (s *siteStatus) updateMostlyUp(downShare float64, now time.Duration) {
	switch {
	case downShare > settleDownShare:
		s.mostlyUpSince = 0
	case s.mostlyUpSince == 0:
		s.mostlyUpSince = now
	}
}

// nextState returns the state that follows from an assessment: the current state, or one that is a single transition
// away.
func (s *siteStatus) nextState(evidence assessment, cfg MonitorConfig, now time.Duration) SiteState {
	if evidence.declaredLost {
		return SiteLost
	}
	inState := now - s.stateSince
	switch s.state {
	case SiteHealthy:
		if evidence.failing {
			return SiteSuspected
		}
	case SiteSettled:
		if evidence.failing {
			return SiteSuspected
		}
		if inState >= s.settleTime(cfg) {
			return SiteHealthy
		}
	case SiteSuspected:
		return s.nextStateOfSuspected(evidence, cfg, inState)
	case SiteLost:
		// A flapping site stays lost for longer each time, so that load doesn't move back and forth.
		if evidence.showsRecovery() && inState >= s.minLostTime(cfg) {
			return SiteRecovering
		}
	case SiteRecovering:
		if evidence.failing {
			return SiteLost
		}
		if s.mostlyUpSince > 0 && now-s.mostlyUpSince >= s.settleTime(cfg) {
			return SiteSettled
		}
	}
	return s.state
}

func (s *siteStatus) nextStateOfSuspected(evidence assessment, cfg MonitorConfig, inState time.Duration) SiteState {
	if evidence.failing {
		if inState >= cfg.SuspicionTime {
			return SiteLost
		}
		return SiteSuspected
	}
	// Without this limit a suspicion that the evidence neither confirms nor refutes would last indefinitely.
	undecidedForLong := inState >= 2*cfg.EvidenceWindow
	if evidence.enoughAnswering || undecidedForLong {
		return SiteHealthy
	}
	return SiteSuspected
}

// showsRecovery reports whether a lost site shows signs of recovery.
func (a assessment) showsRecovery() bool {
	anyAnswer := a.site.answering > 0 || a.site.down == 0
	return anyAnswer && a.enoughAnswering
}

// settleTime returns how long the site has to be mostly up to settle, and how long it then stays settled before it is
// healthy.
func (s *siteStatus) settleTime(cfg MonitorConfig) time.Duration {
	return cfg.SettleTime << min(s.flaps, maxFlapDoublings)
}

// minLostTime returns the minimum time that the site stays lost. It is zero unless the site has flapped.
func (s *siteStatus) minLostTime(cfg MonitorConfig) time.Duration {
	return cfg.SuspicionTime<<min(s.flaps, maxFlapDoublings) - cfg.SuspicionTime
}

// enter records the transition to another state.
func (s *siteStatus) enter(next SiteState, now time.Duration) {
	switch {
	case s.state == SiteRecovering && next == SiteLost:
		s.flaps++
	case s.state == SiteSettled && next == SiteHealthy:
		s.flaps = max(0, s.flaps-1)
	}
	if next == SiteHealthy {
		s.unmatchedNewEndpoints = 0
	}
	s.state = next
	s.stateSince = now
}

// advance updates the state of a site by at most one transition and returns the change.
func (m *Monitor) advance(site *siteStatus, evidence assessment) (change StateChanged, changed bool) {
	site.updateMostlyUp(evidence.site.downShare(), m.now)
	next := site.nextState(evidence, m.cfg, m.now)
	switch next {
	case SiteSuspected, SiteLost:
		site.fault = m.classifyFault(site, evidence) // even without a transition, because the fault may become clear later
	case SiteHealthy:
		site.fault = FaultUnclear
	}
	if next == site.state {
		return StateChanged{}, false
	}
	site.evidence = m.describe(site, evidence)
	change = StateChanged{
		Site:     site.name,
		OldState: site.state,
		NewState: next,
		Fault:    site.fault,
		Evidence: site.evidence,
	}
	site.enter(next, m.now)
	return change, true
}

// describe returns a description of the evidence about a site for operators.
func (m *Monitor) describe(site *siteStatus, evidence assessment) string {
	text := fmt.Sprintf("%d of %d known machines down (%s), %d of %d elsewhere",
		evidence.site.down, evidence.site.known(), m.failureSummary(site),
		evidence.elsewhere.down, evidence.elsewhere.known())
	if evidence.declaredLost {
		text = "declared by an operator; " + text
	}
	return text
}
