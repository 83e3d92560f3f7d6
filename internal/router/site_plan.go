package router

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/sitefailover"
)

// planHorizon says which capacity and demand a plan is made of.
type planHorizon uint8

const (
	// planLongRun takes each endpoint that is in service for what it can do once it is warm.
	planLongRun planHorizon = iota
	// planAtPresent takes endpoints as they are at this moment: none in a lost site, and little of one that warms up.
	planAtPresent
)

// SiteLossPlans is what the loss of each site would mean as of now; nil while the site monitor is off.
func (r *Router) SiteLossPlans() []sitefailover.SiteLossPlan {
	if r.siteMonitor == nil {
		return nil
	}
	return sitefailover.PlanLosses(r.siteMonitor.planInput(planLongRun))
}

// presentPlanInput is what a plan for this moment is made of.
func (m *siteMonitor) presentPlanInput() sitefailover.PlanInput { return m.planInput(planAtPresent) }

// planInput is what a plan is made of.
func (m *siteMonitor) planInput(horizon planHorizon) sitefailover.PlanInput {
	now := m.loop.Now()
	return sitefailover.PlanInput{
		Endpoints: m.planEndpoints(now, horizon),
		Demands:   m.planDemands(now, horizon),
	}
}

// planEndpoints is what each endpoint can do for this router.
func (m *siteMonitor) planEndpoints(now time.Duration, horizon planHorizon) []sitefailover.PlanEndpoint {
	workShare := m.workShareOfAttempts(now)
	fairCapacity, known := m.utilization.FairCapacity()
	var endpoints []sitefailover.PlanEndpoint
	m.statistics.EndpointViews(func(view balance.EndpointView) {
		capacity := fairCapacity
		if !known {
			capacity = max(view.WorkRate, view.ConcurrencyLimit*workShare)
		}
		available := view.InService // a suspicion of this moment is no reason to plan without an endpoint
		if horizon == planAtPresent {
			available = view.Available && !m.monitor.IsLost(view.Zone)
			capacity *= view.CapacityShare
		}
		endpoints = append(endpoints, sitefailover.PlanEndpoint{
			ID:        view.Endpoint,
			Site:      view.Zone,
			Group:     view.Group,
			Primary:   view.Primary,
			Available: available && !m.monitor.IsDown(view.Endpoint),
			Capacity:  capacity,
		})
	})
	return endpoints
}

// workShareOfAttempts is the part of an attempt's duration that is work. Where work is queued at an endpoint attempts
// take longer than their work: it does as much work as the attempts that may be in flight, less their time in queues.
func (m *siteMonitor) workShareOfAttempts(now time.Duration) float64 {
	work := 0.0
	duration := 0.0
	for class, rate := range m.demand.RatesByClass(now) {
		classWork, classDuration := m.statistics.ClassCost(class)
		work += rate * classWork
		duration += rate * classDuration
	}
	if duration <= 0 {
		return 1
	}
	return min(1, work/duration)
}

// planDemands is what is asked for.
func (m *siteMonitor) planDemands(now time.Duration, horizon planHorizon) []sitefailover.Demand {
	var demands []sitefailover.Demand
	for key, rate := range m.demand.Rates(now) {
		class := m.classes[key.Class]
		if horizon == planAtPresent && m.demandBeforeLoss != nil {
			// Where other routers are lost too their clients come to this one, and with them their part of the
			// endpoints. That can't be told from a burst, which the balancer handles as it always does.
			rate = min(rate, m.demandBeforeLoss[key])
		}
		demands = append(demands, sitefailover.Demand{
			Class:          key.Class,
			Group:          key.Group,
			Rate:           rate,
			Work:           m.classCost(key.Class),
			PriorityWeight: class.PriorityWeight,
			NeedsPrimary:   needsPrimary(class.Consistency),
		})
	}
	return demands
}

func needsPrimary(consistency balance.Consistency) bool {
	return consistency == balance.ConsistencyWrite || consistency == balance.ConsistencyLatest
}

// classCost is the work of a request of a class in seconds. What is measured while a site is lost contains time in
// queues: the cost from before the loss holds then.
func (m *siteMonitor) classCost(class string) float64 {
	work, _ := m.statistics.ClassCost(class)
	if !m.monitor.AnyLost() || m.classCosts[class] == 0 {
		m.classCosts[class] = work
	}
	return m.classCosts[class]
}
