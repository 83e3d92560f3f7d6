package sitefailover

import (
	"cmp"
	"slices"
)

const (
	// probeShare is the part of each class and group that is served whatever its weight is: without any, no answer would
	// tell that there is capacity again.
	probeShare = 0.02
	// usableCapacity is the part of a resource's capacity that a plan fills; the rest is for chance.
	usableCapacity = 0.95
	// negligible is the share, or work a second, below which a difference is taken for an error of rounding.
	negligible = 1e-9
)

// noSiteLost stands for the lost site in an allocation with all sites. Endpoints that have no site are left out of such
// an allocation too: it cannot tell them from those of a lost site.
const noSiteLost = ""

// resource is a part of a replica group that can be saturated by itself.
type resource int

const (
	primaryResource resource = iota
	replicaResource
	resourceCount
)

// String returns the word that operators read.
func (r resource) String() string {
	return [...]string{"primary", "replicas"}[r]
}

// resource is what a demand has to be rejected for, if it is.
func (d Demand) resource() resource {
	if d.NeedsPrimary {
		return primaryResource
	}
	return replicaResource
}

// groupDemand is a replica group with what is asked of it.
type groupDemand struct {
	id        int64
	endpoints []*PlanEndpoint // by their identifiers
	demands   []Demand        // by their weight for a second of work, the highest first
	current   allocation      // with all sites
}

// collectGroups sorts an input by replica groups, in the order of their numbers. Work is rejected from the end of a
// group's demands.
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

// compareDemands puts the higher weight for a second of work first.
func compareDemands(a, b Demand) int {
	return cmp.Or(cmp.Compare(b.PriorityWeight/b.Work, a.PriorityWeight/a.Work), cmp.Compare(a.Class, b.Class))
}

// remainsWithout reports whether the endpoint can take work once the site is lost.
func (e *PlanEndpoint) remainsWithout(lostSite string) bool {
	return e.Available && e.Site != lostSite
}

// allocation is how the demands of a group are served without one site.
type allocation struct {
	primary         *PlanEndpoint // nil = there can be none, and nothing is served
	served          []float64     // the share of each demand that is served
	primaryWork     []float64     // the work of each demand that the primary does; replicas do the rest
	primaryCapacity float64       // usable, in seconds of work a second
	replicaCapacity float64       // of all replicas together

	primaryUtilization float64
	replicaUtilization float64
}

// primaryID is the identifier of the primary, "" if there can be none.
func (a *allocation) primaryID() string {
	if a.primary == nil {
		return ""
	}
	return a.primary.ID
}

// freeCapacity is what is left while work is placed, in seconds of work a second.
type freeCapacity struct {
	primary  float64
	replicas float64
}

// allocate shares the group's work out among the endpoints that remain without a site. First probeShare of each demand
// is placed, then the rest in the order of weight for work.
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
	// Until the end served holds work, not shares.
	for i, demand := range g.demands {
		result.place(i, demand, probeShare*demand.Rate*demand.Work, &free)
	}
	for i, demand := range g.demands {
		result.place(i, demand, (1-probeShare)*demand.Rate*demand.Work, &free)
	}
	for i, demand := range g.demands {
		result.served[i] = min(1, result.served[i]/(demand.Rate*demand.Work))
	}
	result.primaryUtilization = ratio(result.primaryCapacity-free.primary, result.primaryCapacity/usableCapacity)
	result.replicaUtilization = ratio(result.replicaCapacity-free.replicas, result.replicaCapacity/usableCapacity)
	return result
}

// primaryWithout returns the primary if it remains, else the first endpoint that can succeed it, nil if there is none.
func (g *groupDemand) primaryWithout(lostSite string) *PlanEndpoint {
	var primary *PlanEndpoint
	for _, endpoint := range g.endpoints {
		if endpoint.remainsWithout(lostSite) && (primary == nil || endpoint.Primary) {
			primary = endpoint
		}
	}
	return primary
}

// place adds work of the demand with the given index, as far as there is capacity. Replicas come first for work that
// they can do, because the primary has work that nobody else can.
func (a *allocation) place(index int, demand Demand, work float64, free *freeCapacity) {
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
