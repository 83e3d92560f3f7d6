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
	doorTick = 500 * time.Millisecond // how often shares are looked at: a few times in a second of a loss
	mostShed = 1 - keepShare          // of a class: the rest shows that there is room again
	mostPart = 3.0                    // times its part of what is refused is the most that a class bears: none pays for all others
	rise     = 0.25                   // a share grows by this at most in a tick,
	fall     = 0.05                   // and falls by this: what is opened too early is refused twice
	unsure   = 0.15                   // of all work: what a plan may be off by is left to the module, which sees each machine's queue
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
	cfg    AdmissionConfig
	rng    *rand.Rand
	open   bool // nothing is refused
	next   time.Duration
	shares map[DemandKey]*share
}

// Resources of a bank.
const (
	primary = iota
	replicas
)

func resource(strong bool) int {
	if strong {
		return primary
	}
	return replicas
}

var whereName = [...]string{"primary", "replicas"}

type share struct {
	part, want, plan float64
	debt             float64 // of the next refusal
	since            time.Duration
	where            int
}

// NewDoor returns a Door that is open.
func NewAdmissionController(cfg AdmissionConfig, seed uint64) *AdmissionController {
	if cfg.RetrySpread <= 0 {
		cfg.RetrySpread = time.Second
	}
	return &AdmissionController{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 5)), open: true, shares: map[DemandKey]*share{}}
}

// Open says that nothing is refused.
func (d *AdmissionController) AdmitsAll() bool { return d.open }

// Ask is a request at the door: whether it is turned away, and after what time it may come again.
//
// Each class of a bank is refused evenly, by a debt that starts anywhere: that is the share to the last request, however few come.
func (d *AdmissionController) ShouldReject(k DemandKey) (refused bool, after time.Duration) {
	if d.open {
		return false, 0
	}
	s := d.shares[k]
	if s == nil || s.part <= 0 {
		return false, 0
	}
	if s.debt += s.part; s.debt < 1 {
		return false, 0
	}
	s.debt--
	// The room that is missing will be missing for a while: half of the time that clients heed at least, drawn, so that those
	// sent away do not return together.
	return true, d.cfg.RetrySpread/2 + time.Duration(d.rng.Int64N(int64(d.cfg.RetrySpread/2)+1))
}

// Due says when Look wants to be called next, 0 = it is open and waits for a site.
func (d *AdmissionController) NextUpdate() time.Duration { return d.next }

// Look moves the shares. troubled says that some site is lost; in is what is there now, lost machines left out.
func (d *AdmissionController) Update(now time.Duration, troubled bool, in func() PlanInput) {
	if !troubled && d.open {
		d.next = 0
		return
	}
	if now < d.next {
		return
	}
	if d.open { // routers look at different moments
		d.next = now + time.Duration(d.rng.Int64N(int64(doorTick)))
		d.open = false
	} else {
		d.next = now + doorTick
	}
	for _, s := range d.shares {
		s.want, s.plan = 0, 0
	}
	if troubled {
		d.plan(in())
	}
	shut := false
	for k, s := range d.shares {
		was := s.part
		s.part = math.Max(s.part-fall, math.Min(s.part+rise, s.want))
		if s.part <= 0 {
			delete(d.shares, k)
			continue
		}
		if was <= 0 {
			s.since = now
		}
		shut = true
	}
	if !shut && !troubled {
		d.open, d.next = true, 0
	}
}

// plan wants what in can't carry to be refused: by bank and resource as much work as the plan finds no place for, less what it may be
// off by, from the least worth for its work on.
func (d *AdmissionController) plan(in PlanInput) {
	for _, b := range gather(in) {
		c := b.carry("")
		var all, over [2]float64
		for i, x := range b.demands {
			w := resource(x.NeedsPrimary)
			all[w] += x.Rate * x.Work
			over[w] += (1 - c.served[i]) * x.Rate * x.Work
		}
		for w := range all {
			if c.lead == nil {
				continue // nothing of it can be served: the module refuses what it must, and a successor may come any time
			}
			left := over[w] - unsure*all[w]
			most := math.Min(mostShed, mostPart*left/all[w])
			for i := len(b.demands) - 1; i >= 0; i-- {
				x := b.demands[i]
				if resource(x.NeedsPrimary) != w {
					continue
				}
				work, k := x.Rate*x.Work, DemandKey{x.Class, b.id}
				part := math.Max(0, math.Min(most, left/work))
				left -= part * work
				s := d.shares[k]
				if s == nil {
					if part == 0 {
						continue
					}
					s = &share{where: w, debt: d.rng.Float64()}
					d.shares[k] = s
				}
				s.want, s.plan = part, 1-c.served[i]
			}
		}
	}
}

// Shares are what is refused now, in the order of banks, the most refused first.
func (d *AdmissionController) RejectedShares() (out []RejectedShare) {
	for k, s := range d.shares {
		if s.part > 0 {
			out = append(out, RejectedShare{k.Group, k.Class, whereName[s.where], s.part, s.since, s.want < s.part, s.plan})
		}
	}
	slices.SortFunc(out, func(a, b RejectedShare) int {
		return cmp.Or(cmp.Compare(a.Group, b.Group), cmp.Compare(b.Share, a.Share), cmp.Compare(a.Class, b.Class))
	})
	return out
}
