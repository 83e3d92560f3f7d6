package router

import (
	"time"

	"limeladder/balance"
	"limeladder/internal/sitefailover"
)

// planHorizon selects the capacity and demand that a plan is based on.
type planHorizon uint8

const (
	// planSteadyState uses the capacity that each endpoint in service has once it is warmed up.
	planSteadyState planHorizon = iota
	// planCurrent uses the present capacity: none in a lost site, and a reduced share of an endpoint that is warming up.
	planCurrent
)

// SiteLossPlans returns the present estimate of the effects of losing each site, or nil if the site monitor is
// disabled.
func (r *Router) SiteLossPlans() []sitefailover.SiteLossPlan {
	if r.siteMonitor == nil {
		return nil
	}
	return sitefailover.PlanLosses(r.siteMonitor.planInput(planSteadyState))
}

// currentPlanInput returns the input of a plan for the present capacity and demand.
func (m *siteMonitor) currentPlanInput() sitefailover.PlanInput { return m.planInput(planCurrent) }

// planInput returns the input of a plan.
func (m *siteMonitor) planInput(horizon planHorizon) sitefailover.PlanInput {
	now := m.loop.Now()
	return sitefailover.PlanInput{
		Endpoints: m.planEndpoints(now, horizon),
		Demands:   m.planDemands(now, horizon),
	}
}

// planEndpoints returns the capacity that each endpoint has for this router, in seconds of work per second.
func (m *siteMonitor) planEndpoints(now time.Duration, horizon planHorizon) []sitefailover.PlanEndpoint {
	workShare := m.attemptWorkShare(now)
	fairCapacity, known := m.utilization.FairCapacity()
	var endpoints []sitefailover.PlanEndpoint
	m.statistics.EndpointViews(func(view balance.EndpointView) {
		capacity := fairCapacity
		if !known {
			capacity = max(view.WorkRate, view.ConcurrencyLimit*workShare)
		}
		available := view.InService // a suspect endpoint still counts in a long-term plan
		if horizon == planCurrent {
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

// attemptWorkShare returns the share of an attempt's duration that is work. The rest is time in the endpoint's queue,
// so the work rate that an endpoint can sustain is its concurrency limit multiplied by this share.
func (m *siteMonitor) attemptWorkShare(now time.Duration) float64 {
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

// planDemands returns the demand of each class and replica group.
func (m *siteMonitor) planDemands(now time.Duration, horizon planHorizon) []sitefailover.Demand {
	var demands []sitefailover.Demand
	for key, rate := range m.demand.Rates(now) {
		class := m.classes[key.Class]
		if horizon == planCurrent && m.demandBeforeLoss != nil {
			// If other routers are lost too, their clients move to this one, and with them their share of the endpoints.
			// That cannot be distinguished from a burst, which the balancer handles as usual, so the rate is limited to
			// the demand before the loss.
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

// classCost returns the work per request of a class in seconds. Values measured while a site is lost include time in
// queues, so the cost from before the loss is used during a loss.
func (m *siteMonitor) classCost(class string) float64 {
	work, _ := m.statistics.ClassCost(class)
	if !m.monitor.AnyLost() || m.classCosts[class] == 0 {
		m.classCosts[class] = work
	}
	return m.classCosts[class]
}
