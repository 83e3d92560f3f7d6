package router

import (
	"fmt"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/sitefailover"
)

// What the core tells of whole sites, and the plans for their loss. sites.Model judges and sites.Make plans; sites.Door says at the door
// what is refused while a site is lost, sites.Ramp what part of a returning site may be used, which the decision module heeds. Which
// server a request goes to is the module's. Without it none of this costs anything.

// watcherOfSites is the model, and what has happened since it was looked at.
type siteMonitor struct {
	monitor          *sitefailover.Monitor
	events           []sitefailover.Event
	timer            *eventloop.Timer
	demand           sitefailover.DemandMeter
	utilization      sitefailover.UtilizationTracker
	classCosts       map[string]float64
	demandBeforeLoss map[sitefailover.DemandKey]float64 // what was asked for when a site was lost: nil while all are well
	admission        *sitefailover.AdmissionController  // nil = nothing is refused
	ramp             *sitefailover.RecoveryRamp         // nil = no return is paced
}

// WatchSites turns it on. It is called before the first list.
func (router *Router) EnableSiteMonitor(cfg sitefailover.Config) {
	router.siteMonitor = &siteMonitor{monitor: sitefailover.New(cfg), classCosts: map[string]float64{}}
	router.scheduleUtilizationCheck(0)
}

// surveyEvery is between two reports that are asked for so that a plan knows what machines can do, and surveyAll is how many are asked for
// in a second at most by all routers together: a fleet that is larger asks for positions often enough anyway.
const (
	utilizationCheckInterval   = time.Second
	utilizationChecksPerSecond = 10
)

// survey asks one machine after the other for a report.
func (router *Router) scheduleUtilizationCheck(turn int) {
	if !router.healthChecksEnabled {
		return
	}
	router.loop.AfterFunc(utilizationCheckInterval*time.Duration(max(1, router.instances/utilizationChecksPerSecond)), func() {
		var all []string
		router.balancer.EndpointViews(func(s balance.EndpointView) {
			if s.Available {
				all = append(all, s.Endpoint)
			}
		})
		if len(all) > 0 {
			router.checkHealth(all[turn%len(all)], false)
		}
		router.siteMonitor.utilization.Retain(func(id string) bool { return router.siteMonitor.monitor.SiteOf(id) != "" })
		router.scheduleUtilizationCheck(turn + 1)
	})
}

// ActOnSites lets what is known of sites bind: requests are refused at the door while a site is lost, and its return is paced. It is called
// behind WatchSites.
func (router *Router) EnableSiteAdmission(door sitefailover.AdmissionConfig, ramp sitefailover.RecoveryRampConfig, seed uint64) {
	router.siteMonitor.admission, router.siteMonitor.ramp = sitefailover.NewAdmissionController(door, seed), sitefailover.NewRecoveryRamp(ramp)
}

// Refusals are what is refused at the door, Paces the sites whose return is paced or bound.
func (router *Router) SiteRejectedShares() []sitefailover.RejectedShare {
	if router.siteMonitor == nil || router.siteMonitor.admission == nil {
		return nil
	}
	return router.siteMonitor.admission.RejectedShares()
}

// Paces: see Refusals.
func (router *Router) SiteRamps() []sitefailover.SiteRamp {
	if router.siteMonitor == nil || router.siteMonitor.ramp == nil {
		return nil
	}
	return router.siteMonitor.ramp.Ramps()
}

// BindSite is an operators' word on a site's return: no more than part of its power for so long; 0 for length takes it back. It says whether
// the site is known, and whether returns are paced here at all.
func (router *Router) LimitSiteRamp(site string, part float64, length time.Duration) (known, off bool) {
	if router.siteMonitor == nil || router.siteMonitor.ramp == nil {
		return false, true
	}
	for _, v := range router.siteMonitor.monitor.Views() {
		known = known || v.Site == site
	}
	if known {
		b := sitefailover.RampLimit{Site: site, Share: part}
		if length > 0 {
			b.Until = router.loop.Now() + length
		}
		router.siteMonitor.ramp.SetLimit(b)
		router.evaluateSites(nil)
		router.Step()
	}
	return known, false
}

// Sites is what those on call see; nil where they are not watched.
func (router *Router) SiteViews() []sitefailover.SiteView {
	if router.siteMonitor == nil {
		return nil
	}
	return router.siteMonitor.monitor.Views()
}

// Plans is what the loss of each site would mean as of now; nil where sites are not watched.
func (router *Router) SiteLossPlans() []sitefailover.SiteLossPlan {
	w := router.siteMonitor
	if w == nil {
		return nil
	}
	return sitefailover.PlanLosses(router.planInput(false))
}

// sitesInput is what a plan is made of, with what each machine can do in the long run, or now: cold ones little.
func (router *Router) planInput(now bool) sitefailover.PlanInput {
	w, in := router.siteMonitor, sitefailover.PlanInput{}
	// Where work waits, attempts take longer than their work: a member carries as much work as the attempts that may be out.
	work, mean := 0.0, 0.0
	for name, seen := range w.demand.RatesByClass(router.loop.Now()) {
		c, m := router.balancer.ClassCost(name)
		work, mean = work+seen*c, mean+seen*m
	}
	each := 1.0
	if mean > 0 {
		each = min(1, work/mean)
	}
	fair, told := w.utilization.FairCapacity()
	router.balancer.EndpointViews(func(s balance.EndpointView) {
		carry := fair
		if !told {
			carry = max(s.WorkRate, s.ConcurrencyLimit*each)
		}
		up := s.InService // a moment's doubt is no reason to plan without a machine
		if now {
			up, carry = s.Available && !w.monitor.IsLost(s.Zone), carry*s.CapacityShare
		}
		in.Endpoints = append(in.Endpoints, sitefailover.PlanEndpoint{ID: s.Endpoint, Site: s.Zone, Group: s.Group, Primary: s.Primary, Available: up && !w.monitor.IsDown(s.Endpoint), Capacity: carry})
	})
	for k, rate := range w.demand.Rates(router.loop.Now()) {
		c := router.classes[k.Class]
		if now && w.demandBeforeLoss != nil {
			// Where other routers have gone too their clients come here, and with them their part of the machines. That can't be told
			// from a burst, which the module meets as it always does.
			rate = min(rate, w.demandBeforeLoss[k])
		}
		cost := w.classCost(router.balancer, k.Class)
		in.Demands = append(in.Demands, sitefailover.Demand{
			Class: k.Class, Group: k.Group, Rate: rate, Work: cost, PriorityWeight: c.PriorityWeight,
			NeedsPrimary: c.Consistency == balance.ConsistencyWrite || c.Consistency == balance.ConsistencyLatest,
		})
	}
	return in
}

// cost is the work of a request of a class. What is known of it in a loss is its waiting too: what was known before holds then.
func (w *siteMonitor) classCost(m *balance.Balancer, class string) float64 {
	if work, _ := m.ClassCost(class); !w.monitor.AnyLost() || w.classCosts[class] == 0 {
		w.classCosts[class] = work
	}
	return w.classCosts[class]
}

// turnedAway asks at the door whether a new request is refused, and after what time it may come again.
func (router *Router) rejectedForSiteLoss(req *request) (after time.Duration, refused bool) {
	w := router.siteMonitor
	if w == nil || w.admission == nil {
		return 0, false
	}
	refused, after = w.admission.ShouldReject(sitefailover.DemandKey{Class: req.Class, Group: req.Group})
	return after, refused
}

// Declare is an operators' word that a site is lost, for so long; 0 takes it back. It says whether the site is known.
func (router *Router) DeclareSiteLost(site string, length time.Duration) (known bool) {
	if router.siteMonitor == nil {
		return false
	}
	for _, v := range router.siteMonitor.monitor.Views() {
		known = known || v.Site == site
	}
	until := time.Duration(0)
	if length > 0 {
		until = router.loop.Now() + length
	}
	router.siteMonitor.events = append(router.siteMonitor.events, sitefailover.DeclareLost{Site: site, Until: until})
	router.Step()
	return known
}

// asks counts a request that is taken.
func (router *Router) recordDemand(req *request) {
	if router.siteMonitor != nil && !req.Retry { // a repeat asks for the same once more, not for more
		router.siteMonitor.demand.Record(router.loop.Now(), sitefailover.DemandKey{Class: req.Class, Group: req.Group})
	}
}

// evidence tells how an attempt or a probe has ended.
func (router *Router) recordSiteEvidence(node string, res Result) {
	w := router.siteMonitor
	if w == nil {
		return
	}
	if res.Utilization > 0 && !w.monitor.AnyLost() { // what they do for this router is a mean of seconds: in a loss it says little of their use now
		if rate, warm := router.balancer.EndpointWorkRate(node); warm {
			w.utilization.Record(node, rate, res.Utilization)
		}
	}
	if w.ramp != nil && res.Status != balance.StatusNotSent && res.Status != balance.StatusCancelled && res.Status != balance.StatusMiss {
		w.ramp.RecordOutcome(w.monitor.SiteOf(node), res.Status != balance.StatusDone)
	}
	switch res.Status {
	case balance.StatusNotSent, balance.StatusCancelled: // it says nothing of the machine
	case balance.StatusConnectFailed:
		w.events = append(w.events, sitefailover.AttemptFailed{Endpoint: node, Failure: sitefailover.FailureRefused})
	case balance.StatusReset:
		w.events = append(w.events, sitefailover.AttemptFailed{Endpoint: node, Failure: sitefailover.FailureReset})
	case balance.StatusTimedOut:
		w.events = append(w.events, sitefailover.AttemptFailed{Endpoint: node, Failure: sitefailover.FailureTimeout})
	default:
		w.events = append(w.events, sitefailover.EndpointAnswered{Endpoint: node})
		if res.Role == balance.RoleReplica && res.Position > 0 {
			w.events = append(w.events, sitefailover.ReplicaApplied{Endpoint: node, Position: res.Position})
		}
	}
}

// listedSites tells what a list says.
func (router *Router) updateSiteEndpoints(l balance.EndpointList) {
	w := router.siteMonitor
	if w == nil || l.Kind == balance.ListFailed || l.Kind == balance.ListSilent {
		return
	}
	states := map[balance.EndpointState]sitefailover.EndpointState{balance.EndpointReady: sitefailover.EndpointReady, balance.EndpointDraining: sitefailover.EndpointDraining, balance.EndpointRemoved: sitefailover.EndpointRemoved}
	var all []string
	for _, e := range l.Entries {
		w.events = append(w.events, sitefailover.EndpointListed{Endpoint: e.Endpoint, Site: e.Zone, Group: e.Group, State: states[e.State]})
		all = append(all, e.Endpoint)
	}
	if l.Kind != balance.ListDelta {
		w.events = append(w.events, sitefailover.EndpointListComplete{Endpoints: all})
	}
}

// stepSites lets the model look at what has come.
func (router *Router) stepSites() {
	w := router.siteMonitor
	if w == nil || len(w.events) == 0 {
		return
	}
	events := w.events
	w.events = nil
	router.evaluateSites(events)
}

func (router *Router) evaluateSites(events []sitefailover.Event) {
	w, now := router.siteMonitor, router.loop.Now()
	wake := time.Duration(0)
	at := func(t time.Duration) {
		if t > 0 && (wake == 0 || t < wake) {
			wake = t
		}
	}
	for _, a := range w.monitor.Step(now, events) {
		switch a := a.(type) {
		case sitefailover.StateChanged:
			router.log.Info("site", "site", a.Site, "from", a.From.String(), "to", a.To.String(), "kind", a.Kind.String(), "evidence", a.Evidence)
			router.audited(audit.Note{Topic: "site", Text: a.Site + " is " + a.To.String() + ", " + a.Kind.String() + ": " + a.Evidence})
			switch troubled := w.monitor.AnyLost(); {
			case troubled && w.demandBeforeLoss == nil:
				w.demandBeforeLoss = w.demand.Rates(now)
				clear(w.classCosts) // they may be as old as the last plan that anybody asked for
			case !troubled:
				w.demandBeforeLoss = nil
			}
			if w.ramp != nil {
				w.ramp.SiteStateChanged(now, a.Site, a.To, w.monitor.Flaps(a.Site))
			}
		case sitefailover.Wake:
			at(a.At)
		}
	}
	if w.admission != nil {
		was := w.admission.AdmitsAll()
		w.admission.Update(now, w.monitor.AnyLost(), func() sitefailover.PlanInput { return router.planInput(true) })
		if is := w.admission.AdmitsAll(); is != was {
			router.log.Info("site door", "open", is)
		}
		at(w.admission.NextUpdate())
		paced, due := w.ramp.Update(now)
		at(due)
		for _, p := range paced {
			router.log.Info("site pace", "site", p.Site, "part", p.Share, "why", p.Reason)
			router.audited(audit.Note{Topic: "site", Text: fmt.Sprintf("%s is used for %.0f%% of what it can do: %s", p.Site, 100*p.Share, p.Reason)})
			router.balancerEvents = append(router.balancerEvents, balance.ZoneCapacity{Zone: p.Site, Share: p.Share})
		}
	}
	w.timer.Stop()
	if wake > 0 {
		w.timer = router.loop.AfterFunc(max(0, wake-now), func() { router.evaluateSites(nil) })
	}
}
