package sitefailover

import (
	"fmt"
	"time"
)

// SiteState is what a site is judged to be; the package comment shows the transitions.
type SiteState uint8

// The states of a site.
const (
	SiteHealthy    SiteState = iota // SiteHealthy has no sign of a fault.
	SiteSuspected                   // SiteSuspected fails as a whole, but for a short time only.
	SiteLost                        // SiteLost has failed for long enough, or was declared lost.
	SiteRecovering                  // SiteRecovering answers again and may still flap.
	SiteSettled                     // SiteSettled has answered for a while; it becomes healthy next.
)

// String returns the word that operators read.
func (s SiteState) String() string {
	return [...]string{"well", "suspected", "lost", "returning", "settled"}[s]
}

// The shares of a site's known endpoints that decide its state.
const (
	// suspectDownShare is the share of endpoints that are down from which on a site is suspected.
	suspectDownShare = 0.6
	// maxDownShareElsewhere is how much may be down in the other sites for a fault to be the site's own.
	maxDownShareElsewhere = 0.3
	// settleDownShare is how much may be down in a site that settles.
	settleDownShare = 0.2
)

// maxFlapDoublings bounds how often the waiting times of a site that flaps are doubled.
const maxFlapDoublings = 5

// siteStatus is what is known of one site.
type siteStatus struct {
	name              string
	endpoints         map[string]*endpointEvidence
	state             SiteState
	stateSince        time.Duration
	fault             FaultKind
	evidence          string        // of the last change of state, for operators
	mostlyUpSince     time.Duration // since when at most settleDownShare is down, 0 = more than that is
	flaps             int           // how often the site has failed while it recovered, less those forgiven
	declaredLostUntil time.Duration

	// unmatchedNewEndpoints counts the endpoints that were listed for the first time while the site was not healthy and
	// that have not yet taken the place of a delisted one.
	unmatchedNewEndpoints int
}

// assessment is the evidence on one site at one time.
type assessment struct {
	site              evidenceCounts
	elsewhere         evidenceCounts // of the other sites, without those that fail as a whole
	otherSiteAnswers  bool           // a site answers that is neither the assessed one nor the router's own
	failing           bool           // the evidence speaks against the site as a whole
	declaredLost      bool           // an operator's declaration holds
	evidenceForHealth bool           // enough of the site answers for it not to be suspected
}

// assess weighs the evidence on a site.
func (m *Monitor) assess(site *siteStatus, counts map[string]evidenceCounts) assessment {
	result := assessment{site: counts[site.name], declaredLost: site.declaredLostUntil > m.now}
	for name, other := range counts {
		if name == site.name || other.downShare() >= suspectDownShare {
			continue // a site that fails itself does not tell whether the fault is one that all sites share
		}
		result.elsewhere.down += other.down
		result.elsewhere.answering += other.answering
		if name != m.cfg.OwnSite && other.answering > 0 {
			result.otherSiteAnswers = true
		}
	}
	result.evidenceForHealth = result.site.downShare() < suspectDownShare
	result.failing = !result.evidenceForHealth && site.failsAlone(result.site, result.elsewhere)
	return result
}

// failsAlone reports whether a site of whose endpoints most are down has a fault of its own: one that is not the fault
// of a single replica group, is not shared with the other sites, and shows in at least half of the site.
func (s *siteStatus) failsAlone(counts, elsewhere evidenceCounts) bool {
	if 2*counts.known() < s.countExpected() {
		return false
	}
	faultOfOneGroup := s.countGroups() > 1 && len(counts.downGroups) < 2
	faultOfAllSites := elsewhere.answering > 0 && elsewhere.downShare() > maxDownShareElsewhere
	return !faultOfOneGroup && !faultOfAllSites
}

// countExpected returns the number of endpoints that should be in service.
func (s *siteStatus) countExpected() int {
	expected := 0
	for _, endpoint := range s.endpoints {
		if !endpoint.draining {
			expected++
		}
	}
	return expected
}

// countGroups returns the number of replica groups that have an endpoint in the site that should be in service.
func (s *siteStatus) countGroups() int {
	groups := map[int64]bool{}
	for _, endpoint := range s.endpoints {
		if !endpoint.draining {
			groups[endpoint.group] = true
		}
	}
	return len(groups)
}

// updateMostlyUp notes since when only few of the site's endpoints have been down.
func (s *siteStatus) updateMostlyUp(downShare float64, now time.Duration) {
	switch {
	case downShare > settleDownShare:
		s.mostlyUpSince = 0
	case s.mostlyUpSince == 0:
		s.mostlyUpSince = now
	}
}

// nextState returns the state that follows from an assessment: the present one, or one that is a single transition
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
		// A site that flaps has to stay lost for longer each time, so that work does not move to and fro.
		if evidence.answersAgain() && inState >= s.lostTime(cfg) {
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
	// Without this limit a suspicion would stay for ever where the evidence neither confirms nor refutes it.
	undecidedForLong := inState >= 2*cfg.EvidenceWindow
	if evidence.evidenceForHealth || undecidedForLong {
		return SiteHealthy
	}
	return SiteSuspected
}

// answersAgain reports whether a lost site shows signs of recovery.
func (a assessment) answersAgain() bool {
	anyAnswer := a.site.answering > 0 || a.site.down == 0
	return anyAnswer && a.evidenceForHealth
}

// settleTime is how long the site has to be mostly up to become settled, and to stay settled to become healthy.
func (s *siteStatus) settleTime(cfg MonitorConfig) time.Duration {
	return cfg.SettleTime << min(s.flaps, maxFlapDoublings)
}

// lostTime is how long the site stays lost at least. It is zero unless the site has flapped.
func (s *siteStatus) lostTime(cfg MonitorConfig) time.Duration {
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

// advance moves a site by at most one transition and reports it.
func (m *Monitor) advance(site *siteStatus, evidence assessment) (change StateChanged, changed bool) {
	site.updateMostlyUp(evidence.site.downShare(), m.now)
	next := site.nextState(evidence, m.cfg, m.now)
	switch next {
	case SiteSuspected, SiteLost:
		site.fault = m.classifyFault(site, evidence) // also without a transition: it may become clear later
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

// describe puts the evidence on a site into words for operators.
func (m *Monitor) describe(site *siteStatus, evidence assessment) string {
	text := fmt.Sprintf("%d of %d known machines down (%s), %d of %d elsewhere",
		evidence.site.down, evidence.site.known(), m.failureSummary(site),
		evidence.elsewhere.down, evidence.elsewhere.known())
	if evidence.declaredLost {
		text = "declared by an operator; " + text
	}
	return text
}
