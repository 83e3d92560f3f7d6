package sitefailover

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
)

// Member is a machine as the plan counts with it. Carry is what it can do for this router, in seconds of work a second.
type PlanEndpoint struct {
	ID, Site  string
	Group     int64
	Primary   bool
	Available bool // it can take something now
	Capacity  float64
}

// Demand is what is asked of a bank in one class.
type Demand struct {
	Class          string
	Group          int64
	Rate           float64 // requests a second
	Work           float64 // seconds of work of one
	PriorityWeight float64 // of one
	NeedsPrimary   bool    // it needs the primary
}

// Input is all that a plan is made of.
type PlanInput struct {
	Endpoints []PlanEndpoint
	Demands   []Demand
}

// keepShare is the part of each class and bank that is let through whatever it is worth: without any, nothing would tell that there is room
// again.
const probeShare = 0.02

// full is the part of a resource's carrying power that a plan counts with: the rest is for chance.
const usableCapacity = 0.95

// Loss is what the loss of a site would mean.
type SiteLossPlan struct {
	Site         string      `json:"site"`
	Groups       []GroupLoss `json:"banks"`
	LoadShifts   []LoadShift `json:"moves"`
	Rejections   []Rejection `json:"refused"`
	WeightKept   float64     `json:"worth_kept"`   // part of the worth asked for that is still served
	WeightServed float64     `json:"worth_served"` // the same with all sites
}

// Bank is what becomes of one.
type GroupLoss struct {
	Group         int64   `json:"bank"`
	LosesPrimary  bool    `json:"loses_primary"`
	NoEndpointLeft      bool    `json:"none_left"` // it is wholly inside the site: nothing of it can be served
	Successor     string  `json:"successor"` // who is likely to lead, "" = nobody can
	PrimaryUtilization    float64 `json:"primary"`   // use of who leads then, part of what it carries
	ReplicaUtilization    float64 `json:"replicas"`  // the same of all others together
	CurrentPrimaryUtilization float64 `json:"primary_now"`
	CurrentReplicaUtilization float64 `json:"replicas_now"`
}

// Move is work that goes elsewhere, in seconds of work a second.
type LoadShift struct {
	Group int64   `json:"bank"`
	From  string  `json:"from"`
	To    string  `json:"to"`
	Work  float64 `json:"work"`
}

// Refusal is what can't be carried, in the order in which it is refused.
type Rejection struct {
	Group     int64   `json:"bank"`
	Class     string  `json:"class"`
	Saturated string  `json:"where"` // primary or replicas: what is full
	Share     float64 `json:"share"` // of what is asked for in it
	Rate      float64 `json:"rate"`  // requests a second
}

// Make plans the loss of each site that has a machine, in the order of their names. It costs a sort of each bank's demands for each site.
func PlanLosses(in PlanInput) (out []SiteLossPlan) {
	banks := collectGroups(in)
	var names []string
	for _, x := range in.Endpoints {
		if !slices.Contains(names, x.Site) {
			names = append(names, x.Site)
		}
	}
	slices.Sort(names)
	for _, b := range banks {
		b.current = b.allocate("")
	}
	for _, name := range names {
		l := SiteLossPlan{Site: name, Groups: []GroupLoss{}, LoadShifts: []LoadShift{}, Rejections: []Rejection{}}
		asked, kept, now := 0.0, 0.0, 0.0
		for _, b := range banks {
			after := b.allocate(name)
			a, k, n := b.priorityWeights(after)
			asked, kept, now = asked+a, kept+k, now+n
			here := slices.ContainsFunc(b.endpoints, func(x *PlanEndpoint) bool { return x.Site == name && x.Available })
			if here {
				l.Groups = append(l.Groups, GroupLoss{
					Group: b.id, LosesPrimary: b.current.primary != nil && b.current.primary.Site == name, NoEndpointLeft: after.primary == nil, Successor: after.primaryID(),
					PrimaryUtilization: after.primaryUtilization, ReplicaUtilization: after.replicaUtilization, CurrentPrimaryUtilization: b.current.primaryUtilization, CurrentReplicaUtilization: b.current.replicaUtilization,
				})
				l.LoadShifts = append(l.LoadShifts, b.loadShifts(name, after)...)
			}
			l.Rejections = append(l.Rejections, b.rejections(after)...)
		}
		if l.WeightKept, l.WeightServed = 1, 1; asked > 0 {
			l.WeightKept, l.WeightServed = kept/asked, now/asked
		}
		out = append(out, l)
	}
	return out
}

// gather sorts an input by banks, in the order of their numbers: members by id, demands by the worth for a second of work, the most first.
// What is refused first is refused from the other end.
func collectGroups(in PlanInput) (out []*groupDemand) {
	banks := map[int64]*groupDemand{}
	get := func(id int64) *groupDemand {
		b := banks[id]
		if b == nil {
			b = &groupDemand{id: id}
			banks[id] = b
			out = append(out, b)
		}
		return b
	}
	for i, x := range in.Endpoints {
		b := get(x.Group)
		b.endpoints = append(b.endpoints, &in.Endpoints[i])
	}
	for _, d := range in.Demands {
		if d.Rate > 0 && d.Work > 0 {
			b := get(d.Group)
			b.demands = append(b.demands, d)
		}
	}
	slices.SortFunc(out, func(x, y *groupDemand) int { return cmp.Compare(x.id, y.id) })
	for _, b := range out {
		slices.SortFunc(b.endpoints, func(x, y *PlanEndpoint) int { return cmp.Compare(x.ID, y.ID) })
		slices.SortStableFunc(b.demands, func(x, y Demand) int {
			return cmp.Or(cmp.Compare(y.PriorityWeight/y.Work, x.PriorityWeight/x.Work), cmp.Compare(x.Class, y.Class))
		})
	}
	return out
}

// bank is one, with what is asked of it in the order of its worth.
type groupDemand struct {
	id        int64
	endpoints []*PlanEndpoint
	demands   []Demand
	current   allocation
}

// carried is how a bank's demands are served without one site.
type allocation struct {
	primary                          *PlanEndpoint // nil = nobody can
	served                           []float64
	primaryWork                      []float64 // work of each demand at the primary; the rest of it is at the replicas
	primaryCapacity, replicaCapacity float64
	primaryUtilization, replicaUtilization           float64
}

func (c allocation) primaryID() string {
	if c.primary == nil {
		return ""
	}
	return c.primary.ID
}

// carry shares out a bank's work among those that are left. Reads that any member serves go to replicas first.
func (b *groupDemand) allocate(without string) (c allocation) {
	left := func(x *PlanEndpoint) bool { return x.Available && x.Site != without }
	for _, x := range b.endpoints {
		if left(x) && (c.primary == nil || x.Primary) {
			c.primary = x // the primary where it is left, else the first that can follow
		}
	}
	c.served, c.primaryWork = make([]float64, len(b.demands)), make([]float64, len(b.demands))
	if c.primary == nil {
		return c
	}
	for _, x := range b.endpoints {
		switch {
		case x == c.primary:
			c.primaryCapacity = usableCapacity * x.Capacity
		case left(x):
			c.replicaCapacity += usableCapacity * x.Capacity
		}
	}
	p, r := c.primaryCapacity, c.replicaCapacity
	put := func(i int, d Demand, want float64) {
		if !d.NeedsPrimary {
			at := min(want, r)
			r, want = r-at, want-at
			c.served[i] += at
		}
		at := min(want, p)
		p -= at
		c.served[i], c.primaryWork[i] = c.served[i]+at, c.primaryWork[i]+at
	}
	for i, d := range b.demands {
		put(i, d, probeShare*d.Rate*d.Work)
	}
	for i, d := range b.demands {
		put(i, d, (1-probeShare)*d.Rate*d.Work)
	}
	for i, d := range b.demands {
		c.served[i] = min(1, c.served[i]/(d.Rate*d.Work))
	}
	c.primaryUtilization, c.replicaUtilization = ratio(c.primaryCapacity-p, c.primaryCapacity/usableCapacity), ratio(c.replicaCapacity-r, c.replicaCapacity/usableCapacity)
	return c
}

func ratio(a, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return a / of
}

// worth is what is asked for, kept with c, and served now.
func (b *groupDemand) priorityWeights(c allocation) (asked, kept, now float64) {
	for i, d := range b.demands {
		w := d.Rate * d.PriorityWeight
		asked, kept, now = asked+w, kept+w*c.served[i], now+w*b.current.served[i]
	}
	return asked, kept, now
}

// refused is what c can't carry, the first to be refused first.
func (b *groupDemand) rejections(c allocation) (out []Rejection) {
	for i := len(b.demands) - 1; i >= 0; i-- {
		d := b.demands[i]
		if share := 1 - c.served[i]; share > 1e-9 {
			where := "replicas"
			if d.NeedsPrimary || c.replicaCapacity == 0 {
				where = "primary"
			}
			out = append(out, Rejection{b.id, d.Class, where, share, share * d.Rate})
		}
	}
	return out
}

// moves is the work that a site does now and who does it then, each by its part of what it carries.
func (b *groupDemand) loadShifts(site string, after allocation) (out []LoadShift) {
	from, to := b.endpointLoads(b.current, ""), b.endpointLoads(after, site)
	freed := 0.0
	for _, x := range b.endpoints {
		if x.Site == site {
			freed += from[x.ID]
		}
	}
	more, grown := map[string]float64{}, 0.0
	for _, x := range b.endpoints {
		if d := to[x.ID] - from[x.ID]; x.Site != site && d > 1e-9 {
			more[x.ID], grown = d, grown+d
		}
	}
	if grown == 0 || freed == 0 {
		return nil
	}
	for _, f := range b.endpoints {
		if f.Site != site || from[f.ID] <= 1e-9 {
			continue
		}
		for _, x := range b.endpoints {
			if w := from[f.ID] / freed * min(more[x.ID], more[x.ID]*freed/grown); w > 1e-9 {
				out = append(out, LoadShift{b.id, f.ID, x.ID, w})
			}
		}
	}
	return out
}

// loads is each member's work.
func (b *groupDemand) endpointLoads(c allocation, without string) map[string]float64 {
	out := map[string]float64{}
	if c.primary == nil {
		return out
	}
	p, all := 0.0, 0.0
	for i, d := range b.demands {
		p += c.primaryWork[i]
		all += c.served[i] * d.Rate * d.Work
	}
	out[c.primary.ID] = p
	for _, x := range b.endpoints {
		if x != c.primary && x.Available && x.Site != without && c.replicaCapacity > 0 {
			out[x.ID] = (all - p) * usableCapacity * x.Capacity / c.replicaCapacity
		}
	}
	return out
}

// Table writes plans for people.
func WriteTable(w io.Writer, plans []SiteLossPlan) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(plans) == 0 {
		fmt.Fprintln(t, "no sites: no machine is listed")
	}
	for _, l := range plans {
		fmt.Fprintf(t, "loss of %s: worth kept %.1f%% (now %.1f%%)\n", l.Site, 100*l.WeightKept, 100*l.WeightServed)
		if len(l.Groups) > 0 {
			fmt.Fprintln(t, "  bank\tprimary then\tuse\treplicas' use\tnow\tnow")
		}
		for _, b := range l.Groups {
			who := b.Successor
			switch {
			case b.NoEndpointLeft:
				who = "none: wholly inside"
			case b.LosesPrimary:
				who += " (successor)"
			}
			fmt.Fprintf(t, "  %d\t%s\t%s\t%s\t%s\t%s\n", b.Group, who, percent(b.PrimaryUtilization), percent(b.ReplicaUtilization), percent(b.CurrentPrimaryUtilization), percent(b.CurrentReplicaUtilization))
		}
		for _, m := range l.LoadShifts {
			fmt.Fprintf(t, "  bank %d: %.2f of work from %s to %s\n", m.Group, m.Work, m.From, m.To)
		}
		for i, r := range l.Rejections {
			fmt.Fprintf(t, "  refused %d.: bank %d %s at the %s, %.0f%%, %.1f a second\n", i+1, r.Group, r.Class, r.Saturated, 100*r.Share, r.Rate)
		}
		if len(l.Rejections) == 0 {
			fmt.Fprintln(t, "  nothing is refused")
		}
	}
	return t.Flush()
}

func percent(x float64) string { return fmt.Sprintf("%.0f%%", 100*math.Min(x, 9.99)) }
