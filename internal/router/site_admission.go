package router

import (
	"fmt"
	"log/slog"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/sitefailover"
)

// siteStates has the methods of the site monitor that site admission needs.
type siteStates interface {
	// SiteOf returns the site of an endpoint, "" = unknown.
	SiteOf(endpoint string) string
	// AnyLost reports whether any site is lost.
	AnyLost() bool
	// Flaps returns how often a site was lost again while it recovered.
	Flaps(site string) int
}

// zoneLimiter has the methods of Router that site admission needs.
type zoneLimiter interface {
	// limitZone limits the use of a zone to a share of its capacity.
	limitZone(zone string, share float64)
}

// siteAdmission sheds load while a site is lost, and paces the recovery of a site: its controller decides which
// requests are rejected, its ramp which share of a recovering site may be used. A nil siteAdmission does nothing.
type siteAdmission struct {
	limiter    zoneLimiter
	states     siteStates
	planInput  func() sitefailover.PlanInput // returns the present capacity and demand
	controller *sitefailover.AdmissionController
	ramp       *sitefailover.RecoveryRamp
	log        *slog.Logger
	audit      auditLog
}

// EnableSiteAdmission makes the router act on the state of sites: requests are shed while a site is lost, and its
// recovery is paced. It must be called after EnableSiteMonitor.
func (r *Router) EnableSiteAdmission(
	admission sitefailover.AdmissionConfig, ramp sitefailover.RecoveryRampConfig, seed uint64,
) {
	r.siteAdmission = &siteAdmission{
		limiter:    r,
		states:     r.siteMonitor.monitor,
		planInput:  r.siteMonitor.currentPlanInput,
		controller: sitefailover.NewAdmissionController(admission, seed),
		ramp:       sitefailover.NewRecoveryRamp(ramp),
		log:        r.log,
		audit:      r.audit,
	}
	r.siteMonitor.observer = r.siteAdmission
}

// SiteRejectedShares returns the shares of requests that are rejected at present because a site is lost, or nil if site
// admission is disabled.
func (r *Router) SiteRejectedShares() []sitefailover.RejectedShare {
	if r.siteAdmission == nil {
		return nil
	}
	return r.siteAdmission.controller.RejectedShares()
}

// SiteRamps returns the recovery ramps of the sites whose recovery is paced or limited by an operator, or nil if site
// admission is disabled.
func (r *Router) SiteRamps() []sitefailover.SiteRamp {
	if r.siteAdmission == nil {
		return nil
	}
	return r.siteAdmission.ramp.Ramps()
}

// LimitSiteRamp sets an operator's limit on the recovery of a site: at most the given share of its capacity is used for
// the given duration. Duration 0 removes the limit. It reports whether the site is known, and whether site admission is
// disabled.
func (r *Router) LimitSiteRamp(site string, share float64, duration time.Duration) (known, off bool) {
	if r.siteAdmission == nil {
		return false, true
	}
	if !r.siteMonitor.knowsSite(site) {
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

// shouldReject reports whether a new request is shed, and after which time its client may retry it.
func (a *siteAdmission) shouldReject(req *request) (retryAfter time.Duration, rejected bool) {
	if a == nil {
		return 0, false
	}
	rejected, retryAfter = a.controller.ShouldReject(demandKey(req))
	return retryAfter, rejected
}

// recordResult reports the result of an attempt or a health check to the ramp.
func (a *siteAdmission) recordResult(endpoint string, status balance.Status) {
	if a == nil || !reflectsEndpointHealth(status) {
		return
	}
	failed := status != balance.StatusDone
	a.ramp.RecordOutcome(a.states.SiteOf(endpoint), failed)
}

// reflectsEndpointHealth reports whether the status of an attempt or a health check shows if the endpoint works.
func reflectsEndpointHealth(status balance.Status) bool {
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
