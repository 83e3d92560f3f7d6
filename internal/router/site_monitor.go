package router

import (
	"log/slog"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/sitefailover"
)

// A plan for the loss of a site needs to know what endpoints can do, so one endpoint after the other is asked for a
// load report. All routers together ask so often at most: a larger fleet has enough health checks anyway.
const (
	utilizationCheckInterval   = time.Second // of one router, while the bound leaves it that often
	utilizationChecksPerSecond = 10          // of all routers together
)

// siteMonitorHost is what the site monitor needs of the Router.
type siteMonitorHost interface {
	// checkHealth starts a health check.
	checkHealth(endpoint string)
}

// endpointStatistics is what the site monitor needs of the balancer.
type endpointStatistics interface {
	EndpointViews(visit func(balance.EndpointView))
	EndpointWorkRate(endpoint string) (rate float64, warm bool)
	ClassCost(class string) (work, mean float64)
}

// siteObserver acts on the state of sites.
type siteObserver interface {
	// siteStateChanged says that a site is taken for something else.
	siteStateChanged(now time.Duration, site string, state sitefailover.SiteState)
	// update follows the state of sites. It returns when it wants to be called next, 0 = after the next event.
	update(now time.Duration) (next time.Duration)
}

// siteMonitor follows the state of whole sites and plans for their loss. sitefailover.Monitor judges; the siteMonitor
// tells it what happens. It never chooses an endpoint for a request. A nil siteMonitor does nothing.
type siteMonitor struct {
	host       siteMonitorHost
	statistics endpointStatistics
	observer   siteObserver // nil = nobody acts on the state of sites
	checks     *siteChecks  // nil = endpoints are not checked
	loop       *eventloop.Loop
	log        *slog.Logger
	audit      auditLog
	classes    map[string]balance.Class

	monitor     *sitefailover.Monitor
	events      []sitefailover.Event // what the monitor has yet to hear
	timer       *eventloop.Timer
	demand      sitefailover.DemandMeter
	utilization sitefailover.UtilizationTracker
	classCosts  map[string]float64 // seconds of work of a request, as last seen while no site was lost

	demandBeforeLoss map[sitefailover.DemandKey]float64 // requests a second when a site was lost; nil = none is lost
}

// EnableSiteMonitor turns the site monitor on. It is called before the first endpoint list.
func (r *Router) EnableSiteMonitor(cfg sitefailover.MonitorConfig) {
	r.siteMonitor = &siteMonitor{
		host:       r,
		statistics: r.balancer,
		loop:       r.loop,
		log:        r.log,
		audit:      r.audit,
		classes:    r.classes,
		monitor:    sitefailover.NewMonitor(cfg),
		classCosts: map[string]float64{},
	}
	if r.healthChecksEnabled {
		interval := utilizationCheckInterval * time.Duration(max(1, r.instances/utilizationChecksPerSecond))
		r.siteMonitor.scheduleUtilizationCheck(interval, 0)
		r.siteMonitor.checks = newSiteChecks(r, r.instances)
	}
}

// SiteViews is what an operator sees of each site; nil while the site monitor is off.
func (r *Router) SiteViews() []sitefailover.SiteView {
	if r.siteMonitor == nil {
		return nil
	}
	return r.siteMonitor.monitor.Views()
}

// DeclareSiteLost is an operator's declaration that a site is lost for so long; 0 takes it back. It returns whether
// the site is known.
func (r *Router) DeclareSiteLost(site string, duration time.Duration) (known bool) {
	if r.siteMonitor == nil {
		return false
	}
	known = r.siteMonitor.knows(site)
	until := time.Duration(0)
	if duration > 0 {
		until = r.loop.Now() + duration
	}
	r.siteMonitor.notify(sitefailover.DeclareLost{Site: site, Until: until})
	r.Step()
	return known
}

// notify tells the monitor of an event with the next step.
func (m *siteMonitor) notify(event sitefailover.Event) { m.events = append(m.events, event) }

func (m *siteMonitor) knows(site string) bool {
	for _, view := range m.monitor.Views() {
		if view.Site == site {
			return true
		}
	}
	return false
}

// scheduleUtilizationCheck asks one endpoint after the other for a load report, one each interval.
func (m *siteMonitor) scheduleUtilizationCheck(interval time.Duration, round int) {
	m.loop.AfterFunc(interval, func() {
		var available []string
		m.statistics.EndpointViews(func(view balance.EndpointView) {
			if view.Available {
				available = append(available, view.Endpoint)
			}
		})
		if len(available) > 0 {
			m.host.checkHealth(available[round%len(available)])
		}
		m.utilization.Retain(func(endpoint string) bool { return m.monitor.SiteOf(endpoint) != "" })
		m.scheduleUtilizationCheck(interval, round+1)
	})
}

// recordDemand counts a request. A retry asks for the same once more, not for more.
func (m *siteMonitor) recordDemand(req *request) {
	if m != nil && !req.Retry {
		m.demand.Record(m.loop.Now(), demandKey(req))
	}
}

// demandKey names the demand that a request belongs to.
func demandKey(req *request) sitefailover.DemandKey {
	return sitefailover.DemandKey{Class: req.Class, Group: req.Group}
}

// recordResult takes the end of an attempt or a health check as evidence of the endpoint's site.
func (m *siteMonitor) recordResult(endpoint string, result *Result) {
	if m == nil {
		return
	}
	m.recordUtilization(endpoint, result.Utilization)
	switch result.Status {
	case balance.StatusNotSent, balance.StatusCancelled:
		// They say nothing of the endpoint.
	case balance.StatusConnectFailed:
		m.notify(sitefailover.AttemptFailed{Endpoint: endpoint, Failure: sitefailover.FailureRefused})
	case balance.StatusReset:
		m.notify(sitefailover.AttemptFailed{Endpoint: endpoint, Failure: sitefailover.FailureReset})
	case balance.StatusTimedOut:
		m.notify(sitefailover.AttemptFailed{Endpoint: endpoint, Failure: sitefailover.FailureTimeout})
	default:
		m.notify(sitefailover.EndpointAnswered{Endpoint: endpoint})
		if result.Role == balance.RoleReplica && result.Position > 0 {
			m.notify(sitefailover.ReplicaApplied{Endpoint: endpoint, Position: result.Position})
		}
	}
}

// recordUtilization takes an endpoint's utilization from a load report, 0 = it reported none. The work that endpoints
// do for this router is a mean of seconds: while a site is lost it says little of the utilization at that moment.
func (m *siteMonitor) recordUtilization(endpoint string, utilization float64) {
	if utilization <= 0 || m.monitor.AnyLost() {
		return
	}
	if rate, warm := m.statistics.EndpointWorkRate(endpoint); warm {
		m.utilization.Record(endpoint, rate, utilization)
	}
}

// primaryUpdated passes on what the balancer takes for the primary of a replica group.
func (m *siteMonitor) primaryUpdated(update balance.PrimaryUpdate) {
	if m != nil && update.Confirmed {
		m.notify(sitefailover.PrimaryObserved{Group: update.Group, Endpoint: update.Endpoint})
	}
}

// endpointsUpdated passes on an endpoint list.
func (m *siteMonitor) endpointsUpdated(list balance.EndpointList) {
	if m == nil || !hasEntries(list.Kind) {
		return
	}
	var endpoints []string
	for _, entry := range list.Entries {
		m.notify(sitefailover.EndpointListed{
			Endpoint: entry.Endpoint,
			Site:     entry.Zone,
			Group:    entry.Group,
			State:    siteEndpointState(entry.State),
		})
		endpoints = append(endpoints, entry.Endpoint)
	}
	if list.Kind != balance.ListDelta {
		m.notify(sitefailover.EndpointListComplete{Endpoints: endpoints})
	}
}

func siteEndpointState(state balance.EndpointState) sitefailover.EndpointState {
	switch state {
	case balance.EndpointDraining:
		return sitefailover.EndpointDraining
	case balance.EndpointRemoved:
		return sitefailover.EndpointRemoved
	default:
		return sitefailover.EndpointReady
	}
}

// step lets the monitor look at what has happened.
func (m *siteMonitor) step() {
	if m == nil || len(m.events) == 0 {
		return
	}
	events := m.events
	m.events = nil
	m.evaluate(events)
}

// evaluate lets the monitor look at events and at the clock, and the observer at the outcome.
func (m *siteMonitor) evaluate(events []sitefailover.Event) {
	now := m.loop.Now()
	next := time.Duration(0)
	for _, action := range m.monitor.Step(now, events) {
		switch action := action.(type) {
		case sitefailover.StateChanged:
			m.siteStateChanged(now, action)
		case sitefailover.Wake:
			next = earliest(next, action.Deadline)
		}
	}
	if m.observer != nil {
		next = earliest(next, m.observer.update(now))
	}
	next = earliest(next, m.checks.update(now, m.monitor))
	m.timer.Stop()
	if next > 0 {
		m.timer = m.loop.AfterFunc(max(0, next-now), func() { m.evaluate(nil) })
	}
}

// siteStateChanged logs and records that a site is taken for something else, and tells the observer.
func (m *siteMonitor) siteStateChanged(now time.Duration, change sitefailover.StateChanged) {
	m.log.Info("site state changed", "site", change.Site, "from", change.OldState.String(), "to", change.NewState.String(),
		"kind", change.Fault.String(), "evidence", change.Evidence)
	m.audit.record(audit.Note{
		Topic: "site",
		Text:  change.Site + " is " + change.NewState.String() + ", " + change.Fault.String() + ": " + change.Evidence,
	})
	m.rememberDemandBeforeLoss(now)
	if m.observer != nil {
		m.observer.siteStateChanged(now, change.Site, change.NewState)
	}
}

// rememberDemandBeforeLoss keeps the demand of the moment at which the first site was lost, for as long as any is.
func (m *siteMonitor) rememberDemandBeforeLoss(now time.Duration) {
	if !m.monitor.AnyLost() {
		m.demandBeforeLoss = nil
		return
	}
	if m.demandBeforeLoss == nil {
		m.demandBeforeLoss = m.demand.Rates(now)
		clear(m.classCosts) // they may be as old as the last plan that anybody has asked for
	}
}
