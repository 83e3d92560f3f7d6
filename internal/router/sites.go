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
type watcherOfSites struct {
	model  *sitefailover.Monitor
	events []sitefailover.Event
	timer  *eventloop.Timer
	meter  sitefailover.DemandMeter
	use    sitefailover.UtilizationTracker
	costs  map[string]float64
	before map[sitefailover.DemandKey]float64 // what was asked for when a site was lost: nil while all are well
	door   *sitefailover.AdmissionController  // nil = nothing is refused
	ramp   *sitefailover.RecoveryRamp         // nil = no return is paced
}

// WatchSites turns it on. It is called before the first list.
func (r *Router) EnableSiteMonitor(cfg sitefailover.MonitorConfig) {
	r.sites = &watcherOfSites{model: sitefailover.NewMonitor(cfg), costs: map[string]float64{}}
	r.survey(0)
}

// surveyEvery is between two reports that are asked for so that a plan knows what machines can do, and surveyAll is how many are asked for
// in a second at most by all routers together: a fleet that is larger asks for positions often enough anyway.
const (
	surveyEvery = time.Second
	surveyAll   = 10
)

// survey asks one machine after the other for a report.
func (r *Router) survey(turn int) {
	if !r.probes {
		return
	}
	r.loop.AfterFunc(surveyEvery*time.Duration(max(1, r.instances/surveyAll)), func() {
		var all []string
		r.module.EndpointViews(func(s balance.EndpointView) {
			if s.Available {
				all = append(all, s.Endpoint)
			}
		})
		if len(all) > 0 {
			r.probe(all[turn%len(all)], false)
		}
		r.sites.use.Retain(func(id string) bool { return r.sites.model.SiteOf(id) != "" })
		r.survey(turn + 1)
	})
}

// ActOnSites lets what is known of sites bind: requests are refused at the door while a site is lost, and its return is paced. It is called
// behind WatchSites.
func (r *Router) EnableSiteAdmission(door sitefailover.AdmissionConfig, ramp sitefailover.RecoveryRampConfig, seed uint64) {
	r.sites.door, r.sites.ramp = sitefailover.NewAdmissionController(door, seed), sitefailover.NewRecoveryRamp(ramp)
}

// Refusals are what is refused at the door, Paces the sites whose return is paced or bound.
func (r *Router) SiteRejectedShares() []sitefailover.RejectedShare {
	if r.sites == nil || r.sites.door == nil {
		return nil
	}
	return r.sites.door.RejectedShares()
}

// Paces: see Refusals.
func (r *Router) SiteRamps() []sitefailover.SiteRamp {
	if r.sites == nil || r.sites.ramp == nil {
		return nil
	}
	return r.sites.ramp.Ramps()
}

// BindSite is an operators' word on a site's return: no more than part of its power for so long; 0 for length takes it back. It says whether
// the site is known, and whether returns are paced here at all.
func (r *Router) LimitSiteRamp(site string, part float64, length time.Duration) (known, off bool) {
	if r.sites == nil || r.sites.ramp == nil {
		return false, true
	}
	for _, v := range r.sites.model.Views() {
		known = known || v.Site == site
	}
	if known {
		b := sitefailover.RampLimit{Site: site, Share: part}
		if length > 0 {
			b.Until = r.loop.Now() + length
		}
		r.sites.ramp.SetLimit(b)
		r.judgeSites(nil)
		r.Step()
	}
	return known, false
}

// Sites is what those on call see; nil where they are not watched.
func (r *Router) SiteViews() []sitefailover.SiteView {
	if r.sites == nil {
		return nil
	}
	return r.sites.model.Views()
}

// Plans is what the loss of each site would mean as of now; nil where sites are not watched.
func (r *Router) SiteLossPlans() []sitefailover.SiteLossPlan {
	w := r.sites
	if w == nil {
		return nil
	}
	return sitefailover.PlanLosses(r.sitesInput(false))
}

// sitesInput is what a plan is made of, with what each machine can do in the long run, or now: cold ones little.
func (r *Router) sitesInput(now bool) sitefailover.PlanInput {
	w, in := r.sites, sitefailover.PlanInput{}
	// Where work waits, attempts take longer than their work: a member carries as much work as the attempts that may be out.
	work, mean := 0.0, 0.0
	for name, seen := range w.meter.RatesByClass(r.loop.Now()) {
		c, m := r.module.ClassCost(name)
		work, mean = work+seen*c, mean+seen*m
	}
	each := 1.0
	if mean > 0 {
		each = min(1, work/mean)
	}
	fair, told := w.use.FairCapacity()
	r.module.EndpointViews(func(s balance.EndpointView) {
		carry := fair
		if !told {
			carry = max(s.WorkRate, s.ConcurrencyLimit*each)
		}
		up := s.InService // a moment's doubt is no reason to plan without a machine
		if now {
			up, carry = s.Available && !w.model.IsLost(s.Zone), carry*s.CapacityShare
		}
		in.Endpoints = append(in.Endpoints, sitefailover.PlanEndpoint{ID: s.Endpoint, Site: s.Zone, Group: s.Group, Primary: s.Primary, Available: up && !w.model.IsDown(s.Endpoint), Capacity: carry})
	})
	for k, rate := range w.meter.Rates(r.loop.Now()) {
		c := r.classes[k.Class]
		if now && w.before != nil {
			// Where other routers have gone too their clients come here, and with them their part of the machines. That can't be told
			// from a burst, which the module meets as it always does.
			rate = min(rate, w.before[k])
		}
		cost := w.cost(r.module, k.Class)
		in.Demands = append(in.Demands, sitefailover.Demand{Class: k.Class, Group: k.Group, Rate: rate, Work: cost, PriorityWeight: c.PriorityWeight,
			NeedsPrimary: c.Consistency == balance.ConsistencyWrite || c.Consistency == balance.ConsistencyLatest})
	}
	return in
}

// cost is the work of a request of a class. What is known of it in a loss is its waiting too: what was known before holds then.
func (w *watcherOfSites) cost(m *balance.Balancer, class string) float64 {
	if work, _ := m.ClassCost(class); !w.model.AnyLost() || w.costs[class] == 0 {
		w.costs[class] = work
	}
	return w.costs[class]
}

// turnedAway asks at the door whether a new request is refused, and after what time it may come again.
func (r *Router) turnedAway(q *request) (after time.Duration, refused bool) {
	w := r.sites
	if w == nil || w.door == nil {
		return 0, false
	}
	refused, after = w.door.ShouldReject(sitefailover.DemandKey{Class: q.Class, Group: q.Group})
	return after, refused
}

// Declare is an operators' word that a site is lost, for so long; 0 takes it back. It says whether the site is known.
func (r *Router) DeclareSiteLost(site string, length time.Duration) (known bool) {
	if r.sites == nil {
		return false
	}
	for _, v := range r.sites.model.Views() {
		known = known || v.Site == site
	}
	until := time.Duration(0)
	if length > 0 {
		until = r.loop.Now() + length
	}
	r.sites.events = append(r.sites.events, sitefailover.DeclareLost{Site: site, Until: until})
	r.Step()
	return known
}

// asks counts a request that is taken.
func (r *Router) asks(q *request) {
	if r.sites != nil && !q.Retry { // a repeat asks for the same once more, not for more
		r.sites.meter.Record(r.loop.Now(), sitefailover.DemandKey{Class: q.Class, Group: q.Group})
	}
}

// evidence tells how an attempt or a probe has ended.
func (r *Router) evidence(node string, res Result) {
	w := r.sites
	if w == nil {
		return
	}
	if res.Utilization > 0 && !w.model.AnyLost() { // what they do for this router is a mean of seconds: in a loss it says little of their use now
		if rate, warm := r.module.EndpointWorkRate(node); warm {
			w.use.Record(node, rate, res.Utilization)
		}
	}
	if w.ramp != nil && res.Status != balance.StatusNotSent && res.Status != balance.StatusCancelled && res.Status != balance.StatusMiss {
		w.ramp.RecordOutcome(w.model.SiteOf(node), res.Status != balance.StatusDone)
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
func (r *Router) listedSites(l balance.EndpointList) {
	w := r.sites
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
func (r *Router) stepSites() {
	w := r.sites
	if w == nil || len(w.events) == 0 {
		return
	}
	events := w.events
	w.events = nil
	r.judgeSites(events)
}

func (r *Router) judgeSites(events []sitefailover.Event) {
	w, now := r.sites, r.loop.Now()
	wake := time.Duration(0)
	at := func(t time.Duration) {
		if t > 0 && (wake == 0 || t < wake) {
			wake = t
		}
	}
	for _, a := range w.model.Step(now, events) {
		switch a := a.(type) {
		case sitefailover.StateChanged:
			r.log.Info("site", "site", a.Site, "from", a.OldState.String(), "to", a.NewState.String(), "kind", a.Fault.String(), "evidence", a.Evidence)
			r.record(audit.Note{Topic: "site", Text: a.Site + " is " + a.NewState.String() + ", " + a.Fault.String() + ": " + a.Evidence})
			switch troubled := w.model.AnyLost(); {
			case troubled && w.before == nil:
				w.before = w.meter.Rates(now)
				clear(w.costs) // they may be as old as the last plan that anybody asked for
			case !troubled:
				w.before = nil
			}
			if w.ramp != nil {
				w.ramp.SiteStateChanged(now, a.Site, a.NewState, w.model.Flaps(a.Site))
			}
		case sitefailover.Wake:
			at(a.Deadline)
		}
	}
	if w.door != nil {
		was := w.door.AdmitsAll()
		w.door.Update(now, w.model.AnyLost(), func() sitefailover.PlanInput { return r.sitesInput(true) })
		if is := w.door.AdmitsAll(); is != was {
			r.log.Info("site door", "open", is)
		}
		at(w.door.NextUpdate())
		paced, due := w.ramp.Update(now)
		at(due)
		for _, p := range paced {
			r.log.Info("site pace", "site", p.Site, "part", p.Share, "why", p.Reason)
			r.record(audit.Note{Topic: "site", Text: fmt.Sprintf("%s is used for %.0f%% of what it can do: %s", p.Site, 100*p.Share, p.Reason)})
			r.pending = append(r.pending, balance.ZoneCapacity{Zone: p.Site, Share: p.Share})
		}
	}
	w.timer.Stop()
	if wake > 0 {
		w.timer = r.loop.AfterFunc(max(0, wake-now), func() { r.judgeSites(nil) })
	}
}
