package sitefailover

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// rampSteps is the number of steps from the initial share to all of a site.
	rampSteps = 8
	// minInitialShare bounds RecoveryRampConfig.InitialShare from below, so that a ramp sees outcomes at all.
	minInitialShare = 0.05
	// relapseFactor is what a relapse leaves of a site's share.
	relapseFactor = 0.5
	// relapsePauseSteps is the number of steps without growth behind a relapse.
	relapsePauseSteps = 2
	// relapseFailureShare is the share of failures that makes a step a relapse; a healthy site has next to none.
	relapseFailureShare = 0.15
	// relapseMinOutcomes is the number of outcomes from which on a step can be a relapse.
	relapseMinOutcomes = 8
)

// Why the share of a site changes, as operators read it.
const (
	reasonComplete = "it may be used again"
	reasonFlapped  = "it has gone again as it came back"
	reasonRelapse  = "relapse: it is taken back"
	reasonLimited  = "bound by operators"
)

// RecoveryRampConfig bounds a RecoveryRamp.
type RecoveryRampConfig struct {
	// InitialShare is the share of its capacity for which a site is used first: that which a cold endpoint has.
	InitialShare float64
	// Duration is how long a recovery without a relapse takes: as long as endpoints warm up.
	Duration time.Duration
}

// RampChange says that from now on this router may use a site for Share of the capacity of its endpoints. Share 1 is
// the end of the ramp.
type RampChange struct {
	Site   string
	Share  float64
	Reason string // Reason is for operators.
}

// RampLimit is an operator's limit on the use of a site: no more than Share until a time on the caller's clock. Share 0
// forbids the use, and a zero Until takes the limit back.
type RampLimit struct {
	Site  string
	Share float64
	Until time.Duration
}

// RecoveryRamp paces the return of load to sites that have flapped: step by step while what is sent there is answered,
// halved and paused at a relapse, and the slower the more often the site has flapped. It holds each router to its own
// part; together these are the site's. It is not safe for concurrent use.
type RecoveryRamp struct {
	cfg   RecoveryRampConfig
	ramps map[string]*siteRamp
}

// siteRamp is the ramp of one site.
type siteRamp struct {
	share    float64 // by the ramp alone, without an operator's limit
	reported float64 // the share that the caller was told last

	running      bool
	nextStep     time.Duration
	stepInterval time.Duration
	successes    int // in this step
	failures     int // in this step

	limit      float64       // an operator's
	limitUntil time.Duration // 0 = there is no limit
}

// NewRecoveryRamp returns a RecoveryRamp that holds back no site.
func NewRecoveryRamp(cfg RecoveryRampConfig) *RecoveryRamp {
	return &RecoveryRamp{cfg: cfg, ramps: map[string]*siteRamp{}}
}

// rampOf returns the ramp of a site, a new one if it has none.
func (r *RecoveryRamp) rampOf(site string) *siteRamp {
	ramp := r.ramps[site]
	if ramp == nil {
		ramp = &siteRamp{share: 1, reported: 1}
		r.ramps[site] = ramp
	}
	return ramp
}

// SiteStateChanged takes a transition of a site. The ramp starts when a site recovers that has flapped, and stops when
// it is lost or healthy.
//
// A first recovery is not paced, because slow start bounds each endpoint while it is cold. A site that has flapped is
// not to be trusted so soon.
func (r *RecoveryRamp) SiteStateChanged(now time.Duration, site string, to SiteState, flaps int) {
	switch to {
	case SiteLost:
		if flaps > 0 {
			r.rampOf(site).reset(r.initialShare())
		}
	case SiteRecovering:
		if flaps > 0 {
			r.rampOf(site).start(now, r.initialShare(), r.cfg.Duration, flaps)
		}
	case SiteHealthy:
		if ramp := r.ramps[site]; ramp != nil {
			ramp.share = 1
			ramp.running = false
		}
	}
}

// initialShare is the configured one within its bounds.
func (r *RecoveryRamp) initialShare() float64 {
	return max(minInitialShare, min(1, r.cfg.InitialShare))
}

// reset stops the ramp and takes the site back to its initial share.
func (r *siteRamp) reset(initialShare float64) {
	r.share = initialShare
	r.running = false
	r.nextStep = 0
}

// start begins a ramp that is lower at first, and slower, by a factor of two for each flap.
func (r *siteRamp) start(now time.Duration, initialShare float64, duration time.Duration, flaps int) {
	slowdown := time.Duration(1) << min(flaps, maxFlapDoublings)
	r.share = initialShare / float64(slowdown)
	r.running = true
	r.successes = 0
	r.failures = 0
	r.stepInterval = slowdown * duration / rampSteps
	r.nextStep = now + r.stepInterval
}

// RecordOutcome takes the outcome of something sent to one of a site's endpoints. Callers leave out outcomes that say
// nothing of the endpoint.
func (r *RecoveryRamp) RecordOutcome(site string, failed bool) {
	ramp := r.ramps[site]
	if ramp == nil || !ramp.running {
		return
	}
	if failed {
		ramp.failures++
	} else {
		ramp.successes++
	}
}

// SetLimit sets an operator's limit or takes it back.
func (r *RecoveryRamp) SetLimit(limit RampLimit) {
	ramp := r.rampOf(limit.Site)
	ramp.limit = max(0, min(1, limit.Share))
	ramp.limitUntil = limit.Until
}

// Update takes the steps that are due and returns what has changed, in the order of the sites' names. due is when
// Update wants to be called next, 0 = not before the next change of a site.
func (r *RecoveryRamp) Update(now time.Duration) (changes []RampChange, due time.Duration) {
	for _, site := range slices.Sorted(maps.Keys(r.ramps)) {
		ramp := r.ramps[site]
		share, reason := ramp.update(now, r.initialShare())
		if share != ramp.reported {
			ramp.reported = share
			changes = append(changes, RampChange{Site: site, Share: share, Reason: reason})
		}
		if at, ok := ramp.due(); ok && (due == 0 || at < due) {
			due = at
		}
		if ramp.finished() {
			delete(r.ramps, site)
		}
	}
	return changes, due
}

// update takes a step if one is due, and returns the share that holds now beside the reason for it.
func (r *siteRamp) update(now time.Duration, initialShare float64) (share float64, reason string) {
	reason = reasonComplete
	if r.share < 1 {
		reason = reasonFlapped
	}
	if r.running && now >= r.nextStep {
		if r.relapsed() {
			r.retreat(now, initialShare)
			reason = reasonRelapse
		} else {
			r.grow(now, initialShare)
		}
		r.successes = 0
		r.failures = 0
		if r.share >= 1 {
			r.running = false
		}
	}
	if r.limitUntil > 0 && now >= r.limitUntil {
		r.limitUntil = 0
	}
	if r.hasLimit() && r.limit < r.share {
		return r.limit, reasonLimited
	}
	return r.share, reason
}

// relapsed reports whether too much has failed in this step.
func (r *siteRamp) relapsed() bool {
	outcomes := r.successes + r.failures
	return outcomes >= relapseMinOutcomes && float64(r.failures) > relapseFailureShare*float64(outcomes)
}

// retreat lowers the share and pauses the ramp.
func (r *siteRamp) retreat(now time.Duration, initialShare float64) {
	r.share = max(initialShare/(1<<maxFlapDoublings), relapseFactor*r.share)
	r.nextStep = now + relapsePauseSteps*r.stepInterval
}

// grow takes the ramp one step on. It does so without outcomes too: a router with few requests would never have enough.
func (r *siteRamp) grow(now time.Duration, initialShare float64) {
	r.share = min(1, r.share+(1-initialShare)/rampSteps)
	r.nextStep = now + r.stepInterval
}

func (r *siteRamp) hasLimit() bool { return r.limitUntil > 0 }

// due is when the ramp changes by time alone. ok is false if it does not.
func (r *siteRamp) due() (at time.Duration, ok bool) {
	if r.hasLimit() {
		at = r.limitUntil
	}
	if r.running && (at == 0 || r.nextStep < at) {
		at = r.nextStep
	}
	return at, at > 0
}

// finished reports whether the ramp holds the site back no more, now or later.
func (r *siteRamp) finished() bool {
	return !r.running && r.share >= 1 && !r.hasLimit()
}

// SiteRamp is how far the recovery of a site is, for operators.
type SiteRamp struct {
	Site  string
	Share float64
	Until time.Duration // Until is when an operator's limit ends, 0 = there is none.
}

// Ramps returns the sites that are held back now, in the order of their names.
func (r *RecoveryRamp) Ramps() []SiteRamp {
	var ramps []SiteRamp
	for site, ramp := range r.ramps {
		if ramp.reported < 1 {
			ramps = append(ramps, SiteRamp{Site: site, Share: ramp.reported, Until: ramp.limitUntil})
		}
	}
	slices.SortFunc(ramps, func(a, b SiteRamp) int { return cmp.Compare(a.Site, b.Site) })
	return ramps
}
