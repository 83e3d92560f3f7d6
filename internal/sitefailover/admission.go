package sitefailover

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// admissionInterval is the time between two updates of the rejected shares, a few of them within a second of a loss.
	admissionInterval = 500 * time.Millisecond
	// maxRejectedShare of a class is rejected at most; what is still admitted shows that there is capacity again.
	maxRejectedShare = 1 - probeShare
	// maxClassBurden bounds what a class bears, in multiples of its proportional part of all rejected work, so that no
	// class pays for all others.
	maxClassBurden = 3.0
	// maxShareIncrease is by how much a rejected share grows in an interval at most.
	maxShareIncrease = 0.25
	// maxShareDecrease is by how much a rejected share falls in an interval at most. It is the smaller one because work
	// that is admitted too early is rejected a second time.
	maxShareDecrease = 0.05
	// planUncertainty is the part of all work by which a plan may be wrong. So much is left to the balancer, which sees
	// the queue of each endpoint.
	planUncertainty = 0.15
	// defaultRetrySpread holds where AdmissionConfig.RetrySpread is not set.
	defaultRetrySpread = time.Second
	// admissionStream separates the random numbers of this package from others that are drawn from the same seed.
	admissionStream = 5
)

// AdmissionConfig bounds an AdmissionController.
type AdmissionConfig struct {
	// RetrySpread is the latest time after which rejected clients are asked to retry, the longest that clients respect.
	// 0 = one second.
	RetrySpread time.Duration
}

// RejectedShare is the share of a class's requests to a replica group that is rejected, and why.
type RejectedShare struct {
	Group        int64         `json:"bank"`
	Class        string        `json:"class"`
	Saturated    string        `json:"where"`   // Saturated is the resource that is short, "primary" or "replicas".
	Share        float64       `json:"part"`    // Share is the part of the requests.
	Since        time.Duration `json:"-"`       // Since is on the caller's clock.
	Ending       bool          `json:"ends"`    // Ending says that the share is falling.
	PlannedShare float64       `json:"by_plan"` // PlannedShare is what the plan alone would reject.
}

// AdmissionController sheds load while a site is lost: of the work with the least weight as much as the plan surely
// finds no capacity for. It decides by shares, so that routers which know nothing of each other together reject what is
// too much. It is not safe for concurrent use.
type AdmissionController struct {
	cfg        AdmissionConfig
	rng        *rand.Rand
	admitsAll  bool
	nextUpdate time.Duration // 0 = none is due while all is admitted
	rejections map[DemandKey]*classRejection
}

// classRejection is what is rejected of one class in one replica group.
type classRejection struct {
	resource resource
	share    float64 // rejected now
	target   float64 // the share moves towards it
	planned  float64 // what the plan alone would reject
	debt     float64 // grows by share with each request; at 1 a request is rejected
	since    time.Duration
}

// NewAdmissionController returns an AdmissionController that admits everything.
func NewAdmissionController(cfg AdmissionConfig, seed uint64) *AdmissionController {
	if cfg.RetrySpread <= 0 {
		cfg.RetrySpread = defaultRetrySpread
	}
	return &AdmissionController{
		cfg:        cfg,
		rng:        rand.New(rand.NewPCG(seed, admissionStream)),
		admitsAll:  true,
		rejections: map[DemandKey]*classRejection{},
	}
}

// AdmitsAll reports whether nothing is rejected and no site is lost.
func (c *AdmissionController) AdmitsAll() bool { return c.admitsAll }

// ShouldReject decides on one request: whether it is rejected, and after what time its client may retry.
//
// Each class of a group is rejected evenly, by a debt with a random start. That keeps to the share however few requests
// each router sees.
func (c *AdmissionController) ShouldReject(key DemandKey) (rejected bool, retryAfter time.Duration) {
	if c.admitsAll {
		return false, 0
	}
	rejection := c.rejections[key]
	if rejection == nil || !rejection.rejectsNext() {
		return false, 0
	}
	return true, c.drawRetryAfter()
}

// rejectsNext counts a request and reports whether it is one to reject.
func (r *classRejection) rejectsNext() bool {
	if r.share <= 0 {
		return false
	}
	r.debt += r.share
	if r.debt < 1 {
		return false
	}
	r.debt--
	return true
}

// drawRetryAfter draws a time from the upper half of RetrySpread: the lack of capacity will last for a while, and the
// rejected clients must not return together.
func (c *AdmissionController) drawRetryAfter() time.Duration {
	half := c.cfg.RetrySpread / 2
	return half + time.Duration(c.rng.Int64N(int64(half)+1))
}

// NextUpdate returns when Update wants to be called next, 0 = not before a site is lost.
func (c *AdmissionController) NextUpdate() time.Duration { return c.nextUpdate }

// Update moves the rejected shares, if an update is due. siteLost says that some site is lost. input is called where a
// plan is needed, and returns what there is now, without the endpoints of lost sites.
func (c *AdmissionController) Update(now time.Duration, siteLost bool, input func() PlanInput) {
	if !siteLost && c.admitsAll {
		c.nextUpdate = 0
		return
	}
	if now < c.nextUpdate {
		return
	}
	c.scheduleUpdate(now)
	for _, rejection := range c.rejections {
		rejection.target = 0
		rejection.planned = 0
	}
	if siteLost {
		c.setTargets(input())
	}
	c.moveShares(now)
	if len(c.rejections) == 0 && !siteLost {
		c.admitsAll = true
		c.nextUpdate = 0
	}
}

// scheduleUpdate sets the time of the next update. The first interval is drawn, so that routers update at different
// times.
func (c *AdmissionController) scheduleUpdate(now time.Duration) {
	if !c.admitsAll {
		c.nextUpdate = now + admissionInterval
		return
	}
	c.nextUpdate = now + time.Duration(c.rng.Int64N(int64(admissionInterval)))
	c.admitsAll = false
}

// moveShares moves each share towards its target and forgets the shares that have come to nothing.
func (c *AdmissionController) moveShares(now time.Duration) {
	for key, rejection := range c.rejections {
		before := rejection.share
		raised := math.Min(before+maxShareIncrease, rejection.target)
		rejection.share = math.Max(before-maxShareDecrease, raised)
		switch {
		case rejection.share <= 0:
			delete(c.rejections, key)
		case before <= 0:
			rejection.since = now
		}
	}
}

// setTargets sets as the targets, for each group and resource, the work that the plan finds no capacity for, less what
// the plan may be off by, beginning with the least weight for its work.
func (c *AdmissionController) setTargets(input PlanInput) {
	for _, group := range collectGroups(input) {
		plan := group.allocate(noSiteLost)
		if plan.primary == nil {
			continue // the balancer rejects what it must, and a successor may come at any time
		}
		total, unplaced := group.workByResource(plan)
		for saturated := range resourceCount {
			c.setGroupTargets(group, plan, saturated, total[saturated], unplaced[saturated])
		}
	}
}

// workByResource sums up the demanded work, and that of it which the plan finds no capacity for.
func (g *groupDemand) workByResource(plan allocation) (total, unplaced [resourceCount]float64) {
	for i, demand := range g.demands {
		needed := demand.resource()
		total[needed] += demand.Rate * demand.Work
		unplaced[needed] += (1 - plan.served[i]) * demand.Rate * demand.Work
	}
	return total, unplaced
}

// setGroupTargets sets the targets of the demands that need one resource of a group.
func (c *AdmissionController) setGroupTargets(
	group *groupDemand, plan allocation, saturated resource, total, unplaced float64,
) {
	excess := unplaced - planUncertainty*total
	maxShare := math.Min(maxRejectedShare, maxClassBurden*excess/total)
	for i, demand := range slices.Backward(group.demands) {
		if demand.resource() != saturated {
			continue
		}
		work := demand.Rate * demand.Work
		share := math.Max(0, math.Min(maxShare, excess/work))
		excess -= share * work
		key := DemandKey{Class: demand.Class, Group: group.id}
		rejection := c.rejections[key]
		if rejection == nil {
			if share == 0 {
				continue
			}
			rejection = &classRejection{resource: saturated, debt: c.rng.Float64()}
			c.rejections[key] = rejection
		}
		rejection.target = share
		rejection.planned = 1 - plan.served[i]
	}
}

// RejectedShares returns what is rejected now, in the order of the groups' numbers, the highest share first.
func (c *AdmissionController) RejectedShares() []RejectedShare {
	var shares []RejectedShare
	for key, rejection := range c.rejections {
		if rejection.share <= 0 {
			continue
		}
		shares = append(shares, RejectedShare{
			Group:        key.Group,
			Class:        key.Class,
			Saturated:    rejection.resource.String(),
			Share:        rejection.share,
			Since:        rejection.since,
			Ending:       rejection.target < rejection.share,
			PlannedShare: rejection.planned,
		})
	}
	slices.SortFunc(shares, func(a, b RejectedShare) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(b.Share, a.Share), cmp.Compare(a.Class, b.Class))
	})
	return shares
}
