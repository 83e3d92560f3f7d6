package sitefailover

import (
	"cmp"
	"slices"
)

const (
	// minServedShare is the share of the demand of each class and group that is served regardless of its priority
	// weight. Without it, no response would show when there is capacity again.
	minServedShare = 0.02
	// usableCapacity is the share of a capacity that a plan uses. The rest is a reserve for random variation.
	usableCapacity = 0.95
	// negligible is the share, or work per second, below which a difference counts as a rounding error.
	negligible = 1e-9
)

// noSiteLost is the name of the lost site in an allocation with all sites. Since it equals the site of endpoints
// without a site, such an allocation doesn't use these endpoints either.
const noSiteLost = ""

// resource is a part of a replica group that can be saturated independently of the others.
type resource int

const (
	primaryResource resource = iota
	replicaResource
	resourceCount
)

// String returns the word for operators.
func (r resource) String() string {
	return [...]string{"primary", "replicas"}[r]
}

// resource returns the resource whose saturation causes a rejection of the demand.
func (d Demand) resource() resource {
	if d.NeedsPrimary {
		return primaryResource
	}
	return replicaResource
}

// groupDemand is a replica group with its demands.
type groupDemand struct {
	id        int64
	endpoints []*PlanEndpoint // sorted by ID
	demands   []Demand        // sorted by priority weight per second of work, the highest first
	current   allocation      // with all sites in service
}

// collectGroups splits the input into replica groups, sorted by ID. Work is rejected from the end of a group's demands.
func collectGroups(input PlanInput) []*groupDemand {
	var groups []*groupDemand
	byID := map[int64]*groupDemand{}
	groupOf := func(id int64) *groupDemand {
		group := byID[id]
		if group == nil {
			group = &groupDemand{id: id}
			byID[id] = group
			groups = append(groups, group)
		}
		return group
	}
	for i := range input.Endpoints {
		endpoint := &input.Endpoints[i]
		group := groupOf(endpoint.Group)
		group.endpoints = append(group.endpoints, endpoint)
	}
	for _, demand := range input.Demands {
		if demand.Rate > 0 && demand.Work > 0 {
			group := groupOf(demand.Group)
			group.demands = append(group.demands, demand)
		}
	}
	slices.SortFunc(groups, func(a, b *groupDemand) int { return cmp.Compare(a.id, b.id) })
	for _, group := range groups {
		slices.SortFunc(group.endpoints, func(a, b *PlanEndpoint) int { return cmp.Compare(a.ID, b.ID) })
		slices.SortStableFunc(group.demands, compareDemands)
	}
	return groups
}

// compareDemands orders demands by priority weight per second of work, the highest first.
func compareDemands(a, b Demand) int {
	return cmp.Or(cmp.Compare(b.PriorityWeight/b.Work, a.PriorityWeight/a.Work), cmp.Compare(a.Class, b.Class))
}

// remainsWithout reports whether the endpoint can still serve requests if the site is lost.
func (e *PlanEndpoint) remainsWithout(lostSite string) bool {
	return e.Available && e.Site != lostSite
}

// allocation describes how the demands of a group are served without one site.
type allocation struct {
	primary         *PlanEndpoint // nil = no endpoint is left, and nothing is served
	served          []float64     // the share of each demand that is served
	primaryWork     []float64     // the primary's work for each demand, in seconds of work per second
	primaryCapacity float64       // usable capacity, in seconds of work per second
	replicaCapacity float64       // usable capacity of all replicas together, in the same unit

	primaryUtilization float64
	replicaUtilization float64
}

// primaryID returns the ID of the primary, or "" if no endpoint is left.
func (a *allocation) primaryID() string {
	if a.primary == nil {
		return ""
	}
	return a.primary.ID
}

// freeCapacity is the capacity that is not allocated yet, in seconds of work per second.
type freeCapacity struct {
	primary  float64
	replicas float64
}

// allocate distributes the work of the group over the endpoints that remain without a site. It allocates minServedShare
// of each demand first, and then the rest in the order of priority weight per second of work.
func (g *groupDemand) allocate(lostSite string) allocation {
	result := allocation{
		primary:     g.primaryWithout(lostSite),
		served:      make([]float64, len(g.demands)),
		primaryWork: make([]float64, len(g.demands)),
	}
	if result.primary == nil {
		return result
	}
	for _, endpoint := range g.endpoints {
		switch {
		case endpoint == result.primary:
			result.primaryCapacity = usableCapacity * endpoint.Capacity
		case endpoint.remainsWithout(lostSite):
			result.replicaCapacity += usableCapacity * endpoint.Capacity
		}
	}
	free := freeCapacity{primary: result.primaryCapacity, replicas: result.replicaCapacity}
	// Up to the last loop, result.served holds work rather than shares.
	for i, demand := range g.demands {
		result.allocateWork(i, demand, minServedShare*demand.Rate*demand.Work, &free)
	}
	for i, demand := range g.demands {
		result.allocateWork(i, demand, (1-minServedShare)*demand.Rate*demand.Work, &free)
	}
	for i, demand := range g.demands {
		result.served[i] = min(1, result.served[i]/(demand.Rate*demand.Work))
	}
	result.primaryUtilization = ratio(result.primaryCapacity-free.primary, result.primaryCapacity/usableCapacity)
	result.replicaUtilization = ratio(result.replicaCapacity-free.replicas, result.replicaCapacity/usableCapacity)
	return result
}

// primaryWithout returns the primary if it remains without the site, otherwise the first endpoint that does. It returns
// nil if no endpoint is left.
func (g *groupDemand) primaryWithout(lostSite string) *PlanEndpoint {
	var primary *PlanEndpoint
	for _, endpoint := range g.endpoints {
		if endpoint.remainsWithout(lostSite) && (primary == nil || endpoint.Primary) {
			primary = endpoint
		}
	}
	return primary
}

// allocateWork allocates work of the demand with the given index, as far as there is capacity. Work that replicas can
// do goes to them first, because other work needs the primary.
func (a *allocation) allocateWork(index int, demand Demand, work float64, free *freeCapacity) {
	if !demand.NeedsPrimary {
		atReplicas := min(work, free.replicas)
		free.replicas -= atReplicas
		work -= atReplicas
		a.served[index] += atReplicas
	}
	atPrimary := min(work, free.primary)
	free.primary -= atPrimary
	a.served[index] += atPrimary
	a.primaryWork[index] += atPrimary
}

func ratio(numerator, denominator float64) float64 {
	if denominator <= 0 {
		return 0
	}
	return numerator / denominator
}
