package sitefailover

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// RampConfig bounds a Ramp.
type RecoveryRampConfig struct {
	InitialShare float64       // the part of what its machines can do that a site gets first: that which a cold machine has
	Duration     time.Duration // a return without trouble takes so long: as machines take to get warm
}

// Of a ramp.
const (
	rampSteps = 8    // from First to all of it
	rampBack  = 0.5  // what a relapse leaves
	rampPause = 2    // steps without growth behind one
	rampBad   = 0.15 // ends at the site's machines from which on it is one: a site that is well has none to speak of
	rampSeen  = 8    // of so many ends at least
)

// Paced is the part of its machines' power that a site may be used for from now on, by all that this router sends. Part 1 is the end of it.
type RampChange struct {
	Site   string
	Share  float64
	Reason string
}

func (RampChange) action() {}

// Bound is an operators' word on a site's return: no more than Part until a moment. Part 0 forbids it.
type RampLimit struct {
	Site  string
	Share float64
	Until time.Duration
}

// Ramp paces the return of sites: step by step while what goes there is answered, halved and paused at a sign of relapse, the slower the
// more often a site has gone again. It holds each router to its own part, which together are the site's.
type RecoveryRamp struct {
	cfg   RecoveryRampConfig
	sites map[string]*ramp
}

type ramp struct {
	part    float64
	told    float64
	next    time.Duration
	every   time.Duration
	good    int
	bad     int
	bound   float64
	until   time.Duration // of the bound, 0 = there is none
	running bool
}

// NewRamp returns one that no site is on.
func NewRecoveryRamp(cfg RecoveryRampConfig) *RecoveryRamp {
	return &RecoveryRamp{cfg: cfg, sites: map[string]*ramp{}}
}

func (r *RecoveryRamp) of(site string) *ramp {
	x := r.sites[site]
	if x == nil {
		x = &ramp{part: 1, told: 1}
		r.sites[site] = x
	}
	return x
}

// Moved takes a change of a site's state: a return begins or goes on, another loss ends it.
func (r *RecoveryRamp) SiteStateChanged(now time.Duration, site string, to SiteState, flaps int) {
	switch to {
	case SiteLost:
		// A first return is bounded by what each of its machines bears while it is cold, and pacing it beyond that only wastes them
		// (docs/design/site-failover.md). One that goes again as it comes back is not to be believed so soon.
		if flaps > 0 {
			x := r.of(site)
			x.part, x.running, x.next = r.first(), false, 0
		}
	case SiteRecovering:
		if flaps == 0 {
			return
		}
		x := r.of(site)
		slow := time.Duration(1) << min(flaps, mostFlaps)
		x.part, x.running, x.good, x.bad = r.first()/float64(slow), true, 0, 0
		x.every = slow * r.cfg.Duration / rampSteps
		x.next = now + x.every
	case SiteHealthy:
		if x := r.sites[site]; x != nil {
			x.part, x.running = 1, false
		}
	}
}

func (r *RecoveryRamp) first() float64 { return max(0.05, min(1, r.cfg.InitialShare)) }

// Ended is what became of something sent to a site's machine: of what says something of the machine.
func (r *RecoveryRamp) RecordOutcome(site string, bad bool) {
	if x := r.sites[site]; x != nil && x.running {
		if bad {
			x.bad++
		} else {
			x.good++
		}
	}
}

// Bind takes an operators' word; Until 0 takes it back.
func (r *RecoveryRamp) SetLimit(b RampLimit) {
	x := r.of(b.Site)
	x.bound, x.until = max(0, min(1, b.Share)), b.Until
}

// Look moves what is due, and says what has changed, in the order of the sites' names. Due is when it wants to look again, 0 = at the
// next change of a site.
func (r *RecoveryRamp) Update(now time.Duration) (out []RampChange, due time.Duration) {
	wake := func(at time.Duration) {
		if at > 0 && (due == 0 || at < due) {
			due = at
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.sites)) {
		x := r.sites[name]
		why := "it may be used again"
		if x.part < 1 {
			why = "it has gone again as it came back"
		}
		if x.running && now >= x.next {
			switch all := x.good + x.bad; {
			case all >= rampSeen && float64(x.bad) > rampBad*float64(all):
				x.part = max(r.first()/(1<<mostFlaps), rampBack*x.part)
				x.next = now + rampPause*x.every
				why = "relapse: it is taken back"
			default:
				// Without a word from there it goes on too: a router with little traffic would never know.
				x.part = min(1, x.part+(1-r.first())/rampSteps)
				x.next = now + x.every
			}
			if x.good, x.bad = 0, 0; x.part >= 1 {
				x.running = false
			}
		}
		part := x.part
		if x.until > 0 && now >= x.until {
			x.until = 0
		}
		if x.until > 0 {
			part = min(part, x.bound)
			if x.bound < x.part {
				why = "bound by operators"
			}
			wake(x.until)
		}
		if part != x.told {
			x.told = part
			out = append(out, RampChange{name, part, why})
		}
		if x.running {
			wake(x.next)
		} else if x.part >= 1 && x.until == 0 {
			delete(r.sites, name)
		}
	}
	return out, due
}

// Pace is how far a site's return is, for those on call.
type SiteRamp struct {
	Site  string
	Share float64
	Until time.Duration // an operators' bound holds until then, 0 = there is none
}

// Paces are the sites that are not used for all they can do, in the order of their names.
func (r *RecoveryRamp) Ramps() (out []SiteRamp) {
	for name, x := range r.sites {
		if x.told < 1 {
			out = append(out, SiteRamp{name, x.told, x.until})
		}
	}
	slices.SortFunc(out, func(a, b SiteRamp) int { return cmp.Compare(a.Site, b.Site) })
	return out
}
