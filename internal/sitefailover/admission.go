package sitefailover

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Limits of the door.
const (
	admissionInterval = 500 * time.Millisecond // how often shares are looked at: a few times in a second of a loss
	maxRejectedShare  = 1 - probeShare         // of a class: the rest shows that there is room again
	maxClassBurden    = 3.0                    // times its part of what is refused is the most that a class bears: none pays for all others
	maxShareIncrease  = 0.25                   // a share grows by this at most in a tick,
	maxShareDecrease  = 0.05                   // and falls by this: what is opened too early is refused twice
	planUncertainty   = 0.15                   // of all work: what a plan may be off by is left to the module, which sees each machine's queue
)

// DoorConfig bounds a Door.
type AdmissionConfig struct {
	RetrySpread time.Duration // those refused are asked to come back within this, the longest that clients heed; 0 = a second
}

// Share is what is refused of a class of a bank, and why.
type RejectedShare struct {
	Group        int64         `json:"bank"`
	Class        string        `json:"class"`
	Saturated    string        `json:"where"`   // what is short: primary or replicas
	Share        float64       `json:"part"`    // of what is asked for
	Since        time.Duration `json:"-"`       // on the caller's clock
	Ending       bool          `json:"ends"`    // it is on its way down
	PlannedShare float64       `json:"by_plan"` // what the plan alone would refuse
}

// Door turns away, while a site is lost, as much of the cheapest work as the plan surely finds no place for. It works by shares: routers that
// know nothing of each other refuse together about what is too much.
type AdmissionController struct {
	cfg        AdmissionConfig
	rng        *rand.Rand
	admitsAll  bool // nothing is refused
	nextUpdate time.Duration
	rejections map[DemandKey]*classRejection
}

// Resources of a bank.
const (
	primaryResource = iota
	replicaResource
)

func resource(strong bool) int {
	if strong {
		return primaryResource
	}
	return replicaResource
}

var resourceNames = [...]string{"primary", "replicas"}

type classRejection struct {
	share, target, planned float64
	debt                   float64 // of the next refusal
	since                  time.Duration
	resource               int
}

// NewDoor returns a Door that is open.
func NewAdmissionController(cfg AdmissionConfig, seed uint64) *AdmissionController {
	if cfg.RetrySpread <= 0 {
		cfg.RetrySpread = time.Second
	}
	return &AdmissionController{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 5)), admitsAll: true, rejections: map[DemandKey]*classRejection{}}
}

// Open says that nothing is refused.
func (d *AdmissionController) AdmitsAll() bool { return d.admitsAll }

// Ask is a request at the door: whether it is turned away, and after what time it may come again.
//
// Each class of a bank is refused evenly, by a debt that starts anywhere: that is the share to the last request, however few come.
func (d *AdmissionController) ShouldReject(k DemandKey) (refused bool, after time.Duration) {
	if d.admitsAll {
		return false, 0
	}
	s := d.rejections[k]
	if s == nil || s.share <= 0 {
		return false, 0
	}
	if s.debt += s.share; s.debt < 1 {
		return false, 0
	}
	s.debt--
	// The room that is missing will be missing for a while: half of the time that clients heed at least, drawn, so that those
	// sent away do not return together.
	return true, d.cfg.RetrySpread/2 + time.Duration(d.rng.Int64N(int64(d.cfg.RetrySpread/2)+1))
}

// Due says when Look wants to be called next, 0 = it is open and waits for a site.
func (d *AdmissionController) NextUpdate() time.Duration { return d.nextUpdate }

// Look moves the shares. troubled says that some site is lost; in is what is there now, lost machines left out.
func (d *AdmissionController) Update(now time.Duration, troubled bool, in func() PlanInput) {
	if !troubled && d.admitsAll {
		d.nextUpdate = 0
		return
	}
	if now < d.nextUpdate {
		return
	}
	if d.admitsAll { // routers look at different moments
		d.nextUpdate = now + time.Duration(d.rng.Int64N(int64(admissionInterval)))
		d.admitsAll = false
	} else {
		d.nextUpdate = now + admissionInterval
	}
	for _, s := range d.rejections {
		s.target, s.planned = 0, 0
	}
	if troubled {
		d.setTargets(in())
	}
	shut := false
	for k, s := range d.rejections {
		was := s.share
		s.share = math.Max(s.share-maxShareDecrease, math.Min(s.share+maxShareIncrease, s.target))
		if s.share <= 0 {
			delete(d.rejections, k)
			continue
		}
		if was <= 0 {
			s.since = now
		}
		shut = true
	}
	if !shut && !troubled {
		d.admitsAll, d.nextUpdate = true, 0
	}
}

// plan wants what in can't carry to be refused: by bank and resource as much work as the plan finds no place for, less what it may be
// off by, from the least worth for its work on.
func (d *AdmissionController) setTargets(in PlanInput) {
	for _, b := range collectGroups(in) {
		c := b.allocate("")
		var all, over [2]float64
		for i, x := range b.demands {
			w := resource(x.NeedsPrimary)
			all[w] += x.Rate * x.Work
			over[w] += (1 - c.served[i]) * x.Rate * x.Work
		}
		for w := range all {
			if c.primary == nil {
				continue // nothing of it can be served: the module refuses what it must, and a successor may come any time
			}
			left := over[w] - planUncertainty*all[w]
			most := math.Min(maxRejectedShare, maxClassBurden*left/all[w])
			for i := len(b.demands) - 1; i >= 0; i-- {
				x := b.demands[i]
				if resource(x.NeedsPrimary) != w {
					continue
				}
				work, k := x.Rate*x.Work, DemandKey{x.Class, b.id}
				part := math.Max(0, math.Min(most, left/work))
				left -= part * work
				s := d.rejections[k]
				if s == nil {
					if part == 0 {
						continue
					}
					s = &classRejection{resource: w, debt: d.rng.Float64()}
					d.rejections[k] = s
				}
				s.target, s.planned = part, 1-c.served[i]
			}
		}
	}
}

// Shares are what is refused now, in the order of banks, the most refused first.
func (d *AdmissionController) RejectedShares() (out []RejectedShare) {
	for k, s := range d.rejections {
		if s.share > 0 {
			out = append(out, RejectedShare{k.Group, k.Class, resourceNames[s.resource], s.share, s.since, s.target < s.share, s.planned})
		}
	}
	slices.SortFunc(out, func(a, b RejectedShare) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(b.Share, a.Share), cmp.Compare(a.Class, b.Class))
	})
	return out
}
