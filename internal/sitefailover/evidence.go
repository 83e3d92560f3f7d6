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
type Kind uint8

const (
	KindUnclear     Kind = iota
	KindLost             // its machines are lost: nothing speaks for their being alive
	KindPartitioned      // this router can't reach it, and it lives: its banks go on committing
	KindIsolated         // this router reaches no other site than its own, or none at all: the fault is on its side as likely
	KindRemoved          // the list says that its machines have gone
)

func (k Kind) String() string {
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
	watchWindow = 2 * time.Second
	watchHold   = 500 * time.Millisecond
)

// Watch is how a router in a site of its own watches all of them, where machines take so long to get warm; most bounds their number.
func DefaultConfig(own string, cold time.Duration, most int) Config {
	return Config{OwnSite: own, EvidenceWindow: watchWindow, SuspicionTime: watchHold, SettleTime: max(watchWindow, cold), MaxEndpoints: most}
}

// The shares of a site's known machines.
const (
	mostDown  = 0.6 // from here on it is suspected,
	otherDown = 0.3 // if no more than this is down elsewhere
	fewDown   = 0.2 // and at most this may be down for it to settle
	mostFlaps = 5   // doublings of what a site that flaps has to wait
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
	Kind     Kind
	Evidence string
}

// Wake asks for a Step by then.
type Wake struct{ At time.Duration }

func (StateChanged) action() {}
func (Wake) action()         {}

// machine is what is known of one.
type machine struct {
	id, site string
	bank     int64
	drains   bool          // it was told to leave before it failed: a deploy is no loss
	gone     bool          // the list has dropped it without that
	off      time.Duration // since when no list names it, 0 = one does
	heard    time.Duration
	bad      time.Duration // the first failure since it was heard, 0 = none
	fails    int
	why      Failure
	lives    bool // its bank went on committing just behind its first failure: nobody else could have led so soon
}

// site is one.
type site struct {
	name     string
	machines map[string]*machine
	state    SiteState
	kind     Kind
	since    time.Duration
	calm     time.Duration // since when few of it are down, 0 = they are not
	evidence string
	flaps    int
	declared time.Duration
	fresh    int // machines that were listed for the first time while it was not well, and have taken nobody's place yet
}

// Model follows all sites.
type Monitor struct {
	cfg      Config
	now      time.Duration
	machines map[string]*machine
	sites    map[string]*site
	leads    map[int64]string
}

// New returns a Model that knows nothing.
func New(cfg Config) *Monitor {
	return &Monitor{cfg: cfg, machines: map[string]*machine{}, sites: map[string]*site{}, leads: map[int64]string{}}
}

// Step takes what has happened by now and returns what has changed, in the order of the sites' names.
func (m *Monitor) Step(now time.Duration, events []Event) []Action {
	m.now = now
	for _, e := range events {
		switch e := e.(type) {
		case EndpointListed:
			m.listed(e)
		case EndpointListComplete:
			m.whole(e)
		case EndpointAnswered:
			if x := m.machines[e.Endpoint]; x != nil {
				x.heard, x.bad, x.fails, x.gone, x.lives = now, 0, 0, false, false
			}
		case AttemptFailed:
			if x := m.machines[e.Endpoint]; x != nil {
				if x.fails++; x.bad == 0 {
					x.bad = now
				}
				x.why = e.Failure
			}
		case PrimaryObserved:
			m.leads[e.Group] = e.Endpoint
		case ReplicaApplied:
			if x := m.machines[e.Endpoint]; x != nil {
				m.applied(x.bank, e.Position)
			}
		case DeclareLost:
			if s := m.sites[e.Site]; s != nil {
				s.declared = e.Until
			}
		}
	}
	return m.judge()
}

func (m *Monitor) listed(e EndpointListed) {
	x := m.machines[e.Endpoint]
	if x == nil {
		if e.State == EndpointRemoved || len(m.machines) >= m.cfg.MaxEndpoints {
			return
		}
		x = &machine{id: e.Endpoint}
		m.machines[e.Endpoint] = x
	}
	first := x.site == ""
	x.bank = e.Group
	if x.site != e.Site || m.sites[e.Site] == nil {
		m.leave(x)
		x.site = e.Site
		s := m.sites[e.Site]
		if s == nil {
			s = &site{name: e.Site, machines: map[string]*machine{}}
			m.sites[e.Site] = s
		}
		s.machines[x.id] = x
	}
	s := m.sites[e.Site]
	if first && s.state != SiteHealthy {
		s.fresh++
	}
	x.off = 0
	switch e.State {
	case EndpointReady:
		x.drains, x.gone = false, false
	case EndpointDraining:
		x.drains = true
	case EndpointRemoved:
		x.gone = !x.drains
	}
	m.replace(s)
}

// replace forgets machines that have gone, one for each new one. Danger: a site that returns under new ids is held to be half lost, or lost
// again, by those that nobody will see any more.
func (m *Monitor) replace(s *site) {
	for _, id := range slices.Sorted(maps.Keys(s.machines)) {
		if s.fresh > 0 && s.machines[id].gone {
			s.fresh--
			m.drop(s.machines[id])
		}
	}
}

// whole forgets what is no more listed. One that failed before it went keeps counting while its site is not well: it was lost.
func (m *Monitor) whole(e EndpointListComplete) {
	named := map[string]bool{}
	for _, id := range e.Endpoints {
		named[id] = true
	}
	for id, x := range m.machines {
		if !named[id] {
			if s := m.sites[x.site]; s != nil && s.state != SiteHealthy && x.down(m.now, m.cfg.EvidenceWindow) {
				if x.gone = !x.drains; x.off == 0 {
					x.off = m.now
				}
				m.replace(s)
				continue
			}
			m.drop(x)
		}
	}
}

// forgetAfter is how long a machine that no list names any more goes on to speak of its site's loss.
const forgetAfter = 10 * time.Minute

func (m *Monitor) drop(x *machine) {
	m.leave(x)
	delete(m.machines, x.id)
}

func (m *Monitor) leave(x *machine) {
	if s := m.sites[x.site]; s != nil {
		if delete(s.machines, x.id); len(s.machines) == 0 {
			delete(m.sites, x.site)
		}
	}
}

// down says that a machine has failed and not been heard since: twice, or once and then nothing for a while.
func (x *machine) down(now, window time.Duration) bool {
	return x.gone || x.bad > 0 && (x.fails > 1 || now-x.bad >= window/4)
}

// figures are what is known of some machines.
type figures struct {
	down, fine int
	banks      map[int64]bool // of those that are down
}

func (f figures) known() int { return f.down + f.fine }

func (f figures) share() float64 {
	if f.known() == 0 {
		return 0
	}
	return float64(f.down) / float64(f.known())
}

func (m *Monitor) count(s *site, f *figures) {
	for _, x := range s.machines {
		switch {
		case x.drains:
		case x.down(m.now, m.cfg.EvidenceWindow):
			f.down++
			f.banks[x.bank] = true
		case x.heard > 0 && m.now-x.heard <= m.cfg.EvidenceWindow:
			f.fine++
		}
	}
}

// judge moves each site to the state that the evidence gives it.
func (m *Monitor) judge() (acts []Action) {
	for _, x := range m.machines {
		if x.off > 0 && m.now-x.off > forgetAfter {
			m.drop(x)
		}
	}
	names := slices.Sorted(maps.Keys(m.sites))
	all := map[string]figures{}
	for _, name := range names {
		f := figures{banks: map[int64]bool{}}
		m.count(m.sites[name], &f)
		all[name] = f
	}
	wake := time.Duration(0)
	for _, name := range names {
		s, f := m.sites[name], all[name]
		others := figures{banks: map[int64]bool{}}
		reached := false // another site than this one and the router's own answers
		for o, g := range all {
			if o == name || g.share() >= mostDown { // one that fails itself says nothing of what all share
				continue
			}
			others.down, others.fine = others.down+g.down, others.fine+g.fine
			reached = reached || o != m.cfg.OwnSite && g.fine > 0
		}
		if c, ok := m.move(s, f, others, reached); ok {
			acts = append(acts, c)
		}
		if s.state != SiteHealthy {
			if next := m.now + m.cfg.SuspicionTime/4; wake == 0 || next < wake {
				wake = next
			}
		}
		for _, x := range s.machines { // a single failure speaks once it has lasted
			if x.bad > 0 && !x.down(m.now, m.cfg.EvidenceWindow) {
				if next := x.bad + m.cfg.EvidenceWindow/4; wake == 0 || next < wake {
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
func (m *Monitor) failing(s *site, f, others figures) bool {
	if f.known() == 0 || f.share() < mostDown || 2*f.known() < m.here(s) {
		return false
	}
	if banks := m.banks(s); banks > 1 && len(f.banks) < 2 {
		return false // one bank's trouble
	}
	if others.known() > 0 && others.share() > otherDown && others.fine > 0 {
		return false // it is no site's own: something that all share
	}
	return true
}

// here is how many machines of a site are not told to leave.
func (m *Monitor) here(s *site) (n int) {
	for _, x := range s.machines {
		if !x.drains {
			n++
		}
	}
	return n
}

func (m *Monitor) banks(s *site) int {
	seen := map[int64]bool{}
	for _, x := range s.machines {
		if !x.drains {
			seen[x.bank] = true
		}
	}
	return len(seen)
}

// lives says that something speaks for a site that can't be reached: a bank whose primary is there has committed since it failed.
func (m *Monitor) lives(s *site) bool {
	for bank, id := range m.leads {
		if x := s.machines[id]; x != nil && x.bank == bank && x.lives {
			return true
		}
	}
	return false
}

// applied notes up to when a bank has committed. Later than the window behind a failure it may be a successor's commits that are seen.
func (m *Monitor) applied(bank int64, upto time.Duration) {
	if x := m.machines[m.leads[bank]]; x != nil && x.bad > 0 && upto > x.bad+m.cfg.EvidenceWindow/4 && upto <= x.bad+m.cfg.EvidenceWindow {
		x.lives = true
	}
}

// kindOf is what the evidence says the fault is.
func (m *Monitor) kindOf(s *site, others figures, reached bool) Kind {
	gone := 0
	for _, x := range s.machines {
		if x.gone {
			gone++
		}
	}
	switch {
	case m.lives(s):
		return KindPartitioned
	case gone > 0 && 2*gone >= m.here(s):
		return KindRemoved
	case others.fine == 0, !reached && len(m.sites) > 2:
		return KindIsolated
	case len(m.sites) <= 2 && s.name != m.cfg.OwnSite && m.cfg.OwnSite != "":
		return KindUnclear // of two sites one can't tell by itself which side the fault is on
	}
	return KindLost
}

// move takes a site from one state to the next, one step at a time.
func (m *Monitor) move(s *site, f, others figures, reached bool) (c StateChanged, moved bool) {
	bad := m.failing(s, f, others)
	said := s.declared > m.now
	if f.share() > fewDown {
		s.calm = 0
	} else if s.calm == 0 {
		s.calm = m.now
	}
	wait := m.cfg.SuspicionTime << min(s.flaps, mostFlaps)
	settle := m.cfg.SettleTime << min(s.flaps, mostFlaps)
	next := s.state
	switch s.state {
	case SiteHealthy, SiteSettled:
		switch {
		case said:
			next = SiteLost
		case bad:
			next = SiteSuspected
		case s.state == SiteSettled && m.now-s.since >= settle:
			next, s.flaps = SiteHealthy, max(0, s.flaps-1)
		}
	case SiteSuspected:
		switch {
		case said, bad && m.now-s.since >= m.cfg.SuspicionTime:
			next = SiteLost
		case !bad && f.share() < mostDown, !bad && m.now-s.since >= 2*m.cfg.EvidenceWindow:
			next = SiteHealthy
		}
	case SiteLost:
		// What has been lost for a moment has to answer for longer each time.
		if !said && (f.fine > 0 || f.down == 0) && f.share() < mostDown && m.now-s.since >= wait-m.cfg.SuspicionTime {
			next = SiteRecovering
		}
	case SiteRecovering:
		switch {
		case said, bad:
			next, s.flaps = SiteLost, s.flaps+1
		case s.calm > 0 && m.now-s.calm >= settle:
			next = SiteSettled
		}
	}
	if next == s.state {
		if s.state == SiteLost || s.state == SiteSuspected {
			s.kind = m.kindOf(s, others, reached) // it may become clear later
		}
		return c, false
	}
	c = StateChanged{Site: s.name, From: s.state, To: next}
	if next == SiteSuspected || next == SiteLost {
		s.kind = m.kindOf(s, others, reached)
	} else if next == SiteHealthy {
		s.kind = KindUnclear
	}
	s.evidence = fmt.Sprintf("%d of %d known machines down (%s), %d of %d elsewhere", f.down, f.known(), m.reasons(s), others.down, others.known())
	if said {
		s.evidence = "declared by an operator; " + s.evidence
	}
	c.Kind, c.Evidence = s.kind, s.evidence
	s.state, s.since = next, m.now
	if next == SiteHealthy {
		s.fresh = 0
	}
	return c, true
}

// reasons says how a site's machines fail.
func (m *Monitor) reasons(s *site) string {
	n := map[string]int{}
	for _, x := range s.machines {
		switch {
		case x.drains || !x.down(m.now, m.cfg.EvidenceWindow):
		case x.gone:
			n["gone"]++
		default:
			n[[...]string{"refused", "reset", "silent"}[x.why]]++
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
