package balance

import (
	"math"
	"slices"
)

const (
	// longReadBoundShare is the share of the staleness bound that a read has to exceed to count as long: a replica
	// applies no commits while it runs a long read.
	longReadBoundShare = 0.33
	// longReadFactor is the minimum cost of a long read as a multiple of the cost of a bounded read. It also sets the
	// spacing of long reads while bounded reads are short of capacity: all instances together send one long read per
	// longReadFactor times its duration, so that a replica is left to bounded reads in between. And a replica whose lag
	// exceeds the staleness bound plus the duration of longReadFactor long reads is not expected to be recent enough
	// for bounded reads soon.
	longReadFactor = 4
)

// boundedReadShortage is the total weight of the bounded reads that no endpoint of a group could take, decaying
// exponentially over the active window.
type boundedReadShortage struct {
	weight    float64
	countedAt Time
}

// at returns the decayed weight at the given time.
func (s *boundedReadShortage) at(now Time) float64 {
	return s.weight * math.Exp(-(now-s.countedAt).Seconds()/activeWindow.Seconds())
}

// add adds the weight of a bounded read that was given up.
func (s *boundedReadShortage) add(weight float64, now Time) {
	s.weight = s.at(now) + weight
	s.countedAt = now
}

// longReadPacing spaces the long reads of a group while its bounded reads find no endpoint.
type longReadPacing struct {
	nextAt Time // earliest time of the next long read; 0 = not set yet
}

// isLongRead reports whether reads of a class delay replication for longer than bounded reads tolerate.
//
// Where no class is bounded, no read suffers from the delay, so no read is long: with a bound of 0 all ConsistencyAny
// reads would count as long and go to the last replica of each group. Reads that take about as long as bounded reads
// are not long either: they delay replication no more than the bounded reads do on any replica, and keeping them apart
// would overload some replicas while others are idle.
func (b *Balancer) isLongRead(class *classState) bool {
	if class.Consistency != ConsistencyAny || b.tightestBound == 0 {
		return false
	}
	if class.latency <= longReadBoundShare*b.tightestBound.Seconds() {
		return false
	}
	for _, other := range b.config.Classes {
		if other.Consistency != ConsistencyBounded {
			continue
		}
		if class.serviceTime < longReadFactor*b.classes[other.Name].serviceTime {
			return false
		}
	}
	return true
}

// longReadCandidates returns the replicas for a long read among the candidates: the last ones by id, which are the same
// at all instances. If each instance spread long reads over all replicas, no replica would be recent enough for bounded
// reads. The candidates may contain a replica twice, and so may the result.
func (b *Balancer) longReadCandidates(group *replicaGroup, candidates []*endpoint) []*endpoint {
	assigned := b.longReadReplicas(group)
	chosen := slices.DeleteFunc(slices.Clone(candidates), func(candidate *endpoint) bool {
		return !slices.Contains(assigned, candidate)
	})
	if len(chosen) == 0 {
		chosen = append(chosen, slices.MaxFunc(candidates, compareIDs))
	}
	return chosen
}

// longReadReplicas returns the replicas of a group that take its long reads: usually one.
//
// Where an instance's share of an endpoint is under one attempt, the concurrency limit does not make long reads spill
// over to other replicas. The long reads of all instances would wait in the queue of one replica until they time out,
// while other replicas are idle. There long reads get a share of the replicas equal to their share of the work, which
// is about the same at each instance, however much traffic it has.
func (b *Balancer) longReadReplicas(group *replicaGroup) []*endpoint {
	var replicas []*endpoint
	for _, endpoint := range group.endpoints {
		if endpoint.inService() && !endpoint.isPrimary() {
			replicas = append(replicas, endpoint)
		}
	}
	count := 1
	if b.config.hasFractionalShare() {
		count = max(1, int(math.Round(b.longReadShare()*float64(len(replicas)))))
	}
	return replicas[max(0, len(replicas)-count):]
}

// longReadShare returns the share of long reads in the work that is requested from this instance.
func (b *Balancer) longReadShare() float64 {
	long := 0.0
	all := 0.0
	for _, configured := range b.config.Classes { // in the configured order, since floating-point sums depend on it
		class := b.classes[configured.Name]
		work := class.arrivals * class.serviceTime
		all += work
		if b.isLongRead(class) {
			long += work
		}
	}
	return long / max(all, math.SmallestNonzeroFloat64)
}

// defersToBoundedReads reports whether a long read has to leave the endpoint to bounded reads of the group, because
// bounded reads were rejected lately.
//
// While a replica runs a long read it applies no commits, so no bounded read of its group can use it. Bounded reads
// have many times the weight of a long read for the same work, and are rejected for lack of a replica where other
// endpoints are lost, overloaded or warming up. The weight rejected by all instances is estimated as the weight
// rejected by this instance times the number of instances. A long read is sent if it has more weight than the bounded
// reads that would be rejected while it runs. In addition, all instances together send one long read per longReadFactor
// times its duration, since nothing else would show that there is capacity again.
//
// An instance whose share of an endpoint is under one attempt sees only occasional rejections in a group, and would
// hold back a few of very many long reads, which frees no replica. There long reads have replicas of their own
// (longReadReplicas). Where a replica applies the log too slowly even without long reads, for example on a slow
// machine, holding long reads back gains nothing.
func (b *Balancer) defersToBoundedReads(request *request, endpoint *endpoint) bool {
	group := request.group
	class := request.class
	if endpoint.isPrimary() || !b.isLongRead(class) {
		return false
	}
	if b.config.hasFractionalShare() {
		return false
	}
	interval := b.config.instances() * longReadFactor * class.serviceTime
	if group.longReads.nextAt == 0 { // random, so that instances do not all send their first long read at once
		group.longReads.nextAt = b.now + secondsToDuration(interval*b.rng.Float64())
	}
	lostWeight := group.shortage.at(b.now) / activeWindow.Seconds() * b.config.instances() * class.serviceTime
	recentSoon := endpoint.replication.lag <= b.tightestBound+secondsToDuration(longReadFactor*class.serviceTime)
	boundedReadsFirst := lostWeight > request.weight && recentSoon
	if boundedReadsFirst && b.now < group.longReads.nextAt {
		return true
	}
	group.longReads.nextAt = b.now + secondsToDuration(interval*(0.5+b.rng.Float64()))
	return false
}

// recordShortage records that a request is given up, if it is a bounded read that never reached an endpoint. Requests
// that are given up while the group has no primary are not counted, since they are not a sign of missing capacity.
func (b *Balancer) recordShortage(request *request) {
	if request.reached || request.class.Consistency != ConsistencyBounded {
		return
	}
	if request.group.primaryLost() {
		return
	}
	request.group.shortage.add(request.weight, b.now)
}
