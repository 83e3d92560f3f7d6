package sitefailover

import "slices"

// PlanEndpoint is an endpoint in the input of a plan.
type PlanEndpoint struct {
	ID        string
	Site      string
	Group     int64
	Primary   bool
	Available bool    // Available reports whether it can serve requests now.
	Capacity  float64 // Capacity is what it can do for this router, in seconds of work per second.
}

// Demand is the demand for a replica group in one class.
type Demand struct {
	Class          string
	Group          int64
	Rate           float64 // Rate is in requests per second.
	Work           float64 // Work is the work of one request, in seconds.
	PriorityWeight float64 // PriorityWeight is the weight of one request.
	NeedsPrimary   bool
}

// PlanInput is the input of a plan.
type PlanInput struct {
	Endpoints []PlanEndpoint
	Demands   []Demand
}

// SiteLossPlan describes the effects of the loss of a site. RemainingWeightShare and CurrentWeightShare are shares of
// the priority weight of all demands.
type SiteLossPlan struct {
	Site                 string      `json:"site"`
	Groups               []GroupLoss `json:"banks"` // Groups are those that have an available endpoint in the site.
	LoadShifts           []LoadShift `json:"moves"`
	Rejections           []Rejection `json:"refused"`
	RemainingWeightShare float64     `json:"worth_kept"`   // RemainingWeightShare is served without the site.
	CurrentWeightShare   float64     `json:"worth_served"` // CurrentWeightShare is served with all sites.
}

// GroupLoss describes the effects on one replica group. Utilizations are shares of the endpoints' capacity.
type GroupLoss struct {
	Group          int64  `json:"bank"`
	LosesPrimary   bool   `json:"loses_primary"`
	NoEndpointLeft bool   `json:"none_left"` // NoEndpointLeft reports that no request can be served without the site.
	Successor      string `json:"successor"` // Successor is the likely primary without the site, "" = no endpoint left.

	PrimaryUtilization        float64 `json:"primary"`
	ReplicaUtilization        float64 `json:"replicas"`
	CurrentPrimaryUtilization float64 `json:"primary_now"`
	CurrentReplicaUtilization float64 `json:"replicas_now"`
}

// LoadShift is work that another endpoint takes over. Work is in seconds of work per second.
type LoadShift struct {
	Group        int64   `json:"bank"`
	FromEndpoint string  `json:"from"`
	ToEndpoint   string  `json:"to"`
	Work         float64 `json:"work"`
}

// Rejection is work for which there is no capacity.
type Rejection struct {
	Group     int64   `json:"bank"`
	Class     string  `json:"class"`
	Saturated string  `json:"where"` // Saturated is the resource without free capacity, "primary" or "replicas".
	Share     float64 `json:"share"` // Share is the rejected share of the class's demand for the group.
	Rate      float64 `json:"rate"`  // Rate is the rejected rate in requests per second.
}

// PlanLosses returns a plan for the loss of each site that has an endpoint, sorted by site name. The rejections of a
// group are in the order in which work would be rejected. The cost is a sort of the demands of each group, plus a pass
// over all endpoints and demands for each site.
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

// planLoss returns the plan for the loss of one site.
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

// weights holds sums of priority weight per second.
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

// loss describes the effects of the site's loss on the group.
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

// weights sums up the priority weight of the group's demands, and the parts of it that are served after the loss and
// now.
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

// rejections returns the parts of the group's demands for which there is no capacity, the lowest priority weight per
// second of work first.
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

// loadShifts returns which endpoints take over the work that the site does now. Each endpoint of the site gives up work
// in proportion to its load, and each other endpoint takes over work in proportion to the increase of its load.
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

// endpointLoads returns the work of each endpoint, in seconds of work per second, under an allocation without lostSite.
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
