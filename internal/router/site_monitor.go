package router

import (
	"log/slog"
	"time"

	"limeladder/balance"
	"limeladder/internal/audit"
	"limeladder/internal/eventloop"
	"limeladder/internal/sitefailover"
)

// A plan for the loss of a site needs the capacity of endpoints, so the endpoints are asked for load reports in turn.
// The rate of all routers together is limited: a larger fleet has enough health checks anyway.
const (
	utilizationCheckInterval   = time.Second // per router; longer if utilizationChecksPerSecond requires it
	utilizationChecksPerSecond = 10          // by all routers together
)

// siteMonitorHost has the methods of Router that the site monitor needs.
type siteMonitorHost interface {
	// checkHealth starts a health check.
	checkHealth(endpoint string)
}

// endpointStatistics has the methods of the balancer that the site monitor needs.
type endpointStatistics interface {
	// EndpointViews calls visit for each endpoint in the list.
	EndpointViews(visit func(balance.EndpointView))
	// EndpointWorkRate returns the work that an endpoint does for this router, in seconds of work per second, and
	// whether the endpoint is warm.
	EndpointWorkRate(endpoint string) (rate float64, warm bool)
	// ClassCost returns the work per request of a class and the mean duration of its attempts, in seconds.
	ClassCost(class string) (work, mean float64)
}

// siteObserver acts on changes of the state of sites.
type siteObserver interface {
	// siteStateChanged is called when the state of a site has changed.
	siteStateChanged(now time.Duration, site string, state sitefailover.SiteState)
	// update is called after each step of the monitor. It returns the time of the next call, 0 = after the next event.
	update(now time.Duration) (next time.Duration)
}

// siteMonitor tracks the state of whole sites and plans for their loss. It passes events to a sitefailover.Monitor,
// which determines the state. It never chooses an endpoint for a request. A nil siteMonitor does nothing.
type siteMonitor struct {
	host       siteMonitorHost
	statistics endpointStatistics
	observer   siteObserver // nil = nothing acts on the state of sites
	checker    *siteChecker // nil = lost and recovering sites are not checked
	loop       *eventloop.Loop
	log        *slog.Logger
	audit      auditLog
	classes    map[string]balance.Class

	monitor     *sitefailover.Monitor
	events      []sitefailover.Event // for the monitor's next step
	timer       *eventloop.Timer
	demand      sitefailover.DemandMeter
	utilization sitefailover.UtilizationTracker
	classCosts  map[string]float64 // work per request in seconds, as last measured while no site was lost

	demandBeforeLoss map[sitefailover.DemandKey]float64 // requests per second when a site was lost; nil = no site is lost
}

// EnableSiteMonitor enables the site monitor. It must be called before the first endpoint list is delivered.
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
		r.siteMonitor.checker = newSiteChecker(r, r.instances)
	}
}

// SiteViews returns the state of each site as shown to operators, or nil if the site monitor is disabled.
func (r *Router) SiteViews() []sitefailover.SiteView {
	if r.siteMonitor == nil {
		return nil
	}
	return r.siteMonitor.monitor.Views()
}

// DeclareSiteLost handles an operator's declaration that a site is lost for the given duration. Duration 0 revokes it.
// It reports whether the site is known.
func (r *Router) DeclareSiteLost(site string, duration time.Duration) (known bool) {
	if r.siteMonitor == nil {
		return false
	}
	known = r.siteMonitor.knowsSite(site)
	until := time.Duration(0)
	if duration > 0 {
		until = r.loop.Now() + duration
	}
	r.siteMonitor.notify(sitefailover.DeclareLost{Site: site, Until: until})
	r.Step()
	return known
}

// notify queues an event for the monitor's next step.
func (m *siteMonitor) notify(event sitefailover.Event) { m.events = append(m.events, event) }

func (m *siteMonitor) knowsSite(site string) bool {
	for _, view := range m.monitor.Views() {
		if view.Site == site {
			return true
		}
	}
	return false
}

// scheduleUtilizationCheck asks the available endpoints for load reports in turn, one endpoint per interval.
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

// recordDemand counts a request as demand. Retries are not counted, because they repeat demand that was counted before.
func (m *siteMonitor) recordDemand(req *request) {
	if m != nil && !req.Retry {
		m.demand.Record(m.loop.Now(), demandKey(req))
	}
}

// demandKey returns the key of the demand that a request is counted in.
func demandKey(req *request) sitefailover.DemandKey {
	return sitefailover.DemandKey{Class: req.Class, Group: req.Group}
}

// recordResult reports the result of an attempt or a health check to the monitor, as evidence of the state of the
// endpoint's site.
func (m *siteMonitor) recordResult(endpoint string, result *Result) {
	if m == nil {
		return
	}
	m.recordUtilization(endpoint, result.Utilization)
	switch result.Status {
	case balance.StatusNotSent, balance.StatusCancelled:
		// These show nothing about the endpoint.
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

// recordUtilization records the utilization from an endpoint's load report, 0 = not reported. The rate of the work that
// an endpoint does for this router is a mean over seconds. While a site is lost it does not match the utilization at
// that time, so nothing is recorded.
func (m *siteMonitor) recordUtilization(endpoint string, utilization float64) {
	if utilization <= 0 || m.monitor.AnyLost() {
		return
	}
	if rate, warm := m.statistics.EndpointWorkRate(endpoint); warm {
		m.utilization.Record(endpoint, rate, utilization)
	}
}

// primaryUpdated reports the balancer's view of a replica group's primary to the monitor.
func (m *siteMonitor) primaryUpdated(update balance.PrimaryUpdate) {
	if m != nil && update.Confirmed {
		m.notify(sitefailover.PrimaryObserved{Group: update.Group, Endpoint: update.Endpoint})
	}
}

// endpointsUpdated passes an endpoint list to the monitor.
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

// step lets the monitor process the pending events.
func (m *siteMonitor) step() {
	if m == nil || len(m.events) == 0 {
		return
	}
	events := m.events
	m.events = nil
	m.evaluate(events)
}

// evaluate lets the monitor process events and the passage of time, and then updates the observer and the checker.
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
	next = earliest(next, m.checker.update(now, m.monitor))
	m.timer.Stop()
	if next > 0 {
		m.timer = m.loop.AfterFunc(max(0, next-now), func() { m.evaluate(nil) })
	}
}

// siteStateChanged writes a change of state to the log and the audit record, and notifies the observer.
func (m *siteMonitor) siteStateChanged(now time.Duration, change sitefailover.StateChanged) {
	m.log.Info("site state changed", "site", change.Site, "from", change.OldState.String(), "to", change.NewState.String(),
		"kind", change.Fault.String(), "evidence", change.Evidence)
	m.audit.record(audit.Note{
		Topic: "site",
		Text:  change.Site + " is " + change.NewState.String() + ", " + change.Fault.String() + ": " + change.Evidence,
	})
	m.updateDemandBeforeLoss(now)
	if m.observer != nil {
		m.observer.siteStateChanged(now, change.Site, change.NewState)
	}
}

// updateDemandBeforeLoss saves the demand at the time when the first site is lost, and discards it when no site is
// lost.
func (m *siteMonitor) updateDemandBeforeLoss(now time.Duration) {
	if !m.monitor.AnyLost() {
		m.demandBeforeLoss = nil
		return
	}
	if m.demandBeforeLoss == nil {
		m.demandBeforeLoss = m.demand.Rates(now)
		clear(m.classCosts) // may be outdated: they are only updated when a plan is requested
	}
}
