package router

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/loop"
	"limeladder/internal/sites"
)

// What the core tells of whole sites, and the plans for their loss. sites.Model judges and sites.Make plans; nothing here decides
// where a request goes. Without it none of this costs anything.

// watcherOfSites is the model, and what has happened since it was looked at.
type watcherOfSites struct {
	model  *sites.Model
	events []sites.Event
	timer  *loop.Timer
	meter  sites.Meter
}

// WatchSites turns it on. It is called before the first list.
func (r *Router) WatchSites(cfg sites.Config) {
	r.sites = &watcherOfSites{model: sites.New(cfg)}
}

// Sites is what those on call see; nil where they are not watched.
func (r *Router) Sites() []sites.View {
	if r.sites == nil {
		return nil
	}
	return r.sites.model.Views()
}

// Plans is what the loss of each site would mean as of now; nil where sites are not watched.
func (r *Router) Plans() []sites.Loss {
	w := r.sites
	if w == nil {
		return nil
	}
	in := sites.Input{}
	// Where work waits, attempts take longer than their work: a member carries as much work as the attempts that may be out.
	work, mean := 0.0, 0.0
	for name, seen := range w.meter.Classes(r.loop.Now()) {
		c, m := r.module.Cost(name)
		work, mean = work+seen*c, mean+seen*m
	}
	each := 1.0
	if mean > 0 {
		each = min(1, work/mean)
	}
	r.module.Sights(func(s balance.Sight) {
		in.Members = append(in.Members, sites.Member{ID: s.Node, Site: s.Zone, Bank: s.Group, Primary: s.Primary, Up: s.Up && !w.model.Down(s.Node),
			Carry: max(s.Rate, s.Limit*each)})
	})
	for k, rate := range w.meter.Rates(r.loop.Now()) {
		c := r.classes[k.Class]
		cost, _ := r.module.Cost(k.Class)
		in.Demands = append(in.Demands, sites.Demand{Class: k.Class, Bank: k.Bank, Rate: rate, Work: cost, Worth: c.Worth,
			Strong: c.Need == balance.NeedUpdate || c.Need == balance.NeedLatest})
	}
	return sites.Make(in)
}

// Declare is an operators' word that a site is lost, for so long; 0 takes it back. It says whether the site is known.
func (r *Router) Declare(site string, length time.Duration) (known bool) {
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
	r.sites.events = append(r.sites.events, sites.Declare{Site: site, Until: until})
	r.Step()
	return known
}

// asks counts a request that is taken.
func (r *Router) asks(q *request) {
	if r.sites != nil {
		r.sites.meter.Asked(r.loop.Now(), sites.Key{Class: q.Class, Bank: q.Group})
	}
}

// evidence tells how an attempt or a probe has ended.
func (r *Router) evidence(node string, res Result) {
	w := r.sites
	if w == nil {
		return
	}
	switch res.Status {
	case balance.Skipped, balance.Cancelled: // it says nothing of the machine
	case balance.ConnectFailed:
		w.events = append(w.events, sites.Failed{Machine: node, Why: sites.Refused})
	case balance.Reset:
		w.events = append(w.events, sites.Failed{Machine: node, Why: sites.Reset})
	case balance.TimedOut:
		w.events = append(w.events, sites.Failed{Machine: node, Why: sites.Silent})
	default:
		w.events = append(w.events, sites.Heard{Machine: node})
		if res.Role == balance.RoleReplica && res.Position > 0 {
			w.events = append(w.events, sites.Applied{Machine: node, Upto: res.Position})
		}
	}
}

// listedSites tells what a list says.
func (r *Router) listedSites(l balance.List) {
	w := r.sites
	if w == nil || l.Kind == balance.ListFailed || l.Kind == balance.ListSilent {
		return
	}
	states := map[balance.State]sites.ListState{balance.Ready: sites.Ready, balance.Draining: sites.Draining, balance.Gone: sites.Gone}
	var all []string
	for _, e := range l.Entries {
		w.events = append(w.events, sites.Listed{Machine: e.Node, Site: e.Zone, Bank: e.Group, State: states[e.State]})
		all = append(all, e.Node)
	}
	if l.Kind != balance.ListDelta {
		w.events = append(w.events, sites.Whole{Machines: all})
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

func (r *Router) judgeSites(events []sites.Event) {
	w := r.sites
	for _, a := range w.model.Step(r.loop.Now(), events) {
		switch a := a.(type) {
		case sites.Changed:
			r.log.Info("site", "site", a.Site, "from", a.From.String(), "to", a.To.String(), "kind", a.Kind.String(), "evidence", a.Evidence)
			r.record(audit.Note{Topic: "site", Text: a.Site + " is " + a.To.String() + ", " + a.Kind.String() + ": " + a.Evidence})
		case sites.Wake:
			w.timer.Stop()
			w.timer = r.loop.After(a.At-r.loop.Now(), func() { r.judgeSites(nil) })
		}
	}
}
