package sitefailover

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// rampSteps is the number of steps from the initial share to a share of 1.
	rampSteps = 8
	// minInitialShare is the lower bound of RecoveryRampConfig.InitialShare, so that there are outcomes to observe.
	minInitialShare = 0.05
	// relapseFactor is the factor by which a relapse reduces the share of a site.
	relapseFactor = 0.5
	// relapsePauseSteps is the number of steps for which the share doesn't grow after a relapse.
	relapsePauseSteps = 2
	// relapseFailureShare is the share of failed outcomes above which a step is a relapse. A healthy site has almost
	// none.
	relapseFailureShare = 0.15
	// relapseMinOutcomes is the minimum number of outcomes in a step for it to be a relapse.
	relapseMinOutcomes = 8
)

// Reasons for a change of a site's share, as operators see them.
const (
	reasonComplete = "it may be used again"
	reasonFlapped  = "it has gone again as it came back"
	reasonRelapse  = "relapse: it is taken back"
	reasonLimited  = "bound by operators"
)

// RecoveryRampConfig configures a RecoveryRamp.
type RecoveryRampConfig struct {
	// InitialShare is the share of its capacity that a recovering site is used for at first: the share that a cold
	// endpoint can provide.
	InitialShare float64
	// Duration is how long a ramp takes without a relapse, before the slowdown for flaps: the time that endpoints take
	// to warm up.
	Duration time.Duration
}

// RampChange reports that this router may now use a site for a share of the capacity of its endpoints. A share of 1
// ends the ramp.
type RampChange struct {
	Site   string
	Share  float64
	Reason string // Reason is for operators.
}

// RampLimit is an operator's limit on the use of a site: at most Share until a time on the caller's clock. A share of 0
// forbids the use of the site, and a zero Until removes the limit.
type RampLimit struct {
	Site  string
	Share float64
	Until time.Duration
}

// RecoveryRamp limits the load of sites that recover after a flap. The share grows step by step while requests to the
// site succeed; a relapse halves it and pauses the growth. The more often a site has flapped, the slower its ramp. Each
// router limits its own use of the site, which together limits the use by all routers. It is not safe for concurrent
// use.
type RecoveryRamp struct {
	cfg   RecoveryRampConfig
	ramps map[string]*siteRamp
}

// siteRamp is the ramp of one site.
type siteRamp struct {
	share    float64 // share according to the ramp, regardless of an operator's limit
	reported float64 // share that was last returned to the caller

	running      bool
	nextStep     time.Duration
	stepInterval time.Duration
	successes    int // in the current step
	failures     int // in the current step

	limit      float64       // largest share that an operator allows
	limitUntil time.Duration // 0 = no limit
}

// NewRecoveryRamp returns a RecoveryRamp that limits no site.
func NewRecoveryRamp(cfg RecoveryRampConfig) *RecoveryRamp {
	return &RecoveryRamp{cfg: cfg, ramps: map[string]*siteRamp{}}
}

// rampFor returns the ramp of a site. It creates the ramp if necessary.
func (r *RecoveryRamp) rampFor(site string) *siteRamp {
	ramp := r.ramps[site]
	if ramp == nil {
		ramp = &siteRamp{share: 1, reported: 1}
		r.ramps[site] = ramp
	}
	return ramp
}

// SiteStateChanged records a change of a site's state. A ramp starts when a site that has flapped recovers, and stops
// when the site is lost or healthy.
//
// A site that has not flapped gets no ramp, because slow start already limits the load of its cold endpoints. A site
// that has flapped is more likely to fail again.
func (r *RecoveryRamp) SiteStateChanged(now time.Duration, site string, to SiteState, flaps int) {
	switch to {
	case SiteLost:
		if flaps > 0 {
			r.rampFor(site).reset(r.initialShare())
		}
	case SiteRecovering:
		if flaps > 0 {
			r.rampFor(site).start(now, r.initialShare(), r.cfg.Duration, flaps)
		}
	case SiteHealthy:
		if ramp := r.ramps[site]; ramp != nil {
			ramp.share = 1
			ramp.running = false
		}
	}
}

// initialShare returns the configured initial share, limited to its bounds.
func (r *RecoveryRamp) initialShare() float64 {
	return max(minInitialShare, min(1, r.cfg.InitialShare))
}

// reset stops the ramp and resets the share to its initial value.
func (r *siteRamp) reset(initialShare float64) {
	r.share = initialShare
	r.running = false
	r.nextStep = 0
}

// start starts a ramp. For each flap the first share is halved, and the duration is doubled.
func (r *siteRamp) start(now time.Duration, initialShare float64, duration time.Duration, flaps int) {
	slowdown := time.Duration(1) << min(flaps, maxFlapDoublings)
	r.share = initialShare / float64(slowdown)
	r.running = true
	r.successes = 0
	r.failures = 0
	r.stepInterval = slowdown * duration / rampSteps
	r.nextStep = now + r.stepInterval
}

// RecordOutcome records the outcome of an attempt or health check that was sent to an endpoint of a site. Callers don't
// report outcomes that are no evidence about the endpoint.
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

// SetLimit sets or removes an operator's limit.
func (r *RecoveryRamp) SetLimit(limit RampLimit) {
	ramp := r.rampFor(limit.Site)
	ramp.limit = max(0, min(1, limit.Share))
	ramp.limitUntil = limit.Until
}

// Update carries out the steps that are due and returns the changes, sorted by site name. due is the time at which
// Update has to be called again, 0 = not before the next change of a site's state or limit.
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

// update carries out a step if one is due, and returns the current share with the reason for it.
func (r *siteRamp) update(now time.Duration, initialShare float64) (share float64, reason string) {
	reason = reasonComplete
	if r.share < 1 {
		reason = reasonFlapped
	}
	if r.running && now >= r.nextStep {
		if r.relapsed() {
			r.backOff(now, initialShare)
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

// relapsed reports whether too many outcomes in the current step were failures.
func (r *siteRamp) relapsed() bool {
	outcomes := r.successes + r.failures
	return outcomes >= relapseMinOutcomes && float64(r.failures) > relapseFailureShare*float64(outcomes)
}

// backOff reduces the share and pauses the ramp.
func (r *siteRamp) backOff(now time.Duration, initialShare float64) {
	r.share = max(initialShare/(1<<maxFlapDoublings), relapseFactor*r.share)
	r.nextStep = now + relapsePauseSteps*r.stepInterval
}

// grow increases the share by one step. It needs no minimum of outcomes, which a router with few requests would never
// reach.
func (r *siteRamp) grow(now time.Duration, initialShare float64) {
	r.share = min(1, r.share+(1-initialShare)/rampSteps)
	r.nextStep = now + r.stepInterval
}

func (r *siteRamp) hasLimit() bool { return r.limitUntil > 0 }

// due returns the time of the next step or of the end of the limit, whichever is earlier. ok is false if there is
// neither.
func (r *siteRamp) due() (at time.Duration, ok bool) {
	if r.hasLimit() {
		at = r.limitUntil
	}
	if r.running && (at == 0 || r.nextStep < at) {
		at = r.nextStep
	}
	return at, at > 0
}

// finished reports whether the ramp no longer limits the site, now or later.
func (r *siteRamp) finished() bool {
	return !r.running && r.share >= 1 && !r.hasLimit()
}

// SiteRamp is the progress of a site's recovery, for operators.
type SiteRamp struct {
	Site  string
	Share float64
	Until time.Duration // Until is the end of an operator's limit, 0 = no limit.
}

// Ramps returns the sites that are currently limited, sorted by name.
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
