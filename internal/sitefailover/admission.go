package sitefailover

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// admissionInterval is the time between two updates of the rejected shares. It is short enough for several updates
	// in the first second after a loss.
	admissionInterval = 500 * time.Millisecond
	// maxRejectedShare is the largest rejected share of a class. The requests that are still admitted show when there
	// is capacity again.
	maxRejectedShare = 1 - minServedShare
	// maxClassShareFactor bounds the rejected share of a class, as a multiple of the rejected share of all work for the
	// same resource, so that the rejections are not concentrated on a single class.
	maxClassShareFactor = 3.0
	// maxShareIncrease is the largest increase of a rejected share per interval.
	maxShareIncrease = 0.25
	// maxShareDecrease is the largest decrease of a rejected share per interval. It is smaller than maxShareIncrease,
	// because work that is admitted too early has to be rejected again.
	maxShareDecrease = 0.05
	// planUncertainty is the error of a plan, as a share of all work for a resource. That much excess work is not
	// rejected here but left to the balancer, which sees the queue of each endpoint.
	planUncertainty = 0.15
	// defaultRetrySpread is used if AdmissionConfig.RetrySpread is not set.
	defaultRetrySpread = time.Second
	// admissionStream separates the random numbers of this package from those of other packages that use the same seed.
	admissionStream = 5
)

// AdmissionConfig configures an AdmissionController.
type AdmissionConfig struct {
	// RetrySpread is the longest time after which rejected clients are asked to retry: the longest that clients
	// respect. 0 = one second.
	RetrySpread time.Duration
}

// RejectedShare is the share of a class's requests to a replica group that is rejected, with the reason.
type RejectedShare struct {
	Group        int64         `json:"bank"`
	Class        string        `json:"class"`
	Saturated    string        `json:"where"`   // Saturated is the resource that lacks capacity, "primary" or "replicas".
	Share        float64       `json:"part"`    // Share is the rejected share of the requests, 0 to 1.
	Since        time.Duration `json:"-"`       // Since is the start of the rejection on the caller's clock.
	Ending       bool          `json:"ends"`    // Ending reports whether the share is decreasing.
	PlannedShare float64       `json:"by_plan"` // PlannedShare is the share that the plan alone would reject.
}

// AdmissionController sheds load while a site is lost. It rejects as much work as certainly exceeds the capacity in the
// plan, beginning with the least priority weight per second of work. It rejects shares of the requests, so that routers
// that don't communicate reject the right amount together. It is not safe for concurrent use.
type AdmissionController struct {
	cfg        AdmissionConfig
	rng        *rand.Rand
	admitsAll  bool
	nextUpdate time.Duration // 0 = no update is due, everything is admitted
	rejections map[DemandKey]*classRejection
}

// classRejection is the rejection of the requests of one class to one replica group.
type classRejection struct {
	resource    resource
	share       float64 // the rejected share of the requests
	target      float64 // share moves towards it with each update
	planned     float64 // the share that the plan alone would reject
	accumulated float64 // grows by share with each request; a request is rejected when it reaches 1
	since       time.Duration
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

// ShouldReject decides whether to reject a request, and after what time its client should retry.
//
// The rejections of a class in a group are spread evenly over its requests by an accumulator with a random start value.
// Together the routers then reject the right share even if each of them gets few requests.
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

// rejectsNext adds a request to the accumulator and reports whether to reject it.
func (r *classRejection) rejectsNext() bool {
	if r.share <= 0 {
		return false
	}
	r.accumulated += r.share
	if r.accumulated < 1 {
		return false
	}
	r.accumulated--
	return true
}

// drawRetryAfter returns a random time between half of RetrySpread and RetrySpread: the lack of capacity will last for
// a while, and the rejected clients must not all retry at the same time.
func (c *AdmissionController) drawRetryAfter() time.Duration {
	half := c.cfg.RetrySpread / 2
	return half + time.Duration(c.rng.Int64N(int64(half)+1))
}

// NextUpdate returns the time at which Update has to be called next, 0 = not before a site is lost.
func (c *AdmissionController) NextUpdate() time.Duration { return c.nextUpdate }

// Update adjusts the rejected shares if an update is due. siteLost reports whether any site is lost. input returns the
// current endpoints and demands, without the endpoints of lost sites; Update calls it only if it needs a plan.
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

// scheduleUpdate sets the time of the next update. The first interval is random, so that routers update at different
// times.
func (c *AdmissionController) scheduleUpdate(now time.Duration) {
	if !c.admitsAll {
		c.nextUpdate = now + admissionInterval
		return
	}
	c.nextUpdate = now + time.Duration(c.rng.Int64N(int64(admissionInterval)))
	c.admitsAll = false
}

// moveShares moves each share towards its target and deletes those that have reached zero.
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

// setTargets sets the target shares for each group and resource. The work to reject is the work that has no capacity in
// the plan, minus planUncertainty, beginning with the least priority weight per second of work.
func (c *AdmissionController) setTargets(input PlanInput) {
	for _, group := range collectGroups(input) {
		plan := group.allocate(noSiteLost)
		if plan.primary == nil {
			continue // the balancer rejects these requests if necessary; a successor may appear at any time
		}
		total, unplaced := group.workByResource(plan)
		for saturated := range resourceCount {
			c.setGroupTargets(group, plan, saturated, total[saturated], unplaced[saturated])
		}
	}
}

// workByResource returns the demanded work, and the part of it that has no capacity in the plan, for each resource, in
// seconds of work per second.
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
	maxShare := math.Min(maxRejectedShare, maxClassShareFactor*excess/total)
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
			rejection = &classRejection{resource: saturated, accumulated: c.rng.Float64()}
			c.rejections[key] = rejection
		}
		rejection.target = share
		rejection.planned = 1 - plan.served[i]
	}
}

// RejectedShares returns the current rejections, sorted by group, the highest share of a group first.
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
