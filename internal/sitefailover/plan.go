package sitefailover

import "slices"

// PlanEndpoint is an endpoint as a plan counts with it.
type PlanEndpoint struct {
	ID        string
	Site      string
	Group     int64
	Primary   bool
	Available bool    // Available says that it can take work now.
	Capacity  float64 // Capacity is what it can do for this router, in seconds of work a second.
}

// Demand is what is asked of a replica group in one class.
type Demand struct {
	Class          string
	Group          int64
	Rate           float64 // Rate is in requests a second.
	Work           float64 // Work is that of one request, in seconds.
	PriorityWeight float64 // PriorityWeight is that of one request.
	NeedsPrimary   bool
}

// PlanInput is everything that a plan is made from.
type PlanInput struct {
	Endpoints []PlanEndpoint
	Demands   []Demand
}

// SiteLossPlan is what the loss of a site would mean.
type SiteLossPlan struct {
	Site                 string      `json:"site"`
	Groups               []GroupLoss `json:"banks"` // Groups are those that have an available endpoint in the site.
	LoadShifts           []LoadShift `json:"moves"`
	Rejections           []Rejection `json:"refused"`
	RemainingWeightShare float64     `json:"worth_kept"`   // RemainingWeightShare is served without the site.
	CurrentWeightShare   float64     `json:"worth_served"` // CurrentWeightShare is served with all sites.
}

// GroupLoss is what becomes of one replica group. Utilizations are shares of what the endpoints can do.
type GroupLoss struct {
	Group          int64  `json:"bank"`
	LosesPrimary   bool   `json:"loses_primary"`
	NoEndpointLeft bool   `json:"none_left"` // NoEndpointLeft: nothing of the group can be served without the site.
	Successor      string `json:"successor"` // Successor is the likely primary without the site, "" = there can be none.

	PrimaryUtilization        float64 `json:"primary"`
	ReplicaUtilization        float64 `json:"replicas"`
	CurrentPrimaryUtilization float64 `json:"primary_now"`
	CurrentReplicaUtilization float64 `json:"replicas_now"`
}

// LoadShift is work that another endpoint takes over, in seconds of work a second.
type LoadShift struct {
	Group        int64   `json:"bank"`
	FromEndpoint string  `json:"from"`
	ToEndpoint   string  `json:"to"`
	Work         float64 `json:"work"`
}

// Rejection is work that has no place.
type Rejection struct {
	Group     int64   `json:"bank"`
	Class     string  `json:"class"`
	Saturated string  `json:"where"` // Saturated is the resource that is full, "primary" or "replicas".
	Share     float64 `json:"share"` // Share is the part of the class's demand in the group.
	Rate      float64 `json:"rate"`  // Rate is in requests a second.
}

// PlanLosses plans the loss of each site that has an endpoint, in the order of the sites' names. The rejections of a
// group stand in the order in which they would be made. It costs a sort of each group's demands, and for each site a
// pass over all endpoints and demands.
func PlanLosses(input PlanInput) []SiteLossPlan {
	groups := collectGroups(input)
	for _, group := range groups {
		group.current = group.allocate(noSiteLost)
	}
	var plans []SiteLossPlan
	for _, site := range siteNames(input.Endpoints) {
		plans = append(plans, planLoss(site, groups))
	}
	return plans
}

func siteNames(endpoints []PlanEndpoint) []string {
	var names []string
	for _, endpoint := range endpoints {
		if !slices.Contains(names, endpoint.Site) {
			names = append(names, endpoint.Site)
		}
	}
	slices.Sort(names)
	return names
}

// planLoss plans the loss of one site.
func planLoss(site string, groups []*groupDemand) SiteLossPlan {
	plan := SiteLossPlan{
		Site:                 site,
		Groups:               []GroupLoss{},
		LoadShifts:           []LoadShift{},
		Rejections:           []Rejection{},
		RemainingWeightShare: 1,
		CurrentWeightShare:   1,
	}
	total := weights{}
	for _, group := range groups {
		after := group.allocate(site)
		total.add(group.weights(after))
		if group.hasAvailableEndpointIn(site) {
			plan.Groups = append(plan.Groups, group.loss(site, after))
			plan.LoadShifts = append(plan.LoadShifts, group.loadShifts(site, after)...)
		}
		plan.Rejections = append(plan.Rejections, group.rejections(after)...)
	}
	if total.demanded > 0 {
		plan.RemainingWeightShare = total.remaining / total.demanded
		plan.CurrentWeightShare = total.current / total.demanded
	}
	return plan
}

// weights are sums of priority weights a second.
type weights struct {
	demanded  float64
	remaining float64 // served without the site
	current   float64 // served with all sites
}

func (w *weights) add(other weights) {
	w.demanded += other.demanded
	w.remaining += other.remaining
	w.current += other.current
}

func (g *groupDemand) hasAvailableEndpointIn(site string) bool {
	return slices.ContainsFunc(g.endpoints, func(endpoint *PlanEndpoint) bool {
		return endpoint.Site == site && endpoint.Available
	})
}

// loss sums up what becomes of the group without the site.
func (g *groupDemand) loss(site string, after allocation) GroupLoss {
	return GroupLoss{
		Group:                     g.id,
		LosesPrimary:              g.current.primary != nil && g.current.primary.Site == site,
		NoEndpointLeft:            after.primary == nil,
		Successor:                 after.primaryID(),
		PrimaryUtilization:        after.primaryUtilization,
		ReplicaUtilization:        after.replicaUtilization,
		CurrentPrimaryUtilization: g.current.primaryUtilization,
		CurrentReplicaUtilization: g.current.replicaUtilization,
	}
}

// weights sums up the priority weight of the group's demands, beside what is served of it after the loss and now.
func (g *groupDemand) weights(after allocation) weights {
	sum := weights{}
	for i, demand := range g.demands {
		weight := demand.Rate * demand.PriorityWeight
		sum.demanded += weight
		sum.remaining += weight * after.served[i]
		sum.current += weight * g.current.served[i]
	}
	return sum
}

// rejections are the group's demands that have no place, those of the least weight for their work first.
func (g *groupDemand) rejections(after allocation) []Rejection {
	var rejections []Rejection
	for i, demand := range slices.Backward(g.demands) {
		saturated := replicaResource
		if demand.NeedsPrimary || after.replicaCapacity == 0 {
			saturated = primaryResource
		}
		if share := 1 - after.served[i]; share > negligible {
			rejections = append(rejections, Rejection{
				Group:     g.id,
				Class:     demand.Class,
				Saturated: saturated.String(),
				Share:     share,
				Rate:      share * demand.Rate,
			})
		}
	}
	return rejections
}

// loadShifts says which endpoints take over the work that the site does now. Each endpoint of the site is relieved in
// proportion to its work, and each other endpoint takes over in proportion to the growth of its own.
func (g *groupDemand) loadShifts(site string, after allocation) []LoadShift {
	loadBefore := g.endpointLoads(g.current, noSiteLost)
	loadAfter := g.endpointLoads(after, site)
	freed := 0.0
	totalGrowth := 0.0
	growth := map[string]float64{}
	for _, endpoint := range g.endpoints {
		if endpoint.Site == site {
			freed += loadBefore[endpoint.ID]
			continue
		}
		if delta := loadAfter[endpoint.ID] - loadBefore[endpoint.ID]; delta > negligible {
			growth[endpoint.ID] = delta
			totalGrowth += delta
		}
	}
	if totalGrowth == 0 || freed == 0 {
		return nil
	}
	var shifts []LoadShift
	for _, from := range g.endpoints {
		if from.Site != site || loadBefore[from.ID] <= negligible {
			continue
		}
		for _, to := range g.endpoints {
			taken := min(growth[to.ID], growth[to.ID]*freed/totalGrowth)
			work := loadBefore[from.ID] / freed * taken
			if work > negligible {
				shifts = append(shifts, LoadShift{Group: g.id, FromEndpoint: from.ID, ToEndpoint: to.ID, Work: work})
			}
		}
	}
	return shifts
}

// endpointLoads is the work of each endpoint under an allocation that was made without a site.
func (g *groupDemand) endpointLoads(allocated allocation, lostSite string) map[string]float64 {
	loads := map[string]float64{}
	if allocated.primary == nil {
		return loads
	}
	primaryWork := 0.0
	totalWork := 0.0
	for i, demand := range g.demands {
		primaryWork += allocated.primaryWork[i]
		totalWork += allocated.served[i] * demand.Rate * demand.Work
	}
	replicaWork := totalWork - primaryWork
	loads[allocated.primary.ID] = primaryWork
	if allocated.replicaCapacity <= 0 {
		return loads
	}
	for _, endpoint := range g.endpoints {
		if endpoint != allocated.primary && endpoint.remainsWithout(lostSite) {
			loads[endpoint.ID] = replicaWork * usableCapacity * endpoint.Capacity / allocated.replicaCapacity
		}
	}
	return loads
}
