package balance

// throughput is the work that the busiest warm endpoints do for this instance. It stands for the capacity of an
// endpoint that warms up.
type throughput struct {
	measuredAt   Time
	measurements float64
	peak         float64 // seconds of work a second, slowly forgotten
}

// peakDecay is the part of the peak that is forgotten at each measurement.
const peakDecay = decay * 5

// measureThroughput measures what warm endpoints do for this instance, once a second. What idle endpoints do is no
// capacity. The busiest of each group come near it, in the mean: the most of few samples is chance, and all instances
// add theirs up.
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

// measureGroup returns the work rate of the busiest warm endpoint of the group.
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

// EndpointWorkRate returns the work that an endpoint does for this instance, in seconds a second as a moving mean,
// and whether it is warm.
func (b *Balancer) EndpointWorkRate(name string) (rate float64, warm bool) {
	if endpoint := b.endpoints[name]; endpoint != nil {
		return endpoint.work.perSecond, b.warmupFactor(endpoint) == 1
	}
	return 0, false
}

// EndpointView is what an instance makes of an endpoint, for observers.
type EndpointView struct {
	Endpoint         string // the endpoint
	Zone             string
	Group            int64
	Primary          bool    // it is believed to be its group's primary
	Available        bool    // it can be sent something now
	InService        bool    // it is ready and not suspended, whatever is thought of it at this moment
	ConcurrencyLimit float64 // attempts that may be in flight, for this instance
	WorkRate         float64 // work done for this instance, seconds a second, moving mean
	CapacityShare    float64 // the part of its capacity that it may be used for now
}

// EndpointViews calls f with each endpoint that is listed, in the order of groups and ids.
func (b *Balancer) EndpointViews(f func(EndpointView)) {
	for _, group := range b.sortedGroups {
		for _, endpoint := range group.endpoints {
			if endpoint.discovery.state != EndpointRemoved {
				f(b.view(endpoint))
			}
		}
	}
}

// view is what the instance makes of the endpoint now.
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
