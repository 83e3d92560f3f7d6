package balance

// throughput measures the work that the busiest warm endpoints do for this instance. It serves as the estimate of the
// capacity that an endpoint will have once it is warm.
type throughput struct {
	measuredAt   Time
	measurements float64
	peak         float64 // seconds of work per second, decaying over time
}

// peakDecay is the share by which the peak decays at each measurement.
const peakDecay = decay * 5

// measureThroughput measures, once a second, the work that warm endpoints do for this instance. The work of idle
// endpoints doesn't show their capacity, but that of the busiest endpoint of each group comes near it. It is averaged
// over the groups: the maximum of few samples would be high by chance, and the excesses of all instances would add up.
// The other work that is due once a second, expire and the decay of the best rank, is done here too.
func (b *Balancer) measureThroughput() {
	measured := &b.throughput
	measured.measurements++
	weight := max(smoothing, 1/measured.measurements)
	seconds := (b.now - measured.measuredAt).Seconds()
	sum := 0.0
	groups := 0.0
	for _, group := range b.sortedGroups {
		if busiest := b.measureGroup(group, seconds, weight); busiest > 0 {
			sum += busiest
			groups++
		}
	}
	b.expire()
	if groups > 0 {
		measured.peak = max(measured.peak*(1-peakDecay), sum/groups)
	}
	measured.measuredAt = b.now
	b.best.expire()
}

// measureGroup updates the work rates of the group's endpoints and returns that of the busiest warm one.
func (b *Balancer) measureGroup(group *replicaGroup, seconds, weight float64) float64 {
	busiest := 0.0
	for _, endpoint := range group.endpoints {
		endpoint.work.measure(seconds, weight)
		usable := endpoint.inService() && !endpoint.health.suspect
		if usable && b.warmupFactor(endpoint) == 1 {
			busiest = max(busiest, endpoint.work.perSecond)
		}
	}
	return busiest
}

// EndpointWorkRate returns the work that an endpoint does for this instance, as a moving mean in seconds of work per
// second, and whether the endpoint is warm.
func (b *Balancer) EndpointWorkRate(name string) (rate float64, warm bool) {
	if endpoint := b.endpoints[name]; endpoint != nil {
		return endpoint.work.perSecond, b.warmupFactor(endpoint) == 1
	}
	return 0, false
}

// EndpointView is the state of an endpoint as an instance sees it, for monitoring.
type EndpointView struct {
	Endpoint         string // ID of the endpoint
	Zone             string
	Group            int64
	Primary          bool    // it is cached as its group's primary and not suspect
	Available        bool    // it is in service and not suspect
	InService        bool    // it is ready and not suspended, even if suspect
	ConcurrencyLimit float64 // attempts that this instance may have in flight at it
	WorkRate         float64 // work done for this instance, seconds of work per second, moving mean
	CapacityShare    float64 // share of its capacity that may be used now, 0 to 1
}

// EndpointViews calls f for each endpoint that is not removed from the list, ordered by group and ID.
func (b *Balancer) EndpointViews(f func(EndpointView)) {
	for _, group := range b.sortedGroups {
		for _, endpoint := range group.endpoints {
			if endpoint.discovery.state != EndpointRemoved {
				f(b.view(endpoint))
			}
		}
	}
}

// view returns the current view of the endpoint.
func (b *Balancer) view(endpoint *endpoint) EndpointView {
	inService := endpoint.inService()
	return EndpointView{
		Endpoint:         endpoint.id,
		Zone:             endpoint.zone,
		Group:            endpoint.group.id,
		Primary:          endpoint.group.isKnownPrimary(endpoint),
		Available:        inService && !endpoint.health.suspect,
		InService:        inService,
		ConcurrencyLimit: endpoint.limit.attempts,
		WorkRate:         endpoint.work.perSecond,
		CapacityShare:    b.warmupFactor(endpoint),
	}
}
