package router

import (
	"fmt"
	"log/slog"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/sitefailover"
)

// siteStates is what site admission needs of the site monitor.
type siteStates interface {
	// SiteOf is the site of an endpoint, "" = not known.
	SiteOf(endpoint string) string
	// AnyLost says whether any site is lost.
	AnyLost() bool
	// Flaps is how often a site was lost again while it recovered.
	Flaps(site string) int
}

// zoneLimiter is what site admission needs of the Router.
type zoneLimiter interface {
	// limitZone bounds the use of a zone to a share of its capacity.
	limitZone(zone string, share float64)
}

// siteAdmission sheds load while a site is lost, and paces the recovery of a site: its controller decides what is
// rejected, its ramp which share of a recovering site may be used. A nil siteAdmission does nothing.
type siteAdmission struct {
	limiter    zoneLimiter
	states     siteStates
	planInput  func() sitefailover.PlanInput // of this moment
	controller *sitefailover.AdmissionController
	ramp       *sitefailover.RecoveryRamp
	log        *slog.Logger
	audit      auditLog
}

// EnableSiteAdmission makes the state of sites binding: requests are shed while a site is lost, and its recovery is
// paced. It is called after EnableSiteMonitor.
func (r *Router) EnableSiteAdmission(
	admission sitefailover.AdmissionConfig, ramp sitefailover.RecoveryRampConfig, seed uint64,
) {
	r.siteAdmission = &siteAdmission{
		limiter:    r,
		states:     r.siteMonitor.monitor,
		planInput:  r.siteMonitor.presentPlanInput,
		controller: sitefailover.NewAdmissionController(admission, seed),
		ramp:       sitefailover.NewRecoveryRamp(ramp),
		log:        r.log,
		audit:      r.audit,
	}
	r.siteMonitor.observer = r.siteAdmission
}

// SiteRejectedShares is what is shed now because a site is lost; nil while site admission is off.
func (r *Router) SiteRejectedShares() []sitefailover.RejectedShare {
	if r.siteAdmission == nil {
		return nil
	}
	return r.siteAdmission.controller.RejectedShares()
}

// SiteRamps are the sites whose recovery is paced or bounded by an operator; nil while site admission is off.
func (r *Router) SiteRamps() []sitefailover.SiteRamp {
	if r.siteAdmission == nil {
		return nil
	}
	return r.siteAdmission.ramp.Ramps()
}

// LimitSiteRamp is an operator's bound on the recovery of a site: no more than a share of its capacity for so long;
// duration 0 takes the bound back. It returns whether the site is known, and whether site admission is off.
func (r *Router) LimitSiteRamp(site string, share float64, duration time.Duration) (known, off bool) {
	if r.siteAdmission == nil {
		return false, true
	}
	if !r.siteMonitor.knows(site) {
		return false, false
	}
	limit := sitefailover.RampLimit{Site: site, Share: share}
	if duration > 0 {
		limit.Until = r.loop.Now() + duration
	}
	r.siteAdmission.ramp.SetLimit(limit)
	r.siteMonitor.evaluate(nil)
	r.Step()
	return true, false
}

// limitZone implements zoneLimiter.
func (r *Router) limitZone(zone string, share float64) {
	r.notifyBalancer(balance.ZoneCapacity{Zone: zone, Share: share})
}

// shouldReject says whether a new request is shed, and after what time its client may retry.
func (a *siteAdmission) shouldReject(req *request) (retryAfter time.Duration, rejected bool) {
	if a == nil {
		return 0, false
	}
	rejected, retryAfter = a.controller.ShouldReject(demandKey(req))
	return retryAfter, rejected
}

// recordResult tells the ramp how an attempt or a health check has ended.
func (a *siteAdmission) recordResult(endpoint string, status balance.Status) {
	if a == nil || !tellsOfEndpoint(status) {
		return
	}
	failed := status != balance.StatusDone
	a.ramp.RecordOutcome(a.states.SiteOf(endpoint), failed)
}

// tellsOfEndpoint says whether an attempt that ended so says how its endpoint fares.
func tellsOfEndpoint(status balance.Status) bool {
	switch status {
	case balance.StatusNotSent, balance.StatusCancelled, balance.StatusMiss:
		return false
	default:
		return true
	}
}

// siteStateChanged implements siteObserver.
func (a *siteAdmission) siteStateChanged(now time.Duration, site string, state sitefailover.SiteState) {
	a.ramp.SiteStateChanged(now, site, state, a.states.Flaps(site))
}

// update implements siteObserver.
func (a *siteAdmission) update(now time.Duration) (next time.Duration) {
	a.updateController(now)
	changes, next := a.ramp.Update(now)
	for _, change := range changes {
		a.performRampChange(change)
	}
	return earliest(a.controller.NextUpdate(), next)
}

func (a *siteAdmission) updateController(now time.Duration) {
	admittedAll := a.controller.AdmitsAll()
	a.controller.Update(now, a.states.AnyLost(), a.planInput)
	admitsAll := a.controller.AdmitsAll()
	if admitsAll != admittedAll {
		a.log.Info("site admission changed", "admits_all", admitsAll)
	}
}

func (a *siteAdmission) performRampChange(change sitefailover.RampChange) {
	a.log.Info("site recovery ramp changed", "site", change.Site, "share", change.Share, "reason", change.Reason)
	a.audit.record(audit.Note{
		Topic: "site",
		Text:  fmt.Sprintf("%s is used for %.0f%% of what it can do: %s", change.Site, 100*change.Share, change.Reason),
	})
	a.limiter.limitZone(change.Site, change.Share)
}
