// Package sitefailover tells from a router's own evidence what has become of whole sites, and plans what the loss of each would mean. It does no
// I/O, holds no clock and draws nothing: time and events come from the caller. It decides no request's way.
package sitefailover

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// State is what a site is taken for.
type SiteState uint8

// A site is well; suspected once most of what is known of it fails; lost once that lasts; returning once it answers again; settled when it
// has answered for a while. Settled becomes well.
const (
	SiteHealthy SiteState = iota
	SiteSuspected
	SiteLost
	SiteRecovering
	SiteSettled
)

func (s SiteState) String() string {
	return [...]string{"well", "suspected", "lost", "returning", "settled"}[s]
}

// Kind is what the evidence says of a site that is not well.
type FaultKind uint8

const (
	FaultUnclear     FaultKind = iota
	FaultSiteLost              // its machines are lost: nothing speaks for their being alive
	FaultPartitioned           // this router can't reach it, and it lives: its banks go on committing
	FaultIsolated              // this router reaches no other site than its own, or none at all: the fault is on its side as likely
	FaultDelisted              // the list says that its machines have gone
)

func (k FaultKind) String() string {
	return [...]string{"unclear", "site lost", "cut off from here", "alone on this side", "listed as gone"}[k]
}

// Config bounds a Model. Zero values are not allowed.
type Config struct {
	OwnSite        string        // the router's own site, "" = not known
	EvidenceWindow time.Duration // evidence older than this says nothing of a machine that is not down
	SuspicionTime  time.Duration // a suspicion has to last so long
	SettleTime     time.Duration // a site that has come back is watched for so long: as long as cold machines take to get warm
	MaxEndpoints   int           // machines that are followed at most
}

// Evidence of a site is looked at over watchWindow: a router with little traffic hears of a machine now and then. A suspicion lasts
// for watchHold before the site counts as lost: a moment's silence of a network is shorter.
const (
	defaultEvidenceWindow = 2 * time.Second
	defaultSuspicionTime  = 500 * time.Millisecond
)

// Watch is how a router in a site of its own watches all of them, where machines take so long to get warm; most bounds their number.
func DefaultConfig(own string, cold time.Duration, most int) Config {
	return Config{OwnSite: own, EvidenceWindow: defaultEvidenceWindow, SuspicionTime: defaultSuspicionTime, SettleTime: max(defaultEvidenceWindow, cold), MaxEndpoints: most}
}

// The shares of a site's known machines.
const (
	suspectDownShare      = 0.6 // from here on it is suspected,
	maxDownShareElsewhere = 0.3 // if no more than this is down elsewhere
	settleDownShare       = 0.2 // and at most this may be down for it to settle
	maxFlapDoublings      = 5   // doublings of what a site that flaps has to wait
)

// Event is something that happened.
type Event interface{ event() }

// Listed is one machine of a list.
type EndpointListed struct {
	Endpoint, Site string
	Group          int64
	State          EndpointState
}

// ListState is what a list says of a machine.
type EndpointState uint8

const (
	EndpointReady EndpointState = iota
	EndpointDraining
	EndpointRemoved
)

// Whole says that the list had these machines and no others.
type EndpointListComplete struct{ Endpoints []string }

// Heard: a machine has answered anything at all.
type EndpointAnswered struct{ Endpoint string }

// Failed: it has not.
type AttemptFailed struct {
	Endpoint string
	Failure  Failure
}

// Failure is how.
type Failure uint8

const (
	FailureRefused Failure = iota // no connection came up
	FailureReset                  // one broke
	FailureTimeout                // nothing came in time
)

// Leads: a bank's primary is believed to be a machine.
type PrimaryObserved struct {
	Group    int64
	Endpoint string
}

// Applied: a replica has said that it has applied all commits of its bank up to a moment. A primary that can't be reached lives if
// that moment lies behind its failure.
type ReplicaApplied struct {
	Endpoint string
	Position time.Duration
}

// Declare is an operator's word that a site is lost, until a moment; 0 takes it back.
type DeclareLost struct {
	Site  string
	Until time.Duration
}

func (EndpointListed) event()       {}
func (EndpointListComplete) event() {}
func (EndpointAnswered) event()     {}
func (AttemptFailed) event()        {}
func (PrimaryObserved) event()      {}
func (ReplicaApplied) event()       {}
func (DeclareLost) event()          {}

// Action is what the caller is told.
type Action interface{ action() }

// Changed: a site is taken for something else.
type StateChanged struct {
	Site     string
	From, To SiteState
	Kind     FaultKind
	Evidence string
}

// Wake asks for a Step by then.
type Wake struct{ At time.Duration }

func (StateChanged) action() {}
func (Wake) action()         {}

// machine is what is known of one.
type endpointEvidence struct {
	id, site              string
	group                 int64
	draining              bool          // it was told to leave before it failed: a deploy is no loss
	delisted              bool          // the list has dropped it without that
	unlistedSince         time.Duration // since when no list names it, 0 = one does
	answeredAt            time.Duration
	failingSince          time.Duration // the first failure since it was heard, 0 = none
	failures              int
	lastFailure           Failure
	committedAfterFailure bool // its bank went on committing just behind its first failure: nobody else could have led so soon
}

// site is one.
type siteStatus struct {
	name                  string
	endpoints             map[string]*endpointEvidence
	state                 SiteState
	fault                 FaultKind
	stateSince            time.Duration
	mostlyUpSince         time.Duration // since when few of it are down, 0 = they are not
	evidence              string
	flaps                 int
	declaredLostUntil     time.Duration
	unmatchedNewEndpoints int // machines that were listed for the first time while it was not well, and have taken nobody's place yet
}

// Model follows all sites.
type Monitor struct {
	cfg       Config
	now       time.Duration
	endpoints map[string]*endpointEvidence
	sites     map[string]*siteStatus
	primaries map[int64]string
}

// New returns a Model that knows nothing.
func New(cfg Config) *Monitor {
	return &Monitor{cfg: cfg, endpoints: map[string]*endpointEvidence{}, sites: map[string]*siteStatus{}, primaries: map[int64]string{}}
}

// Step takes what has happened by now and returns what has changed, in the order of the sites' names.
func (m *Monitor) Step(now time.Duration, events []Event) []Action {
	m.now = now
	for _, e := range events {
		switch e := e.(type) {
		case EndpointListed:
			m.recordListing(e)
		case EndpointListComplete:
			m.retainListed(e)
		case EndpointAnswered:
			if x := m.endpoints[e.Endpoint]; x != nil {
				x.answeredAt, x.failingSince, x.failures, x.delisted, x.committedAfterFailure = now, 0, 0, false, false
			}
		case AttemptFailed:
			if x := m.endpoints[e.Endpoint]; x != nil {
				if x.failures++; x.failingSince == 0 {
					x.failingSince = now
				}
				x.lastFailure = e.Failure
			}
		case PrimaryObserved:
			m.primaries[e.Group] = e.Endpoint
		case ReplicaApplied:
			if x := m.endpoints[e.Endpoint]; x != nil {
				m.recordAppliedPosition(x.group, e.Position)
			}
		case DeclareLost:
			if s := m.sites[e.Site]; s != nil {
				s.declaredLostUntil = e.Until
			}
		}
	}
	return m.evaluateSites()
}

func (m *Monitor) recordListing(e EndpointListed) {
	x := m.endpoints[e.Endpoint]
	if x == nil {
		if e.State == EndpointRemoved || len(m.endpoints) >= m.cfg.MaxEndpoints {
			return
		}
		x = &endpointEvidence{id: e.Endpoint}
		m.endpoints[e.Endpoint] = x
	}
	first := x.site == ""
	x.group = e.Group
	if x.site != e.Site || m.sites[e.Site] == nil {
		m.detach(x)
		x.site = e.Site
		s := m.sites[e.Site]
		if s == nil {
			s = &siteStatus{name: e.Site, endpoints: map[string]*endpointEvidence{}}
			m.sites[e.Site] = s
		}
		s.endpoints[x.id] = x
	}
	s := m.sites[e.Site]
	if first && s.state != SiteHealthy {
		s.unmatchedNewEndpoints++
	}
	x.unlistedSince = 0
	switch e.State {
	case EndpointReady:
		x.draining, x.delisted = false, false
	case EndpointDraining:
		x.draining = true
	case EndpointRemoved:
		x.delisted = !x.draining
	}
	m.forgetReplaced(s)
}

// replace forgets machines that have gone, one for each new one. Danger: a site that returns under new ids is held to be half lost, or lost
// again, by those that nobody will see any more.
func (m *Monitor) forgetReplaced(s *siteStatus) {
	for _, id := range slices.Sorted(maps.Keys(s.endpoints)) {
		if s.unmatchedNewEndpoints > 0 && s.endpoints[id].delisted {
			s.unmatchedNewEndpoints--
			m.forget(s.endpoints[id])
		}
	}
}

// whole forgets what is no more listed. One that failed before it went keeps counting while its site is not well: it was lost.
func (m *Monitor) retainListed(e EndpointListComplete) {
	named := map[string]bool{}
	for _, id := range e.Endpoints {
		named[id] = true
	}
	for id, x := range m.endpoints {
		if !named[id] {
			if s := m.sites[x.site]; s != nil && s.state != SiteHealthy && x.isDown(m.now, m.cfg.EvidenceWindow) {
				if x.delisted = !x.draining; x.unlistedSince == 0 {
					x.unlistedSince = m.now
				}
				m.forgetReplaced(s)
				continue
			}
			m.forget(x)
		}
	}
}

// forgetAfter is how long a machine that no list names any more goes on to speak of its site's loss.
const delistedRetention = 10 * time.Minute

func (m *Monitor) forget(x *endpointEvidence) {
	m.detach(x)
	delete(m.endpoints, x.id)
}

func (m *Monitor) detach(x *endpointEvidence) {
	if s := m.sites[x.site]; s != nil {
		if delete(s.endpoints, x.id); len(s.endpoints) == 0 {
			delete(m.sites, x.site)
		}
	}
}

// down says that a machine has failed and not been heard since: twice, or once and then nothing for a while.
func (x *endpointEvidence) isDown(now, window time.Duration) bool {
	return x.delisted || x.failingSince > 0 && (x.failures > 1 || now-x.failingSince >= window/4)
}

// figures are what is known of some machines.
type evidenceCounts struct {
	down, up   int
	downGroups map[int64]bool // of those that are down
}

func (f evidenceCounts) known() int { return f.down + f.up }

func (f evidenceCounts) downShare() float64 {
	if f.known() == 0 {
		return 0
	}
	return float64(f.down) / float64(f.known())
}

func (m *Monitor) countEvidence(s *siteStatus, f *evidenceCounts) {
	for _, x := range s.endpoints {
		switch {
		case x.draining:
		case x.isDown(m.now, m.cfg.EvidenceWindow):
			f.down++
			f.downGroups[x.group] = true
		case x.answeredAt > 0 && m.now-x.answeredAt <= m.cfg.EvidenceWindow:
			f.up++
		}
	}
}

// judge moves each site to the state that the evidence gives it.
func (m *Monitor) evaluateSites() (acts []Action) {
	for _, x := range m.endpoints {
		if x.unlistedSince > 0 && m.now-x.unlistedSince > delistedRetention {
			m.forget(x)
		}
	}
	names := slices.Sorted(maps.Keys(m.sites))
	all := map[string]evidenceCounts{}
	for _, name := range names {
		f := evidenceCounts{downGroups: map[int64]bool{}}
		m.countEvidence(m.sites[name], &f)
		all[name] = f
	}
	wake := time.Duration(0)
	for _, name := range names {
		s, f := m.sites[name], all[name]
		others := evidenceCounts{downGroups: map[int64]bool{}}
		reached := false // another site than this one and the router's own answers
		for o, g := range all {
			if o == name || g.downShare() >= suspectDownShare { // one that fails itself says nothing of what all share
				continue
			}
			others.down, others.up = others.down+g.down, others.up+g.up
			reached = reached || o != m.cfg.OwnSite && g.up > 0
		}
		if c, ok := m.advance(s, f, others, reached); ok {
			acts = append(acts, c)
		}
		if s.state != SiteHealthy {
			if next := m.now + m.cfg.SuspicionTime/4; wake == 0 || next < wake {
				wake = next
			}
		}
		for _, x := range s.endpoints { // a single failure speaks once it has lasted
			if x.failingSince > 0 && !x.isDown(m.now, m.cfg.EvidenceWindow) {
				if next := x.failingSince + m.cfg.EvidenceWindow/4; wake == 0 || next < wake {
					wake = next
				}
			}
		}
	}
	if wake > 0 {
		acts = append(acts, Wake{At: wake})
	}
	return acts
}

// failing says whether a site's figures speak against the site as a whole.
func (m *Monitor) siteIsFailing(s *siteStatus, f, others evidenceCounts) bool {
	if f.known() == 0 || f.downShare() < suspectDownShare || 2*f.known() < m.countExpected(s) {
		return false
	}
	if banks := m.countGroups(s); banks > 1 && len(f.downGroups) < 2 {
		return false // one bank's trouble
	}
	if others.known() > 0 && others.downShare() > maxDownShareElsewhere && others.up > 0 {
		return false // it is no site's own: something that all share
	}
	return true
}

// here is how many machines of a site are not told to leave.
func (m *Monitor) countExpected(s *siteStatus) (n int) {
	for _, x := range s.endpoints {
		if !x.draining {
			n++
		}
	}
	return n
}

func (m *Monitor) countGroups(s *siteStatus) int {
	seen := map[int64]bool{}
	for _, x := range s.endpoints {
		if !x.draining {
			seen[x.group] = true
		}
	}
	return len(seen)
}

// lives says that something speaks for a site that can't be reached: a bank whose primary is there has committed since it failed.
func (m *Monitor) commitsProveAlive(s *siteStatus) bool {
	for bank, id := range m.primaries {
		if x := s.endpoints[id]; x != nil && x.group == bank && x.committedAfterFailure {
			return true
		}
	}
	return false
}

// applied notes up to when a bank has committed. Later than the window behind a failure it may be a successor's commits that are seen.
func (m *Monitor) recordAppliedPosition(bank int64, upto time.Duration) {
	if x := m.endpoints[m.primaries[bank]]; x != nil && x.failingSince > 0 && upto > x.failingSince+m.cfg.EvidenceWindow/4 && upto <= x.failingSince+m.cfg.EvidenceWindow {
		x.committedAfterFailure = true
	}
}

// kindOf is what the evidence says the fault is.
func (m *Monitor) classifyFault(s *siteStatus, others evidenceCounts, reached bool) FaultKind {
	gone := 0
	for _, x := range s.endpoints {
		if x.delisted {
			gone++
		}
	}
	switch {
	case m.commitsProveAlive(s):
		return FaultPartitioned
	case gone > 0 && 2*gone >= m.countExpected(s):
		return FaultDelisted
	case others.up == 0, !reached && len(m.sites) > 2:
		return FaultIsolated
	case len(m.sites) <= 2 && s.name != m.cfg.OwnSite && m.cfg.OwnSite != "":
		return FaultUnclear // of two sites one can't tell by itself which side the fault is on
	}
	return FaultSiteLost
}

// move takes a site from one state to the next, one step at a time.
func (m *Monitor) advance(s *siteStatus, f, others evidenceCounts, reached bool) (c StateChanged, moved bool) {
	bad := m.siteIsFailing(s, f, others)
	said := s.declaredLostUntil > m.now
	if f.downShare() > settleDownShare {
		s.mostlyUpSince = 0
	} else if s.mostlyUpSince == 0 {
		s.mostlyUpSince = m.now
	}
	wait := m.cfg.SuspicionTime << min(s.flaps, maxFlapDoublings)
	settle := m.cfg.SettleTime << min(s.flaps, maxFlapDoublings)
	next := s.state
	switch s.state {
	case SiteHealthy, SiteSettled:
		switch {
		case said:
			next = SiteLost
		case bad:
			next = SiteSuspected
		case s.state == SiteSettled && m.now-s.stateSince >= settle:
			next, s.flaps = SiteHealthy, max(0, s.flaps-1)
		}
	case SiteSuspected:
		switch {
		case said, bad && m.now-s.stateSince >= m.cfg.SuspicionTime:
			next = SiteLost
		case !bad && f.downShare() < suspectDownShare, !bad && m.now-s.stateSince >= 2*m.cfg.EvidenceWindow:
			next = SiteHealthy
		}
	case SiteLost:
		// What has been lost for a moment has to answer for longer each time.
		if !said && (f.up > 0 || f.down == 0) && f.downShare() < suspectDownShare && m.now-s.stateSince >= wait-m.cfg.SuspicionTime {
			next = SiteRecovering
		}
	case SiteRecovering:
		switch {
		case said, bad:
			next, s.flaps = SiteLost, s.flaps+1
		case s.mostlyUpSince > 0 && m.now-s.mostlyUpSince >= settle:
			next = SiteSettled
		}
	}
	if next == s.state {
		if s.state == SiteLost || s.state == SiteSuspected {
			s.fault = m.classifyFault(s, others, reached) // it may become clear later
		}
		return c, false
	}
	c = StateChanged{Site: s.name, From: s.state, To: next}
	if next == SiteSuspected || next == SiteLost {
		s.fault = m.classifyFault(s, others, reached)
	} else if next == SiteHealthy {
		s.fault = FaultUnclear
	}
	s.evidence = fmt.Sprintf("%d of %d known machines down (%s), %d of %d elsewhere", f.down, f.known(), m.failureSummary(s), others.down, others.known())
	if said {
		s.evidence = "declared by an operator; " + s.evidence
	}
	c.Kind, c.Evidence = s.fault, s.evidence
	s.state, s.stateSince = next, m.now
	if next == SiteHealthy {
		s.unmatchedNewEndpoints = 0
	}
	return c, true
}

// reasons says how a site's machines fail.
func (m *Monitor) failureSummary(s *siteStatus) string {
	n := map[string]int{}
	for _, x := range s.endpoints {
		switch {
		case x.draining || !x.isDown(m.now, m.cfg.EvidenceWindow):
		case x.delisted:
			n["gone"]++
		default:
			n[[...]string{"refused", "reset", "silent"}[x.lastFailure]]++
		}
	}
	if len(n) == 0 {
		return "none"
	}
	out := ""
	for _, k := range slices.Sorted(maps.Keys(n)) {
		if out != "" {
			out += ", "
		}
		out += fmt.Sprintf("%d %s", n[k], k)
	}
	return out
}
