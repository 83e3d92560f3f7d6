package balance

import (
	"math"
	"slices"
)

const (
	// longReadBoundShare is the part of the staleness bound beyond which a read is long: a replica applies no commits
	// while it runs.
	longReadBoundShare = 0.33
	// longReadFactor is by how much a long read costs more than a bounded one, at least. Of so many of its times a
	// replica is left to it for one, and to bounded reads for the others. And a replica that is behind by more than
	// so many long reads would not be of use to bounded reads soon.
	longReadFactor = 4
)

// boundedReadShortage is the weight of bounded reads that no endpoint of a group could take, forgotten over the
// active window.
type boundedReadShortage struct {
	weight    float64
	countedAt Time
}

// at is what is left of the shortage now.
func (s *boundedReadShortage) at(now Time) float64 {
	return s.weight * math.Exp(-(now-s.countedAt).Seconds()/activeWindow.Seconds())
}

// add counts a bounded read that was given up.
func (s *boundedReadShortage) add(weight float64, now Time) {
	s.weight = s.at(now) + weight
	s.countedAt = now
}

// longReadPacing spaces the long reads of a group while its bounded reads find no endpoint.
type longReadPacing struct {
	nextAt Time // the next long read may go then; 0 = not drawn yet
}

// isLongRead says that reads of a class hold up replication for longer than other reads can bear.
//
// Where no class is bounded no read is hurt by that; taken for a bound of 0, all reads would go to the last replica
// of each group. Reads that take about as long as bounded ones hold up replication no longer than these do anywhere;
// kept apart all the same, they and the bounded reads there would crowd some replicas while others idle.
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

// longReadCandidates picks the replicas for a long read of those that can take it: the last by id, the same at all
// instances. Long reads spread over all replicas, by each instance as it sees them, would leave none that is recent
// enough for bounded reads. The candidates may name a replica twice, and the result too.
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

// longReadReplicas are the replicas of a group that take its long reads.
//
// Where the share of an instance is under one attempt no limit makes long reads spill over. They would wait in one
// replica's queue, of all instances together, until they time out, while others idle. There they get as large a part
// of the group as long reads are of the work: that is the same at each instance, whatever traffic it has.
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

// longReadShare is the part of the work asked of this instance that long reads are.
func (b *Balancer) longReadShare() float64 {
	long := 0.0
	all := 0.0
	for _, configured := range b.config.Classes { // in their order: sums in another order differ
		class := b.classes[configured.Name]
		work := class.arrivals * class.serviceTime
		all += work
		if b.isLongRead(class) {
			long += work
		}
	}
	return long / max(all, math.SmallestNonzeroFloat64)
}

// defersToBoundedReads says that a long read leaves the endpoint to bounded reads of the group that were rejected
// lately.
//
// While a replica runs a long read it applies nothing, so it is lost to all bounded reads of its group. They have
// many times as much weight for their work, and where other endpoints are lost, crowded or warming up they are
// rejected for want of it. What all instances have rejected is about what this one has, times their number; a long
// read goes where that has less weight than it in the time it takes, and of all instances one goes in longReadFactor
// of it, since nothing else shows that there is capacity again.
//
// An instance whose share is under one attempt sees a rejection of a group now and then, and would hold back a few of
// very many long reads: that frees no replica. There long reads have a part of the group of their own
// (longReadReplicas). And where the log is applied too slowly whoever reads, as on a slow machine, holding long reads
// back gains nothing.
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
	if group.longReads.nextAt == 0 { // drawn, so that instances do not all send their first
		group.longReads.nextAt = b.now + secondsToDuration(interval*b.rng.Float64())
	}
	lost := group.shortage.at(b.now) / activeWindow.Seconds() * b.config.instances() * class.serviceTime
	soonRecent := endpoint.replication.lag <= b.tightestBound+secondsToDuration(longReadFactor*class.serviceTime)
	worthMore := lost > request.weight && soonRecent
	if worthMore && b.now < group.longReads.nextAt {
		return true
	}
	group.longReads.nextAt = b.now + secondsToDuration(interval*(0.5+b.rng.Float64()))
	return false
}

// recordShortage notes that a request is given up. What is given up while the group has no primary says nothing of
// capacity.
func (b *Balancer) recordShortage(request *request) {
	if request.reached || request.class.Consistency != ConsistencyBounded {
		return
	}
	if request.group.primaryLost() {
		return
	}
	request.group.shortage.add(request.weight, b.now)
}
