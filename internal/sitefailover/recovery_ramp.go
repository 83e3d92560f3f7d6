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
	rampSteps           = 8    // from First to all of it
	relapseFactor       = 0.5  // what a relapse leaves
	relapsePauseSteps   = 2    // steps without growth behind one
	relapseFailureShare = 0.15 // ends at the site's machines from which on it is one: a site that is well has none to speak of
	relapseMinOutcomes  = 8    // of so many ends at least
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
	ramps map[string]*siteRamp
}

type siteRamp struct {
	share        float64
	reported     float64
	nextStep     time.Duration
	stepInterval time.Duration
	successes    int
	failures     int
	limit        float64
	limitUntil   time.Duration // of the bound, 0 = there is none
	running      bool
}

// NewRamp returns one that no site is on.
func NewRecoveryRamp(cfg RecoveryRampConfig) *RecoveryRamp {
	return &RecoveryRamp{cfg: cfg, ramps: map[string]*siteRamp{}}
}

func (r *RecoveryRamp) rampOf(site string) *siteRamp {
	x := r.ramps[site]
	if x == nil {
		x = &siteRamp{share: 1, reported: 1}
		r.ramps[site] = x
	}
	return x
}

// Moved takes a change of a site's state: a return begins or goes on, another loss ends it.
func (r *RecoveryRamp) SiteStateChanged(now time.Duration, site string, to SiteState, flaps int) {
	switch to {
	case SiteLost:
		// A first return is bounded by what each of its machines bears while it is cold, and pacing it beyond that only wastes them
		// (docs/design/site-loss.md). One that goes again as it comes back is not to be believed so soon.
		if flaps > 0 {
			x := r.rampOf(site)
			x.share, x.running, x.nextStep = r.initialShare(), false, 0
		}
	case SiteRecovering:
		if flaps == 0 {
			return
		}
		x := r.rampOf(site)
		slow := time.Duration(1) << min(flaps, maxFlapDoublings)
		x.share, x.running, x.successes, x.failures = r.initialShare()/float64(slow), true, 0, 0
		x.stepInterval = slow * r.cfg.Duration / rampSteps
		x.nextStep = now + x.stepInterval
	case SiteHealthy:
		if x := r.ramps[site]; x != nil {
			x.share, x.running = 1, false
		}
	}
}

func (r *RecoveryRamp) initialShare() float64 { return max(0.05, min(1, r.cfg.InitialShare)) }

// Ended is what became of something sent to a site's machine: of what says something of the machine.
func (r *RecoveryRamp) RecordOutcome(site string, bad bool) {
	if x := r.ramps[site]; x != nil && x.running {
		if bad {
			x.failures++
		} else {
			x.successes++
		}
	}
}

// Bind takes an operators' word; Until 0 takes it back.
func (r *RecoveryRamp) SetLimit(b RampLimit) {
	x := r.rampOf(b.Site)
	x.limit, x.limitUntil = max(0, min(1, b.Share)), b.Until
}

// Look moves what is due, and says what has changed, in the order of the sites' names. Due is when it wants to look again, 0 = at the
// next change of a site.
func (r *RecoveryRamp) Update(now time.Duration) (out []RampChange, due time.Duration) {
	wake := func(at time.Duration) {
		if at > 0 && (due == 0 || at < due) {
			due = at
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.ramps)) {
		x := r.ramps[name]
		why := "it may be used again"
		if x.share < 1 {
			why = "it has gone again as it came back"
		}
		if x.running && now >= x.nextStep {
			switch all := x.successes + x.failures; {
			case all >= relapseMinOutcomes && float64(x.failures) > relapseFailureShare*float64(all):
				x.share = max(r.initialShare()/(1<<maxFlapDoublings), relapseFactor*x.share)
				x.nextStep = now + relapsePauseSteps*x.stepInterval
				why = "relapse: it is taken back"
			default:
				// Without a word from there it goes on too: a router with little traffic would never know.
				x.share = min(1, x.share+(1-r.initialShare())/rampSteps)
				x.nextStep = now + x.stepInterval
			}
			if x.successes, x.failures = 0, 0; x.share >= 1 {
				x.running = false
			}
		}
		part := x.share
		if x.limitUntil > 0 && now >= x.limitUntil {
			x.limitUntil = 0
		}
		if x.limitUntil > 0 {
			part = min(part, x.limit)
			if x.limit < x.share {
				why = "bound by operators"
			}
			wake(x.limitUntil)
		}
		if part != x.reported {
			x.reported = part
			out = append(out, RampChange{name, part, why})
		}
		if x.running {
			wake(x.nextStep)
		} else if x.share >= 1 && x.limitUntil == 0 {
			delete(r.ramps, name)
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
	for name, x := range r.ramps {
		if x.reported < 1 {
			out = append(out, SiteRamp{name, x.reported, x.limitUntil})
		}
	}
	slices.SortFunc(out, func(a, b SiteRamp) int { return cmp.Compare(a.Site, b.Site) })
	return out
}
