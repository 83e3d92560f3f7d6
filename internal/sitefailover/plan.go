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
type Member struct {
	ID, Site string
	Bank     int64
	Primary  bool
	Up       bool // it can take something now
	Carry    float64
}

// Demand is what is asked of a bank in one class.
type Demand struct {
	Class  string
	Bank   int64
	Rate   float64 // requests a second
	Work   float64 // seconds of work of one
	Worth  float64 // of one
	Strong bool    // it needs the primary
}

// Input is all that a plan is made of.
type Input struct {
	Members []Member
	Demands []Demand
}

// keepShare is the part of each class and bank that is let through whatever it is worth: without any, nothing would tell that there is room
// again.
const keepShare = 0.02

// full is the part of a resource's carrying power that a plan counts with: the rest is for chance.
const full = 0.95

// Loss is what the loss of a site would mean.
type Loss struct {
	Site    string    `json:"site"`
	Banks   []Bank    `json:"banks"`
	Moves   []Move    `json:"moves"`
	Refused []Refusal `json:"refused"`
	Kept    float64   `json:"worth_kept"`   // part of the worth asked for that is still served
	Now     float64   `json:"worth_served"` // the same with all sites
}

// Bank is what becomes of one.
type Bank struct {
	Bank         int64   `json:"bank"`
	LosesPrimary bool    `json:"loses_primary"`
	None         bool    `json:"none_left"` // it is wholly inside the site: nothing of it can be served
	Successor    string  `json:"successor"` // who is likely to lead, "" = nobody can
	Primary      float64 `json:"primary"`   // use of who leads then, part of what it carries
	Replicas     float64 `json:"replicas"`  // the same of all others together
	WasPrimary   float64 `json:"primary_now"`
	WasReplicas  float64 `json:"replicas_now"`
}

// Move is work that goes elsewhere, in seconds of work a second.
type Move struct {
	Bank int64   `json:"bank"`
	From string  `json:"from"`
	To   string  `json:"to"`
	Work float64 `json:"work"`
}

// Refusal is what can't be carried, in the order in which it is refused.
type Refusal struct {
	Bank  int64   `json:"bank"`
	Class string  `json:"class"`
	Where string  `json:"where"` // primary or replicas: what is full
	Share float64 `json:"share"` // of what is asked for in it
	Rate  float64 `json:"rate"`  // requests a second
}

// Make plans the loss of each site that has a machine, in the order of their names. It costs a sort of each bank's demands for each site.
func Make(in Input) (out []Loss) {
	banks := gather(in)
	var names []string
	for _, x := range in.Members {
		if !slices.Contains(names, x.Site) {
			names = append(names, x.Site)
		}
	}
	slices.Sort(names)
	for _, b := range banks {
		b.now = b.carry("")
	}
	for _, name := range names {
		l := Loss{Site: name, Banks: []Bank{}, Moves: []Move{}, Refused: []Refusal{}}
		asked, kept, now := 0.0, 0.0, 0.0
		for _, b := range banks {
			after := b.carry(name)
			a, k, n := b.worth(after)
			asked, kept, now = asked+a, kept+k, now+n
			here := slices.ContainsFunc(b.members, func(x *Member) bool { return x.Site == name && x.Up })
			if here {
				l.Banks = append(l.Banks, Bank{Bank: b.id, LosesPrimary: b.now.lead != nil && b.now.lead.Site == name, None: after.lead == nil, Successor: after.leads(),
					Primary: after.usedP, Replicas: after.usedR, WasPrimary: b.now.usedP, WasReplicas: b.now.usedR})
				l.Moves = append(l.Moves, b.moves(name, after)...)
			}
			l.Refused = append(l.Refused, b.refused(after)...)
		}
		if l.Kept, l.Now = 1, 1; asked > 0 {
			l.Kept, l.Now = kept/asked, now/asked
		}
		out = append(out, l)
	}
	return out
}

// gather sorts an input by banks, in the order of their numbers: members by id, demands by the worth for a second of work, the most first.
// What is refused first is refused from the other end.
func gather(in Input) (out []*bank) {
	banks := map[int64]*bank{}
	get := func(id int64) *bank {
		b := banks[id]
		if b == nil {
			b = &bank{id: id}
			banks[id] = b
			out = append(out, b)
		}
		return b
	}
	for i, x := range in.Members {
		b := get(x.Bank)
		b.members = append(b.members, &in.Members[i])
	}
	for _, d := range in.Demands {
		if d.Rate > 0 && d.Work > 0 {
			b := get(d.Bank)
			b.demands = append(b.demands, d)
		}
	}
	slices.SortFunc(out, func(x, y *bank) int { return cmp.Compare(x.id, y.id) })
	for _, b := range out {
		slices.SortFunc(b.members, func(x, y *Member) int { return cmp.Compare(x.ID, y.ID) })
		slices.SortStableFunc(b.demands, func(x, y Demand) int {
			return cmp.Or(cmp.Compare(y.Worth/y.Work, x.Worth/x.Work), cmp.Compare(x.Class, y.Class))
		})
	}
	return out
}

// bank is one, with what is asked of it in the order of its worth.
type bank struct {
	id      int64
	members []*Member
	demands []Demand
	now     carried
}

// carried is how a bank's demands are served without one site.
type carried struct {
	lead         *Member // nil = nobody can
	served       []float64
	onP          []float64 // work of each demand at the primary; the rest of it is at the replicas
	capP, capR   float64
	usedP, usedR float64
}

func (c carried) leads() string {
	if c.lead == nil {
		return ""
	}
	return c.lead.ID
}

// carry shares out a bank's work among those that are left. Reads that any member serves go to replicas first.
func (b *bank) carry(without string) (c carried) {
	left := func(x *Member) bool { return x.Up && x.Site != without }
	for _, x := range b.members {
		if left(x) && (c.lead == nil || x.Primary) {
			c.lead = x // the primary where it is left, else the first that can follow
		}
	}
	c.served, c.onP = make([]float64, len(b.demands)), make([]float64, len(b.demands))
	if c.lead == nil {
		return c
	}
	for _, x := range b.members {
		switch {
		case x == c.lead:
			c.capP = full * x.Carry
		case left(x):
			c.capR += full * x.Carry
		}
	}
	p, r := c.capP, c.capR
	put := func(i int, d Demand, want float64) {
		if !d.Strong {
			at := min(want, r)
			r, want = r-at, want-at
			c.served[i] += at
		}
		at := min(want, p)
		p -= at
		c.served[i], c.onP[i] = c.served[i]+at, c.onP[i]+at
	}
	for i, d := range b.demands {
		put(i, d, keepShare*d.Rate*d.Work)
	}
	for i, d := range b.demands {
		put(i, d, (1-keepShare)*d.Rate*d.Work)
	}
	for i, d := range b.demands {
		c.served[i] = min(1, c.served[i]/(d.Rate*d.Work))
	}
	c.usedP, c.usedR = part(c.capP-p, c.capP/full), part(c.capR-r, c.capR/full)
	return c
}

func part(a, of float64) float64 {
	if of <= 0 {
		return 0
	}
	return a / of
}

// worth is what is asked for, kept with c, and served now.
func (b *bank) worth(c carried) (asked, kept, now float64) {
	for i, d := range b.demands {
		w := d.Rate * d.Worth
		asked, kept, now = asked+w, kept+w*c.served[i], now+w*b.now.served[i]
	}
	return asked, kept, now
}

// refused is what c can't carry, the first to be refused first.
func (b *bank) refused(c carried) (out []Refusal) {
	for i := len(b.demands) - 1; i >= 0; i-- {
		d := b.demands[i]
		if share := 1 - c.served[i]; share > 1e-9 {
			where := "replicas"
			if d.Strong || c.capR == 0 {
				where = "primary"
			}
			out = append(out, Refusal{b.id, d.Class, where, share, share * d.Rate})
		}
	}
	return out
}

// moves is the work that a site does now and who does it then, each by its part of what it carries.
func (b *bank) moves(site string, after carried) (out []Move) {
	from, to := b.loads(b.now, ""), b.loads(after, site)
	freed := 0.0
	for _, x := range b.members {
		if x.Site == site {
			freed += from[x.ID]
		}
	}
	more, grown := map[string]float64{}, 0.0
	for _, x := range b.members {
		if d := to[x.ID] - from[x.ID]; x.Site != site && d > 1e-9 {
			more[x.ID], grown = d, grown+d
		}
	}
	if grown == 0 || freed == 0 {
		return nil
	}
	for _, f := range b.members {
		if f.Site != site || from[f.ID] <= 1e-9 {
			continue
		}
		for _, x := range b.members {
			if w := from[f.ID] / freed * min(more[x.ID], more[x.ID]*freed/grown); w > 1e-9 {
				out = append(out, Move{b.id, f.ID, x.ID, w})
			}
		}
	}
	return out
}

// loads is each member's work.
func (b *bank) loads(c carried, without string) map[string]float64 {
	out := map[string]float64{}
	if c.lead == nil {
		return out
	}
	p, all := 0.0, 0.0
	for i, d := range b.demands {
		p += c.onP[i]
		all += c.served[i] * d.Rate * d.Work
	}
	out[c.lead.ID] = p
	for _, x := range b.members {
		if x != c.lead && x.Up && x.Site != without && c.capR > 0 {
			out[x.ID] = (all - p) * full * x.Carry / c.capR
		}
	}
	return out
}

// Table writes plans for people.
func Table(w io.Writer, plans []Loss) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if len(plans) == 0 {
		fmt.Fprintln(t, "no sites: no machine is listed")
	}
	for _, l := range plans {
		fmt.Fprintf(t, "loss of %s: worth kept %.1f%% (now %.1f%%)\n", l.Site, 100*l.Kept, 100*l.Now)
		if len(l.Banks) > 0 {
			fmt.Fprintln(t, "  bank\tprimary then\tuse\treplicas' use\tnow\tnow")
		}
		for _, b := range l.Banks {
			who := b.Successor
			switch {
			case b.None:
				who = "none: wholly inside"
			case b.LosesPrimary:
				who += " (successor)"
			}
			fmt.Fprintf(t, "  %d\t%s\t%s\t%s\t%s\t%s\n", b.Bank, who, percent(b.Primary), percent(b.Replicas), percent(b.WasPrimary), percent(b.WasReplicas))
		}
		for _, m := range l.Moves {
			fmt.Fprintf(t, "  bank %d: %.2f of work from %s to %s\n", m.Bank, m.Work, m.From, m.To)
		}
		for i, r := range l.Refused {
			fmt.Fprintf(t, "  refused %d.: bank %d %s at the %s, %.0f%%, %.1f a second\n", i+1, r.Bank, r.Class, r.Where, 100*r.Share, r.Rate)
		}
		if len(l.Refused) == 0 {
			fmt.Fprintln(t, "  nothing is refused")
		}
	}
	return t.Flush()
}

func percent(x float64) string { return fmt.Sprintf("%.0f%%", 100*math.Min(x, 9.99)) }
